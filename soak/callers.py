"""Callers: they hand jobs in, ask for states, cancel, and try keys that are not valid."""

import asyncio
import random
import time

FOREIGN_KEY = "never-issued"
REJECTED = (401, 403, 404, 429, 503)
UNKNOWN = 0  # The outcome of an attempt that had no complete answer.


class Job:
    def __init__(self, site, rng):
        self.id = f"{rng.getrandbits(64):016x}"
        self.queue, self.tenant = rng.choice(sorted(site.queues)), rng.choice(sorted(site.tenants))
        self.path, self.spec = f"/{self.queue}/{self.id}", f"payload of {self.id}"
        self.steps = [{"count": rng.randint(1, 4), "cpu": rng.choice([250, 500, 1000]),
                       "mem-mb": 128, "checkpointing": rng.random() < 0.3,
                       "estimate-ms": rng.choice([rng.randint(200, 2500)] * 9 + [9000]),
                       "after": [rng.randrange(index)] if index else []}
                      for index in range(rng.choice([1, 1, 2, 3]))]
        if len(self.steps) == 1 and rng.random() < 0.2:
            self.steps[0] |= {"long-running": True, "cpu": 250}
        self.lasting = "long-running" in self.steps[0]
        self.attempts = []  # status of each attempt to hand it in
        self.accepted_at = self.cancel_sent = self.cancel_acked = None
        self.final_at = None
        self.idle_since = {}  # task -> since when it could run and does not

    def body(self):
        steps = [{k: v for k, v in step.items() if v} for step in self.steps]
        return {"spec": self.spec, "steps": steps}

    def all_rejected(self):
        return bool(self.attempts) and all(status in REJECTED for status in self.attempts)

    def task_names(self, steps=None):
        return [f"{self.id}.0.{number}.{index}" for number, step in enumerate(self.steps)
                if steps is None or number in steps for index in range(step["count"])]

    def tasks_before(self, task):
        return self.task_names(self.steps[int(task.split(".")[2])]["after"])


class Callers:
    def __init__(self, site):
        self.site, self.checks = site, site.checks

    async def run(self, index):
        """One caller; it keeps its connection until that breaks."""
        site, rng = self.site, random.Random(self.site.args.seed * 7919 + index)
        connection = {}
        while not site.draining:
            await asyncio.sleep(rng.expovariate(0.125 * site.args.upstreams))
            kind, recent = rng.random(), list(site.jobs.values())[-30:]
            if kind < 0.55 or not recent:
                job = Job(site, rng)
                site.jobs[job.id] = job
                await self.submit(job, rng, connection)
            elif kind < 0.63:
                await self.cancel(rng.choice(recent), rng)
            elif kind < 0.72:
                await self.try_key(rng)
            else:
                await self.ask(rng.choice(recent), self.pick_daemon(rng))

    def pick_daemon(self, rng):
        ready = [daemon for daemon in self.site.daemons if daemon.ready]
        enough = 2 * len(ready) >= len(self.site.daemons)
        return rng.choice(ready if enough else self.site.daemons)

    async def call(self, daemon, method, job, key=None, body=None, connection=None):
        path = job if isinstance(job, str) else job.path
        status, document = await daemon.call(
            method, path, key or self.site.key_of(job), body, connection)
        self.site.record("call", method=method, path=path, daemon=daemon.name, status=status,
                         state=document.get("state"))
        return status, document.get("state")

    async def submit(self, job, rng, connection):
        for _ in range(12):
            daemon = connection.get("daemon") or self.pick_daemon(rng)
            attempt, sent = len(job.attempts), time.monotonic()
            job.attempts.append(UNKNOWN)
            status, _ = await self.call(daemon, "POST", job, None, job.body(), connection)
            job.attempts[attempt] = status or UNKNOWN
            self.checks.submit_answered(status, daemon.name, sent)
            if status == 200:
                job.accepted_at = job.accepted_at or time.monotonic()
                if rng.random() < 0.1:  # Another request with this id arrives late.
                    job.attempts.append(UNKNOWN)
                    await self.call(self.pick_daemon(rng), "POST", job, None, job.body())
                return
            if self.site.draining or (status in (429, 503) and rng.random() < 0.2):
                return
            await asyncio.sleep(rng.uniform(0.1, 0.6))

    async def cancel(self, job, rng):
        if not job.final_at:
            job.cancel_sent = job.cancel_sent or time.monotonic()
            status, _ = await self.call(self.pick_daemon(rng), "DELETE", job)
            if status == 200:
                job.cancel_acked = job.cancel_acked or time.monotonic()

    async def ask(self, job, daemon):
        sent = time.monotonic()
        status, state = await self.call(daemon, "GET", job)
        if status == 200:
            self.checks.state_shown(job, state, daemon.name)
        elif status == 410:
            self.checks.gone_shown(job, daemon.name, sent)
        return status

    async def try_key(self, rng):
        key, daemon = rng.choice([*self.site.withdrawn, FOREIGN_KEY]), self.pick_daemon(rng)
        sent, queue = time.monotonic(), rng.choice(sorted(self.site.queues))
        status, _ = await self.call(daemon, "GET", f"/{queue}/", key)
        self.checks.key_used(key, daemon.name, status, sent)
