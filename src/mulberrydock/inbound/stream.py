"""The socket of one inbound connection; counts what passes through it."""

import errno

import tornado.iostream

from .turns import READ_CHUNK_BYTES


class InboundStream(tornado.iostream.IOStream):
    """Reports received and sent bytes to its connection as they pass.

    :param connection: the :class:`~mulberrydock.inbound.connection.InboundConnection`.
    """

    def __init__(self, sock, connection):
        super().__init__(sock, read_chunk_size=READ_CHUNK_BYTES)
        self.connection = connection

    def buffered_bytes(self):
        """Return the bytes received that no request has taken yet."""
        return self._read_buffer_size

    def read_from_fd(self, buf):
        allowance = self.connection.read_allowance()
        if not allowance:
            # The socket stays readable, so that the event loop calls again.
            return None
        with memoryview(buf) as view, view[:allowance] as part:
            count = super().read_from_fd(part)
        if count:
            self.connection.add_received(count)
            if self.connection.closed:
                raise ConnectionAbortedError(errno.ECONNABORTED, "closed for memory")
        return count

    def close_fd(self):
        super().close_fd()
        self.connection.connections.remove(self.connection)

    def write(self, data):
        self.connection.add_unsent(len(data))
        future = super().write(data)
        self.connection.check_unsent()
        return future

    def write_to_fd(self, data):
        count = super().write_to_fd(data)
        if count:
            self.connection.record_sent(count)
        return count
