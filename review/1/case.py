"""The daemon that gives the orders stands still for 1.8 s, several times, while clients ask for
states. Processes of other daemons end by themselves."""

import asyncio
import base64
import collections
import json
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab"))
from lab import Job, Lab, TROUBLE, Worker, run_case  # noqa: E402

FREEZE_S, EVERY_S, TIMES = 1.8, 2.3, 42
DAEMONS = 8
CLIENTS, ASK_EVERY_S = 6, 0.12  # Of each daemon.
SUBMIT_EVERY_S = 0.15
STEPS = [{"count": 3, "cpu": 500, "mem-mb": 64, "estimate-ms": 600, "work_s": 0.6}]
ENDS, MACHINES = 3, 2  # Rule Fault: three times, on two machines at least.


def make():
    lab = Lab(daemons=DAEMONS)
    lab.own_ends, lab.asked = [], collections.Counter()
    return lab


def giver(lab):
    """The daemon that has last written to the store under a condition, as its row says."""
    row = lab.table.rows.get(("ownership", "o", "site"))
    name = json.loads(base64.b64decode(row[1]))["holder"] if row else ""
    return next((d for d in lab.daemons if d.name == name), None)


async def keep_running(lab, daemon):
    """A process that ends is restarted after a short delay."""
    while True:
        code = await daemon.process.wait()
        lab.own_ends.append((daemon.name, code))
        lab.record("own_end", daemon=daemon.name, code=code)
        await asyncio.sleep(0.5)
        await daemon.start()


async def ask(lab, daemon, jobs):
    """A client on one connection that asks for the states of jobs, and for a queue's count."""
    kept = {}
    try:
        while True:
            await asyncio.sleep(ASK_EVERY_S * random.uniform(0.5, 1.5))
            if jobs:
                path = "/weigh/" if random.random() < 0.2 else random.choice(jobs[-40:]).path
                status, _ = await daemon.call("GET", path, kept=kept)
                lab.asked[status] += 1
    finally:
        daemon.hang_up(kept)


async def submit(lab, jobs):
    while True:
        await asyncio.sleep(SUBMIT_EVERY_S)
        job = Job("weigh", STEPS)
        jobs.append(job)
        lab.spawn(lab.submit(job))


async def play(lab):
    workers = [Worker(lab, i, lab.zones[i % 3], "intake") for i in range(4)]
    await lab.open({"weigh": ("intake", 2)}, workers)
    jobs = []
    for daemon in lab.daemons:
        lab.spawn(keep_running(lab, daemon))
        for _ in range(CLIENTS):
            lab.spawn(ask(lab, daemon, jobs))
    lab.spawn(submit(lab, jobs))
    for _ in range(TIMES):
        frozen = giver(lab) if TROUBLE else None
        if frozen:
            lab.record("trouble", what="freeze", daemon=frozen.name, s=FREEZE_S)
            frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if frozen:
            frozen.signal(signal.SIGCONT)
        await asyncio.sleep(EVERY_S - FREEZE_S)
    await asyncio.sleep(2.0)
    ends = collections.Counter(name for name, _ in lab.own_ends)
    codes = collections.Counter(code for _, code in lab.own_ends)
    text = (f"{len(lab.own_ends)} processes ended by themselves, by machine {dict(ends)}, "
            f"by code {dict(codes)}; states asked, by status {dict(lab.asked)}")
    return sum(number >= ENDS for number in ends.values()) >= MACHINES, text


run_case(__file__, make, play)
