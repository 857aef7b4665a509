"""Passes a request on to its server while it stays within its bounds."""

import tornado.httputil
from loguru import logger

from ..refusal import OTHER_VM_RETRY_SECONDS
from .connection import Phase

#: Seconds for which the rest of a refused request is read. Closing a connection with
#: unread bytes resets it, and its client might not receive the refusal.
LINGER_SECONDS = 2.0
#: Bytes of a header line besides its name and value.
HEADER_LINE_BYTES = 4
#: Memory of a parsed header field, of an element of its value or of a query argument,
#: besides its text: fields of a few bytes take many times their size.
ELEMENT_BYTES = 250
#: Bytes that no body has.
NO_LIMIT = 2**63
#: Digits of a number that is larger; longer ones can't be converted at all.
MAX_LENGTH_DIGITS = 20
#: Status codes of refusals, and their reason phrases.
REASONS = {
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}


class BoundedRequest(tornado.httputil.HTTPMessageDelegate):
    """One request on a connection, before the delegate that serves it.

    :param connection: its
        :class:`~mulberrydock.inbound.connection.InboundConnection`.
    :param http: the HTTP connection that answers it.
    :param delegate: receives the request.
    :param on_refuse: called with the status code of a refusal.
    """

    def __init__(self, connection, http, delegate, on_refuse):
        self.connection = connection
        self.http = http
        self.delegate = delegate
        self.on_refuse = on_refuse
        self.connections = connection.connections
        self.bounds = connection.bounds
        self.headers = None
        self.passed_on = False
        self.refused = False
        self.body_bytes = 0
        self.max_body_bytes = 0

    def headers_received(self, start_line, headers):
        if self.connection.closed:
            return None
        now = self.connections.clock()
        self.headers = headers
        self.connection.request = self
        self.connection.enter(Phase.BODY, now, self.bounds.body_timeout(headers))
        self.connection.add_parsed(ELEMENT_BYTES * _elements(start_line, headers))
        if self.connection.closed:
            return None
        # The limit of this object replaces that of the HTTP connection, which answers
        # with another status.
        self.http.set_max_body_size(NO_LIMIT)
        self.max_body_bytes = self.bounds.max_body_bytes(now)
        if _header_bytes(headers) > self.bounds.max_header_bytes(now):
            self._refuse(431)
        elif _announced_bytes(headers) > self.max_body_bytes:
            self._refuse(413)
        else:
            self.passed_on = True
            self.bounds.prepare(headers)
            return self.delegate.headers_received(start_line, headers)
        return None

    def data_received(self, chunk):
        if self.refused:
            self.connection.drop_received()
            return None
        if self.connection.closed:
            return None
        self.body_bytes += len(chunk)
        if self.body_bytes > self._max_body_bytes():
            self._refuse(413)
            return None
        return self.delegate.data_received(chunk)

    def _max_body_bytes(self):
        """Return the limit of the body; the configuration may have raised it since."""
        if self.body_bytes > self.max_body_bytes:
            now = self.connections.clock()
            self.max_body_bytes = max(
                self.max_body_bytes, self.bounds.max_body_bytes(now)
            )
        return self.max_body_bytes

    def finish(self):
        # It must not stay in memory while its connection is idle.
        self.connection.request = None
        if self.refused:
            self.http.close()
            return
        if self.connection.closed:
            # Its last bytes were read before it was closed for room. Its client may
            # send it again, so it must not run here.
            self.on_connection_close()
            return
        if self.connections.admit_whole(self.connection, self.connections.clock()):
            self.delegate.finish()
            return
        self._refuse(503, retry_after=OTHER_VM_RETRY_SECONDS)
        self.http.finish()

    def refuse_unfinished(self):
        """Refuse the request, whose body hasn't arrived yet, for another VM."""
        self._refuse(503, retry_after=OTHER_VM_RETRY_SECONDS, closes=True)

    def on_connection_close(self):
        if self.passed_on:
            self.delegate.on_connection_close()

    def _refuse(self, status, retry_after=None, closes=False):
        """Answer with an error; the rest of the request is read and dropped.

        :param retry_after: seconds after which the client should retry, None for never.
        :param closes: whether the connection is closed then.
        """
        logger.warning(
            "request refused",
            request=self.bounds.request_id(self.headers),
            status=status,
            body_bytes=max(self.body_bytes, _announced_bytes(self.headers)),
            held_bytes=self.connections.held,
        )
        self.on_refuse(status)
        self.refused = True
        # The client must not be asked to send what is refused.
        self.headers.pop("Expect", None)
        fields = tornado.httputil.HTTPHeaders(self.bounds.refusal_fields(status))
        fields["Content-Length"] = "0"
        if retry_after is None or closes:
            fields["Connection"] = "close"
        if retry_after is not None:
            fields["Retry-After"] = f"{retry_after:.1f}"
        start = tornado.httputil.ResponseStartLine("HTTP/1.1", status, REASONS[status])
        self.http.write_headers(start, fields)
        now = self.connections.clock()
        self.connection.enter(Phase.REFUSED, now, LINGER_SECONDS)
        self.connection.drop_received()
        if self.passed_on:
            self.passed_on = False
            self.delegate.on_connection_close()


def _header_bytes(headers):
    """Return the size of a request's header fields."""
    return sum(
        len(name) + len(value) + HEADER_LINE_BYTES for name, value in headers.get_all()
    )


def _elements(start_line, headers):
    """Return how many elements the parsed head has."""
    fields = sum(1 + value.count(",") for _, value in headers.get_all())
    return fields + start_line.path.count("&")


def _announced_bytes(headers):
    """Return the length of the body that a request announces, 0 if it is invalid."""
    value = headers.get("Content-Length", "0")
    if not (value.isascii() and value.isdecimal()):
        return 0
    return int(value) if len(value) < MAX_LENGTH_DIGITS else NO_LIMIT
