"""Memory for what is held of the responses of instances until it is whole."""

import asyncio

import attrs

#: Share of the process's memory that all held responses may take together.
RESPONSE_MEMORY_SHARE = 0.1
#: Size of a response, in bytes, up to which it never waits for room.
SMALL_RESPONSE_BYTES = 64 * 1024


class ResponseRoom:
    """The responses and events that a process holds, and how many bytes they may take.

    Beyond the limit, large responses aren't read on until others have been passed on,
    which holds their instances back. The one that became large first is always read, so
    that one of them ends.

    :param limit: bytes that all may take together.
    """

    def __init__(self, limit):
        self.limit = limit
        self.held = 0
        self.large = {}
        self.waiting = set()

    @classmethod
    def from_memory(cls, megabytes):
        """Return the room of a process that may take so much memory."""
        room = cls(0)
        room.set_memory(megabytes)
        return room

    def set_memory(self, megabytes):
        """Set the limit by the memory that the process may take."""
        self.limit = int(megabytes * 1e6 * RESPONSE_MEMORY_SHARE)
        self.wake()

    def must_wait(self, share):
        """Return whether ``share`` may not grow at present."""
        if self.held <= self.limit or share not in self.large:
            return False
        return share is not next(iter(self.large))

    def wake(self):
        """Let the responses that wait check again."""
        for future in self.waiting:
            if not future.done():
                future.set_result(None)
        self.waiting.clear()


@attrs.define(eq=False)
class ResponseShare:
    """What the responses to one request take of a :class:`ResponseRoom`.

    ``responses`` lists the :class:`~mulberrydock.connections.HeldChunks` of them, and
    ``event_bytes`` are those of the event of its stream that hasn't ended yet.
    """

    room: ResponseRoom
    size: int = 0
    event_bytes: int = 0
    responses: list = attrs.field(factory=list)

    def add(self, count):
        """Count bytes that have been read.

        :returns: None, or an awaitable that delays further reading.
        """
        self._take(count)
        return self.wait() if self.room.must_wait(self) else None

    def _take(self, count):
        self.size += count
        self.room.held += count
        if self.size > SMALL_RESPONSE_BYTES:
            self.room.large.setdefault(self)

    def hold_event(self, size):
        """Count the bytes that are held of an event, in place of those before."""
        count, self.event_bytes = size - self.event_bytes, size
        if count > 0:
            self._take(count)
        else:
            self._free(-count)

    def _free(self, count):
        if not count:
            return
        self.size -= count
        self.room.held -= count
        if self.size <= SMALL_RESPONSE_BYTES:
            self.room.large.pop(self, None)
        self.room.wake()

    async def wait(self):
        """Wait until it may grow."""
        while self.size and self.room.must_wait(self):
            future = asyncio.get_running_loop().create_future()
            self.room.waiting.add(future)
            try:
                await future
            finally:
                self.room.waiting.discard(future)

    def release(self):
        """Free the bytes of all responses; idempotent.

        They may be part of a reference cycle, which would keep them for long.
        """
        for held in self.responses:
            held.clear()
        self.responses.clear()
        self.event_bytes = 0
        self._free(self.size)
