"""DRAIN: a daemon that was killed has forgotten that its upstream has left, and takes a late ping of it."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import rig as r

HOST = "jepu9.example"
# How late the ping arrives. PROTOCOL.md: "A ping may arrive seconds late."
LATE_S = 6.0


async def scenario(rig, trouble):
    services = ["ledger"]
    await rig.start(services * 3, r.config("r7", services, {HOST: [r.route("r-all", "/", "ledger", "unsafe")]}))
    await asyncio.sleep(6)
    leaving, machine = rig.upstreams[0], rig.hosts[0]

    async def late(path, body):
        await asyncio.sleep(LATE_S)
        status, _, _ = await leaving.send_report(path, body)
        rig.record(f"late ping of {leaving.id}, sent {LATE_S} s ago, answered with {status}")

    async def traffic(host):
        while True:
            asyncio.create_task(rig.request(host, "POST", HOST, "/a", b"x"))
            await asyncio.sleep(0.05)

    # The requests come from the two other machines, on which nothing ever happens.
    senders = [asyncio.create_task(traffic(host)) for host in rig.hosts[1:]]
    await asyncio.sleep(2)
    # The upstream's last ping before it leaves is held up on its way.
    delayed = asyncio.create_task(late(*leaving.report()))
    await asyncio.sleep(0.1)
    acked = await leaving.leave()
    if acked is None:
        raise r.CannotRun("the upstream's leaving was not acknowledged")
    await asyncio.sleep(0.5)
    restarted = None
    if trouble:
        await machine.kill()
        await asyncio.sleep(0.5)
        await machine.start()
        await machine.wait_ready()
        restarted = r.now()
    # The upstream serves on for drain_ms and some seconds, and ends.
    while r.now() < acked + 11:
        await asyncio.sleep(0.1)
    for sender in senders:
        sender.cancel()
    await delayed
    drained = acked + rig.bounds["drain_ms"] / 1000
    touch = drained if restarted is None else max(drained, restarted + rig.bounds["stable_window_ms"] / 1000)
    late_runs = [run for run in rig.runs() if run["instance"] == leaving.id and run["t"] > touch]
    served = sum(1 for s in rig.sent.values() if s.get("status") == 200)
    if served < len(rig.sent) * 0.5:
        raise r.CannotRun(f"only {served} of {len(rig.sent)} requests were served")
    if late_runs:
        first = late_runs[0]
        return [f"DRAIN: {len(late_runs)} requests reached {leaving.id} later than drain_ms after the ack of its DELETE, "
                f"the first ({first['id']}) {first['t'] - acked:.1f} s after it, all while every machine was in touch"]
    return []


# The senders are in the zone of the upstream that leaves.
r.main(__file__, scenario, zones=("gva-a",))
