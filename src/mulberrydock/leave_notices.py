"""Remembers which incarnations of instances have announced that they leave.

An announcement is final for an incarnation, while its record in the store may be
outdated, expire in an outage and be written again: so the notice outlives the record.
"""

import math
import typing as t

import attrs

#: Maximum number of notices that are remembered; the oldest are dropped first.
MAX_NOTICES = 1000


@attrs.define
class LeaveNotices:
    """The incarnations that leave, mapped to when this VM learned it.

    Times are monotonic seconds. An owner may set ``on_new``, which is called with each
    incarnation once it is known to leave.
    """

    learned_at: dict = attrs.field(factory=dict)
    on_new: t.Callable = lambda incarnation: None

    def __contains__(self, incarnation):
        return incarnation in self.learned_at

    def add(self, incarnation, now):
        """Remember that an incarnation leaves; return whether that is new."""
        if incarnation in self.learned_at:
            return False
        self.learned_at[incarnation] = now
        while len(self.learned_at) > MAX_NOTICES:
            del self.learned_at[next(iter(self.learned_at))]
        self.on_new(incarnation)
        return True

    def discard(self, incarnation):
        """Forget a notice, as another process has that identifier now."""
        self.learned_at.pop(incarnation, None)

    def is_recent(self, incarnation, seconds, now):
        """Return whether a notice was learned in the last ``seconds``."""
        return now - self.learned_at.get(incarnation, -math.inf) <= seconds
