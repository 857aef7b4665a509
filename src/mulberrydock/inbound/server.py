"""An HTTP server whose connections count among those of its process."""

import socket

import tornado.httpserver
import tornado.httputil
import tornado.ioloop
import tornado.netutil
from loguru import logger

from .bounded_request import BoundedRequest
from .stream import InboundStream
from .turns import READ_CHUNK_BYTES

#: Connections that may wait to be accepted. The opening packet of a further one is
#: dropped, and its client sends it again only after a second.
BACKLOG = 1024
#: Connections that are accepted in one turn of the event loop.
ACCEPTS_PER_TURN = 128
#: Seconds for which no connection is accepted once the process has no descriptor for
#: one and none to close.
ACCEPT_PAUSE_SECONDS = 0.5
#: Bytes of the kernel's receive buffer of a connection, and of one that is accepted
#: while there are many. The kernel takes twice as much.
RECEIVE_BYTES = 128 * 1024
SMALL_RECEIVE_BYTES = 8 * 1024
#: Number of connections that count as many.
MANY_CONNECTIONS = 128
#: Maximum size of a head, as a multiple of the limit of its header fields: the request
#: line is a part of it.
MAX_HEAD_FACTOR = 2


class InboundServer(tornado.httputil.HTTPServerConnectionDelegate):
    """Accepts connections on its addresses and serves the requests on them.

    :param delegate: receives the requests, as that of tornado's server.
    :param connections: the
        :class:`~mulberrydock.inbound.connections.InboundConnections` of the process.
    :param bounds: the :class:`~mulberrydock.inbound.bounds.RequestBounds`.
    :param on_refuse: called with the status code of each refusal.
    """

    def __init__(self, delegate, connections, bounds, on_refuse=lambda status: None):
        self.delegate = delegate
        self.connections = connections
        self.bounds = bounds
        self.on_refuse = on_refuse
        self.http = tornado.httpserver.HTTPServer(self, chunk_size=READ_CHUNK_BYTES)
        self.sockets = []
        self.paused = False

    def listen(self, port, address):
        """Accept connections on a port of one of this machine's addresses.

        :raises OSError: when it can't be bound.
        """
        sockets = tornado.netutil.bind_sockets(port, address=address, backlog=BACKLOG)
        self.sockets.extend(sockets)
        for sock in sockets:
            self._watch(sock)

    def _watch(self, sock):
        loop = tornado.ioloop.IOLoop.current()
        loop.add_handler(sock, self._accept, loop.READ)

    def stop(self):
        """Stop accepting connections; those that are open stay."""
        loop = tornado.ioloop.IOLoop.current()
        for sock in self.sockets:
            if not self.paused:
                loop.remove_handler(sock)
            sock.close()
        self.sockets = []

    def _accept(self, listener, events):
        for _ in range(ACCEPTS_PER_TURN):
            if self.paused or not self.sockets:
                return
            try:
                sock, address = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                self._free_descriptor(error)
                return
            self._serve(sock, address)

    def _free_descriptor(self, error):
        """Close a connection for the one that waits, or accept none for a while.

        Without a free descriptor the listener stays readable, and the event loop would
        call again at once.
        """
        if self.connections.close_oldest():
            return
        logger.warning("accepting paused", error=repr(error))
        loop = tornado.ioloop.IOLoop.current()
        self.paused = True
        for sock in self.sockets:
            loop.remove_handler(sock)
        loop.call_later(ACCEPT_PAUSE_SECONDS, self._resume)

    def _resume(self):
        self.paused = False
        for sock in self.sockets:
            self._watch(sock)

    def _serve(self, sock, address):
        connection = self.connections.add(self.bounds, self.connections.clock())
        if connection is None:
            sock.close()
            return
        try:
            self._begin(sock, address, connection)
        except OSError as error:
            logger.warning("connection not served", error=repr(error))
            self.connections.remove(connection)
            sock.close()

    def _begin(self, sock, address, connection):
        many = len(self.connections.open) > MANY_CONNECTIONS
        size = SMALL_RECEIVE_BYTES if many else RECEIVE_BYTES
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        connection.stream = InboundStream(sock, connection)
        now = self.connections.clock()
        limit = self.bounds.max_header_bytes(now) * MAX_HEAD_FACTOR
        self.http.conn_params.max_header_size = limit
        self.http.handle_stream(connection.stream, address)

    def start_request(self, server_conn, request_conn):
        connection = request_conn.stream.connection
        connection.begin_request(self.connections.clock())
        delegate = self.delegate.start_request(server_conn, request_conn)
        return BoundedRequest(connection, request_conn, delegate, self.on_refuse)
