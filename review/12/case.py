"""A rollout is complete; in a drill the store comes back from an older copy; later all daemons are killed."""

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
COPY_AGE_S = 3.0  # "some seconds old"
AWAY_S = 0.5  # "away for a moment"
BOUNDS = {"canary_share": 0.1, "canary_slack": 50, "rollback_ms": 5000}


async def play():
    fleet = Fleet(HERE, ["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "rollout", "platform"],
                  ["zone-a", "zone-b"], BOUNDS)
    record, store = fleet.record, fleet.store
    old = [fleet.add("old-%d" % n, fleet.zones[n % 2], SERVICE) for n in range(3)]
    new = [fleet.add("new-%d" % n, fleet.zones[n % 2], SERVICE) for n in range(3)]
    await fleet.open()
    upstreams = [Upstream(m, SERVICE, "v1", record, slots=40) for m in old]
    upstreams += [Upstream(m, SERVICE, "v2", record, slots=40) for m in new]
    tasks, results, copies = [], [], []
    try:
        await store.operator_put("op/config", config("r3", [SERVICE], [route("r-web", "/web/", "safe", SERVICE)]))
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

        async def follow():
            seen = None
            while True:
                status = store.operator_get("status/rollout/" + SERVICE)
                if status != seen:
                    seen = status
                    record.say("status", status)
                await asyncio.sleep(0.02)

        async def keep_copies():
            while True:
                copies.append((record.now(), store.copy()))
                await asyncio.sleep(0.1)

        for machine in old + new:
            tasks.append(asyncio.ensure_future(consume(machine)))
        tasks.append(asyncio.ensure_future(follow()))
        tasks.append(asyncio.ensure_future(keep_copies()))
        await asyncio.sleep(1)
        await store.operator_put(
            "op/rollout/" + SERVICE, {"service": SERVICE, "target_version": "v2", "duration_s": DURATION_S}
        )
        record.say("operator orders v2")
        for _ in range(DURATION_S * 50 + 50):
            await asyncio.sleep(0.02)
            status = store.operator_get("status/rollout/" + SERVICE)
            if status and status["state"] == "complete":
                break
        else:
            raise RuntimeError("the rollout was not completed")
        for upstream in upstreams[:3]:
            upstream.stop()
        record.say("the old upstreams are stopped")
        await asyncio.sleep(2)
        if TROUBLE:
            age, copy = [(at, copy) for at, copy in copies if at <= record.now() - COPY_AGE_S][-1]
            await store.drill(copy, AWAY_S)
            record.say("the store is back after %.1f s from a copy that was %.1f s old" % (AWAY_S, record.now() - AWAY_S - age))
        await asyncio.sleep(3)
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
        before = [s for at, s, _ in results if killed - 4 < at < killed - 0.5]
        after = [(s, r) for at, s, r in results if back + RECOVERY_S < at]
        served = [sum(1 for s in before if 200 <= s < 300), sum(1 for s, _ in after if 200 <= s < 300)]
        record.say("served in the seconds before the final fault: %d of %d" % (served[0], len(before)))
        reasons = {}
        for answer in after:
            reasons[answer] = reasons.get(answer, 0) + 1
        record.say("served later than recovery_s after it: %d of %d" % (served[1], len(after)), reasons)
        return served[0] * 4 >= len(before) and served[1] * 4 < len(after)
    finally:
        for task in tasks:
            task.cancel()
        await fleet.close(upstreams)


if __name__ == "__main__":
    main(play)
