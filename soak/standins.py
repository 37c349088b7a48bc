"""Stand-ins for the table, the VM API and the upstreams, after the users' pages, in one process."""

import asyncio
import base64
import bisect
import json
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote, urlsplit

from links import reset_connection

NO_ANSWER = object()  # A handler returns it to break the connection.


class HttpServer:
    """Keep-alive HTTP/1.1 on 127.0.0.1; `handle(path, query, headers, body)` returns
    (status, document) or NO_ANSWER."""

    def __init__(self, handle, source_of=lambda address: None):
        self.handle, self.source_of = handle, source_of
        self.writers = set()

    async def open(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=4 << 20)
        return server.sockets[0].getsockname()[:2]

    def drop_connections(self):
        for writer in list(self.writers):
            reset_connection(writer.transport)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = {name.lower(): value.strip() for name, _, value in
                           (line.partition(":") for line in lines[1:] if line)}
                headers["source"] = self.source_of(writer.get_extra_info("peername"))
                size = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(size)) if size else {}
                url = urlsplit(lines[0].split(" ")[1])
                query = {name: values[0] for name, values in
                         parse_qs(url.query, keep_blank_values=True).items()}
                answer = await self.handle(unquote(url.path), query, headers, body)
                if answer is NO_ANSWER:
                    return
                data = json.dumps(answer[1]).encode()
                writer.write(f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            reset_connection(writer.transport)


class Table:
    """Rows with one version counter, conditional transactions and a feed."""

    def __init__(self, rng, txn_s):
        self.rng, self.txn_s = rng, txn_s
        self.version = self.history_start = 0
        self.rows = {}  # (table, part, key) -> (version, value in base64)
        self.changes = []  # (version, (table, part, key)), in order
        self.changed = asyncio.Event()
        self.partition_busy = {}
        # Faults; `away` is "refuse" (503), "silent" or empty.
        self.away, self.slow_s, self.lose_answers, self.apply_late = "", 0.0, 0.0, 0.0

    def apply(self, writes, deletes=()):
        self.version += 1
        for key, value in writes:
            self.rows[key] = (self.version, value)
        for key in deletes:
            self.rows.pop(key, None)
        self.changes += [(self.version, key) for key in [k for k, _ in writes] + list(deletes)]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, document):
        self.apply([((table, "", key), base64.b64encode(json.dumps(document).encode()).decode())])

    def forget_history(self):
        self.history_start = self.version
        self.changes.clear()

    def server_for(self, translate):
        """`translate` maps peer addresses in the values that a daemon reads."""
        def row(key):
            if key not in self.rows:
                return {"table-name": key[0], "part": key[1], "key": key[2], "deleted": True,
                        "row-version": self.version}
            version, value = self.rows[key]
            if key[0] in ("daemons", "ownership"):
                value = base64.b64encode(translate(base64.b64decode(value))).decode()
            return {"table-name": key[0], "part": key[1], "key": key[2], "value": value,
                    "row-version": version}

        async def handle(path, query, headers, body):
            while self.away == "silent":
                await asyncio.sleep(0.05)
            if self.away:
                return 503, {}
            await asyncio.sleep(self.slow_s * self.rng.uniform(0.3, 1.0))
            lost = self.rng.random() < self.lose_answers
            answer = await self._answer(path, query, body, row)
            if lost or answer is NO_ANSWER:
                return NO_ANSWER
            stamp = {"row-version": self.version, "now-ms": int(time.monotonic() * 1000)}
            return answer[0], answer[1] | stamp
        return HttpServer(handle)

    async def _answer(self, path, query, body, row):
        if path == "/rows-tx":
            return await self._transact(body, row)
        if path == "/rows-get":
            return self._read(query, row)
        if path == "/rows-feed":
            return await self._feed(query, row)
        if path == "/rows-parts":
            parts = {key[1] for key in self.rows if key[0] == query["table-name"]}
            return 200, {"parts": sorted(p for p in parts if p > query.get("after", ""))[:1000]}
        return 404, {}

    async def _transact(self, body, row):
        def key_of(entry):
            return entry["table-name"], entry.get("part", ""), entry["key"]
        expected = {key_of(e): e["row-version"] for e in body.get("expected-rev", [])}
        writes = [(key_of(e), e["value"]) for e in body.get("writes", [])]
        deletes = [key_of(e) for e in body.get("deletes", [])]
        changed = [key for key, _ in writes] + deletes
        parts = {key[1] for key in changed + list(expected)}
        if any(key[0] in ("op", "servers") for key in changed):
            return 403, {}
        if len(parts) != 1 or len(changed) + len(expected) > 100:
            return 400, {}

        def commit():
            if any(self.rows.get(key, (0,))[0] != v for key, v in expected.items()):
                return 412, {"rows": [row(key) for key in expected if key in self.rows]}
            self.apply(writes, deletes)
            return 200, {}

        if self.rng.random() < self.apply_late:
            asyncio.get_running_loop().call_later(self.rng.uniform(0.5, 5.0), commit)
            return NO_ANSWER
        # A partition works off its transactions one after another.
        part, now = parts.pop(), time.monotonic()
        self.partition_busy[part] = max(now, self.partition_busy.get(part, 0)) + self.txn_s
        await asyncio.sleep(self.partition_busy[part] - now)
        return commit()

    def _read(self, query, row):
        low, high = query.get("from", ""), query.get("target", "")
        keys = sorted((key for key in self.rows if key[:2] == (
            query["table-name"], query.get("part", "")) and low <= key[2] and
            (not high or key[2] < high)), key=lambda key: key[2].encode())
        limit = min(int(query.get("limit", 500)), 500)
        return 200, {"rows": [row(key) for key in keys[:limit]], "has-more": len(keys) > limit}

    async def _feed(self, query, row):
        after = int(query["after"])
        until = time.monotonic() + min(int(query.get("wait-ms", 0)), 30000) / 1e3
        while after >= self.history_start:
            first = bisect.bisect_left(self.changes, (after + 1,))
            keys = {key for _, key in self.changes[first:] if key[0] == query["table-name"]}
            rest = until - time.monotonic()
            if keys or rest <= 0:
                return 200, {"rows": sorted(map(row, keys), key=lambda r: r["row-version"])}
            try:
                await asyncio.wait_for(self.changed.wait(), rest)
            except asyncio.TimeoutError:
                pass
        return 410, {}


@dataclass(eq=False)
class Run:
    """One start of a task on an upstream. Work is in seconds."""

    task: str
    number: int
    step: dict
    outcome: str
    work: float
    saved: str
    resumed_at: float  # work contained in the checkpoint
    started: float
    due: float = 0.0
    stopping: bool = False
    timers: list = field(default_factory=list)

    def percent(self):
        if "long-running" in self.step:
            return min(100, int(200 * (time.monotonic() - self.started)))
        return int(100 * self.done_work() / max(self.work, 0.001))

    def done_work(self):
        return min(self.work, self.resumed_at + time.monotonic() - self.started)


class Upstream:
    """A VM, and the upstreams that run on it one after another, its lives."""

    def __init__(self, index, zone, pool, rng, site):
        self.machine, self.zone, self.pool = f"vm-{index}", zone, pool
        self.rng, self.site, self.bounds = rng, site, site.bounds
        self.capacity = {"cpu": 2000, "mem-mb": 4096, "gpu": 0}
        self.labels = ["small", f"r{index % 3}"]
        self.server = HttpServer(self._handle, lambda address: site.network.sources.get(address))
        self.proxy, self.state, self.life, self.id = None, "down", 0, ""
        self.answer_delay, self.runs = 0.0, {}

    @property
    def key(self):
        return self.machine, self.life

    async def begin(self, same_id=False):
        self.life += 1
        self.id = self.id if same_id else f"i-{self.rng.getrandbits(40):010x}"
        self.born, self.begun = int(time.time() * 1000), time.monotonic()
        self.rate, self.clock_base = self.rng.uniform(0.98, 1.0), self.rng.randrange(10**6)
        self.token = self.last_end = self.acked = 0
        self.deadline = 0  # of all leases, on the upstream's clock
        self.highest = {}  # task -> highest run stopped or ended here
        self.runs, self.ends, self.lapse_timer = {}, [], None
        self.end_event, self.draining, self.state = asyncio.Event(), False, "up"
        await self.proxy.open()
        self.site.record("upstream.begin", upstream=self.id, vm=self.machine, born=self.born,
                         pool=self.pool)

    def finish(self, reason, state="down"):
        """The life ends: everything terminates, the connections break."""
        self.state = state
        for timer in [t for run in self.runs.values() for t in run.timers]:
            timer.cancel()
        self.site.record("upstream.end", upstream=self.id, vm=self.machine, reason=reason,
                         runs=[(run.task, run.number) for run in self.runs.values()])
        self.site.checks.life_ended(self)
        self.runs = {}
        self.proxy.refuse()
        self.server.drop_connections()

    def report(self):
        document = {"service": self.pool, "address": self.proxy.address, "zone": self.zone,
                    "version": "1.0", "slots": 8, "machine": self.machine, "born": self.born,
                    "state": "draining" if self.draining else "ready",
                    "capacity": self.capacity, "labels": self.labels}
        return document | ({"drain-remaining-ms": 0} if self.draining else {})

    def clock(self):
        return self.clock_base + int((time.monotonic() - self.begun) * 1000 * self.rate)

    def lapse_time(self):
        return self.begun + (self.deadline - self.clock_base) / 1e3 / self.rate

    def settle(self):
        """Carries out what is due, even if the event loop is late."""
        for run in list(self.runs.values()):
            if run.due <= min(time.monotonic(), self.lapse_time()):
                self._end(run, run.outcome)
            elif self.clock() >= self.deadline:
                self._end(run, "lapsed")

    def _extend(self, deadline):
        self.settle()
        if self.clock() >= self.deadline:
            self.site.checks.lease_lapsed(self)
        self.deadline = max(self.deadline, min(
            int(deadline), self.clock() + self.bounds["max-hold-ms"]))
        if self.lapse_timer:
            self.lapse_timer.cancel()
        self.lapse_timer = asyncio.get_running_loop().call_later(
            max(0.0, self.lapse_time() - time.monotonic()) + 0.002, self.settle)

    def _saved(self, run):
        """A new checkpoint value for each `checkpoint-s` of work."""
        done = int(run.done_work() / self.bounds["checkpoint-s"]) * self.bounds["checkpoint-s"]
        if not run.step["checkpointing"] or not done:
            return run.saved
        return self.site.checkpoint(run.task, done)

    def _end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        for timer in run.timers:
            timer.cancel()
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.last_end += 1
        saved = self._saved(run) if how in ("stopped", "lapsed") else ""
        self.ends.append([self.last_end, run.task, run.number, how, saved])
        self.site.record("run.end", upstream=self.id, task=run.task, run=run.number, how=how,
                         n=self.last_end)
        self.site.checks.run_ended(self, run, how, self.last_end)
        self.end_event.set()

    def _start(self, body, source):
        task, number = body["task"], body["run"]
        self.settle()
        current, step = self.runs.get(task), self.site.step_of(task)
        if current and current.number == number:
            self._extend(body["deadline-ms"])
            return 200, ""
        if number <= self.highest.get(task, 0) or (current and number < current.number):
            self._extend(body["deadline-ms"])
            return 409, "old"
        if body["deadline-ms"] <= self.clock():
            return 409, "late"
        self._extend(body["deadline-ms"])
        if self.site.pools[self.pool] and any(
                sum(run.step[name] for run in self.runs.values()) + step[name] >
                self.capacity[name] for name in ("cpu", "mem-mb")):
            return 409, "room"
        outcome, work = self.site.fate(task, number)
        saved, now = body.get("checkpoint", ""), time.monotonic()
        run = Run(task, number, step, outcome, work, saved,
                  min(self.site.work_in(saved), work), now)
        run.due = now + work - run.resumed_at + bool(saved) * self.bounds["restore-ms"] / 1e3
        self.site.checks.run_started(self, run, body, source)
        self.runs[task] = run
        run.timers.append(asyncio.get_running_loop().call_later(
            run.due - now, self._end, run, outcome))
        return 200, ""

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.settle()
        run = self.runs.get(task)
        if run and run.number <= number and not run.stopping:
            run.stopping = True
            limit = 0.9 * self.bounds["stop-timeout-ms"] / 1e3
            run.timers.append(asyncio.get_running_loop().call_later(
                self.rng.uniform(0, limit), self._end, run, "stopped"))
        self.highest[task] = max(number, self.highest.get(task, 0))
        return 200, ""

    async def _handle(self, path, query, headers, body):
        life = self.life
        if path != "/hold":
            await asyncio.sleep(self.answer_delay * self.rng.random())
        if self.state != "up" or self.life != life:
            return NO_ANSWER
        if headers.get("sardinerill-target-instance", self.id) != self.id:
            return 421, {}
        status, reason, source, token = 200, "", headers["source"], body["fencing-token"]
        if token < self.token:
            status, reason = 409, "fence"
        elif path == "/hold":
            self.token = token
            self.site.on_hold(source, token)
            return await self._hold(body, life)
        else:
            self.token = token
            if path == "/run-start":
                status, reason = self._start(body, source)
            elif path == "/run-stop":
                status, reason = self._stop(body)
        if path != "/hold":
            self.site.record("call" + path, upstream=self.id, source=source, task=body["task"],
                             run=body["run"], status=status, reason=reason, token=token)
        return status, {"clock-ms": self.clock()} | ({"reason": reason} if reason else {})

    async def _hold(self, body, life):
        if body.get("deadline-ms") is not None:
            self._extend(body["deadline-ms"])
        self.settle()
        through = min(body.get("acked-through", 0), self.last_end)
        if through > self.acked:
            if self.clock() >= self.deadline:
                self.site.checks.lease_lapsed(self)
            self.acked = through
            self.site.checks.acknowledged(self, through)
            self.ends = [end for end in self.ends if end[0] > through]
        until = time.monotonic() + min(body.get("wait-ms", 0), 2000) / 1e3
        while not self.ends and (rest := until - time.monotonic()) > 0:
            self.end_event.clear()
            try:
                await asyncio.wait_for(self.end_event.wait(), rest)
            except asyncio.TimeoutError:
                pass
            if self.state != "up" or self.life != life:
                return NO_ANSWER
        self.settle()
        active = [[run.task, run.number, self._saved(run), run.percent(), run.step["cpu"]]
                  for run in self.runs.values()]
        return 200, {"clock-ms": self.clock(), "born": self.born, "active": active,
                     "finished": self.ends[:500]}


class VmApi:
    """The list of VMs, and moves between pools. Waves of maintenance are not played."""

    def __init__(self, upstreams, site):
        self.upstreams, self.site, self.away = upstreams, site, False

    def server_for(self, daemon):
        async def handle(path, query, headers, body):
            if self.away:
                return 503, {}
            if path == "/machines":
                return 200, {"next-page-token": "", "machines": [
                    {"machine": u.machine, "pool": u.pool, "state": u.state, "zone": u.zone,
                     "labels": u.labels, "capacity": u.capacity,
                     "id": u.id if u.state == "up" else ""} for u in self.upstreams]}
            upstream = next((u for u in self.upstreams if u.machine == body["machine"]), None)
            if upstream is None or body.get("pool", "") not in self.site.pools:
                return 400, {}
            self.site.checks.vm_command(daemon, upstream, headers["sardinerill-lease-holder"],
                                        int(headers["sardinerill-fencing-token"]))
            if upstream.pool == body["pool"]:
                return 200, {}
            if upstream.state != "up" or upstream.draining:
                return 409, {"reason": "busy"}
            upstream.finish("move", "moving")
            upstream.pool = body["pool"]
            self.site.spawn(self._come_back(upstream))
            return 200, {}
        return HttpServer(handle)

    async def _come_back(self, upstream):
        await asyncio.sleep(self.site.bounds["migrate-s"])
        await upstream.begin()
