"""How much inbound connections read in one turn of the event loop."""

import asyncio

from .connection import Phase

#: Bytes of one read. Small enough that many connections can be read in one turn.
READ_CHUNK_BYTES = 16 * 1024
#: Bytes that all connections read in one turn. What is closed for room is freed only in
#: the next turn.
TURN_BYTES = 8 * 1024 * 1024
#: Bytes of heads that are read in one turn before turns count as busy: heads of many
#: small fields take up to half a microsecond a byte to parse, and 20 times their size
#: in memory.
HEAD_TURN_BYTES = 64 * 1024
#: In busy turns, the bytes that are read first of each head, and those of all heads.
#: Most heads are complete then, so they don't wait for larger ones.
FIRST_READ_BYTES = 2 * 1024
FIRST_TURN_BYTES = 256 * 1024
#: In busy turns, the bytes that are read of all heads of which a part has been read.
LATER_TURN_BYTES = 32 * 1024


class ReadTurns:
    """Divides the turns of the event loop among the connections that are read.

    In busy turns heads share the turn, so that many large ones neither hold up the
    requests of others nor fill the memory when they are parsed together.
    """

    def __init__(self):
        self.read = 0
        self.heads = 0
        self.first = 0
        self.later = 0
        self.is_busy = False

    def allowance(self, connection):
        """Return how many bytes a connection may read now, 0 for none in this turn."""
        if self.read >= TURN_BYTES:
            return 0
        if connection.phase not in (Phase.IDLE, Phase.HEAD):
            return READ_CHUNK_BYTES
        if self.heads >= HEAD_TURN_BYTES:
            self.is_busy = True
        if not self.is_busy:
            return READ_CHUNK_BYTES
        if not connection.received:
            return FIRST_READ_BYTES if self.first < FIRST_TURN_BYTES else 0
        return FIRST_READ_BYTES if self.later < LATER_TURN_BYTES else 0

    def record(self, connection, count):
        """Count bytes that a connection is about to add to what it has received."""
        if not self.read:
            asyncio.get_running_loop().call_soon(self._end)
        self.read += count
        if connection.phase not in (Phase.IDLE, Phase.HEAD):
            return
        self.heads += count
        if connection.received:
            self.later += count
        else:
            self.first += count

    def _end(self):
        self.is_busy = self.heads >= HEAD_TURN_BYTES
        self.read = self.heads = self.first = self.later = 0
