"""The holder is killed while more than 500 tasks end on a worker. See claim.txt."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab-2"))
import lab  # noqa: E402

JOBS, TASKS, CPU, MEM = 72, 20, 25, 48  # The workers have 16 cores: 640 such tasks each.
KILL_AT, ENDS_WITHIN_S = 9.0, 1.0


async def play(site):
    rng, begun = random.Random(7), time.monotonic()
    # All tasks end in the second after KILL_AT.
    site.fate = lambda task, run: ("done", begun + KILL_AT + 0.1 - time.monotonic() +
                                   rng.uniform(0, ENDS_WITHIN_S)
                                   if time.monotonic() < begun + KILL_AT else 0.5)
    jobs = [site.new_job("qa", "t1", [{"count": TASKS, "cpu": CPU, "mem-mb": MEM, "estimate-ms": 4000}])
            for _ in range(JOBS)]
    for job in jobs:
        site.spawn(site.submit(job))
        await asyncio.sleep(0.08)
    await asyncio.sleep(max(0.0, begun + KILL_AT - time.monotonic()))
    site.note("tasks at work on the workers: " + ", ".join(
        f"{len(u.runs)}" for u in site.upstreams))
    holder = site.by_name[site.giver]
    if lab.TROUBLE:
        site.note(f"{holder.name}, which gives the orders, is killed")
        site.kill(holder)
        await asyncio.sleep(1.3)
        site.note("ends not taken note of on the workers: " + ", ".join(
            f"{len(u.ends)}" for u in site.upstreams))
        await asyncio.sleep(1.7)
        await holder.start()
        site.note(f"{holder.name} starts again")
    until = time.monotonic() + 40
    states = {}
    while time.monotonic() < until and len(states) < len(jobs):
        for job in jobs:
            if job.id not in states:
                daemon = next(d for d in site.daemons if d is not holder)
                _, state = await site.callers.call(daemon, "GET", job)
                if state == "completed":
                    states[job.id] = state
        await asyncio.sleep(0.5)
    again = {name for job in jobs for name in job.task_names()
             if len(site.checks.tasks[name].starts) > 1}
    site.note(f"{len(states)} of {len(jobs)} jobs are shown as completed; {len(again)} tasks were "
              "started more than once")
    twice = [text for text, _ in site.checks.violations if text.startswith("TWICE")]
    for text in twice[:10]:
        site.note(text)
    site.note(f"rule TWICE was broken {len(twice)} times")
    return 1 if twice else 0 if len(states) == len(jobs) else 2


lab.main(play, upstreams=4)
