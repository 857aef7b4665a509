"""A fault-injecting TCP proxy of our own, on tornado's TCP server and client.

It forwards bytes between a listen address and a target. A control port
takes ``POST /faults`` with a mode: ``pass``, ``delay`` (adds ``delay_seconds``
to every chunk), ``partition`` (refuses new connections and drops bytes of
open ones), ``kill`` (closes every open connection) or ``silent`` (open
connections stop forwarding for good while new ones work).
"""

import asyncio
import socket

import tornado.iostream
import tornado.tcpclient
import tornado.tcpserver
import tornado.web

from .._http import JsonHandler, split_address

#: Bytes read from one side at a time.
CHUNK_BYTES = 65536
MODES = ("pass", "delay", "partition", "kill", "silent")


class _Pipe:
    """One proxied connection: two streams and whether it has gone silent."""

    def __init__(self, client, upstream):
        self.client = client
        self.upstream = upstream
        self.silent = False

    def close(self):
        self.client.close()
        self.upstream.close()


class _Acceptor(tornado.tcpserver.TCPServer):
    """Accepts connections for a proxy until it is stopped, once and for all:
    a tornado server that listens again after a stop can't be stopped anew."""

    def __init__(self, proxy):
        super().__init__()
        self.proxy = proxy

    async def handle_stream(self, stream, address):
        await self.proxy.forward(stream)


class FaultProxy:
    """Forwards connections to ``target`` under the present fault mode."""

    def __init__(self, listen, target):
        self.listen_on = split_address(listen)
        self.target = target
        self.mode = "pass"
        self.delay_seconds = 0.0
        self.pipes = set()
        self.connections = 0
        self.held = None
        self.acceptor = None

    def open(self):
        """Accept connections."""
        if self.held is not None:
            self.held.close()
            self.held = None
        host, port = self.listen_on
        self.acceptor = _Acceptor(self)
        self.acceptor.listen(port, address=host)

    def close(self):
        """Refuse connections and keep the port.

        Without a socket bound to it, another process that looks for a free
        port may take it, and the proxy could not be opened again.
        """
        self.acceptor.stop()
        self.held = socket.socket()
        self.held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.held.bind(self.listen_on)

    def set_mode(self, mode, delay_seconds=0.0):
        """Switch mode; ``kill`` closes all and ``silent`` freezes all open pipes.

        In a partition nothing listens, so a new connection is refused and
        its caller knows that nothing was sent.
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
    """Start a proxy from ``listen`` to ``target`` with its control on ``control``."""
    proxy = FaultProxy(listen, target)
    proxy.open()
    app = tornado.web.Application([(r"/faults", FaultsHandler, {"proxy": proxy})])
    host, port = split_address(control)
    app.listen(port, address=host)
    return proxy


async def serve(listen, target, control):
    """Run a proxy until cancelled."""
    start(listen, target, control)
    await asyncio.Event().wait()
