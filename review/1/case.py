"""LOST: a daemon reads the endless body of a rejection into memory until the platform kills it."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import rig as r

HOST = "jepu9.example"
# grown/vhs-mesh-grown.toml, troubles: srv_grey with share 0.14, x 0.45 and for_s 6.5; a day has "shed all" with x 0.55.
PART, FOR_S = 0.45, 6.5


async def scenario(rig, trouble):
    services = ["ledger"]
    await rig.start(services * 8, r.config("r7", services, {HOST: [r.route("r-all", "/", "ledger", "unsafe")]}), work=0.15)
    await asyncio.sleep(6)
    tasks = [asyncio.create_task(host.limit_memory()) for host in rig.hosts]
    for host in rig.hosts:
        tasks += [asyncio.create_task(rig.kept_consumer(host, "POST", HOST, "/a")) for _ in range(10)]
    await asyncio.sleep(3)
    # One upstream of eight rejects a part of its requests, with or without an end of the response.
    bad, machine = rig.upstreams[0], rig.hosts[0]
    bad.shed, bad.endless = PART, trouble
    await asyncio.sleep(FOR_S)
    bad.shed = 0.0
    await asyncio.sleep(2)
    for task in tasks:
        task.cancel()
    rig.record(f"peak memory of the daemons in MB: {', '.join(f'{h.name} {h.most:.0f}' for h in rig.hosts)}")
    print(f"{machine.name}: killed {machine.ends} times, peak {machine.most:.0f} MB")
    sound = {run["id"] for run in rig.runs() if run["instance"] != bad.id}
    lost = [rid for rid, s in rig.sent.items() if s["status"] == 0 and rid in sound]
    served = sum(1 for s in rig.sent.values() if s["status"] == 200)
    if served < len(rig.sent) * 0.5:
        raise r.CannotRun(f"only {served} of {len(rig.sent)} requests were served")
    # A process that ends by itself counts as running all the while, so its machine is in touch.
    if len(lost) > 3:
        return [f"LOST: {len(lost)} requests from kept connections had been passed on to sound upstreams when the daemon "
                f"closed the connections without an answer; it exceeded its memory {machine.ends} times"]
    return []


r.main(__file__, scenario)
