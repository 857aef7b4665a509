"""Notices when this process stood still, as on a busy or suspended machine.

Whatever arrived meanwhile lies unread at first. Until it is read, an instance that has
answered looks silent, a place that is free by now looks taken, and the counts of peers
are old although they seem to have just arrived.
"""

import math

import attrs
from loguru import logger

#: Seconds between two observations from which the process counts as having stood
#: still. Observations are 0.25 s apart while it runs, and its event loop may be late by
#: some tenths of a second on a busy machine.
MIN_GAP_SECONDS = 0.5
#: Seconds until what had arrived is read: peers report again within 0.2 s, and
#: connections are read within some turns of the event loop.
CATCH_UP_SECONDS = 0.3


@attrs.define
class Pauses:
    """The pauses of this process; :meth:`observe` is called several times a second.

    ``now`` is monotonic seconds, ``boot`` seconds of a clock that also counts the time
    for which the VM was suspended.

    ``observed_at`` is the last observation in boot seconds, None before the first.
    ``ended_at`` is when the last pause ended (monotonic seconds), ``lasted`` its
    seconds.
    """

    observed_at: float | None = None
    ended_at: float = -math.inf
    lasted: float = 0.0

    def observe(self, now, boot):
        """Record that the process runs, and that it stood still if it didn't before."""
        last, self.observed_at = self.observed_at, boot
        if last is None or boot - last < MIN_GAP_SECONDS:
            return
        self.ended_at, self.lasted = now, boot - last
        logger.warning("process stood still", seconds=round(self.lasted, 3))

    def catch_up_seconds(self, now, boot):
        """Return the seconds until what came in a pause is read, 0 if it is."""
        self.observe(now, boot)
        return max(0.0, self.ended_at + CATCH_UP_SECONDS - now)

    def has_paused(self, since, now, boot):
        """Return whether the process stood still at some time after ``since``."""
        self.observe(now, boot)
        return self.ended_at > since
