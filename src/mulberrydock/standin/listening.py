"""Sockets of stand-ins that refuse connections as soon as they are closed."""

import contextlib
import socket


def shut_down(listener):
    """Let a socket no longer listen, in child processes as well.

    One that has forked and not yet executed its program holds the socket, too: closed
    here alone, it would go on to listen, and its port couldn't be bound again.
    """
    # Raised by a socket that is bound and doesn't listen.
    with contextlib.suppress(OSError):
        listener.shutdown(socket.SHUT_RDWR)


class ListenerMixin:
    """Part of a tornado server that refuses connections once it is stopped."""

    listeners = ()

    def add_sockets(self, sockets):
        self.listeners = list(sockets)
        super().add_sockets(self.listeners)

    def stop(self):
        for listener in self.listeners:
            shut_down(listener)
        self.listeners = ()
        super().stop()
