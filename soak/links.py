"""TCP proxy between the daemons and all that they talk to, with faults on its connections."""

import asyncio
import os
import socket
import struct
import time
from collections import deque
from contextlib import suppress
from dataclasses import dataclass
from typing import Callable

EOF, RESET = object(), object()
UP, DOWN = 0, 1


@dataclass(eq=False)
class Disturbance:
    """What happens to the bytes of connections that `matches(source, target)` selects."""

    matches: Callable
    delay: float = 0.0
    hold: tuple = (False, False)  # silence of the directions UP and DOWN
    ended: float = float("inf")


def reset_connection(transport):
    """Closes a connection with RST; bytes not yet sent are dropped."""
    if transport and not transport.is_closing():
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()


class Network:
    """All proxied connections, and the disturbances that apply to them."""

    def __init__(self, find_daemon):
        self.find_daemon = find_daemon
        self.disturbances, self.past, self.pairs = [], [], set()
        self.sources = {}  # address from which a connection is passed on -> its source

    def start(self, disturbance):
        self.disturbances.append(disturbance)

    def stop(self, disturbance):
        disturbance.ended = time.monotonic()
        self.disturbances.remove(disturbance)
        self.past.append(disturbance)
        for pair in self.pairs:
            for event in pair.events:
                event.set()

    def matching(self, matches):
        return [pair for pair in self.pairs if matches(pair.source, pair.target)]

    def harmed_since(self, source, target, since):
        return any(d.ended >= since and d.matches(source, target)
                   for d in self.disturbances + self.past)


class Pair:
    """One proxied connection. Each direction has a queue of (due time, bytes or end)."""

    def __init__(self, proxy, accepted):
        self.network, self.target = proxy.network, proxy.target
        self.source = proxy.source or self.network.find_daemon(
            accepted.get_extra_info("peername"), accepted.get_extra_info("sockname"))
        self.receivers = [None, accepted]
        self.queues = deque(), deque()
        self.events = asyncio.Event(), asyncio.Event()
        self.muted, self.own_address = False, None
        self.network.pairs.add(self)
        self.tasks = [asyncio.ensure_future(self.connect(proxy.backend)),
                      asyncio.ensure_future(self.pump(DOWN))]

    async def connect(self, backend):
        try:
            self.receivers[UP], _ = await asyncio.get_running_loop().create_connection(
                lambda: Side(DOWN, pair=self), *backend)
        except OSError:
            self.put(DOWN, RESET)
            return
        self.own_address = self.receivers[UP].get_extra_info("sockname")
        self.network.sources[self.own_address] = self.source
        await self.pump(UP)

    def disturbances(self):
        return [d for d in self.network.disturbances if d.matches(self.source, self.target)]

    def put(self, direction, item):
        if item is RESET:
            self.queues[direction].clear()  # Bytes held up by a cut are lost with a reset.
        delay = sum(d.delay for d in self.disturbances())
        self.queues[direction].append((time.monotonic() + delay, item))
        self.events[direction].set()

    async def pump(self, direction):
        queue, event = self.queues[direction], self.events[direction]
        while True:
            if not queue or self.muted or any(d.hold[direction] for d in self.disturbances()):
                event.clear()
                await event.wait()
            elif (wait := queue[0][0] - time.monotonic()) > 0:
                await asyncio.sleep(wait)
            else:
                item, receiver = queue.popleft()[1], self.receivers[direction]
                if item is RESET:
                    self.reset()
                elif item is EOF:
                    receiver.close()
                elif not receiver.is_closing():
                    receiver.write(item)

    def reset(self):
        for receiver in self.receivers:
            reset_connection(receiver)
        self.close()

    def close(self):
        self.network.pairs.discard(self)
        self.network.sources.pop(self.own_address, None)
        for task in self.tasks:
            task.cancel()


class Side(asyncio.Protocol):
    """One end of a proxied connection; what it receives is sent in `direction`."""

    def __init__(self, direction, pair=None, proxy=None):
        self.direction, self.pair, self.proxy = direction, pair, proxy

    def connection_made(self, transport):
        self.pair = self.pair or Pair(self.proxy, transport)

    def data_received(self, data):
        self.pair.put(self.direction, data)

    def connection_lost(self, exc):
        self.pair.put(self.direction, RESET if exc else EOF)
        if all(receiver is None or receiver.is_closing() for receiver in self.pair.receivers):
            self.pair.close()


class Proxy:
    """Listens for daemons and passes their connections on to one target."""

    def __init__(self, network, target, backend, host="127.0.0.1", port=0, source=None):
        self.network, self.target, self.backend = network, target, backend
        self.host, self.port, self.source, self.server = host, port, source, None

    async def open(self):
        self.server = await asyncio.get_running_loop().create_server(
            lambda: Side(UP, proxy=self), self.host, self.port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{self.port}"

    def refuse(self):
        """New connections are refused until the next open()."""
        self.server.close()


def inode_of_connection(peer, local):
    """Asks the kernel for the socket at `peer` of the TCP connection to `local`."""
    def packed(host):
        return socket.inet_aton(host).ljust(16, b"\0")
    # inet_diag_req_v2 of one connection, in a message of type SOCK_DIAG_BY_FAMILY.
    request = struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0xFFFFFFFF) + \
        struct.pack(">HH", peer[1], local[1]) + packed(peer[0]) + packed(local[0]) + \
        struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, 4) as kernel:
        kernel.send(struct.pack("=IHHII", 16 + len(request), 20, 1, 0, 0) + request)
        answer = kernel.recv(4096)
    is_error = struct.unpack_from("=H", answer, 4)[0] != 20
    return None if is_error else struct.unpack_from("=I", answer, 16 + 68)[0]


def owner_of_connection(peer, local, processes):
    """The key in `processes` (key -> process id) of the process that opened the TCP connection
    from `peer` to `local`, or None."""
    wanted = f"socket:[{inode_of_connection(peer, local)}]"
    for key, process in processes.items():
        with suppress(OSError):  # The process may end meanwhile.
            for entry in os.scandir(f"/proc/{process}/fd"):
                with suppress(OSError):
                    if os.readlink(entry.path) == wanted:
                        return key
    return None
