"""The operator takes a rollout back by ordering the version that runs; later all daemons are killed and start again."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))
from standins import TROUBLE, Fleet, Upstream, config, main, request, route  # noqa: E402

SERVICE = "web"
DURATION_S = 12
RECOVERY_S = 15.0  # recovery_s
BOUNDS = {"canary_share": 0.1, "canary_slack": 50, "rollback_ms": 5000}


async def play():
    fleet = Fleet(HERE, ["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "rollout", "platform"],
                  ["zone-a", "zone-b"], BOUNDS)
    record = fleet.record
    old = [fleet.add("old-%d" % n, fleet.zones[n % 2], SERVICE) for n in range(3)]
    new = [fleet.add("new-%d" % n, fleet.zones[n % 2], SERVICE) for n in range(3)]
    await fleet.open()
    upstreams = [Upstream(m, SERVICE, "v1", record, slots=40) for m in old]
    upstreams += [Upstream(m, SERVICE, "v2", record, slots=40) for m in new]
    tasks, results = [], []
    try:
        await fleet.store.operator_put("op/config", config("r3", [SERVICE], [route("r-web", "/web/", "safe", SERVICE)]))
        for machine in old + new:
            machine.start()
        for upstream in upstreams:
            await upstream.start()
        await fleet.wait_ready(old + new)
        await asyncio.sleep(3)

        async def one(machine):
            ident = "%016x" % random.getrandbits(64)
            at = record.now()
            _, status, fields, _ = await request(machine, "GET", "/web/" + ident, ident=ident, record=record)
            results.append((at, status, fields.get("damaskwick-reason", "")))

        async def consume(machine):
            while True:
                await asyncio.sleep(random.expovariate(20))
                tasks.append(asyncio.ensure_future(one(machine)))

        for machine in old + new:
            tasks.append(asyncio.ensure_future(consume(machine)))
        await asyncio.sleep(1)

        async def order(version):
            await fleet.store.operator_put(
                "op/rollout/" + SERVICE, {"service": SERVICE, "target_version": version, "duration_s": DURATION_S}
            )
            record.say("operator orders", version)

        async def follow():
            seen = None
            while True:
                status = fleet.store.operator_get("status/rollout/" + SERVICE)
                if status != seen:
                    seen = status
                    record.say("status", status)
                    if status and status["state"] == "complete" and status["target_version"] == "v2":
                        for upstream in upstreams[:3]:
                            upstream.stop()
                        record.say("the old upstreams are stopped")
                await asyncio.sleep(0.02)

        tasks.append(asyncio.ensure_future(follow()))
        await order("v2")
        await asyncio.sleep(3)
        if TROUBLE:
            # The operator takes the order back: the traffic shall go to the version that runs.
            await order("v1")
        await asyncio.sleep(2)
        killed = record.now()
        for machine in old + new:
            machine.kill()
        record.say("final fault: all daemons are killed")
        await asyncio.sleep(1)
        for machine in old + new:
            machine.start()
        await fleet.wait_ready(old + new)
        back = record.now()
        record.say("all daemons are back")
        await asyncio.sleep(RECOVERY_S + 10)
        before = [s for at, s, _ in results if at < killed]
        after = [(s, r) for at, s, r in results if at > back + RECOVERY_S]
        served = sum(1 for s, _ in after if 200 <= s < 300)
        record.say("served before the final fault: %d of %d" % (sum(1 for s in before if 200 <= s < 300), len(before)))
        record.say("served later than recovery_s after it: %d of %d" % (served, len(after)))
        counts = {}
        for s, r in after:
            counts[(s, r)] = counts.get((s, r), 0) + 1
        record.say("answers:", counts)
        return served * 4 < len(after)
    finally:
        for task in tasks:
            task.cancel()
        await fleet.close(upstreams)


if __name__ == "__main__":
    main(play)
