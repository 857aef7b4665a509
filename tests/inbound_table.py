"""Test helper: the inbound connections of a process, at a time that the test sets."""

import attrs

from mulberrydock.inbound import (
    ConnectionLimits,
    InboundConnections,
    RequestBounds,
)
from mulberrydock.inbound.connection import Phase
from mulberrydock.request import RequestLimits

LIMITS = ConnectionLimits(
    connections=4, waiting=2, held_bytes=1_000_000, whole_bytes=500_000
)
BOUNDS = RequestLimits(
    max_header_bytes=1_000, max_body_bytes=5_000, header_timeout=3, idle_timeout=15
)


@attrs.define
class FakeStream:
    """A stream that only knows whether it was closed."""

    buffered: int = 0
    closed: bool = False

    def buffered_bytes(self):
        return self.buffered

    def close(self):
        self.closed = True


class Table(InboundConnections):
    """Connections at a time that the test sets; ``reasons`` lists the closes."""

    def __init__(self, limits=LIMITS):
        super().__init__(limits, lambda: self.now)
        self.now = 100.0
        self.reasons = []
        self.on_close = self.reasons.append
        self.bounds = RequestBounds(BOUNDS)

    def connect(self, phase=Phase.IDLE, received=0, age=0.0):
        """Add a connection in a phase that began ``age`` seconds ago."""
        connection = self.add(self.bounds, self.now - age)
        connection.stream = FakeStream()
        connection.received = received
        if phase is Phase.WHOLE:
            assert self.admit_whole(connection, self.now - age)
        else:
            connection.enter(phase, self.now - age, 60.0)
        return connection
