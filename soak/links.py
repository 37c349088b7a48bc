"""TCP proxy between the daemons and everything that they talk to.

A disturbance names the connections it applies to by their two ends and says
what happens to their bytes: delay, silence in one or both directions, reset.
"""

import asyncio
import os
import socket
import struct
import time
from collections import deque

EOF, RESET = object(), object()


def reset_connection(transport):
    """Closes a connection with RST; bytes not yet sent are dropped."""
    if transport is None or transport.is_closing():
        return
    sock = transport.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    except OSError:
        pass
    transport.abort()


class Disturbance:
    """What happens to the connections that `matches(source, target)` selects."""

    def __init__(self, matches, delay=0.0, hold_up=False, hold_down=False):
        self.matches = matches
        self.delay = delay
        self.hold_up = hold_up
        self.hold_down = hold_down


class Network:
    """All proxied connections and the disturbances that apply to them."""

    def __init__(self, find_daemon):
        self.find_daemon = find_daemon
        self.disturbances = []
        self.pairs = set()
        self.sources = {}  # own address of a passed-on connection -> source
        self.ended = []  # (end time, disturbance), for harmed_since()

    def start(self, disturbance):
        self.disturbances.append(disturbance)
        self._wake()

    def stop(self, disturbance):
        self.disturbances.remove(disturbance)
        self.ended.append((time.monotonic(), disturbance))
        self._wake()

    def reset(self, matches):
        for pair in list(self.pairs):
            if matches(pair.source, pair.target):
                pair.reset()

    def mute(self, matches):
        """Open connections go silent for good; new ones work."""
        for pair in self.pairs:
            if matches(pair.source, pair.target):
                pair.muted = True

    def harmed_since(self, source, target, since):
        return (any(d.matches(source, target) for d in self.disturbances) or
                any(end >= since and d.matches(source, target)
                    for end, d in self.ended))

    def _wake(self):
        for pair in self.pairs:
            pair.wake()


class Pair:
    """One proxied connection: the accepted side and the connected side."""

    def __init__(self, network, source, target):
        self.network, self.source, self.target = network, source, target
        self.transports = {"up": None, "down": None}  # where bytes are sent to
        self.queues = {"up": deque(), "down": deque()}
        self.events = {"up": asyncio.Event(), "down": asyncio.Event()}
        self.muted = False
        self.own_address = None
        self.tasks = []
        network.pairs.add(self)

    def wake(self):
        for event in self.events.values():
            event.set()

    def put(self, direction, item):
        queue = self.queues[direction]
        if item is RESET:
            queue.clear()  # Bytes held up by a cut are lost with a reset.
        delay = sum(d.delay for d in self.network.disturbances
                    if d.matches(self.source, self.target))
        queue.append((time.monotonic() + delay, item))
        self.events[direction].set()

    def held(self, direction):
        return self.muted or any(
            d.matches(self.source, self.target) and
            (d.hold_up if direction == "up" else d.hold_down)
            for d in self.network.disturbances)

    async def pump(self, direction):
        queue, event = self.queues[direction], self.events[direction]
        while True:
            if not queue or self.held(direction):
                event.clear()
                await event.wait()
                continue
            wait = queue[0][0] - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
                continue
            _, item = queue.popleft()
            transport = self.transports[direction]
            if item is RESET:
                self.reset()
                return
            if item is EOF:
                transport.close()
            elif not transport.is_closing():
                transport.write(item)

    def reset(self):
        for transport in self.transports.values():
            reset_connection(transport)
        self.close()

    def close(self):
        self.network.pairs.discard(self)
        self.network.sources.pop(self.own_address, None)
        for task in self.tasks:
            if task is not asyncio.current_task():
                task.cancel()


class Side(asyncio.Protocol):
    def __init__(self, pair, direction):
        self.pair, self.direction = pair, direction

    def data_received(self, data):
        self.pair.put(self.direction, data)

    def connection_lost(self, exc):
        self.pair.put(self.direction, RESET if exc else EOF)
        if all(t is None or t.is_closing()
               for t in self.pair.transports.values()):
            self.pair.close()


class Proxy:
    """Listens for daemons and passes their connections on to one target."""

    def __init__(self, network, target, host, backend, source=None):
        self.network, self.target, self.host = network, target, host
        self.backend, self.source = backend, source
        self.port, self.server = 0, None

    async def open(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._accept, self.host, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    def refuse(self):
        """New connections are refused until the next open()."""
        if self.server:
            self.server.close()
            self.server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def _accept(self):
        return Acceptor(self)


class Acceptor(asyncio.Protocol):
    def __init__(self, proxy):
        self.proxy, self.pair = proxy, None

    def connection_made(self, transport):
        proxy = self.proxy
        source = proxy.source or proxy.network.find_daemon(
            transport.get_extra_info("peername"),
            transport.get_extra_info("sockname"))
        pair = self.pair = Pair(proxy.network, source, proxy.target)
        pair.transports["down"] = transport
        pair.tasks = [asyncio.ensure_future(self._connect(pair)),
                      asyncio.ensure_future(pair.pump("down"))]

    async def _connect(self, pair):
        try:
            transport, _ = await asyncio.get_running_loop().create_connection(
                lambda: Side(pair, "down"), *self.proxy.backend)
        except OSError:
            pair.put("down", RESET)
            return
        pair.transports["up"] = transport
        pair.own_address = transport.get_extra_info("sockname")
        pair.network.sources[pair.own_address] = pair.source
        await pair.pump("up")

    def data_received(self, data):
        self.pair.put("up", data)

    def connection_lost(self, exc):
        Side(self.pair, "up").connection_lost(exc)


def owner_of_connection(peer, local, pids):
    """The key in `pids` (key -> process id) of the process that opened the TCP
    connection from `peer` to `local`, or None."""

    def form(address):
        packed = socket.inet_aton(address[0])[::-1].hex().upper()
        return f"{packed}:{address[1]:04X}"

    wanted = f" {form(peer)} {form(local)} "
    inode = None
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            if wanted in line:
                inode = line.split()[9]
                break
    if inode is None:
        return None
    name = f"socket:[{inode}]"
    for key, pid in pids.items():
        try:
            for entry in os.scandir(f"/proc/{pid}/fd"):
                try:
                    if os.readlink(entry.path) == name:
                        return key
                except OSError:
                    continue
        except OSError:
            continue
    return None
