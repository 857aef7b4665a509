"""All inbound connections of a process, and what they hold together."""

import collections
import enum
import math
import operator

from loguru import logger

from .connection import InboundConnection, Phase
from .turns import ReadTurns

#: Share of the limit down to which connections are closed once it is exceeded, so that
#: they are sorted once for many closes.
FREED_SHARE = 0.9
#: Share of the largest cost below which a connection isn't closed for that.
KEPT_COST_SHARE = 0.5
#: Size of a request, in bytes, that counts as small: it is served also while the large
#: ones have used up their share.
SMALL_REQUEST_BYTES = 64 * 1024


class CloseReason(enum.Enum):
    """Why this process closes an inbound connection.

    - ``MEMORY``: all connections together hold too many bytes.
    - ``CONNECTIONS``: there are too many connections.
    - ``HEAD_TIMEOUT``, ``BODY_TIMEOUT``: a part of its request takes too long.
    - ``IDLE``: it has carried no request for too long.
    - ``REFUSED``: its request was refused, and it still sends.
    """

    MEMORY = "memory"
    CONNECTIONS = "connections"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    IDLE = "idle"
    REFUSED = "refused"


TIMEOUT_REASONS = {
    Phase.IDLE: CloseReason.IDLE,
    Phase.HEAD: CloseReason.HEAD_TIMEOUT,
    Phase.BODY: CloseReason.BODY_TIMEOUT,
    Phase.REFUSED: CloseReason.REFUSED,
}


class InboundConnections:
    """The inbound connections of all servers of a process.

    Where they hold too much together, those are closed whose bytes have cost the most
    so far, by size and age: a request that is small or has just come is read to its
    end. Connections whose whole request may run aren't closed for room.

    :param limits: the :class:`~mulberrydock.inbound.limits.ConnectionLimits`.
    :param clock: returns the present time, monotonic seconds.
    """

    def __init__(self, limits, clock):
        self.limits = limits
        self.clock = clock
        self.open = set()
        #: Connections that may be closed for a new one, the oldest first.
        self.closable = collections.OrderedDict()
        self.waiting = 0
        self.held = 0
        self.whole = 0
        self.turns = ReadTurns()
        self.late = set()
        self.closes = collections.Counter()
        self.on_close = lambda reason: None

    def add(self, bounds, now):
        """Add a connection that a server has accepted; close another one if need be.

        :returns: its :class:`InboundConnection`, None if there is no room for it.
        """
        while len(self.open) >= self.limits.connections:
            if not self.close_oldest():
                self._record_close(CloseReason.CONNECTIONS)
                return None
        connection = InboundConnection(self, bounds, now, math.inf)
        self.open.add(connection)
        connection.enter(Phase.IDLE, now, bounds.idle_timeout(now))
        return connection

    def close_oldest(self):
        """Close the connection that has carried no whole request for longest.

        :returns: whether there was one.
        """
        oldest = next(iter(self.closable), None)
        if oldest is None:
            return False
        self.close(oldest, CloseReason.CONNECTIONS)
        return True

    def remove(self, connection):
        """Forget a connection that has been closed; idempotent."""
        if connection.closed:
            return
        if connection.phase is Phase.WHOLE:
            self.leave_whole(connection)
        connection.phase = Phase.CLOSED
        self.held -= connection.counted
        connection.counted = 0
        self.open.discard(connection)
        self.closable.pop(connection, None)
        connection.stream = None

    def close(self, connection, reason):
        """Close a connection."""
        self._record_close(reason)
        stream = connection.stream
        self.remove(connection)
        if stream is not None:
            stream.close()

    def _record_close(self, reason):
        self.closes[reason] += 1
        self.on_close(reason)

    def recount(self, connection):
        """Count what a connection holds now."""
        if connection.closed:
            return
        held = connection.held
        self.held += held - connection.counted
        connection.counted = held

    def reorder(self, connection):
        """Place a connection among those that may be closed, by its phase."""
        self.closable.pop(connection, None)
        if connection.phase not in (Phase.WHOLE, Phase.CLOSED):
            self.closable[connection] = None

    def make_room(self, now):
        """Close the connections that cost most, if all hold too many bytes."""
        if self.held <= self.limits.held_bytes:
            return
        costs = [(c.cost(now), c) for c in self.open if c.may_be_closed]
        costs.sort(key=operator.itemgetter(0), reverse=True)
        for cost, connection in costs:
            if self._has_room(cost / costs[0][0]):
                return
            self.close(connection, CloseReason.MEMORY)

    def _has_room(self, relative_cost):
        """Return whether enough has been freed to keep a connection.

        :param relative_cost: its cost, as a share of the largest.
        """
        if relative_cost < KEPT_COST_SHARE:
            return self.held <= self.limits.held_bytes
        return self.held <= self.limits.held_bytes * FREED_SHARE

    def admit_whole(self, connection, now):
        """Return whether a request whose last byte has arrived may wait to be served.

        :returns: False if whole requests hold as much as they may.
        """
        size = connection.received * connection.bounds.copies
        if not connection.bounds.answered_at_once and not self._may_wait(size):
            return False
        self.waiting += 1
        self.whole += size
        connection.whole = connection.received = size
        connection.enter(Phase.WHOLE, now, math.inf)
        return True

    def _may_wait(self, size):
        """Return whether one more request of ``size`` bytes may wait."""
        limit = self.limits.whole_bytes
        if size <= SMALL_REQUEST_BYTES:
            limit = self.limits.held_bytes
        return self.waiting < self.limits.waiting and self.whole + size <= limit

    def leave_whole(self, connection):
        """Count the end of a connection's request."""
        self.waiting -= 1
        self.whole -= connection.whole
        connection.whole = 0

    def refuse_unfinished(self):
        """Refuse the requests whose bodies are still arriving."""
        for connection in list(self.open):
            if connection.phase is Phase.BODY:
                connection.request.refuse_unfinished()

    def sweep(self, now):
        """Close the connections whose phase lasts too long; log the latest closes.

        They are closed in the second sweep that finds them late: after this process has
        stood still, what their clients have sent meanwhile is read first.
        """
        late = {c for c in self.open if now >= c.ends_at}
        for connection in late & self.late:
            self.close(connection, TIMEOUT_REASONS[connection.phase])
        self.late = late
        if not self.closes:
            return
        logger.warning(
            "connections closed",
            reasons={reason.value: count for reason, count in self.closes.items()},
            open=len(self.open),
            held_bytes=self.held,
        )
        self.closes.clear()
