"""Pauses that instances ask this VM for when they refuse a call (``Retry-After``).

An overloaded instance pays for each call that it has to refuse. Its pause holds for
this VM only and for all calls, whichever of them was refused.
"""

import attrs
from loguru import logger

from .instances import id_of

#: Maximum pause in seconds: one call an hour harms no instance, and without a bound a
#: single wrong value would exclude an instance for ever.
MAX_PAUSE_SECONDS = 3600.0


@attrs.define
class Backoffs:
    """The pauses of instances.

    They don't depend on the instances' records, which may expire and be written again
    within a pause. Nor do they on the incarnation: one that has restarted may ask for a
    pause before this VM has read its new record. ``ends`` maps the instances' ids to
    the end of their pause in monotonic seconds.
    """

    ends: dict = attrs.field(factory=dict)

    def record(self, incarnation, seconds, now):
        """Record that an instance asked for a pause.

        A call that was in progress may end a moment later with a shorter one, which
        doesn't end the longer.

        :param seconds: duration of the pause.
        """
        instance_id = id_of(incarnation)
        end = now + min(seconds, MAX_PAUSE_SECONDS)
        if not self.seconds_left(incarnation, now):
            self.ends = {i: at for i, at in self.ends.items() if at > now}
            logger.info(
                "instance asks for a pause", instance=incarnation, seconds=seconds
            )
        self.ends[instance_id] = max(end, self.ends.get(instance_id, end))

    def seconds_left(self, incarnation, now):
        """Return the seconds until the end of an instance's pause, 0 without one."""
        return max(0.0, self.ends.get(id_of(incarnation), now) - now)

    def paused(self, now):
        """Return the ids of the instances that are in a pause."""
        return {instance_id for instance_id, end in self.ends.items() if end > now}

    def permits(self, incarnation, now):
        """Return whether this VM may call an instance."""
        return not self.seconds_left(incarnation, now)
