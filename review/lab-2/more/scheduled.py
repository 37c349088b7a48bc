"""A scheduled job with overlapping occurrences while all daemons are killed."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lab  # noqa: E402
from links import Disturbance  # noqa: E402

JOBS, OCCURRENCES, INTERVAL_MS, DOWN_S = 12, 4, 500, 2.0
LATER_S = 3.0


async def lose_power(site):
    """All machines lose power; that of the holder is back first."""
    first = site.by_name[site.giver]
    site.note(f"all machines lose power; {first.name} gave the orders")
    dark = Disturbance(matches=lambda source, target: target in site.by_name and
                       target != first.name, hold=(True, True))
    site.network.start(dark)
    for daemon in site.daemons:
        site.kill(daemon)
    await asyncio.sleep(DOWN_S)
    await first.start()
    site.note(f"the machine of {first.name} is back")
    await asyncio.sleep(LATER_S)
    site.network.stop(dark)
    for daemon in site.daemons:
        if daemon is not first:
            await daemon.start()
    site.note("the other machines are back")


async def play(site):
    # The second occurrence takes longer than the others.
    site.fate = lambda task, run: ("done", 5.0 if task.split(".")[1] == "1" else 0.3)
    jobs = [site.new_job("qa", "t1", [{"count": 1, "cpu": 500}], {
        "run-count": OCCURRENCES, "initial-delay-ms": int(time.time() * 1000) + 500,
        "interval-ms": INTERVAL_MS}) for _ in range(JOBS)]
    for job in jobs:
        await site.submit(job)
    site.note(f"{JOBS} jobs of {OCCURRENCES} occurrences accepted")
    await asyncio.sleep(4.5)
    for job in jobs:
        _, state = await site.callers.call(site.daemons[0], "GET", job)
        left = sorted(n for n in job.task_names() if not site.checks.settled(n).done)
        site.note(f"{job.id} is shown as {state}; not done yet: {left}")
    if lab.TROUBLE:
        await lose_power(site)
    ended, limit = None, time.monotonic() + 45
    states = {}
    while time.monotonic() < limit:
        await asyncio.sleep(1)
        if ended is None and all(site.checks.settled(n).done for j in jobs for n in j.task_names()):
            ended = time.monotonic()
            site.note("all tasks of all jobs have ended done")
        for job in jobs:
            _, states[job.id] = await site.callers.call(site.daemons[0], "GET", job)
        if ended and all(state == "completed" for state in states.values()):
            site.note("all jobs are shown as completed")
            return 0
    site.note(f"states at the end: {states}")
    return 1 if ended and time.monotonic() - ended > 30 else 2


lab.main(play)
