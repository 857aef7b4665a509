"""Kept HTTP/1.1 connections to one address, one exchange at a time on each.

Built on tornado's ``TCPClient`` and ``HTTP1Connection``; its pooled client
keeps no connection open. An answer belongs to a request only if it names the
request's id, so a late or second answer that sits on a kept connection never
reaches another request.
"""

import abc
import asyncio
import functools
import socket
import time

import attrs
import tornado.http1connection
import tornado.httputil
import tornado.iostream
import tornado.tcpclient

from ._http import split_address
from .exceptions import ConnectionCut, ResultCode, UpstreamError

#: Seconds for a new connection; a place two data centres away answers in 2 ms,
#: a VM without power never does.
CONNECT_TIMEOUT_SECONDS = 0.5
#: Milliseconds that sent bytes may stay unacknowledged before the kernel
#: closes the connection: a partition shows in no other way while sending.
TCP_USER_TIMEOUT_MS = 2000
#: Seconds of idleness before keep-alive probes, between them, and how many.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
#: Seconds for which an unused connection is kept when the peer names no limit.
IDLE_SECONDS = 10.0
#: Seconds before the peer's stated idle limit at which we stop reusing, so
#: that a request never crosses the peer's close.
IDLE_MARGIN_SECONDS = 1.0
#: Unused connections kept to one address.
IDLE_KEPT = 8
#: Answers to other requests that are skipped on one connection.
STALE_ANSWERS_SKIPPED = 2
#: Bytes of one answer's body; the platform's largest item is 1 MiB in base64.
MAX_BODY_BYTES = 16 * 1024 * 1024

PARAMS = tornado.http1connection.HTTP1ConnectionParameters(
    decompress=False, max_body_size=MAX_BODY_BYTES
)


class Listener(abc.ABC):
    """Takes the parts of one answer as they arrive.

    ``begun_at`` is when the answer first made progress and ``progress_at`` when it last
    did, None before.
    """

    begun_at: float | None = None
    progress_at: float | None = None

    @abc.abstractmethod
    def on_headers(self, status, headers):
        """The final status line and headers have arrived."""

    @abc.abstractmethod
    def on_data(self, chunk):
        """Body bytes have arrived; an awaitable result slows the reading."""

    def check(self):
        """The answer has ended; raise :class:`UpstreamError` if it is wrong."""


@attrs.define
class BufferedResponse(Listener):
    """Collects a whole answer in memory."""

    status: int = 0
    headers: tornado.httputil.HTTPHeaders | None = None
    chunks: list = attrs.field(factory=list)

    def on_headers(self, status, headers):
        self.status = status
        self.headers = headers

    def on_data(self, chunk):
        self.chunks.append(chunk)

    @property
    def body(self):
        """The body received so far."""
        return b"".join(self.chunks)


class _Stream(tornado.iostream.IOStream):
    def has_unread(self):
        """True when bytes wait that no request asked for, or the peer closed."""
        if self._read_buffer_size:
            return True
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


class _Delegate(tornado.httputil.HTTPMessageDelegate):
    """Passes one answer on, or drops it when it names another request."""

    def __init__(self, listener, accepts):
        self.listener = listener
        self.accepts = accepts
        self.done = asyncio.get_running_loop().create_future()
        self.skipped = False
        self.headers = None

    def headers_received(self, start_line, headers):
        if start_line.code < 200:
            return
        self.skipped = not self.accepts(headers)
        if self.skipped:
            return
        self.headers = headers
        self.listener.on_headers(start_line.code, headers)

    def data_received(self, chunk):
        if self.skipped:
            return None
        return self.listener.on_data(chunk)

    def finish(self):
        if not self.done.done():
            self.done.set_result(True)

    def on_connection_close(self):
        if not self.done.done():
            self.done.set_result(False)


def _configure(sock):
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def _is_refusal(error):
    """True when a connection failed as nobody listens, not for want of an answer."""
    if not isinstance(error, tornado.iostream.StreamClosedError):
        return False
    return error.real_error is None or isinstance(error.real_error, ConnectionError)


@attrs.define(eq=False)
class Connection:
    """An open connection and until when it may be reused (monotonic seconds)."""

    stream: _Stream
    reusable_until: float = 0.0


class ConnectionPool:
    """Connections to one address, for one incarnation of what listens there.

    :param limit: connections open at once; more are refused.
    """

    def __init__(self, address, limit=1000):
        self.address = address
        self.limit = limit
        self.idle = []
        self.open = 0

    @property
    def exhausted(self):
        """True when every allowed connection is in use."""
        return self.open >= self.limit and not self.idle

    def close(self):
        """Close the unused connections; those in use end with their exchange."""
        for connection in self.idle:
            self._discard(connection)
        self.idle.clear()

    def _discard(self, connection):
        self.open -= 1
        connection.stream.close()

    def _reuse(self, now):
        while self.idle:
            connection = self.idle.pop()
            usable = now < connection.reusable_until
            if usable and not connection.stream.closed():
                # Bytes that nobody asked for belong to no request; a peer
                # that closed meanwhile would turn the send into an unknown.
                if not connection.stream.has_unread():
                    return connection
            self._discard(connection)
        return None

    async def _connect(self):
        host, port = split_address(self.address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _configure(sock)
        stream = _Stream(sock)
        self.open += 1
        try:
            await asyncio.wait_for(
                stream.connect((host, port)), CONNECT_TIMEOUT_SECONDS
            )
        except BaseException as error:
            self.open -= 1
            stream.close()
            if isinstance(
                error,
                (OSError, asyncio.TimeoutError, tornado.iostream.StreamClosedError),
            ):
                raise UpstreamError(
                    f"connect to {self.address}: {error!r}", ResultCode.NOT_RUN
                ) from error
            raise
        return Connection(stream)

    async def acquire(self, now):
        """Return a kept connection, or a new one.

        :raises UpstreamError: NOT_RUN when none can be had.
        """
        connection = self._reuse(now)
        if connection is not None:
            return connection
        if self.open >= self.limit:
            raise UpstreamError(
                f"{self.address}: {self.open} connections in use", ResultCode.NOT_RUN
            )
        return await self._connect()

    async def accepts(self, now):
        """Return whether the peer accepts connections, None when it doesn't say.

        A connection made to find out is kept for the next exchange.
        """
        try:
            connection = await self._connect()
        except UpstreamError as error:
            return False if _is_refusal(error.__cause__) else None
        self.release(connection, now, IDLE_SECONDS - IDLE_MARGIN_SECONDS)
        return True

    def release(self, connection, now, keep_seconds):
        """Keep ``connection`` for ``keep_seconds`` if it can carry another."""
        stream = connection.stream
        full = len(self.idle) >= IDLE_KEPT
        if full or keep_seconds <= 0 or stream.closed() or stream.has_unread():
            self._discard(connection)
            return
        connection.reusable_until = now + keep_seconds
        self.idle.append(connection)

    async def exchange(
        self, method, target, headers, body, listener, accepts=None, keep_alive=None
    ):
        """Send one request and feed its answer to ``listener``.

        :param accepts: called with an answer's headers; False when the answer
            is another request's and must be skipped.
        :param keep_alive: called with the headers; seconds the peer lets the
            connection idle, 0 when it closes it, None when it says nothing.
        :raises UpstreamError: NOT_RUN when nothing was sent,
            UPSTREAM_FAILED when the answer did not come whole.
        """
        connection = await self.acquire(time.monotonic())
        kept = False
        try:
            response_headers, complete = await self._run(
                connection, method, target, headers, body, listener, accepts
            )
            kept = complete and self._keep(connection, response_headers, keep_alive)
        finally:
            # Also on cancellation: closing tells the peer to stop its work.
            if not kept:
                self._discard(connection)

    def _keep(self, connection, headers, keep_alive):
        seconds = keep_alive(headers) if keep_alive else None
        seconds = IDLE_SECONDS if seconds is None else seconds
        self.release(connection, time.monotonic(), seconds - IDLE_MARGIN_SECONDS)
        return True

    async def _run(self, connection, method, target, headers, body, listener, accepts):
        stream = connection.stream
        accepts = accepts or (lambda _: True)
        http = tornado.http1connection.HTTP1Connection(stream, True, PARAMS)
        start = tornado.httputil.RequestStartLine(method, target, "HTTP/1.1")
        try:
            http.write_headers(start, tornado.httputil.HTTPHeaders(headers))
            if body:
                http.write(body)
            http.finish()
        except tornado.iostream.StreamClosedError as error:
            raise ConnectionCut(f"{self.address} cut: {error}") from error
        for _ in range(1 + STALE_ANSWERS_SKIPPED):
            delegate = _Delegate(listener, accepts)
            whole, reading = await self._read(http, delegate)
            if not whole:
                break
            if not delegate.skipped:
                # The end of an unframed body and a reset look alike to the
                # reader; only the socket's error tells them apart.
                if stream.error is not None:
                    break
                return delegate.headers, reading.done() and not stream.closed()
            http = tornado.http1connection.HTTP1Connection(stream, True, PARAMS)
            http.finish()
        raise ConnectionCut(f"{self.address} cut the answer")

    async def _read(self, http, delegate):
        reading = asyncio.ensure_future(http.read_response(delegate))
        reading.add_done_callback(functools.partial(_reading_done, delegate))
        try:
            whole = await delegate.done
            if whole:
                # The answer may be complete before our request is fully read;
                # then the connection can't carry another one.
                await asyncio.sleep(0)
            return whole, reading
        except asyncio.CancelledError:
            reading.cancel()
            raise


def _reading_done(delegate, reading):
    """End the wait for an answer when its reader ended without one."""
    if reading.cancelled():
        delegate.on_connection_close()
        return
    # Taken here so that the loop doesn't report it as never retrieved; the
    # delegate's end is what the sender acts on.
    reading.exception()
    delegate.on_connection_close()
