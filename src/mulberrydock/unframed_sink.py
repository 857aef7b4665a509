"""Answers clients that know no chunks: only a close marks the end of their streams."""

import socket
import struct

import tornado.iostream
from loguru import logger

from .front_sink import ConnectionSink

#: The version of HTTP from which on clients know chunks.
FRAMED_VERSION = "HTTP/1.1"


class UnframedSink(ConnectionSink):
    """Ends a stream that isn't complete with a reset, whatever ends it.

    The kernel resets the connection also when this process ends.
    """

    def begin(self, status, headers):
        self._reset_on_close(True)
        super().begin(status, headers)

    def finish(self):
        self._check_begun()
        self.done = True
        if self.connection.stream.closed():
            self._log_left()
            return
        # Nothing may be unsent once the connection is no longer reset.
        sent = self.connection.stream.write(b"")
        sent.add_done_callback(self._close)

    def _close(self, sent):
        if isinstance(sent.exception(), tornado.iostream.StreamClosedError):
            self._log_left()
            return
        self._reset_on_close(False)
        stream = self.connection.stream
        self.connection.finish()
        stream.close()

    def _log_left(self):
        logger.info("client left before the end of its response")

    def _reset_on_close(self, resets):
        stream = self.connection.stream
        if stream.closed():
            return
        linger = struct.pack("ii", int(resets), 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
