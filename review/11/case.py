"""A rollout while the store turns some machines away: does a bad version stay within EXPOSURE?"""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))
from standins import TROUBLE, Fleet, Upstream, config, main, request, route  # noqa: E402

SERVICE, OTHER = "web", "desk"
AWAY_S = 9.0  # the largest dose of platform_down with `nodes` in the site file: share 0.35 for 9 s
DURATION_S = 12  # of the order, as on the pages
BOUNDS = {"canary_share": 0.1, "canary_slack": 50, "rollback_ms": 5000}


async def play():
    fleet = Fleet(HERE, ["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "rollout", "platform"],
                  ["zone-a", "zone-b"], BOUNDS)
    record = fleet.record
    old = [fleet.add("old-%d" % n, fleet.zones[n % 2], SERVICE) for n in range(5)]
    desk = [fleet.add("desk-%d" % n, fleet.zones[n % 2], OTHER) for n in range(6)]
    new = [fleet.add("new-%d" % n, fleet.zones[n % 2], SERVICE) for n in range(4)]
    await fleet.open()

    def written(machine, keys):
        for key in keys:
            if key.startswith("status/rollout/"):
                record.say("machine", machine, "writes", key)

    fleet.store.on_write = written

    async def bad(upstream, run):
        return 500 if random.random() < 0.5 else 200

    upstreams = [Upstream(m, SERVICE, "v1", record, slots=40) for m in old]
    upstreams += [Upstream(m, OTHER, "v1", record, slots=40) for m in desk]
    new_upstreams = [Upstream(m, SERVICE, "v2", record, on_run=bad, slots=40) for m in new]
    tasks = []
    try:
        await fleet.store.operator_put(
            "op/config", config("r3", [SERVICE, OTHER], [route("r-web", "/web/", "safe", SERVICE)])
        )
        for machine in old + desk:
            machine.start()
        for upstream in upstreams:
            await upstream.start()
        await fleet.wait_ready(old + desk)
        await asyncio.sleep(3)

        sent = {}

        async def consume(machine):
            while True:
                await asyncio.sleep(random.expovariate(20))
                tasks.append(asyncio.ensure_future(one(machine)))

        async def one(machine):
            ident = "%016x" % random.getrandbits(64)
            sent[ident] = (record.now(), machine.name)
            await request(machine, "GET", "/web/" + ident, ident=ident, record=record)

        for machine in old + desk:
            tasks.append(asyncio.ensure_future(consume(machine)))
        await asyncio.sleep(1)

        # The new upstreams are started beside the old ones, with their machines. Meanwhile the store turns
        # a third of the machines away: the one that leads rollouts, and four of those that start.
        away = {LEADER, "new-0", "new-1", "new-2", "new-3"}
        if TROUBLE:
            fleet.store.turned_away |= away
            record.say("store turns away", *sorted(away))
        began = record.now()
        for machine in new:
            machine.start()
        for upstream in new_upstreams:
            await upstream.start()
        await asyncio.sleep(AWAY_S - 0.2)
        ordered = record.now()
        await fleet.store.operator_put(
            "op/rollout/" + SERVICE, {"service": SERVICE, "target_version": "v2", "duration_s": DURATION_S}
        )
        record.say("operator orders v2 of", SERVICE)
        await asyncio.sleep(max(0.0, began + AWAY_S - record.now()))
        if TROUBLE:
            fleet.store.turned_away -= away
            record.say("store serves all again after %.1f s" % (record.now() - began))
        ended = record.now()
        state = None
        while record.now() < ordered + DURATION_S:
            status = fleet.store.operator_get("status/rollout/" + SERVICE)
            if status and status["state"] != state:
                state = status["state"]
                record.say("status", status)
                if state == "complete":
                    for upstream in upstreams:
                        if upstream.service == SERVICE:
                            upstream.stop()
                    record.say("the old upstreams are stopped")
            await asyncio.sleep(0.02)
        limit = ordered + DURATION_S
        # Only machines in touch count: never turned away, and stable_window_ms after the end of the trouble.
        touched_from = ended + 3.0 if TROUBLE else ordered
        in_touch = {m.name for m in old + desk} - (away if TROUBLE else set())
        runs = [run for up in upstreams + new_upstreams if up.service == SERVICE for run in up.runs]
        reached = [run for run in runs if ordered <= run["at"] <= limit]
        bad_runs = [
            run for run in reached
            if run["version"] == "v2" and run["id"] in sent
            and sent[run["id"]][0] >= touched_from and sent[run["id"]][1] in in_touch
        ]
        allowed = BOUNDS["canary_share"] * len(reached) + BOUNDS["canary_slack"]
        record.say("requests that reached the service between order and time limit:", len(reached))
        record.say("of these at the bad version, from machines in touch:", len(bad_runs), "allowed: %.0f" % allowed)
        leaders = [m.name for m in fleet.machines if m.process and "rollout-led" in m.log_text()]
        record.say("machines that led the rollout:", *leaders)
        return len(bad_runs) > allowed
    finally:
        for task in tasks:
            task.cancel()
        await fleet.close(upstreams + new_upstreams)


# The machine that leads rollouts by its name; the log of a run with TROUBLE=0 shows it.
LEADER = "desk-4"

if __name__ == "__main__":
    main(play)
