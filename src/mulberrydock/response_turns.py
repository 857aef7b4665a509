"""How much of responses is processed in one turn of the event loop."""

import asyncio
import heapq
import itertools
import weakref

import attrs

#: Seconds of a turn after which the parts of responses that have arrived wait for the
#: next one. A request takes some ten turns.
TURN_SECONDS = 0.005
#: Parts of one response, and their bytes, that are processed in any turn: the head and
#: the body of a small response in chunks, or some events.
FREE_PARTS = 8
FREE_BYTES = 2 * 1024
#: Parts of one response that are processed in one turn at most, and their bytes.
MAX_PARTS = 64
MAX_BYTES = 64 * 1024
#: Waiting parts that are asked in one turn.
WOKEN_PARTS = 32


@attrs.define(eq=False)
class TurnUse:
    """What one connection has processed in the turn of that number."""

    turn: int = -1
    parts: int = 0
    size: int = 0


class ResponseTurns:
    """Divides the turns of the event loop among the responses that are read.

    Servers may send faster than this process parses, on many connections at once. So
    that requests beside them go on, a turn that has lasted for long takes only small
    responses, and few parts of each; others wait in the order of their arrival.
    """

    by_loop = weakref.WeakKeyDictionary()

    def __init__(self):
        self.number = 0
        self.started_at = None
        self.is_end_planned = False
        self.waiting = []
        self.tickets = itertools.count()

    @classmethod
    def of_loop(cls):
        """Return the turns of the running event loop."""
        loop = asyncio.get_running_loop()
        if loop not in cls.by_loop:
            cls.by_loop[loop] = cls()
        return cls.by_loop[loop]

    def admit(self, use, size, now):
        """Return whether a part may be processed in this turn, and count it if so.

        :param use: the :class:`TurnUse` of its connection.
        :param size: its bytes.
        :param now: monotonic seconds.
        """
        if use.turn != self.number:
            use.turn, use.parts, use.size = self.number, 0, 0
        parts, total = use.parts + 1, use.size + size
        is_small = parts <= FREE_PARTS and total <= FREE_BYTES
        if not is_small and not self._has_time(now):
            return False
        if use.parts and (parts > MAX_PARTS or total > MAX_BYTES):
            return False
        use.parts, use.size = parts, total
        if self.started_at is None:
            self.started_at = now
        self._plan_end()
        return True

    def _has_time(self, now):
        return self.started_at is None or now - self.started_at < TURN_SECONDS

    async def wait(self, use, size, clock):
        """Wait until a part may be processed.

        :param clock: returns the present time, monotonic seconds.
        """
        ticket = next(self.tickets)
        while True:
            future = asyncio.get_running_loop().create_future()
            heapq.heappush(self.waiting, (ticket, future))
            self._plan_end()
            await future
            if self.admit(use, size, clock()):
                return

    def _plan_end(self):
        if not self.is_end_planned:
            self.is_end_planned = True
            asyncio.get_running_loop().call_soon(self._end)

    def _end(self):
        self.number += 1
        self.started_at = None
        self.is_end_planned = False
        for _ in range(min(WOKEN_PARTS, len(self.waiting))):
            _, future = heapq.heappop(self.waiting)
            if not future.done():
                future.set_result(None)
        if self.waiting:
            self._plan_end()
