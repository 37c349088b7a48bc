"""Stand-ins for the table, the VM API and the upstreams, all in one process.

Their behaviour follows the users' pages; faults are switched on from outside.
"""

import asyncio
import base64
import bisect
import json
import random
import time
from urllib.parse import parse_qs, unquote, urlsplit

from links import reset_connection

NO_ANSWER = object()  # A handler returns it to break the connection.


class HttpServer:
    """Keep-alive HTTP/1.1 on 127.0.0.1; `handle(method, path, query, headers,
    body)` returns (status, dict) or NO_ANSWER."""

    def __init__(self, handle, source_of=lambda address: None):
        self.handle = handle
        self.source_of = source_of
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=4 << 20)
        return self.server.sockets[0].getsockname()[:2]

    def drop_connections(self):
        for writer in list(self.writers):
            reset_connection(writer.transport)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {name.lower(): value.strip() for name, _, value in
                           (line.partition(":") for line in head[1:] if line)}
                size = int(headers.get("content-length", 0))
                body = json.loads(await reader.readexactly(size)) if size else {}
                headers["source"] = self.source_of(
                    writer.get_extra_info("peername"))
                url = urlsplit(target)
                query = {k: v[0] for k, v in
                         parse_qs(url.query, keep_blank_values=True).items()}
                answer = await self.handle(method, unquote(url.path), query,
                                           headers, body)
                if answer is NO_ANSWER:
                    return
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/"
                             f"json\r\nContent-Length: {len(data)}\r\n\r\n"
                             .encode() + data)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            reset_connection(writer.transport)


class Table:
    """Rows with one version counter, conditional transactions and a feed."""

    def __init__(self, rng, txn_s):
        self.rng, self.txn_s = rng, txn_s
        self.version = 0
        self.rows = {}  # (table, part, key) -> (version, value in base64)
        self.changes = []  # (version, (table, part, key)), in order
        self.history_start = 0
        self.changed = asyncio.Event()
        self.partition_busy = {}
        # Faults
        self.away = ""  # "refuse" (503), "silent" or "" (works)
        self.slow_s = 0.0
        self.lose_answers = 0.0
        self.apply_late = 0.0
        self.rejected_daemons = set()

    def apply(self, writes, deletes=()):
        """Applies one transaction; returns the version."""
        self.version += 1
        for key, value in writes:
            self.rows[key] = (self.version, value)
            self.changes.append((self.version, key))
        for key in deletes:
            if self.rows.pop(key, None):
                self.changes.append((self.version, key))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put(self, table, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return self.apply([((table, "", key), value)])

    def forget_history(self):
        self.history_start = self.version
        self.changes.clear()

    def server_for(self, daemon, translate):
        """`translate` maps peer addresses in values that this daemon reads."""

        async def handle(method, path, query, headers, body):
            return await self._handle(daemon, translate, path, query, body)
        return HttpServer(handle)

    def _row(self, key, translate):
        version, value = self.rows[key]
        if key[0] in ("daemons", "ownership"):
            plain = base64.b64decode(value)
            value = base64.b64encode(translate(plain)).decode()
        return {"table-name": key[0], "part": key[1], "key": key[2],
                "value": value, "row-version": version}

    async def _handle(self, daemon, translate, path, query, body):
        if self.away == "silent":
            while self.away == "silent":
                await asyncio.sleep(0.05)
            return NO_ANSWER
        if self.away or daemon in self.rejected_daemons:
            return 503, {}
        if self.slow_s:
            await asyncio.sleep(self.slow_s * self.rng.uniform(0.3, 1.0))
        lost = self.rng.random() < self.lose_answers
        if path == "/rows-tx":
            answer = await self._transact(translate, body)
        elif path == "/rows-get":
            answer = self._read(query, translate)
        elif path == "/rows-feed":
            answer = await self._feed(query, translate)
        elif path == "/rows-parts":
            parts = sorted({k[1] for k in self.rows
                            if k[0] == query["table-name"]})
            parts = [p for p in parts if p > query.get("after", "")][:1000]
            answer = 200, {"parts": parts}
        else:
            answer = 404, {}
        return NO_ANSWER if lost else answer

    def _stamp(self, document):
        document["row-version"] = self.version
        document["now-ms"] = int(time.monotonic() * 1000)
        return document

    async def _transact(self, translate, body):
        def key_of(row):
            return row["table-name"], row.get("part", ""), row["key"]
        expected = [(key_of(r), r["row-version"])
                    for r in body.get("expected-rev", [])]
        writes = [(key_of(r), r["value"]) for r in body.get("writes", [])]
        deletes = [key_of(r) for r in body.get("deletes", [])]
        touched = [k for k, _ in expected + writes] + deletes
        if any(k[0] in ("op", "servers") for k, _ in writes) or \
                any(k[0] in ("op", "servers") for k in deletes):
            return 403, {}
        if len({k[1] for k in touched}) > 1 or len(touched) > 100:
            return 400, {}

        def commit():
            for key, version in expected:
                if self.rows.get(key, (0, ""))[0] != version:
                    return 412, self._stamp(
                        {"rows": [self._row(k, translate) for k, _ in expected
                                  if k in self.rows]})
            self.apply(writes, deletes)
            return 200, self._stamp({})

        if self.rng.random() < self.apply_late:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0.5, 5.0), commit)
            return NO_ANSWER
        # One partition works off its transactions one after another.
        part = touched[0][1] if touched else ""
        now = time.monotonic()
        due = max(now, self.partition_busy.get(part, 0)) + self.txn_s
        self.partition_busy[part] = due
        await asyncio.sleep(due - now)
        return commit()

    def _read(self, query, translate):
        low, high = query.get("from", ""), query.get("target", "")
        keys = sorted((k for k in self.rows
                       if k[0] == query["table-name"] and
                       k[1] == query.get("part", "") and k[2] >= low and
                       (not high or k[2] < high)), key=lambda k: k[2].encode())
        limit = min(int(query.get("limit", 500)), 500)
        return 200, self._stamp(
            {"rows": [self._row(k, translate) for k in keys[:limit]],
             "has-more": len(keys) > limit})

    async def _feed(self, query, translate):
        name, after = query["table-name"], int(query["after"])
        until = time.monotonic() + min(int(query.get("wait-ms", 0)), 30000) / 1e3
        while True:
            if after < self.history_start:
                return 410, {}
            start = bisect.bisect_left(self.changes, (after + 1,))
            keys = dict.fromkeys(k for _, k in self.changes[start:]
                                 if k[0] == name)
            if keys:
                rows = [self._row(k, translate) if k in self.rows else
                        {"table-name": k[0], "part": k[1], "key": k[2],
                         "deleted": True, "row-version": self.version}
                        for k in keys]
                rows.sort(key=lambda r: r["row-version"])
                return 200, self._stamp({"rows": rows})
            rest = until - time.monotonic()
            if rest <= 0 or self.away:
                return 200, self._stamp({"rows": []})
            try:
                await asyncio.wait_for(self.changed.wait(), min(rest, 0.5))
            except asyncio.TimeoutError:
                pass


class Run:
    """One start of a task on an upstream."""

    def __init__(self, task, number, cpu, mem, tenant):
        self.task, self.number = task, number
        self.cpu, self.mem, self.tenant = cpu, mem, tenant
        self.started = time.monotonic()
        self.resumed_at = 0.0  # work contained in the checkpoint, in seconds
        self.work = 0.0
        self.saved = ""
        self.stopping = False
        self.timers = []

    def done_work(self):
        return min(self.work,
                   self.resumed_at + time.monotonic() - self.started)


class Upstream:
    """One VM's place: its lives follow each other under one machine name."""

    def __init__(self, index, zone, pool, rng, site):
        self.machine = f"vm-{index}"
        self.index, self.zone, self.pool = index, zone, pool
        self.rng, self.site = rng, site
        self.capacity = {"cpu": 2000, "mem-mb": 4096, "gpu": 0}
        self.labels = ["small", f"r{index % 3}"]
        self.server = HttpServer(
            self._handle, lambda address: site.network.sources.get(address))
        self.proxy = None
        self.state = "down"  # of the VM: up, moving, upkeep, down
        self.life = 0
        self.id = ""
        self.answer_delay = 0.0
        self.runs = {}

    # Lives -----------------------------------------------------------------

    async def begin(self, same_id=False):
        self.life += 1
        if not (same_id and self.id):
            self.id = f"i-{self.rng.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.token = 0
        self.highest = {}  # task -> highest run stopped or ended here
        self.runs = {}
        self.ends = []
        self.last_end = 0
        self.acked = 0
        self.rate = self.rng.uniform(0.98, 1.0)
        self.clock_base = self.rng.randrange(10**6)
        self.begun = time.monotonic()
        self.deadline = 0  # own clock, ms
        self.lapse_timer = None
        self.end_event = asyncio.Event()
        self.draining = False
        self.state = "up"
        await self.proxy.open()
        self.site.record("upstream.begin", upstream=self.id, vm=self.machine,
                         born=self.born, pool=self.pool)

    def finish(self, reason, state="down"):
        """The life ends: everything terminates, the connections break."""
        if self.state != "up":
            return
        self.state = state
        for run in self.runs.values():
            for timer in run.timers:
                timer.cancel()
        if self.lapse_timer:
            self.lapse_timer.cancel()
        self.site.record("upstream.end", upstream=self.id, vm=self.machine,
                         reason=reason, runs=[(r.task, r.number)
                                              for r in self.runs.values()])
        self.site.checks.life_ended(self)
        self.runs = {}
        self.proxy.refuse()
        self.server.drop_connections()

    def report(self):
        document = {"service": self.pool, "address": self.proxy.address,
                    "zone": self.zone, "version": "1.0", "slots": 8,
                    "state": "draining" if self.draining else "ready",
                    "machine": self.machine, "capacity": self.capacity,
                    "labels": self.labels, "born": self.born}
        if self.draining:
            document["drain-remaining-ms"] = 0
        return document

    # Clock and lease -------------------------------------------------------

    def clock(self):
        return self.clock_base + int(
            (time.monotonic() - self.begun) * 1000 * self.rate)

    def settle(self):
        """Carries out what is due, however late the event loop is."""
        if self.state != "up":
            return
        now = time.monotonic()
        for run in list(self.runs.values()):
            if run.due <= now and \
                    run.due <= self.lapse_time():
                self._end(run, run.outcome)
        if self.runs and self.clock() >= self.deadline:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")

    def lapse_time(self):
        return self.begun + (self.deadline - self.clock_base) / 1e3 / self.rate

    def _extend(self, deadline):
        limit = self.clock() + self.site.bounds["max-hold-ms"]
        self.settle()
        if self.acked < self.last_end and self.clock() >= self.deadline:
            self.site.checks.lease_lapsed(self)
        self.deadline = max(self.deadline, min(int(deadline), limit))
        if self.lapse_timer:
            self.lapse_timer.cancel()
        self.lapse_timer = asyncio.get_running_loop().call_later(
            max(0.0, self.lapse_time() - time.monotonic()) + 0.002, self.settle)

    # Runs ------------------------------------------------------------------

    def _saved(self, run):
        """A new checkpoint value for each `checkpoint-s` of work."""
        if not run.checkpointing:
            return ""
        unit = self.site.bounds["checkpoint-s"]
        steps = int(run.done_work() / unit)
        return self.site.checkpoint(run.task, steps * unit) if steps else run.saved

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
        self.site.record("run.end", upstream=self.id, task=run.task,
                         run=run.number, how=how, n=self.last_end)
        self.site.checks.run_ended(self, run, how, self.last_end)
        self.end_event.set()

    def _start(self, body, source):
        task, number = body["task"], body["run"]
        if body["fencing-token"] < self.token:
            return 409, "fence"
        self.token = body["fencing-token"]
        self.settle()
        current = self.runs.get(task)
        if current and current.number == number:
            self._extend(body["deadline-ms"])
            return 200, ""
        if number <= self.highest.get(task, 0) or \
                (current and number < current.number):
            self._extend(body["deadline-ms"])
            return 409, "old"
        if body["deadline-ms"] <= self.clock():
            return 409, "late"
        step = self.site.step_of(task)
        cpu = sum(r.cpu for r in self.runs.values()) + step["cpu"]
        mem = sum(r.mem for r in self.runs.values()) + step["mem-mb"]
        if self.site.guards(self.pool) and (cpu > self.capacity["cpu"] or
                                            mem > self.capacity["mem-mb"]):
            self._extend(body["deadline-ms"])
            return 409, "room"
        run = Run(task, number, step["cpu"], step["mem-mb"], step["tenant"])
        run.checkpointing = step["checkpointing"]
        run.saved = body.get("checkpoint", "")
        run.outcome, run.work = self.site.fate(task, number)
        run.resumed_at = min(self.site.work_in(run.saved), run.work)
        restore = self.site.bounds["restore-ms"] / 1e3 if run.saved else 0
        run.due = run.started + restore + run.work - run.resumed_at
        self._extend(body["deadline-ms"])
        # Another run of the same task here is a second run at the same time.
        self.site.checks.run_started(self, run, body, source, self.pool)
        self.runs[task] = run
        run.timers.append(asyncio.get_running_loop().call_later(
            run.due - time.monotonic(), self._end, run, run.outcome))
        return 200, ""

    def _stop(self, body):
        task, number = body["task"], body["run"]
        if body["fencing-token"] < self.token:
            return 409, "fence"
        self.token = body["fencing-token"]
        self.settle()
        run = self.runs.get(task)
        if run and run.number <= number and not run.stopping:
            run.stopping = True
            limit = self.site.bounds["stop-timeout-ms"] / 1e3
            run.timers.append(asyncio.get_running_loop().call_later(
                self.rng.uniform(0, limit * 0.9), self._end, run, "stopped"))
        self.highest[task] = max(number, self.highest.get(task, 0))
        return 200, ""

    async def _handle(self, method, path, query, headers, body):
        life = self.life
        if self.answer_delay and path != "/hold":
            await asyncio.sleep(self.answer_delay * self.rng.random())
        if self.state != "up" or self.life != life:
            return NO_ANSWER
        wanted = headers.get("sardinerill-target-instance")
        if wanted and wanted != self.id:
            return 421, {}
        source = headers["source"]
        if path == "/hold":
            return await self._hold(body, life, source)
        if path == "/run-start":
            status, reason = self._start(body, source)
        elif path in ("/run-stop", "/pace"):
            status, reason = self._stop(body) if path == "/run-stop" else \
                (200, "") if body["fencing-token"] >= self.token else \
                (409, "fence")
        else:
            return 404, {}
        self.site.record("call" + path, upstream=self.id, source=source,
                         task=body["task"], run=body["run"], status=status,
                         reason=reason, token=body["fencing-token"])
        document = {"clock-ms": self.clock(), "born": self.born}
        if reason:
            document["reason"] = reason
        return status, document

    async def _hold(self, body, life, source):
        if body["fencing-token"] < self.token:
            return 409, {"clock-ms": self.clock(), "reason": "fence",
                         "born": self.born}
        self.site.on_hold(source, body["fencing-token"])
        self.token = body["fencing-token"]
        self.settle()
        if body.get("deadline-ms") is not None:
            self._extend(body["deadline-ms"])
        through = min(body.get("acked-through", 0), self.last_end)
        if through > self.acked:
            if self.clock() >= self.deadline:
                self.site.checks.lease_lapsed(self)
            self.acked = through
            self.site.checks.acknowledged(self, through)
            self.ends = [e for e in self.ends if e[0] > through]
        until = time.monotonic() + min(body.get("wait-ms", 0), 2000) / 1e3
        while not self.ends and time.monotonic() < until:
            self.end_event.clear()
            try:
                await asyncio.wait_for(self.end_event.wait(),
                                       until - time.monotonic())
            except asyncio.TimeoutError:
                pass
            if self.state != "up" or self.life != life:
                return NO_ANSWER
        self.settle()
        active = [[r.task, r.number, self._saved(r),
                   int(100 * r.done_work() / max(r.work, 0.001)), r.cpu]
                  for r in self.runs.values()]
        return 200, {"clock-ms": self.clock(), "born": self.born,
                     "active": active, "finished": self.ends[:500]}


class VmApi:
    """The list of VMs, moves between pools and maintenance."""

    def __init__(self, upstreams, site):
        self.upstreams = {u.machine: u for u in upstreams}
        self.site = site
        self.away = False

    def server_for(self, daemon):
        async def handle(method, path, query, headers, body):
            if self.away:
                return 503, {}
            if path == "/machines":
                return 200, {"machines": [
                    {"machine": u.machine, "pool": u.pool, "state": u.state,
                     "zone": u.zone, "labels": u.labels,
                     "capacity": u.capacity,
                     "id": u.id if u.state == "up" else ""}
                    for u in self.upstreams.values()], "next-page-token": ""}
            upstream = self.upstreams.get(body.get("machine"))
            if upstream is None or path not in ("/machine-move",
                                                "/machine-upkeep"):
                return 400, {"reason": ""}
            self.site.checks.vm_command(
                daemon, upstream, headers.get("sardinerill-lease-holder"),
                int(headers.get("sardinerill-fencing-token", 0)))
            move = path == "/machine-move"
            if move and body["pool"] not in self.site.pools:
                return 400, {"reason": ""}
            if move and upstream.pool == body["pool"]:
                return 200, {}
            if upstream.state != "up" or upstream.draining:
                return 409, {"reason": "busy"}
            if not move:
                return 409, {"reason": "wave"}
            upstream.finish("move", "moving")
            upstream.pool = body["pool"]
            self.site.spawn(self._come_back(upstream))
            return 200, {}
        return HttpServer(handle)

    async def _come_back(self, upstream):
        await asyncio.sleep(self.site.bounds["migrate-s"])
        await upstream.begin()
