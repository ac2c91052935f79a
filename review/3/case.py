"""ROUTE: a route with the prefix /orders/ takes the request /orders, which the prefix does not begin."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import rig as r

HOST = "jepu9.example"


async def scenario(rig, trouble):
    services = ["portal", "ledger"]
    routes = [r.route("r-all", "/", "portal", "unsafe")]
    await rig.start(services * 2, r.config("r7", services, {HOST: routes}))
    await asyncio.sleep(4)
    if trouble:
        routes = routes + [r.route("r-orders", "/orders/", "ledger", "unsafe")]
        rig.store.operator(r.config("r9", services, {HOST: routes}))
    await asyncio.sleep(6)
    broken = []
    for path, allowed in (("/orders", "portal"), ("/orders?page=2", "portal"), ("/other", "portal")):
        for host in rig.hosts:
            for _ in range(5):
                rid, status, _, _ = await rig.request(host, "POST", HOST, path, b"x")
                for run in rig.runs(rid):
                    if run["service"] != allowed:
                        broken.append(f"ROUTE: {rid} {path} was run by {run['service']}; every configuration sends it to {allowed}")
    served = sum(1 for s in rig.sent.values() if s.get("status") == 200)
    if served < len(rig.sent) * 0.8:
        raise r.CannotRun(f"only {served} of {len(rig.sent)} requests were served")
    return broken


r.main(__file__, scenario)
