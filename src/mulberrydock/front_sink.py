"""Sends the response to one client request."""

import tornado.httputil

from .exceptions import MulberrydockError, ResultCode
from .ports import Sink

#: Reason phrase of a status code without a standard one.
UNKNOWN_REASON = "Unknown"


class ConnectionSink(Sink):
    """Answers one request on its client connection.

    :param closing: returns True when the client should open a new connection elsewhere
        for its next request.
    """

    def __init__(self, connection, closing):
        self.connection = connection
        self.closing = closing
        self.begun = False
        self.done = False

    def _head(self, status, headers):
        fields = tornado.httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if self.closing():
            fields["Connection"] = "close"
        reason = tornado.httputil.responses.get(status, UNKNOWN_REASON)
        return tornado.httputil.ResponseStartLine("HTTP/1.1", status, reason), fields

    def respond(self, status, headers, body):
        start, fields = self._head(status, headers)
        if status not in (204, 304):
            fields["Content-Length"] = str(len(body))
        self.done = True
        self.connection.write_headers(start, fields, body or None)
        self.connection.finish()

    def begin(self, status, headers):
        start, fields = self._head(status, headers)
        self.begun = True
        self.connection.write_headers(start, fields)

    def write(self, chunk):
        return self.connection.write(chunk)

    def finish(self):
        self._check_begun()
        self.done = True
        self.connection.finish()

    def _check_begun(self):
        if not self.begun:
            raise MulberrydockError(
                "a response ended before it began", ResultCode.INTERNAL
            )

    def abort(self):
        self.done = True
        self.connection.close()
