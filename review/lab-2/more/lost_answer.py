"""A worker crashes silently and starts again under its id, accepts a start whose answer is lost,
and is cut off with its zone (entry 39 of KNOWN-RED.txt)."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "lab"))
from lab import HEARTBEAT_S, Job, Lab, TROUBLE, Worker, run_case  # noqa: E402

LABEL = "b"
STEPS = [{"count": 1, "cpu": 1000, "mem-mb": 512, "estimate-ms": 30000, "work_s": 30.0,
          "node-selector": LABEL}]
DOWN_S, CUT_S = 0.5, 6.3


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


async def play(lab):
    workers = [Worker(lab, i, lab.zones[i % 3], "intake") for i in range(6)]
    fresh = Worker(lab, 8, "superior", "intake", labels=[LABEL, "r2"])
    other = Worker(lab, 9, "huron", "intake", labels=[LABEL, "r3"])
    await lab.open({"weigh": ("intake", 4)}, workers)
    workers.append(fresh)
    await fresh.begin()
    await asyncio.sleep(3.0)
    if TROUBLE:
        lab.record("trouble", what="a worker crashes silently and starts again under its id",
                   worker=fresh.id)
        fresh.server.silence()
        fresh.state = "down"
        await asyncio.sleep(DOWN_S)
        await fresh.begin(same_id=True)
        fresh.registers_at = lab.now() + HEARTBEAT_S
    if TROUBLE:
        handle = fresh._handle

        async def lose(method, path, query, headers, body):
            answer = await handle(method, path, query, headers, body)
            if path == "/run-start":
                lab.record("trouble", what="the answer to a start is lost")
                await asyncio.sleep(20)  # The client has given up long before.
            return answer
        fresh.server.handle = lose
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
        lab.record("trouble", what="the zone of the worker is cut off", s=CUT_S)
        fresh.server.cut_off(True)
        fresh.registers_at = lab.now() + CUT_S
    workers.append(other)
    await other.begin()
    await asyncio.sleep(CUT_S)
    if TROUBLE:
        fresh.server.cut_off(False)
        lab.record("trouble.end", what="the worker is reached again")
    await asyncio.sleep(6.0)
    text = f"{len(lab.twice)} times a task was started while another run of it was at work (TWICE)"
    return bool(lab.twice), text


run_case(__file__, make, play)
