"""A small site for the cases of the second review: the deployed daemons, and the stand-ins of
the project's own soak (soak/*.py). The table also refuses what is larger than its settings
allow, as DEPLOY.md (platform.row-bytes) and PROTOCOL.md say."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time
from types import SimpleNamespace

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "soak"))

import soak  # noqa: E402
from callers import Job  # noqa: E402
from links import Disturbance, Proxy  # noqa: E402
from standins import HttpServer, Table, Upstream  # noqa: E402

PROGRAM = os.path.join(ROOT, "target/packages/daemon/sardinerilld")
ARGUMENTS = ["--platform", "--policy", "deploy/policy.yaml"]
ROW_BYTES, CALL_BYTES = 65536, 1000000
LIMIT_S = 112  # Of a whole run.
# Workers and bounds of the site fleece-ops-grown, as `fleetbench wire` prints the latter.
WORKER = {"cpu": 16000, "mem-mb": 32768, "gpu": 0}
soak.BOUNDS.update({
    "contact-ms": 4000, "ack-ms": 6000, "drain-ms": 3000, "config-apply-ms": 3000,
    "max-skew-ms": 6000, "max-hold-ms": 10000, "gang-timeout-ms": 4000, "cancel_ms": 4000,
    "checkpoint-s": 2, "restore-ms": 600, "notice-ms": 5500})
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class LimitedTable(Table):
    """Refuses values of more than row-bytes and calls of more than 1 MB."""

    refused = 0

    async def _transact(self, body, row):
        too_large = any(len(base64.b64decode(entry["value"])) > ROW_BYTES
                        for entry in body.get("writes", []))
        if too_large or len(json.dumps(body)) > CALL_BYTES:
            self.refused += 1
            return 400, {}
        return await super()._transact(body, row)


class Advisor:
    """The service at `advisor-address`, as one daemon sees it: it handles one call at a time, in
    turn, and answers 429 while 32 calls wait."""

    MAX_WAITING = 32

    def __init__(self, site):
        self.site, self.waiting, self.lock = site, 0, asyncio.Lock()
        self.answered = self.refused = 0

    def server(self):
        async def handle(path, query, headers, body):
            if path != "/advise":
                return 404, {}
            if self.waiting >= self.MAX_WAITING:
                self.refused += 1
                return 429, {}
            self.waiting += 1
            try:
                async with self.lock:
                    self.waiting -= 1
                    plan = self.site.advice
                    await asyncio.sleep(
                        (plan["decision-ms"] + plan["period-ms"] * len(body["workers"])) / 1e3)
            except asyncio.CancelledError:
                self.waiting -= not self.lock.locked()
                raise
            self.answered += 1
            return 200, {"admitted": self.site.tickets_for(body["step"], body["workers"]),
                         "validity-ms": plan["validity-ms"]}
        return HttpServer(handle)


class LabUpstream(Upstream):
    """Rejects starts without a valid ticket on queues with an advisor."""

    def _start(self, body, source):
        job = self.site.jobs.get(body["task"].split(".")[0])
        if job and job.queue in self.site.advised:
            ticket = self.site.tickets.get(body.get("ticket"))
            step = body["task"].rpartition(".")[0]
            if not ticket or ticket[:3] != (step, self.id, self.born) or \
                    time.monotonic() > ticket[3]:
                return 409, "ticket"
        return super()._start(body, source)


class LabDaemon(soak.Daemon):
    async def open(self):
        await super().open()
        self.advisor = Advisor(self.site)
        self.advisor_address = "%s:%d" % await self.advisor.server().open()

    def write_settings(self, extra=""):
        return super().write_settings(
            f"advisor-address={self.advisor_address}\n"
            f"platform.row-bytes={ROW_BYTES}\nplatform.writes-per-s=1200\n"
            "platform.reads-per-s=6000\nplatform.history-s=20\n" + extra)

    async def start(self):
        path = self.write_settings()
        self.first_start, self.expected_end = False, False
        with open(f"{self.site.out}/{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, *ARGUMENTS, stdout=log, stderr=log, cwd=ROOT, start_new_session=True,
                env={"SARDINERILL_NODE_FILE": path})
        self.started_at = self.disturbed_until = time.monotonic()
        self.site.record("daemon.start", daemon=self.name, pid=self.process.pid)
        self.site.spawn(self.watch(self.process))


class LabJob(Job):
    """A job with given steps."""

    def __init__(self, site, rng, queue, tenant, steps, runs=None):
        super().__init__(site, rng)
        self.runs = runs or {}
        self.queue, self.tenant = queue, tenant
        self.path, self.spec = f"/{queue}/{self.id}", f"payload of {self.id}"
        self.steps = [{"mem-mb": 64, "checkpointing": False, "estimate-ms": 300, "after": []} | step
                      for step in steps]
        self.lasting = any("long-running" in step for step in self.steps)

    def body(self):
        return super().body() | self.runs

    def task_names(self, steps=None):
        return [f"{self.id}.{k}.{number}.{index}" for k in range(self.runs.get("run-count", 1))
                for number, step in enumerate(self.steps)
                if steps is None or number in steps for index in range(step["count"])]

    def tasks_before(self, task):
        return [name for name in self.task_names(self.steps[int(task.split(".")[2])]["after"])
                if name.split(".")[1] == task.split(".")[1]]


class Lab(soak.Site):
    """Several daemons and upstreams without the soak's own faults and callers."""

    def __init__(self, out, daemons=3, upstreams=6, seed=1,
                 advised=(), pool_of=lambda index: "pa"):
        self.record_file = None
        super().__init__(SimpleNamespace(seed=seed, seconds=0, daemons=daemons, upstreams=upstreams,
                                         build="unused", faults=None, keep=out), out)
        self.table = LimitedTable(random.Random(seed + 1), soak.TXN_S)
        self.daemons = [LabDaemon(self, index + 1) for index in range(daemons)]
        self.by_name = {d.name: d for d in self.daemons}
        self.tenants = {f"t{i}": {"keys": [f"key-{i}"], "cap": {"cpu": 0, "mem-mb": 0, "gpu": 0}}
                        for i in range(2)}
        self.pools = {"pa": True, "pb": True}
        self.advised, self.tickets = set(advised), {}  # queues with an advisor; tickets given out
        self.advice = {"decision-ms": 60, "period-ms": 10, "validity-ms": 3000}
        self.admits = lambda step, upstream: True
        self.upstreams = [LabUpstream(i, soak.ZONES[i % len(soak.ZONES)], pool_of(i),
                                      random.Random(seed * 1000 + i), self)
                          for i in range(upstreams)]
        self.vm_api.upstreams = self.upstreams
        self.zone_of = {d.name: d.zone for d in self.daemons} | {
            u.machine: u.zone for u in self.upstreams}
        for upstream in self.upstreams:
            upstream.capacity = dict(WORKER)
        self.random = random.Random(seed)

    def tickets_for(self, step, workers):
        admitted = []
        for upstream in self.upstreams:
            if upstream.state == "up" and upstream.id in workers and self.admits(step, upstream):
                ticket = f"{self.random.getrandbits(64):016x}"
                self.tickets[ticket] = (step, upstream.id, upstream.born, time.monotonic() +
                                        self.advice["validity-ms"] / 1e3)
                admitted.append([upstream.id, ticket])
        return admitted

    def write_configuration(self):
        super().write_configuration()
        version, value = self.table.rows["op", "", "config"]
        document = json.loads(base64.b64decode(value))
        for route in document["routes"]:
            if route["name"] in self.advised:
                route["advisor-address"] = self.advice
        self.table.put("op", "config", document | {"version": self.version + 1})
        self.version += 1

    def route(self, queue, pool):
        """The operator sends the queue's tasks to another service."""
        self.queues = self.queues | {queue: pool}
        self.services_of[queue].add(pool)
        self.write_configuration()
        self.note(f"configuration {self.version}: queue {queue} runs on {pool}")

    def cut(self, upstream):
        """The worker is cut off from all machines, and runs on."""
        cut = Disturbance(matches=lambda source, target: upstream.machine in (source, target),
                          hold=(True, True))
        self.network.start(cut)
        return cut

    def kill(self, daemon):
        daemon.signal(signal.SIGKILL)

    def has_room(self, job, upstreams=None):
        """Capacity for a task twice over, and under half of the service in use."""
        ups = [u for u in upstreams or self.upstreams
               if u.state == "up" and u.pool == self.queues[job.queue]]
        free = [u.capacity["cpu"] - sum(r.step["cpu"] for r in u.runs.values()) for u in ups]
        return max(free, default=0) >= 2 * max(s["cpu"] for s in job.steps) and \
            2 * sum(free) > sum(u.capacity["cpu"] for u in ups)

    def note(self, text):
        """Writes a line for people to the record of the case."""
        line = f"{time.monotonic() - self.begun:8.3f} {text}"
        print(line, flush=True)
        self.record("note", text=text)

    async def open(self):
        self.write_configuration()
        for number, upstream in enumerate(self.upstreams):
            upstream.proxy = Proxy(self.network, upstream.machine, await upstream.server.open(),
                                   f"127.{self.net}.{150 + number}")
            await upstream.begin()
        self.spawn(self.watch_lag())
        self.spawn(self.registry())
        for daemon in self.daemons:
            await daemon.open()
        for daemon in self.daemons:
            await daemon.start()
            self.spawn(daemon.poll_readiness())

    async def wait_until_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all(daemon.ready for daemon in self.daemons) and self.giver:
                return True
            await asyncio.sleep(0.1)
        return False

    def new_job(self, queue, tenant, steps, runs=None):
        job = LabJob(self, self.random, queue, tenant, steps, runs)
        self.jobs[job.id] = job
        return job

    async def idle_jobs(self, jobs, until, room=None):
        """Rule LOST at the end: the jobs that had nothing running for 3 s although a task's turn
        had come and there was room. Returns them and those that are not shown as ended."""
        since, idle, states = {}, {}, {}
        while time.monotonic() < until:
            for job in jobs:
                if states.get(job.id) == "completed":
                    continue
                _, states[job.id] = await self.callers.call(self.daemons[0], "GET", job)
                tasks = [self.checks.settled(name) for name in job.task_names()]
                waits = not any(t.active for t in tasks) and not all(t.done for t in tasks)
                if not waits or not (room or self.has_room)(job):
                    since.pop(job.id, None)
                elif time.monotonic() - since.setdefault(job.id, time.monotonic()) > 3.0:
                    idle[job.id] = job
            await asyncio.sleep(0.3)
        return list(idle.values()), [job for job in jobs if states.get(job.id) != "completed"]

    async def submit(self, job, daemon=None, tries=12):
        """A caller as the pages describe it: after no answer, 502 or 504 it asks again anywhere."""
        for _ in range(tries):
            target = daemon or self.random.choice([d for d in self.daemons if d.ready] or
                                                  self.daemons)
            status, _ = await self.callers.call(target, "POST", job, None, job.body())
            job.attempts.append(status or 0)
            if status == 200:
                job.accepted_at = job.accepted_at or time.monotonic()
                return True
            await asyncio.sleep(0.3)
        return False


async def run_case(play, **options):
    """Runs `play(lab)`, which returns the exit status, and keeps the record in the case's folder."""
    folder = os.getcwd()
    if not os.path.exists(PROGRAM):
        print("the daemon has not been built")
        return 2
    out = tempfile.mkdtemp(prefix="review-")
    lab, status = Lab(out, **options), 2
    try:
        async with asyncio.timeout(LIMIT_S):
            await lab.open()
            if await lab.wait_until_ready():
                status = await play(lab)
    except Exception as error:  # pylint: disable=broad-except
        print(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        await lab.close()
        shutil.copyfile(f"{out}/events.log", f"{folder}/record.txt")
        if os.environ.get("KEEP"):
            print("logs in", out)
        else:
            shutil.rmtree(out)
    print({0: "held", 1: "BROKEN", 2: "could not run"}[status])
    return status


def main(play, **options):
    def interrupt(*_):
        raise KeyboardInterrupt  # So that all processes are ended.

    signal.signal(signal.SIGTERM, interrupt)
    sys.exit(asyncio.run(run_case(play, **options)))
