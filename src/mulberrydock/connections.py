"""Pooled HTTP/1.1 connections to one address, one exchange at a time on each.

Built on tornado's ``TCPClient`` and ``HTTP1Connection``, as tornado's HTTP client keeps
no connection open. A response is matched to its request by the request id that it
names, so a late or second response on a reused connection never reaches another
request.
"""

import abc
import asyncio
import functools
import math
import socket
import time

import attrs
import tornado.http1connection
import tornado.httputil
import tornado.iostream
import tornado.tcpclient
from loguru import logger

from ._http import split_address
from .connect_reason import ConnectReason
from .exceptions import CallWithheld, ConnectionCut, ResultCode, UpstreamError
from .request import UpstreamCall
from .response_turns import ResponseTurns, TurnUse

#: Seconds for a new connection: an address two data centres away answers in 2 ms, a VM
#: without power never does.
CONNECT_TIMEOUT_SECONDS = 0.5
#: Milliseconds that sent bytes may stay unacknowledged before the kernel closes the
#: connection; while sending, nothing else reveals a partition.
TCP_USER_TIMEOUT_MS = 2000
#: Seconds without traffic before keep-alive probes, seconds between probes, and their
#: number.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
#: Seconds for which an idle connection is kept when the peer states no limit.
IDLE_TIMEOUT_SECONDS = 10.0
#: Seconds before the peer's idle limit at which a connection is no longer reused, so
#: that no request is on its way while the peer closes the connection.
IDLE_TIMEOUT_MARGIN_SECONDS = 1.0
#: Maximum number of idle connections to one address.
MAX_IDLE_CONNECTIONS = 8
#: Seconds for the answer to a check: an instance answers it without a slot.
CHECK_TIMEOUT_SECONDS = 0.3
#: Seconds that a connection takes to open, up to which a request waits for the check: a
#: round trip that no client notices. From farther peers the answer comes meanwhile, on
#: another connection.
CHECK_FIRST_SECONDS = 0.01
#: Responses to other requests that one exchange skips before it fails.
MAX_STALE_RESPONSES = 2
#: Maximum size of a response body. Those that aren't held may be as long as this.
MAX_BODY_BYTES = 16 * 1024 * 1024
#: Maximum size of a response of an instance that is held until its end: some tens that
#: don't end fit into the memory of a VM.
MAX_HELD_BYTES = 4 * 1024 * 1024
#: Maximum size of a response to a call of this system: a report, a handle, the outcome
#: of an order. A report lists the runs of an engine, some tens of bytes each.
MAX_CALL_BYTES = 256 * 1024

#: The end of a head. Tornado's regex for it begins with an optional byte, which makes a
#: search ten times as long, and each part of a head without an end is searched.
HEAD_END = rb"\n\r?\n"
#: Bytes of one read: what is read of each of many responses takes memory, and time to
#: parse in one piece.
READ_CHUNK_BYTES = 16 * 1024

CONNECTION_PARAMS = tornado.http1connection.HTTP1ConnectionParameters(
    decompress=False, max_body_size=MAX_BODY_BYTES, chunk_size=READ_CHUNK_BYTES
)


def ends_with_connection(headers):
    """Return whether only the end of its connection shows where a body ends."""
    chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    return not chunked and "Content-Length" not in headers


class ResponseListener(abc.ABC):
    """Receives the parts of one response as they arrive.

    ``first_progress_at`` is when the response first made progress and
    ``last_progress_at`` when it last did, monotonic seconds, None before.
    """

    first_progress_at: float | None = None
    last_progress_at: float | None = None

    @abc.abstractmethod
    def on_headers(self, status, headers):
        """Handle the final status line and headers."""

    @abc.abstractmethod
    def on_data(self, chunk):
        """Handle body bytes; an awaitable result delays further reading."""

    def check(self):
        """Validate the response at its end.

        :raises UpstreamError: when it is wrong.
        """

    def hold(self):
        """Pass nothing on until :meth:`release`, as another instance may take over.

        :returns: a future that is done once there is something to pass on. A buffered
            response passes nothing on before its end.
        """
        return asyncio.get_running_loop().create_future()

    def release(self):
        """Go on after :meth:`hold`."""


@attrs.define
class HeldChunks:
    """The bytes of a response that is held until its end, up to ``limit`` bytes.

    ``share`` is the :class:`~mulberrydock.response_room.ResponseShare` of its request,
    None for a response to a call that no request makes.
    """

    limit: int = MAX_HELD_BYTES
    share: object = None
    chunks: list = attrs.field(factory=list)
    size: int = 0

    def __attrs_post_init__(self):
        if self.share is not None:
            self.share.responses.append(self)

    def clear(self):
        """Drop the bytes that are held."""
        self.chunks.clear()

    def append(self, chunk):
        """Hold a part of the response.

        :returns: None, or an awaitable that delays further reading.
        :raises UpstreamError: when there are too many bytes.
        """
        self.size += len(chunk)
        if self.size > self.limit:
            self.chunks.clear()
            raise UpstreamError(f"response of more than {self.limit} bytes")
        self.chunks.append(chunk)
        return None if self.share is None else self.share.add(len(chunk))

    def join(self):
        """Return the bytes held so far."""
        return b"".join(self.chunks)


@attrs.define
class BufferedResponse(ResponseListener):
    """Collects a whole response in memory, by default that to a call of this system."""

    status: int = 0
    headers: tornado.httputil.HTTPHeaders | None = None
    chunks: HeldChunks = attrs.field(factory=lambda: HeldChunks(MAX_CALL_BYTES))

    def on_headers(self, status, headers):
        self.status = status
        self.headers = headers

    def on_data(self, chunk):
        return self.chunks.append(chunk)

    def check(self):
        # Such a response can't be told from one that is cut right after its head.
        is_success = 200 <= self.status < 300 and self.status != 204
        if is_success and not self.chunks.size and ends_with_connection(self.headers):
            raise ConnectionCut("response ended before its first byte")

    @property
    def body(self):
        """The body bytes received so far."""
        return self.chunks.join()


class _Stream(tornado.iostream.IOStream):
    """The socket of a connection; what arrives waits for a turn to be processed."""

    def __init__(self, sock):
        super().__init__(sock, read_chunk_size=READ_CHUNK_BYTES)
        self.turns = ResponseTurns.of_loop()
        self.use = TurnUse()

    def read_until_regex(self, regex, max_bytes=None):
        # Only heads are read so. This regex ends where that of tornado does.
        return self._admit(super().read_until_regex(HEAD_END, max_bytes))

    def read_until(self, delimiter, max_bytes=None):
        return self._admit(super().read_until(delimiter, max_bytes))

    def read_bytes(self, num_bytes, partial=False):
        return self._admit(super().read_bytes(num_bytes, partial))

    def _admit(self, read):
        if read.done() and not read.cancelled() and read.exception() is None:
            size = len(read.result())
            if self.turns.admit(self.use, size, time.monotonic()):
                return read
        return self._wait(read)

    async def _wait(self, read):
        is_done = read.done()
        part = await read
        size = len(part)
        if is_done or not self.turns.admit(self.use, size, time.monotonic()):
            await self.turns.wait(self.use, size, time.monotonic)
        return part

    def has_unread(self):
        """Return whether unrequested bytes wait, or the peer closed the connection."""
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
    """Passes one response on, or skips it when it names another request.

    ``error`` is the :class:`UpstreamError` with which the listener refused it, if any.
    """

    def __init__(self, stream, listener, accept_response, on_progress):
        self.stream = stream
        self.error = None
        self.listener = listener
        self.accept_response = accept_response
        self.on_progress = on_progress
        self.done = asyncio.get_running_loop().create_future()
        self.skipped = False
        self.headers = None

    def headers_received(self, start_line, headers):
        self.on_progress()
        if start_line.code < 100:
            self._refuse(UpstreamError(f"response with status {start_line.code}"))
            return
        if start_line.code < 200:
            return
        self.skipped = not self.accept_response(start_line.code, headers)
        if self.skipped:
            return
        self.headers = headers
        self.listener.on_headers(start_line.code, headers)

    def data_received(self, chunk):
        self.on_progress()
        if self.skipped or self.error is not None:
            return None
        try:
            written = self.listener.on_data(chunk)
        except UpstreamError as error:
            self._refuse(error)
            return None
        return self._pass_on(written) if asyncio.iscoroutine(written) else written

    async def _pass_on(self, written):
        try:
            await written
        except UpstreamError as error:
            self._refuse(error)

    def _refuse(self, error):
        # Tornado would log an exception raised here and lose its type.
        self.error = error
        self.stream.close()

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


def _is_connection_refused(error):
    """Return whether a connection failed because nobody listens, not by a timeout."""
    if not isinstance(error, tornado.iostream.StreamClosedError):
        return False
    return error.real_error is None or isinstance(error.real_error, ConnectionError)


@attrs.define(eq=False)
class Connection:
    """An open connection, since when, and until when it may be reused.

    Times are monotonic seconds; it took ``connect_seconds`` to open. ``has_calls`` is
    True once a call without an id was made on it: a late copy of its response can't be
    told from the response to another one.
    """

    stream: _Stream
    opened_at: float
    connect_seconds: float
    reusable_until: float = 0.0
    has_calls: bool = False


class ConnectionPool:
    """Connections to one address, for one incarnation of the server there.

    An owner may set ``on_connect``: it is called after each attempt to connect, with
    whether it succeeded and the seconds that it took; and ``on_new``: called before it
    with the :class:`~mulberrydock.connect_reason.ConnectReason`.

    :param limit: maximum number of open connections.

    ``confirmed_at`` is when a call was last sent whose response confirmed that the peer
    is the incarnation of this pool, ``asking`` the task of such a call in progress.
    """

    def __init__(self, address, limit=1000):
        self.address = address
        self.limit = limit
        self.on_connect = lambda connected, seconds: None
        self.on_new = lambda reason: None
        self.last_end = ConnectReason.FIRST
        self.idle = []
        self.open = 0
        self.waiting_since = {}
        self.heard_at = -math.inf
        self.confirmed_at = -math.inf
        self.asking = None

    @property
    def exhausted(self):
        """True when all allowed connections are in use."""
        return self.open >= self.limit and not self.idle

    def close(self):
        """Close the idle connections; those in use close after their exchange."""
        for connection in self.idle:
            self._discard(connection)
        self.idle.clear()

    def _discard(self, connection):
        self.open -= 1
        connection.stream.close()

    def _reuse(self, now, is_certain=False):
        """Return an idle connection, None if there is no usable one.

        :param is_certain: whether one with calls may not be used.
        """
        for connection in reversed(self.idle[:]):
            if is_certain and connection.has_calls:
                continue
            self.idle.remove(connection)
            usable = now < connection.reusable_until
            self.last_end = ConnectReason.CLOSED if usable else ConnectReason.EXPIRED
            if usable and not connection.stream.closed():
                # Unrequested bytes belong to no request, and on a connection that the
                # peer has closed the outcome of a send would be unknown.
                if not connection.stream.has_unread():
                    return connection
            self._discard(connection)
        return None

    def silent_since(self):
        """Return since when the peer owes a response without sending anything.

        :returns: monotonic seconds, None while no exchange is in progress.
        """
        oldest = min(self.waiting_since.values(), default=None)
        return None if oldest is None else max(oldest, self.heard_at)

    async def _connect(self, reason, timeout=CONNECT_TIMEOUT_SECONDS):
        self.on_new(reason)
        host, port = split_address(self.address)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _configure(sock)
        stream = _Stream(sock)
        self.open += 1
        started = time.monotonic()
        try:
            await asyncio.wait_for(stream.connect((host, port)), timeout)
        except BaseException as error:
            self.open -= 1
            stream.close()
            if isinstance(
                error,
                (OSError, asyncio.TimeoutError, tornado.iostream.StreamClosedError),
            ):
                self.on_connect(False, time.monotonic() - started)
                raise UpstreamError(
                    f"can't connect to {self.address}: {error!r}", ResultCode.NOT_RUN
                ) from error
            raise
        opened_at = time.monotonic()
        self.on_connect(True, opened_at - started)
        return Connection(stream, opened_at, opened_at - started)

    async def acquire(self, now, is_certain=False):
        """Return an idle connection, or a new one.

        :param is_certain: whether it must be one on which no call was made.
        :raises UpstreamError: NOT_RUN when no connection is available.
        """
        had_idle = bool(self.idle)
        connection = self._reuse(now, is_certain)
        if connection is not None:
            return connection
        if is_certain and self.open >= self.limit and self.idle:
            self._discard(self.idle.pop(0))
        if self.open >= self.limit:
            raise UpstreamError(
                f"{self.address}: {self.open} of {self.limit} connections in use",
                ResultCode.NOT_RUN,
            )
        busy = self.open and not had_idle
        return await self._connect(ConnectReason.BUSY if busy else self.last_end)

    async def probe(self, now, timeout=CONNECT_TIMEOUT_SECONDS):
        """Return whether the peer accepts connections, None when it doesn't respond.

        The connection made for this is pooled for the next exchange.

        :param timeout: seconds within which it has to respond.
        """
        try:
            connection = await self._connect(ConnectReason.PROBE, timeout)
        except UpstreamError as error:
            return False if _is_connection_refused(error.__cause__) else None
        self.release(
            connection, now, IDLE_TIMEOUT_SECONDS - IDLE_TIMEOUT_MARGIN_SECONDS
        )
        return True

    def release(self, connection, now, idle_seconds):
        """Pool ``connection`` for ``idle_seconds`` if it is reusable, else close it."""
        stream = connection.stream
        full = len(self.idle) >= MAX_IDLE_CONNECTIONS
        if full or idle_seconds <= 0 or stream.closed() or stream.has_unread():
            self.last_end = ConnectReason.SURPLUS if full else ConnectReason.ENDED
            self._discard(connection)
            return
        connection.reusable_until = now + idle_seconds
        self.idle.append(connection)

    async def exchange(
        self,
        method,
        target,
        headers,
        body,
        listener,
        accept_response=None,
        keep_alive=None,
        check_send=None,
        check=None,
        has_id=True,
        is_certain=False,
    ):
        """Send one request and feed its response to ``listener``.

        :param accept_response: called with a response's status and headers; returns
            False when it is another request's and must be skipped.
        :param keep_alive: called with the headers; returns the seconds for which the
            peer lets the connection idle, 0 when it closes it, None when it states
            nothing.
        :param check_send: called when the connection is ready; raises an error when
            the request must not be sent any more.
        :param check: the :class:`~mulberrydock.connection_check.ConnectionCheck` of the
            peer, None for none.
        :param has_id: whether the request has an id that its response names.
        :param is_certain: whether only a connection will do on which there was no
            request without an id.
        :raises UpstreamError: NOT_RUN when nothing was sent, UPSTREAM_FAILED when the
            response is incomplete.
        """
        connection = await self._acquire_checked(check, keep_alive, is_certain)
        connection.has_calls = connection.has_calls or not has_id
        call = UpstreamCall(method, target, headers, body)
        await self._exchange_on(
            connection, call, listener, accept_response, keep_alive, check_send
        )

    async def _exchange_on(
        self, connection, call, listener, accept_response, keep_alive, check_send=None
    ):
        """Make one exchange on ``connection``, then pool or close it."""
        reusable = False
        self.waiting_since[connection] = time.monotonic()
        try:
            if check_send is not None:
                check_send()
            response_headers, complete = await self._run(
                connection, call, listener, accept_response
            )
            reusable = complete and self._return_to_pool(
                connection, response_headers, keep_alive
            )
        finally:
            del self.waiting_since[connection]
            # Also on cancellation: closing the connection tells the peer to stop its
            # work.
            if not reusable:
                self.last_end = ConnectReason.BROKEN
                self._discard(connection)

    async def _acquire_checked(self, check, keep_alive, is_certain):
        """Return a connection for a request, confirmed if ``check`` requires it.

        :raises UpstreamError: NOT_RUN when there is none.
        """
        connection = await self.acquire(time.monotonic(), is_certain)
        if check is None or self._is_confirmed(connection):
            return connection
        confirmation = self._confirm(connection.opened_at, check, keep_alive)
        if check.is_required:
            return await self._await_confirmed(connection, confirmation)
        check.start(confirmation)
        if connection.connect_seconds > CHECK_FIRST_SECONDS:
            return connection
        # Idle, the connection serves the check, so that no other one is needed.
        self.release(connection, time.monotonic(), CHECK_TIMEOUT_SECONDS)
        confirmed = await check.result()
        connection = await self.acquire(time.monotonic(), is_certain)
        if confirmed and not self._is_confirmed(connection):
            check.start(self._confirm(connection.opened_at, check, keep_alive))
        return connection

    def _is_confirmed(self, connection):
        """Return whether a connection was opened before the peer was last confirmed."""
        return connection.opened_at <= self.confirmed_at

    async def _await_confirmed(self, connection, confirmation):
        """Return ``connection`` once it is confirmed.

        :raises CallWithheld: when it isn't.
        """
        usable = False
        try:
            usable = await confirmation and not connection.stream.has_unread()
        finally:
            if not usable:
                self._discard(connection)
        if not usable:
            raise CallWithheld(f"{self.address} may be another process by now")
        return connection

    async def _confirm(self, opened_at, check, keep_alive):
        """Return whether a connection leads to the process that is known here.

        A connection ends with the process that accepted it. So one that was opened
        before a process answered leads to that process, whichever connection it
        answered on.

        :param opened_at: when the connection was opened, monotonic seconds.
        """
        while opened_at > self.confirmed_at:
            # Waiting for a task that is done wouldn't yield to the event loop.
            if self.asking is None or self.asking.done():
                self.asking = asyncio.ensure_future(self._ask(check, keep_alive))
                self.asking.add_done_callback(self._end_asking)
            if not await asyncio.shield(self.asking):
                return False
        return True

    def _end_asking(self, task):
        if self.asking is task:
            self.asking = None

    async def _ask(self, check, keep_alive):
        """Ask the peer who it is; return whether that is confirmed.

        The first connection may be an idle one that the peer has dropped.
        """
        for idle in (True, False):
            try:
                connection = self._reuse(time.monotonic()) if idle else None
                connection = connection or await self._connect(ConnectReason.CHECK)
                return await self._ask_on(connection, check, keep_alive)
            except (UpstreamError, asyncio.TimeoutError) as error:
                logger.warning(
                    "connection check failed", address=self.address, error=repr(error)
                )
        return False

    async def _ask_on(self, connection, check, keep_alive):
        call, response, sent_at = check.call, BufferedResponse(), time.monotonic()
        connection.has_calls = True
        exchange = self._exchange_on(
            connection, call, response, check.accept_response, keep_alive
        )
        await asyncio.wait_for(exchange, CHECK_TIMEOUT_SECONDS)
        confirmed = check.confirms(response, time.monotonic())
        if confirmed:
            self.confirmed_at = max(self.confirmed_at, sent_at)
        return confirmed

    def _return_to_pool(self, connection, headers, keep_alive):
        seconds = keep_alive(headers) if keep_alive else None
        seconds = IDLE_TIMEOUT_SECONDS if seconds is None else seconds
        self.release(
            connection, time.monotonic(), seconds - IDLE_TIMEOUT_MARGIN_SECONDS
        )
        return True

    async def _run(self, connection, call, listener, accept_response):
        stream = connection.stream
        accept_response = accept_response or (lambda status, headers: True)
        http = tornado.http1connection.HTTP1Connection(stream, True, CONNECTION_PARAMS)
        start = tornado.httputil.RequestStartLine(call.method, call.target, "HTTP/1.1")
        try:
            http.write_headers(start, tornado.httputil.HTTPHeaders(call.headers))
            if call.body:
                http.write(call.body)
            http.finish()
        except tornado.iostream.StreamClosedError as error:
            raise ConnectionCut(
                f"{self.address} closed the connection while the request was sent: "
                f"{error}"
            ) from error
        for _ in range(1 + MAX_STALE_RESPONSES):
            delegate = _Delegate(stream, listener, accept_response, self._on_progress)
            complete, read_task = await self._read(http, delegate)
            if delegate.error is not None:
                raise delegate.error
            if not complete:
                break
            if not delegate.skipped:
                # The reader reports the end of an unframed body and a reset in the same
                # way; only the socket's error distinguishes them.
                if stream.error is not None:
                    break
                return delegate.headers, read_task.done() and not stream.closed()
            http = tornado.http1connection.HTTP1Connection(
                stream, True, CONNECTION_PARAMS
            )
            http.finish()
        raise ConnectionCut(
            f"{self.address} closed the connection before the response was complete"
        )

    def _on_progress(self):
        self.heard_at = time.monotonic()

    async def _read(self, http, delegate):
        read_task = asyncio.ensure_future(http.read_response(delegate))
        read_task.add_done_callback(functools.partial(_on_read_done, delegate))
        try:
            complete = await delegate.done
            if complete:
                # The response may be complete before the request has been read; such a
                # connection can't be reused. One iteration of the event loop lets
                # the read task end.
                await asyncio.sleep(0)
            return complete, read_task
        except asyncio.CancelledError:
            read_task.cancel()
            raise


def _on_read_done(delegate, read_task):
    """End the wait for a response when its reader ended without one."""
    if read_task.cancelled():
        delegate.on_connection_close()
        return
    # Retrieved so that the loop doesn't report it as never retrieved; the sender acts
    # on the end of the delegate.
    read_task.exception()
    delegate.on_connection_close()
