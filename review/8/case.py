"""A worker crashes silently and starts again under its id, accepts a start, and is cut off; the
daemon that gave the start is killed. See claim.txt."""

import asyncio
import base64
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab"))
from lab import BOUNDS, HEARTBEAT_S, Job, Lab, TROUBLE, Worker, run_case  # noqa: E402

# Of the site fleece-ops-grown, where they differ from fleece-ops.
BOUNDS.update({
    "contact-ms": 4000, "ack-ms": 6000, "catch-up-s": 6, "drain-ms": 3000, "config-apply-ms": 3000,
    "max-skew-ms": 6000, "recovery-s": 15, "stop-timeout-ms": 400, "gang-timeout-ms": 4000,
    "cancel_ms": 4000, "far-factor": 1.5, "checkpoint-s": 2, "restore-ms": 600, "notice-ms": 5500,
    "interference-ms": 4500})

LABEL = "b"
STEPS = [{"count": 1, "cpu": 1000, "mem-mb": 512, "estimate-ms": 30000, "work_s": 30.0,
          "node-selector": LABEL}]
DOWN_S, CUT_S, BACK_S = 0.5, 5.5, 0.5


def make():
    lab = Lab()
    lab.twice = []
    started = lab.started

    def watch(worker, run):
        for entry in lab.history.get(run.task, []):
            if entry[3] is None:
                lab.twice.append((lab.now(), run.task, run.number, entry[2].number))
                lab.record("TWICE", task=run.task, run=run.number, on=worker.id,
                           beside=entry[2].number, at=entry[1].id)
        started(worker, run)
    lab.started = watch
    return lab


def holder_of(lab):
    _, value = lab.table.rows["ownership", "o", "site"]
    name = json.loads(base64.b64decode(value))["holder"]
    return next(daemon for daemon in lab.daemons if daemon.name == name)


async def play(lab):
    workers = [Worker(lab, i, lab.zones[i % 3], "intake") for i in range(6)]
    fresh = Worker(lab, 8, "superior", "intake", labels=[LABEL, "r2"])
    other = Worker(lab, 9, "huron", "intake", labels=[LABEL, "r3"])
    await lab.open({"weigh": ("intake", 4)}, workers)
    workers.append(fresh)
    await fresh.begin()
    await asyncio.sleep(3.0)
    holder = holder_of(lab)
    if TROUBLE:
        lab.record("trouble", what="a worker crashes silently and starts again under its id",
                   worker=fresh.id)
        fresh.server.silence()
        fresh.state = "down"
        await asyncio.sleep(DOWN_S)
        await fresh.begin(same_id=True)
        fresh.registers_at = lab.now() + HEARTBEAT_S
    job = Job("weigh", STEPS)
    if not await lab.submit(job):
        raise RuntimeError("the job is not accepted")
    for _ in range(100):
        if fresh.runs:
            break
        await asyncio.sleep(0.01)
    else:
        raise RuntimeError("the worker got no start")
    if TROUBLE:
        await asyncio.sleep(0.1)
        lab.record("trouble", what="the worker is cut off and runs on", s=CUT_S)
        fresh.server.cut_off(True)
        fresh.registers_at = lab.now() + CUT_S
        lab.record("trouble", what="the daemon that gives the orders is killed", daemon=holder.name)
        holder.signal(signal.SIGKILL)
    workers.append(other)
    await other.begin()
    if TROUBLE:
        await asyncio.sleep(BACK_S)
        await holder.start()
    await asyncio.sleep(CUT_S - BACK_S)
    if TROUBLE:
        fresh.server.cut_off(False)
        lab.record("trouble.end", what="the worker is reached again")
    await asyncio.sleep(6.0)
    text = f"{len(lab.twice)} times a task was started while another run of it was at work (TWICE)"
    return bool(lab.twice), text


run_case(__file__, make, play)
