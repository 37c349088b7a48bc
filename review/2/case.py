"""The table is down for 1.5 s while rows of old jobs are removed. Jobs that were completed run
again."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab"))
from lab import BOUNDS, Job, Lab, TROUBLE, Worker, run_case  # noqa: E402

# 120 on the sites; shortened so that the removal falls into the 120 s of a case. Jobs are removed
# after twice this time, in rounds of 20 s.
BOUNDS["status_s"] = 12
OUTAGE_S, JOBS = 1.5, 40
STEPS = [{"count": 2, "cpu": 500, "mem-mb": 64, "estimate-ms": 300, "work_s": 0.3}]


def make():
    return Lab()


async def outage(lab):
    lab.record("trouble", what="the table is down", s=OUTAGE_S)
    lab.table.away = True
    await asyncio.sleep(OUTAGE_S)
    lab.table.away = False
    lab.record("trouble.end", what="the table is back")


async def play(lab):
    workers = [Worker(lab, i, lab.zones[i % 3], "intake") for i in range(4)]
    await lab.open({"weigh": ("intake", 2)}, workers)
    jobs = [Job("weigh", STEPS) for _ in range(JOBS)]
    await asyncio.gather(*[lab.submit(job) for job in jobs])
    await asyncio.sleep(4.0)
    for job in jobs:
        if await lab.ask(job) != "completed":
            raise RuntimeError("the jobs did not complete before the disruption")
    unacked = sum(len(worker.ends) for worker in workers)
    if unacked:
        raise RuntimeError("not all ends are taken note of before the disruption")
    removing = asyncio.Event()

    def on_deletes(deletes):
        if not removing.is_set():
            removing.set()
            lab.record("removal.begins", first=deletes[0]["table-name"])
            if TROUBLE:
                lab.spawn(outage(lab))
    lab.table.on_deletes = on_deletes
    await asyncio.wait_for(removing.wait(), 70)
    await asyncio.sleep(15.0)
    left = sum(key[0] == "jobs" for key in lab.table.rows)
    progress = sum(key[0] == "progress" for key in lab.table.rows)
    lab.record("rows_left", jobs=left, progress=progress)
    twice = [task for job in jobs for task in job.tasks() if any(
        before[4] == "done" and before[3] < after[0]
        for i, before in enumerate(lab.history[task]) for after in lab.history[task][i + 1:])]
    for task in twice:
        lab.record("TWICE", task=task, runs=[(round(e[0], 1), e[2].number, e[4])
                                             for e in lab.history[task]])
    text = (f"{left} rows of jobs and {progress} of progress were left after the removal; "
            f"{len(twice)} tasks of {len({t.split('.')[0] for t in twice})} completed jobs were "
            "started again after an end done that was taken note of (TWICE)")
    return bool(twice), text


run_case(__file__, make, play)
