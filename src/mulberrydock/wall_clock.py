"""The time of day, as agreed over the last seconds.

The time of day of a VM may step by seconds and back again. What is counted by the time
of day must not move with it.
"""

import collections
import statistics

import attrs

#: Number of samples of which the median counts: a step that lasts for fewer than half
#: of them has no effect. With a sample each half second, that is 7.5 s.
SAMPLES = 31


@attrs.define
class WallClock:
    """Unix time derived from the seconds since boot.

    ``offset`` is the Unix time of the boot.
    """

    samples: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=SAMPLES)
    )
    offset: float = 0.0

    def sample(self, boot_now, unix_now):
        """Compare the time of day with the seconds since boot."""
        self.samples.append(unix_now - boot_now)
        self.offset = statistics.median(self.samples)

    def unix(self, boot_now):
        """Return the Unix time at ``boot_now``, seconds since boot."""
        return boot_now + self.offset
