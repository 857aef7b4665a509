"""One HTTP/1.1 exchange with an upstream on a connection of its own.

Built on tornado's ``TCPClient`` and ``HTTP1Connection``: a connection that stays silent
must be closed by an idle timeout, which tornado's pooled client doesn't offer. Each
request uses a new connection, so no response can reach another request.
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
from .connections import MAX_BODY_BYTES, ends_with_connection
from .exceptions import (
    ConnectionCut,
    MulberrydockError,
    ResultCode,
    UpstreamError,
)

#: Seconds between two checks of an exchange's timeouts.
POLL_INTERVAL_SECONDS = 0.1


@attrs.define
class UpstreamResponse:
    """An upstream's response: status, headers, and the body bytes received so far."""

    status: int = 0
    headers: tornado.httputil.HTTPHeaders = attrs.field(
        factory=tornado.httputil.HTTPHeaders
    )
    received: int = 0
    finished: bool = False


class _Delegate(tornado.httputil.HTTPMessageDelegate):
    def __init__(self, response, on_headers, on_chunk, record_activity, stream):
        self.response = response
        self.on_headers = on_headers
        self.on_chunk = on_chunk
        self.record_activity = record_activity
        self.stream = stream
        self.error = None

    def headers_received(self, start_line, headers):
        self.response.status = start_line.code
        self.response.headers = headers
        self.record_activity()
        if self.on_headers:
            self.on_headers(self.response)

    def data_received(self, chunk):
        self.response.received += len(chunk)
        self.record_activity()
        try:
            self.on_chunk(chunk)
        except (MulberrydockError, ValueError, KeyError) as error:
            # Tornado would log an exception raised here and lose its type: it is
            # stored, and the connection closed, so that the exchange ends with it.
            self.error = error
            self.stream.close()

    def finish(self):
        self.response.finished = True

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
    """Send one request to ``address`` and feed the response's body to ``on_chunk``.

    :param on_chunk: called with each decoded body chunk (``bytes``).
    :param first_byte_timeout: seconds to the first byte of the response;
        ``idle_timeout`` when None.
    :param idle_timeout: seconds without a byte, after the first, before the connection
        is closed as silent.
    :returns: the :class:`UpstreamResponse`.
    :raises UpstreamError: ``NOT_RUN`` when no connection could be made (the request was
        not sent), ``UPSTREAM_FAILED`` when the connection failed, and ``STREAM_CUT``
        when it went silent or ``on_chunk`` refused the response, after the request was
        sent.
    """
    host, port = split_address(address)
    try:
        stream = await asyncio.wait_for(
            tornado.tcpclient.TCPClient().connect(host, port), connect_timeout
        )
    except (OSError, asyncio.TimeoutError, tornado.iostream.StreamClosedError) as e:
        raise UpstreamError(f"connect to {address}: {e}", ResultCode.NOT_RUN) from e
    result = UpstreamResponse()
    last_activity = [time.monotonic()]
    first_byte_timeout = (
        idle_timeout if first_byte_timeout is None else first_byte_timeout
    )

    def record_activity():
        last_activity[0] = time.monotonic()

    connection = tornado.http1connection.HTTP1Connection(
        stream,
        True,
        tornado.http1connection.HTTP1ConnectionParameters(
            no_keep_alive=True, decompress=False, max_body_size=MAX_BODY_BYTES
        ),
    )
    start = tornado.httputil.RequestStartLine(method, path, "HTTP/1.1")
    all_headers = tornado.httputil.HTTPHeaders(headers)
    all_headers["Host"] = address
    all_headers["Connection"] = "close"
    all_headers["Content-Length"] = str(len(body))
    delegate = _Delegate(result, on_headers, on_chunk, record_activity, stream)
    started = time.monotonic()
    read_task = None
    try:
        connection.write_headers(start, all_headers)
        connection.write(body)
        connection.finish()
        read_task = asyncio.ensure_future(connection.read_response(delegate))
        while not read_task.done():
            await asyncio.wait(
                [read_task], timeout=min(idle_timeout, POLL_INTERVAL_SECONDS)
            )
            now = time.monotonic()
            if read_task.done():
                break
            timeout = idle_timeout if result.status else first_byte_timeout
            if now - last_activity[0] > timeout or now - started > total_timeout:
                # The connection is silent for good: the peer or a middlebox has lost
                # its state, and only closing this end stops the wait.
                raise UpstreamError(f"{address} went silent", ResultCode.STREAM_CUT)
        if delegate.error is None:
            read_task.result()
    except (tornado.iostream.StreamClosedError, OSError) as e:
        raise ConnectionCut(f"{address} cut: {e}") from e
    finally:
        stream.close()
        if read_task is not None:
            read_task.cancel()
    if delegate.error is not None:
        if isinstance(delegate.error, UpstreamError):
            raise delegate.error
        raise UpstreamError(f"{address}: {delegate.error}", ResultCode.STREAM_CUT)
    if not result.finished or _was_cut(result, stream):
        raise ConnectionCut(f"{address} cut the answer", ResultCode.STREAM_CUT)
    return result


def _was_cut(response, stream):
    """Return whether a response whose end only its connection marks was cut off.

    A close in its middle looks like its end, a reset doesn't; nor does a close before
    its first byte.
    """
    if response.status == 204 or not ends_with_connection(response.headers):
        return False
    return stream.error is not None or not response.received
