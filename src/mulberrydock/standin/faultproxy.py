"""Fault-injecting TCP proxy, built on tornado's TCP server and client.

It forwards bytes between a listen address and a target. A control port takes
``POST /faults`` with a mode:

- ``pass`` forwards normally,
- ``delay`` delays every chunk by ``delay_seconds``,
- ``partition`` refuses new connections and drops the bytes of open ones,
- ``kill`` closes every open connection,
- ``silent`` stops forwarding on all open connections for good; new ones work.
"""

import asyncio
import socket

import tornado.iostream
import tornado.tcpclient
import tornado.tcpserver
import tornado.web

from .._http import JsonHandler, split_address
from .listening import ListenerMixin, shut_down

#: Most bytes read from one side at a time.
CHUNK_BYTES = 65536
MODES = ("pass", "delay", "partition", "kill", "silent")


class _Pipe:
    """One proxied connection: its two streams, and whether it stopped forwarding."""

    def __init__(self, client, upstream):
        self.client = client
        self.upstream = upstream
        self.silent = False

    def close(self):
        self.client.close()
        self.upstream.close()


class _Acceptor(ListenerMixin, tornado.tcpserver.TCPServer):
    """Accepts the connections of a proxy until it is stopped.

    It is used once only: a tornado server that listens again after a stop can't be
    stopped a second time.
    """

    def __init__(self, proxy):
        super().__init__()
        self.proxy = proxy

    async def handle_stream(self, stream, address):
        await self.proxy.forward(stream)


class FaultProxy:
    """Forwards connections to a target under the current fault mode.

    :param listen: ``host:port`` to accept on.
    :param target: ``host:port`` to forward to.
    """

    def __init__(self, listen, target):
        self.listen_address = split_address(listen)
        self.target = target
        self.mode = "pass"
        self.delay_seconds = 0.0
        self.pipes = set()
        self.connections = 0
        self.reserved = None
        self.acceptor = None

    def open(self):
        """Start to accept connections."""
        self._free_port()
        host, port = self.listen_address
        self.acceptor = _Acceptor(self)
        self.acceptor.listen(port, address=host)

    def close(self):
        """Refuse new connections and keep the port reserved.

        A socket stays bound to the port. Otherwise another process that looks for a
        free port could take it, and the proxy couldn't be opened again.
        """
        self.acceptor.stop()
        self.reserved = socket.socket()
        self.reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reserved.bind(self.listen_address)

    def _free_port(self):
        if self.reserved is not None:
            shut_down(self.reserved)
            self.reserved.close()
            self.reserved = None

    def release(self):
        """Stop for good: close all connections and release the port."""
        self.acceptor.stop()
        self._free_port()
        for pipe in list(self.pipes):
            pipe.close()

    def set_mode(self, mode, delay_seconds=0.0):
        """Switch the fault mode.

        ``kill`` and ``silent`` affect the connections that are open now; afterwards the
        mode is ``pass``. In a partition nothing listens on the port, so a new
        connection is refused and its client knows that nothing was sent.

        :param mode: one of :data:`MODES`.
        :param delay_seconds: delay of every chunk in mode ``delay``.
        """
        if mode == "partition" and self.mode != "partition":
            self.close()
        elif mode != "partition" and self.mode == "partition":
            self.open()
        self.mode = mode
        self.delay_seconds = delay_seconds
        if mode == "kill":
            for pipe in list(self.pipes):
                pipe.close()
            self.mode = "pass"
        elif mode == "silent":
            for pipe in self.pipes:
                pipe.silent = True
            self.mode = "pass"

    async def forward(self, stream):
        """Forward one accepted connection until either side closes it."""
        host, port = split_address(self.target)
        try:
            upstream = await tornado.tcpclient.TCPClient().connect(host, port)
        except OSError:
            stream.close()
            return
        self.connections += 1
        pipe = _Pipe(stream, upstream)
        self.pipes.add(pipe)
        try:
            await asyncio.gather(
                self._copy(pipe, stream, upstream), self._copy(pipe, upstream, stream)
            )
        finally:
            self.pipes.discard(pipe)
            pipe.close()

    async def _copy(self, pipe, source, sink):
        try:
            while True:
                data = await source.read_bytes(CHUNK_BYTES, partial=True)
                if pipe.silent or self.mode == "partition":
                    continue
                if self.mode == "delay" and self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                await sink.write(data)
        except tornado.iostream.StreamClosedError:
            if not pipe.silent:
                sink.close()


class FaultsHandler(JsonHandler):
    """``POST /faults`` ``{"mode": ..., "delay_seconds": ...}``."""

    def initialize(self, proxy):
        self.proxy = proxy

    def get(self):
        self.send_json({"mode": self.proxy.mode, "open": len(self.proxy.pipes)})

    def post(self):
        body = self.json_body()
        mode = body.get("mode", "pass")
        if mode not in MODES:
            self.send_json({"error": f"mode must be one of {MODES}"}, status=400)
            return
        self.proxy.set_mode(mode, float(body.get("delay_seconds", 0.0)))
        self.send_json({"mode": self.proxy.mode})


def start(listen, target, control):
    """Start a proxy and its control port on the running event loop.

    :param listen: ``host:port`` to accept on.
    :param target: ``host:port`` to forward to.
    :param control: ``host:port`` that accepts ``POST /faults``.
    :returns: the :class:`FaultProxy`.
    """
    proxy = FaultProxy(listen, target)
    proxy.open()
    app = tornado.web.Application([(r"/faults", FaultsHandler, {"proxy": proxy})])
    host, port = split_address(control)
    app.listen(port, address=host)
    return proxy


async def serve(listen, target, control):
    """Run a proxy until cancelled; the arguments are those of :func:`start`."""
    start(listen, target, control)
    await asyncio.Event().wait()
