"""One HTTP/1.1 exchange with an upstream over a connection this task owns.

Built on tornado's ``TCPClient`` and ``HTTP1Connection`` rather than its
pooled client, because a connection that goes silent for good must be closed
by an idle timeout, and the pooled client exposes no such timeout. Each
request gets a new connection, so no answer can cross to another request.
"""

import asyncio
import time

import attrs
import tornado.http1connection
import tornado.httputil
import tornado.iostream
import tornado.tcpclient

from . import defaults
from ._http import split_address
from .exceptions import (
    ConnectionCut,
    MulberrydockError,
    ResultCode,
    UpstreamError,
)

#: Seconds between two looks at an exchange for its time limits.
POLL_SECONDS = 0.1


@attrs.define
class Exchange:
    """What an upstream answered: status, headers, and whether bytes arrived."""

    status: int = 0
    headers: tornado.httputil.HTTPHeaders = attrs.field(
        factory=tornado.httputil.HTTPHeaders
    )
    received: int = 0
    finished: bool = False


class _Delegate(tornado.httputil.HTTPMessageDelegate):
    def __init__(self, exchange, on_headers, on_chunk, touch, stream):
        self.exchange = exchange
        self.on_headers = on_headers
        self.on_chunk = on_chunk
        self.touch = touch
        self.stream = stream
        self.error = None

    def headers_received(self, start_line, headers):
        self.exchange.status = start_line.code
        self.exchange.headers = headers
        self.touch()
        if self.on_headers:
            self.on_headers(self.exchange)

    def data_received(self, chunk):
        self.exchange.received += len(chunk)
        self.touch()
        try:
            self.on_chunk(chunk)
        except (MulberrydockError, ValueError, KeyError) as error:
            # Tornado would log an exception raised here and lose its type:
            # keep it and close, so that the exchange ends with it.
            self.error = error
            self.stream.close()

    def finish(self):
        self.exchange.finished = True

    def on_connection_close(self):
        pass


async def exchange(
    address,
    method,
    path,
    headers,
    body,
    on_chunk,
    on_headers=None,
    connect_timeout=defaults.CONNECT_TIMEOUT_SECONDS,
    first_byte_timeout=None,
    idle_timeout=defaults.STREAM_IDLE_TIMEOUT_SECONDS,
    total_timeout=defaults.REQUEST_TIMEOUT_SECONDS,
):
    """Send one request to ``address`` and feed the answer's body to ``on_chunk``.

    :param on_chunk: called with each decoded body chunk (``bytes``).
    :param first_byte_timeout: seconds to the first byte of the answer;
        ``idle_timeout`` when None.
    :param idle_timeout: seconds with no byte, after the first, before the
        connection is called silent and closed.
    :returns: the :class:`Exchange`.
    :raises UpstreamError: ``NOT_RUN`` when no connection could be made (the
        request was not sent), ``UPSTREAM_FAILED`` when the connection failed
        and ``STREAM_CUT`` when it went silent or the answer was refused by
        ``on_chunk``, after the request was sent.
    """
    host, port = split_address(address)
    try:
        stream = await asyncio.wait_for(
            tornado.tcpclient.TCPClient().connect(host, port), connect_timeout
        )
    except (OSError, asyncio.TimeoutError, tornado.iostream.StreamClosedError) as e:
        raise UpstreamError(f"connect to {address}: {e}", ResultCode.NOT_RUN) from e
    result = Exchange()
    last = [time.monotonic()]
    first_byte_timeout = (
        idle_timeout if first_byte_timeout is None else first_byte_timeout
    )

    def touch():
        last[0] = time.monotonic()

    connection = tornado.http1connection.HTTP1Connection(
        stream,
        True,
        tornado.http1connection.HTTP1ConnectionParameters(
            no_keep_alive=True, decompress=False
        ),
    )
    start = tornado.httputil.RequestStartLine(method, path, "HTTP/1.1")
    all_headers = tornado.httputil.HTTPHeaders(headers)
    all_headers["Host"] = address
    all_headers["Connection"] = "close"
    all_headers["Content-Length"] = str(len(body))
    delegate = _Delegate(result, on_headers, on_chunk, touch, stream)
    started = time.monotonic()
    reading = None
    try:
        connection.write_headers(start, all_headers)
        connection.write(body)
        connection.finish()
        reading = asyncio.ensure_future(connection.read_response(delegate))
        while not reading.done():
            await asyncio.wait([reading], timeout=min(idle_timeout, POLL_SECONDS))
            now = time.monotonic()
            if reading.done():
                break
            limit = idle_timeout if result.status else first_byte_timeout
            if now - last[0] > limit or now - started > total_timeout:
                # A connection silent for good: the peer or a middlebox has
                # lost track of it; only closing our end ends the wait.
                raise UpstreamError(f"{address} went silent", ResultCode.STREAM_CUT)
        if delegate.error is None:
            reading.result()
    except (tornado.iostream.StreamClosedError, OSError) as e:
        raise ConnectionCut(f"{address} cut: {e}") from e
    finally:
        stream.close()
        if reading is not None:
            reading.cancel()
    if delegate.error is not None:
        if isinstance(delegate.error, UpstreamError):
            raise delegate.error
        raise UpstreamError(f"{address}: {delegate.error}", ResultCode.STREAM_CUT)
    if not result.finished:
        raise ConnectionCut(f"{address} cut the answer", ResultCode.STREAM_CUT)
    return result
