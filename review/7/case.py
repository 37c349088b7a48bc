"""A queue is moved to another service and back; later the holder is killed while a worker of that
other service is cut off. See claim.txt."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab-2"))
import lab  # noqa: E402

JOBS, CUT_S = 10, 5.5


async def play(site):
    site.queues = {"qa": "pa"}
    site.fate = lambda task, run: ("done", 1.0 if task.split(".")[2] == "0" else 12.0)
    jobs = [site.new_job("qa", "t1", [{"count": 2, "cpu": 500}, {"count": 3, "cpu": 500,
                                                                "after": [0]}])
            for _ in range(JOBS)]
    for job in jobs:
        await site.submit(job)
    site.note(f"{len(jobs)} jobs accepted on qa, which runs on pa")
    site.route("qa", "pb")
    await asyncio.sleep(3.5)
    site.note("runs on the workers: " + ", ".join(
        f"{u.pool} {len(u.runs)}" for u in site.upstreams))
    site.route("qa", "pa")
    await asyncio.sleep(3)
    holder = site.by_name[site.giver]
    if lab.TROUBLE:
        worker = max(site.upstreams, key=lambda u: len(u.runs))
        site.note(f"{worker.id} of {worker.pool}, with {len(worker.runs)} runs, is cut off; "
                  f"{holder.name}, which gives the orders, is killed")
        cut = site.cut(worker)
        site.kill(holder)
        await asyncio.sleep(0.5)
        await holder.start()
        await asyncio.sleep(CUT_S - 0.5)
        site.network.stop(cut)
        site.note("the worker is reached again")
    until, states = time.monotonic() + 40, {}
    while time.monotonic() < until and len(states) < len(jobs):
        for job in jobs:
            if job.id not in states:
                daemon = next(d for d in site.daemons if d is not holder)
                _, state = await site.callers.call(daemon, "GET", job)
                if state == "completed":
                    states[job.id] = state
        await asyncio.sleep(0.5)
    twice = [text for text, _ in site.checks.violations if text.startswith("TWICE")]
    for text in twice[:10]:
        site.note(text)
    site.note(f"{len(states)} of {len(jobs)} jobs are shown as completed; rule TWICE was broken "
              f"{len(twice)} times")
    return 1 if twice else 0 if len(states) == len(jobs) else 2


lab.main(play, upstreams=16, pool_of=lambda index: "pa" if index % 2 else "pb")
