"""A lasting job whose tasks keep failing, beside ordinary jobs. See claim.txt."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab-2"))
import lab  # noqa: E402

LASTING_TASKS = 24
TRAFFIC_S = 80.0


def fate_of(site, failing):
    ordinary = type(site).fate

    def fate(task, run):
        job = site.jobs[task.split(".")[0]]
        if job is failing["job"]:
            return ("failed", 0.02) if lab.TROUBLE else ("failed", 1000.0)
        return "done", 0.3
    return fate


async def play(site):
    failing = {"job": None}
    site.fate = fate_of(site, failing)
    failing["job"] = job = site.new_job("qa", "t0", [
        {"count": LASTING_TASKS, "cpu": 100, "long-running": True}])
    await site.submit(job)
    site.note(f"lasting job {job.id} accepted; its tasks {'fail' if lab.TROUBLE else 'work'}")
    begun, ordinary, refused_at, shown = time.monotonic(), [], None, 0.0
    while time.monotonic() < begun + TRAFFIC_S:
        each = site.new_job("qa", "t1", [{"count": 2, "cpu": 500}, {"count": 2, "cpu": 500,
                                                                   "after": [0]}])
        if await site.submit(each, tries=3):
            ordinary.append(each)
        if site.table.refused and refused_at is None:
            refused_at = time.monotonic()
            site.note("the table refuses a row of more than row-bytes for the first time")
        if time.monotonic() > shown + 5:
            shown = time.monotonic()
            sizes = [len(v) * 3 // 4 for k, (_, v) in site.table.rows.items()
                     if k[0] == "progress" and k[2] == job.id]
            ends = sum(len(u.ends) for u in site.upstreams)
            site.note(f"progress row of the lasting job: {max(sizes, default=0)} bytes; ends not "
                      f"taken note of: {ends}; calls refused: {site.table.refused}; failed runs: "
                      f"{site.checks.counts['ends failed']}")
        await asyncio.sleep(0.25)
    over = time.monotonic()
    site.note(f"end of the traffic; {len(ordinary)} ordinary jobs accepted")
    await asyncio.sleep(site.bounds["finish_s"])
    broken, open_jobs = await site.idle_jobs(ordinary, over + site.bounds["finish_s"] + 6)
    site.note(f"{len(open_jobs)} of {len(ordinary)} accepted ordinary jobs are not shown as "
              f"completed {time.monotonic() - over:.0f} s after the end of the traffic")
    site.note(f"{len(broken)} of them have nothing running for over 3 s although the "
              "upstreams are nearly empty (rule LOST)")
    return 1 if broken else 0


lab.main(play)
