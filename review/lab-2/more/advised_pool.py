"""A queue whose policy allows each step on some workers of a large pool."""

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import lab  # noqa: E402

WORKERS, ADMITTED = 64, 3
TRAFFIC_S = 40.0


async def play(site):
    site.fate = lambda task, run: ("done", 0.3)
    site.advice = {"decision-ms": 20, "period-ms": 1, "validity-ms": 3000}
    machines = [u.machine for u in site.upstreams]

    def admitted(step):
        """The workers that the policy allows; it doesn't change."""
        return random.Random(f"policy {step}").sample(machines, ADMITTED)
    if lab.TROUBLE:
        site.admits = lambda step, upstream: upstream.machine in admitted(step)
    begun, jobs = time.monotonic(), []
    while time.monotonic() < begun + TRAFFIC_S:
        jobs.append(site.new_job("qa", "t1", [{"count": 2, "cpu": 500}]))
        site.spawn(site.submit(jobs[-1]))
        await asyncio.sleep(0.4)
    await asyncio.sleep(1)
    over, accepted = time.monotonic(), [job for job in jobs if job.accepted_at]
    site.note(f"end of the traffic; {len(accepted)} of {len(jobs)} jobs accepted")
    await asyncio.sleep(site.bounds["finish_s"])

    def room(job):
        allowed = [u for u in site.upstreams if u.machine in admitted(job.id + ".0.0")]
        return site.has_room(job, allowed if lab.TROUBLE else None)
    idle, unfinished = await site.idle_jobs(accepted, over + site.bounds["finish_s"] + 8, room)
    order = sorted(site.upstreams, key=lambda u: u.id)
    for job in idle:
        places = [number for number, u in enumerate(order, 1)
                  if u.machine in admitted(job.id + ".0.0")]
        site.note(f"{job.id} never ran; allowed on the workers at places {places} by id")
    site.note(f"{len(unfinished)} of {len(accepted)} accepted jobs are not shown as completed "
              f"{time.monotonic() - over:.0f} s after the end of the traffic; {len(idle)} of them "
              "have nothing running for over 3 s although the workers that may run them are empty "
              "(rule LOST)")
    return 1 if idle else 0


lab.main(play, upstreams=WORKERS, advised={"qa"})
