"""The state of one inbound connection."""

import enum

import attrs

#: Memory that a connection takes besides the bytes that it holds.
CONNECTION_BYTES = 12 * 1024
#: Memory that a whole request takes while it waits for its response, besides its bytes.
REQUEST_BYTES = 24 * 1024
#: Seconds added to an age, so that bytes that have just arrived count as well.
MIN_AGE_SECONDS = 0.1


class Phase(enum.Enum):
    """What a connection does.

    - ``IDLE``: it carries no request.
    - ``HEAD``, ``BODY``: that part of a request arrives.
    - ``WHOLE``: its whole request waits for the response, or the response is sent.
    - ``REFUSED``: its request is refused; the rest of it is read and dropped.
    - ``CLOSED``: it is closed.
    """

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    WHOLE = "whole"
    REFUSED = "refused"
    CLOSED = "closed"


@attrs.define(eq=False)
class InboundConnection:
    """One inbound connection; what it holds is part of the process's total.

    ``since`` is when its phase began, or when its client last read a part of the
    response; ``ends_at`` is when it is closed unless its phase changes. Both are
    monotonic seconds. ``received`` counts the bytes of its present request and
    ``unsent`` those of the response that is being sent, as the whole of it stays in
    memory until its last byte is sent: ``pending`` of them are left. ``whole`` is the
    size of its request while that is whole. ``request`` is the
    :class:`~mulberrydock.inbound.bounded_request.BoundedRequest` whose body arrives.

    :param connections: the
        :class:`~mulberrydock.inbound.connections.InboundConnections` of the process.
    :param bounds: the :class:`~mulberrydock.inbound.bounds.RequestBounds` that hold.
    """

    connections: object
    bounds: object
    since: float
    ends_at: float
    phase: Phase = Phase.IDLE
    received: int = 0
    unsent: int = 0
    pending: int = 0
    counted: int = 0
    whole: int = 0
    stream: object = None
    request: object = None

    @property
    def closed(self):
        """Whether it is closed."""
        return self.phase is Phase.CLOSED

    @property
    def held(self):
        """The memory that it takes, in bytes."""
        whole = REQUEST_BYTES if self.phase is Phase.WHOLE else 0
        return CONNECTION_BYTES + whole + self.received + self.unsent

    @property
    def may_be_closed(self):
        """Whether it may be closed for room.

        Its request may not run, or its client hasn't read what was written for it.
        """
        return self.phase is not Phase.WHOLE or self.unsent > 0

    def cost(self, now):
        """Return the bytes that it holds, times the seconds since when."""
        return self.held * (now - self.since + MIN_AGE_SECONDS)

    def read_allowance(self):
        """Return how many bytes it may read in this turn of the event loop."""
        return self.connections.turns.allowance(self)

    def add_received(self, count):
        """Count bytes that have arrived; this may close it or others."""
        now = self.connections.clock()
        self.connections.turns.record(self, count)
        if self.phase is Phase.IDLE:
            self.enter(Phase.HEAD, now, self.bounds.header_timeout(now))
        if self.phase is not Phase.REFUSED:
            self.received += count
        self.connections.recount(self)
        self.connections.make_room(now)

    def add_parsed(self, count):
        """Count memory that the parsed head takes; this may close it or others."""
        self.received += count
        self.connections.recount(self)
        self.connections.make_room(self.connections.clock())

    def add_unsent(self, count):
        """Count bytes of a response that is about to be sent."""
        self.unsent += count
        self.pending += count

    def record_sent(self, count):
        """Count bytes of the response that have been passed to the kernel."""
        self.pending -= count
        if self.pending == 0:
            self.unsent = 0
        if self.phase is Phase.WHOLE:
            self.since = self.connections.clock()
        self.connections.recount(self)

    def check_unsent(self):
        """Make room for what couldn't be sent at once; this may close it or others."""
        if not self.closed and self.unsent:
            self.connections.recount(self)
            self.connections.make_room(self.connections.clock())

    def enter(self, phase, now, seconds):
        """Enter ``phase``, which may last some seconds, unless it is closed."""
        if self.closed:
            return
        self.phase = phase
        self.since = now
        self.ends_at = now + seconds
        self.connections.recount(self)
        self.connections.reorder(self)

    def begin_request(self, now):
        """Wait for the next request; its first bytes may have arrived already."""
        if self.closed:
            return
        if self.phase is Phase.WHOLE:
            self.connections.leave_whole(self)
        self.received = self.stream.buffered_bytes()
        if self.received:
            self.enter(Phase.HEAD, now, self.bounds.header_timeout(now))
        else:
            self.enter(Phase.IDLE, now, self.bounds.idle_timeout(now))

    def drop_received(self):
        """Count the bytes of its present request as freed."""
        self.received = 0
        self.connections.recount(self)
