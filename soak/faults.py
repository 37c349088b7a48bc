"""The faults: a schedule drawn from the seed, then carried out."""

import asyncio
import random
import signal

from links import Disturbance


class Faults:
    def __init__(self, site):
        self.site = site
        self.rng = random.Random(site.args.seed + 2)
        self.kinds = [self.kill]
        self.busy = {}  # daemon -> the process is being stopped or restarted

    async def run(self, seconds):
        site, loop = self.site, asyncio.get_running_loop()
        end = loop.time() + seconds
        await asyncio.sleep(3)
        running = []
        while True:
            pause = self.rng.expovariate(1 / 1.5)
            if loop.time() + pause >= end - 4:
                break
            await asyncio.sleep(pause)
            # Each fault has its own numbers, whatever else takes place.
            rng = random.Random(self.rng.getrandbits(64))
            kind = rng.choice(self.kinds)
            running.append(asyncio.ensure_future(kind(None, rng.random())))
        await asyncio.gather(*running)
        site.record("fault.end", kind="all")

    async def kill(self, daemon=None, number=0.0):
        daemon = daemon or random.Random(number).choice(self.site.daemons)
        if self.busy.get(daemon):
            return
        self.busy[daemon] = True
        self.site.record("fault", kind="kill", daemon=daemon.name)
        daemon.begin_disturbance()
        daemon.signal(signal.SIGKILL)
        await daemon.process.wait()
        await asyncio.sleep(0.2 + 2 * number)
        await daemon.start()
        daemon.end_disturbance()
        self.busy[daemon] = False
