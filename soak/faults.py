"""The faults: a schedule drawn from the seed, carried out while callers work."""

import asyncio
import random
import signal
import time
from contextlib import contextmanager

from links import Disturbance


class Faults:
    """Each fault is a coroutine that returns once its effect has ended."""

    def __init__(self, site):
        self.site = site
        self.rng = random.Random(site.args.seed + 2)
        self.busy = set()  # daemons that are being stopped or restarted
        self.kinds = 3 * [self.kill, self.freeze, self.terminate] + 2 * [
            self.zone_cut, self.daemon_link, self.table_fault, self.upstream_crash,
            self.upstream_link] + [
            self.hang_up, self.kill_many, self.kill_successor, self.mute, self.upstream_leave,
            self.vm_api_fault, self.move_queue, self.replace_key, self.forget_history]
        if site.args.faults:
            self.kinds = [getattr(self, name) for name in site.args.faults.split(",")]

    async def run(self, seconds):
        end = time.monotonic() + seconds
        await asyncio.sleep(3)
        running = []
        while time.monotonic() < end:
            # Each fault draws from its own numbers: the schedule doesn't depend on timing.
            rng = random.Random(self.rng.getrandbits(64))
            running.append(self.site.spawn(rng.choice(self.kinds)(rng)))
            # Series of faults close together, then a pause.
            await asyncio.sleep(rng.choice([0.05, 0.3, 1.0, 3.0]) * rng.random())
            while sum(not task.done() for task in running) >= 6:
                await asyncio.sleep(0.1)
        await asyncio.gather(*running)
        self.site.kill_successor = False
        self.note("none any more")

    def note(self, kind, **values):
        self.site.record("fault", kind=kind, **values)

    def daemon(self, rng):
        """Often the daemon that gives the orders."""
        choice = rng.choice(self.site.daemons)
        return self.site.by_name.get(self.site.giver, choice) if rng.random() < 0.4 else choice

    @contextmanager
    def disturbed(self, *daemons, core=False):
        """These daemons, and with `core` all of them, are not in touch meanwhile."""
        disturbed = self.site.daemons if core else daemons
        for daemon in disturbed:
            daemon.disturbed += 1
        yield
        for daemon in disturbed:
            daemon.disturbed -= 1
            daemon.disturbed_until = time.monotonic()

    # Processes

    async def take_down(self, daemon, number, pause, grace=None):
        if daemon in self.busy:
            return
        self.busy.add(daemon)
        with self.disturbed(daemon):
            daemon.signal(number)
            try:
                await asyncio.wait_for(daemon.process.wait(), grace)
            except asyncio.TimeoutError:
                self.note("not stopped in time", daemon=daemon.name)
                self.site.checks.counts["planned stops longer than grace-s"] += 1
                daemon.signal(signal.SIGKILL)
                await daemon.process.wait()
            await asyncio.sleep(pause)
            await daemon.start()
        self.busy.discard(daemon)

    async def kill(self, rng, daemon=None):
        daemon = daemon or self.daemon(rng)
        self.note("kill", daemon=daemon.name)
        await self.take_down(daemon, signal.SIGKILL, rng.uniform(0.2, 2.5))

    async def kill_many(self, rng):
        daemons = rng.sample(self.site.daemons, rng.randint(2, len(self.site.daemons)))
        await asyncio.gather(*[self.kill(rng, daemon) for daemon in daemons])

    async def kill_successor(self, rng):
        """The next daemon that gives orders under a new token is killed at once."""
        self.site.kill_successor = True
        await self.kill(rng, self.site.by_name.get(self.site.giver))

    async def terminate(self, rng):
        daemon = self.daemon(rng)
        self.note("terminate", daemon=daemon.name)
        await self.take_down(daemon, signal.SIGTERM, rng.uniform(0.2, 2.0),
                             self.site.bounds["grace-s"])

    async def freeze(self, rng):
        daemon, length = self.daemon(rng), rng.choice([0.3, 1.5, 4, 9]) * rng.uniform(0.7, 1.3)
        self.note("freeze", daemon=daemon.name, s=round(length, 2))
        with self.disturbed(daemon):
            daemon.signal(signal.SIGSTOP)
            await asyncio.sleep(length)
            daemon.signal(signal.SIGCONT)

    async def hang_up(self, rng):
        daemon = self.daemon(rng)
        # Before its handler is installed, the signal ends a process.
        if daemon not in self.busy and time.monotonic() > daemon.started_at + 1:
            daemon.write_settings(f"limits.memory-mb={rng.randint(200, 300)}")
            daemon.signal(signal.SIGHUP)

    # Connections

    async def disturb(self, disturbance, length, *daemons):
        with self.disturbed(*daemons):
            self.site.network.start(disturbance)
            await asyncio.sleep(length)
            self.site.network.stop(disturbance)

    def draw(self, rng, matches):
        """A disturbance, and what it is called."""
        kind, delay, up, down = rng.choice([
            ("late", rng.uniform(0.1, 1.5), False, False), ("silent", 0.0, True, True),
            ("silent up", 0.0, True, False), ("silent down", 0.0, False, True)])
        return kind, Disturbance(matches, delay, (up, down))

    async def zone_cut(self, rng):
        """A zone is cut off from table, VM API and the other zones."""
        zones, length = self.site.zone_of, rng.choice([1, 4, 9]) * rng.uniform(0.7, 1.3)
        zone = zones[self.daemon(rng).name]
        self.note("zone_cut", zone=zone, s=round(length, 2))
        await self.disturb(Disturbance(
            lambda source, target: (zones.get(source) == zone) != (zones.get(target) == zone),
            hold=(True, True)), length, *[d for d in self.site.daemons if d.zone == zone])

    async def daemon_link(self, rng):
        """One daemon's connections to the table, to the VM API, or to everything."""
        daemon, to = self.daemon(rng), rng.choice(["table", "table", "vms", None])
        length = rng.uniform(0.3, 6.0)

        def matches(source, target):
            return daemon.name in (source, target) and to in (None, target)
        if rng.random() < 0.25:
            self.note("reset", daemon=daemon.name, target=to)
            with self.disturbed(daemon):
                for pair in self.site.network.matching(matches):
                    pair.reset()
            return
        kind, disturbance = self.draw(rng, matches)
        self.note("daemon_link", daemon=daemon.name, target=to, how=kind, s=round(length, 2))
        await self.disturb(disturbance, length, daemon)

    async def mute(self, rng):
        """Open connections of one daemon go silent for good; new ones work."""
        daemon = self.daemon(rng)
        self.note("mute", daemon=daemon.name)
        with self.disturbed(daemon):
            for pair in self.site.network.matching(lambda *ends: daemon.name in ends):
                pair.muted = True

    async def upstream_link(self, rng):
        """An upstream falls silent or answers late, but runs on."""
        up, length = rng.choice(self.site.upstreams), rng.uniform(0.5, 9.0)
        kind, disturbance = self.draw(rng, lambda *ends: up.machine in ends)
        self.note("upstream_link", upstream=up.id, vm=up.machine, how=kind, s=round(length, 2))
        up.answer_delay = rng.choice([0.0, 2.0])
        await self.disturb(disturbance, length)
        up.answer_delay = 0.0

    # Table and VM API

    async def table_fault(self, rng):
        table, length = self.site.table, rng.uniform(0.5, 7.0)
        name, value = rng.choice([("away", "refuse"), ("away", "silent"), ("slow_s", 0.6),
                                  ("slow_s", 2.0), ("lose_answers", 0.3), ("apply_late", 0.2)])
        if getattr(table, name):
            return
        self.note("table", what=name, value=value, s=round(length, 2))
        with self.disturbed(core=True):
            setattr(table, name, value)
            await asyncio.sleep(length)
            setattr(table, name, type(value)())
            await asyncio.sleep(5 * (name == "apply_late"))  # Until all are applied.

    async def forget_history(self, rng):
        self.note("forget_history")
        self.site.table.forget_history()

    async def vm_api_fault(self, rng):
        self.note("vm_api")
        self.site.vm_api.away = True
        await asyncio.sleep(rng.uniform(1, 8))
        self.site.vm_api.away = False

    # Upstreams

    async def upstream_crash(self, rng):
        up, same_id = rng.choice(self.site.upstreams), rng.random() < 0.5
        if up.state == "up":
            self.note("upstream_crash", upstream=up.id, vm=up.machine, same_id=same_id)
            up.finish("crash")
            await asyncio.sleep(rng.choice([0.05, 1, 4]) * rng.uniform(0.5, 1.5))
            await up.begin(same_id)

    async def upstream_leave(self, rng):
        up = rng.choice(self.site.upstreams)
        if up.state == "up":
            self.note("upstream_leave", upstream=up.id, vm=up.machine)
            life, up.draining = up.life, True
            await asyncio.sleep(self.site.bounds["drain-ms"] / 1e3 + rng.uniform(1.5, 6))
            if up.life == life and up.state == "up":  # Nothing has ended it before.
                up.finish("left")
                await asyncio.sleep(rng.uniform(0.5, 3))
                await up.begin()

    # Configuration

    async def move_queue(self, rng):
        queue, pool = rng.choice(sorted(self.site.queues)), rng.choice(sorted(self.site.pools))
        self.site.queues[queue] = pool
        self.site.services_of[queue].add(pool)
        self.note("move_queue", queue=queue, pool=pool)
        self.site.write_configuration()

    async def replace_key(self, rng):
        tenant = self.site.tenants[rng.choice(sorted(self.site.tenants))]
        old = tenant["keys"][0]
        tenant["keys"] = [f"{old}x"]
        self.note("replace_key", old=old)
        self.site.write_configuration()
        self.site.withdrawn[old] = time.monotonic()
