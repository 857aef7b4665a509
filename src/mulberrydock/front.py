"""The client-facing HTTP server: reads whole requests and passes them to a relay."""

import asyncio
import socket
import weakref

import tornado.httputil
from loguru import logger

from .front_sink import ConnectionSink
from .refusal import OTHER_VM_RETRY_SECONDS
from .unframed_sink import FRAMED_VERSION, UnframedSink


def has_left(stream):
    """Return whether the client of a connection has closed it.

    Where this process stood still, that may have come right after the request.
    """
    if stream.closed():
        return True
    try:
        return not stream.socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True


class RequestReader(tornado.httputil.HTTPMessageDelegate):
    """Reads one request and starts the relay; cancels it when the client leaves."""

    def __init__(self, front, connection):
        self.front = front
        self.connection = connection
        self.start_line = None
        self.headers = None
        self.chunks = []
        self.task = None

    def headers_received(self, start_line, headers):
        self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk):
        self.chunks.append(chunk)

    def finish(self):
        body = b"".join(self.chunks)
        # This object lives until the response is sent, and the body with the request.
        self.chunks.clear()
        if has_left(self.connection.stream):
            logger.info(
                "client left before its request was read",
                request=self.front.wire.read_id(self.headers),
            )
            self.connection.close()
            return
        self.task = self.front.start(
            self.start_line,
            self.headers,
            body,
            self.front.make_sink(self.connection, self.start_line.version),
        )
        self.connection.set_close_callback(self.on_connection_close)

    def on_connection_close(self):
        # The client has left: all work for it stops, and its bytes are freed at once,
        # as this object may be part of a reference cycle.
        self.chunks.clear()
        if self.task is not None:
            self.task.cancel()


class Front(tornado.httputil.HTTPServerConnectionDelegate):
    """Accepts client requests and tracks those in progress.

    :param relay: a :class:`~mulberrydock.relay.Relay`.
    :param clock: returns the present time, monotonic seconds.
    """

    def __init__(self, relay, wire, clock):
        self.relay = relay
        self.wire = wire
        self.clock = clock
        self.has_requests = False
        self.draining = False
        self.refusing = False
        self.tasks = set()
        self.streams = weakref.WeakSet()

    def closing(self):
        """Return whether this VM is leaving and clients should connect elsewhere."""
        return self.draining

    def unsent(self):
        """Return how many clients have yet to read the end of a response."""
        return sum(not s.closed() and s.writing() for s in self.streams)

    def start_request(self, server_conn, request_conn):
        self.streams.add(request_conn.stream)
        return RequestReader(self, request_conn)

    def make_sink(self, connection, version):
        """Return the sink of one request on ``connection``.

        :param version: the version of HTTP that its client states.
        """
        if version < FRAMED_VERSION:
            return UnframedSink(connection, self.closing)
        return ConnectionSink(connection, self.closing)

    def start(self, start_line, headers, body, sink):
        """Serve one whole request; return its task, None if it has ended already."""
        self.has_requests = True
        request = self.wire.read_request(start_line, headers, body, self.clock())
        if self.refusing:
            # At once, as the process may end before a task would run. The client has
            # other addresses and may retry there.
            self.relay.reject(request, sink, 503, "stopping", OTHER_VM_RETRY_SECONDS)
            return None
        return self.track(self._serve(request, sink))

    def track(self, coroutine):
        """Run ``coroutine`` as the task of a request; return the task."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _serve(self, request, sink):
        try:
            await self.relay.serve(request, sink)
        except asyncio.CancelledError:
            # The relay has logged that the client left.
            if not sink.done:
                sink.abort()
        except Exception:
            # A fault of this process: the connection is closed so that the client
            # doesn't wait, and as it is unknown whether an upstream ran the request, no
            # status is sent.
            logger.exception("request fault", request=request.id)
            if sink.done:
                return
            sink.abort()
