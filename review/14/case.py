"""Two upstreams of a service crash at once: is its most asked path served again afterwards?"""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))
from standins import TROUBLE, Fleet, Upstream, config, main, request, route  # noqa: E402

SERVICE, FIRST = "web", "desk"
UPSTREAMS = 14
CRASHED = 2  # 0.143 of the service's upstreams, where the site file has up to 0.14 and `kinds` 0.15
DOWN_S = 4.5  # for_s of srv_crash in the site file
STABLE_S = 3.0  # stable_window_ms


async def play():
    fleet = Fleet(HERE, ["base", "drain", "config", "cost", "retry", "recover", "platform"], ["zone-a", "zone-b"])
    record = fleet.record
    web = [fleet.add("web-%d" % n, fleet.zones[n % 2], SERVICE) for n in range(UPSTREAMS)]
    desk = [fleet.add("desk-%d" % n, fleet.zones[n % 2], FIRST) for n in range(4)]
    await fleet.open()
    upstreams = [Upstream(m, SERVICE, "v1", record, work_s=0.35) for m in web]
    others = [Upstream(m, FIRST, "v1", record) for m in desk]
    tasks, results = [], []
    try:
        first = [route("r-desk", "/desk/", "safe", FIRST)]
        await fleet.store.operator_put("op/config", config("r3", [FIRST, SERVICE], first))
        for machine in web + desk:
            machine.start()
        for upstream in upstreams + others:
            await upstream.start()
        await fleet.wait_ready(web + desk)
        await asyncio.sleep(2)
        added = first + [route("r-web", "/web/", "safe", SERVICE)]
        await fleet.store.operator_put("op/config", config("r5", [FIRST, SERVICE], added))
        record.say("operator adds the route /web/")
        await asyncio.sleep(3)

        async def one(machine, path):
            at = record.now()
            _, status, fields, _ = await request(machine, "GET", path, record=record)
            results.append((at, path, status, fields.get("damaskwick-reason", "")))

        async def consume(machine, path, per_s):
            while True:
                await asyncio.sleep(random.expovariate(per_s))
                tasks.append(asyncio.ensure_future(one(machine, path)))

        # Consumers read the same list, as browsers do.
        for machine in web + desk:
            tasks.append(asyncio.ensure_future(consume(machine, "/web/list", 14)))
            tasks.append(asyncio.ensure_future(consume(machine, "/desk/list", 2)))
        await asyncio.sleep(4)
        crashed = record.now()
        if TROUBLE:
            # Both in one zone.
            hit = random.sample([up for up in upstreams if up.machine.zone == "zone-a"], CRASHED)
            for upstream in hit:
                upstream.stop()
            record.say("upstreams crash:", *[up.machine.name for up in hit])
            await asyncio.sleep(DOWN_S)
            for upstream in hit:
                await upstream.start()
            record.say("they are back after %.1f s" % (record.now() - crashed))
        calm = record.now() + STABLE_S
        await asyncio.sleep(STABLE_S + 12)

        def served(path, since, until):
            found = [s for at, p, s, _ in results if p == path and since <= at < until]
            return sum(1 for s in found if 200 <= s < 300), len(found)

        end = record.now() - 3
        before = served("/web/list", 0, crashed - 0.5)
        later, early = served("/web/list", calm, end), served("/desk/list", calm, end)
        reasons = {}
        for at, path, status, reason in results:
            if path == "/web/list" and calm <= at < end:
                reasons[(status, reason)] = reasons.get((status, reason), 0) + 1
        record.say("route added later, before the crash: served %d of %d" % before)
        record.say("route added later, in steady state: served %d of %d" % later, reasons)
        record.say("first route, in steady state: served %d of %d" % early)
        return later[1] >= 20 and later[0] / later[1] < 0.25 * early[0] / early[1]
    finally:
        for task in tasks:
            task.cancel()
        await fleet.close(upstreams + others)


if __name__ == "__main__":
    main(play)
