"""Estimates what room there is at the decode engines of a pool.

The VMs know of each other's sends some tenths of a second late. Without a reserve, they
would together give the last places to whoever comes, and the more urgent ones that come
a moment later would find none.
"""

import math

import attrs

from ..demand import Rate

#: Weight of the latest stream in the average time of a place. A VM of a large fleet
#: sees a few streams of a route a second; ten of them cover about the time of one.
STREAM_WEIGHT = 0.1
#: Share of the places that may be reserved at most: less urgent requests aren't refused
#: while half of the places are free.
MAX_RESERVED_SHARE = 0.5


@attrs.define(frozen=True)
class Places:
    """The decode places of a pool, and the streams sent to it, waiting ones included.

    ``total`` is 0 if the engines don't state how many they have. ``report_delay`` is
    the number of seconds for which sends of other VMs may not be counted yet.
    """

    total: int = 0
    streams: int = 0
    report_delay: float = 0.0

    @classmethod
    def from_pool(cls, pool):
        """Count the places of a :class:`~mulberrydock.placement.Pool`."""
        return cls(
            sum(engine.record.slots for engine in pool.decoders),
            sum(pool.load(engine).running for engine in pool.decoders),
            pool.report_delay,
        )

    @property
    def has_ample(self):
        """Whether places are free that are never reserved.

        Also true where their number isn't stated.
        """
        return self.streams < self.total * (1 - MAX_RESERVED_SHARE) or not self.total


class PlaceUse:
    """How many places the streams of each urgency ask for, as seen by one VM.

    ``rates`` holds the requests a second and ``seconds`` the average time that one
    holds its place, by urgency.
    """

    def __init__(self):
        self.rates = {}
        self.seconds = {}

    def record_arrival(self, urgency, now):
        """Record a client's request, whether it is served or not."""
        self.rates.setdefault(urgency, Rate()).record(1.0, now)

    def record_stream(self, urgency, seconds):
        """Record a complete stream that held its place for ``seconds``."""
        known = self.seconds.setdefault(urgency, seconds)
        self.seconds[urgency] = known + STREAM_WEIGHT * (seconds - known)

    def wait(self, urgency, places, streams_a_second, now):
        """Return the seconds until there is a place for a stream of ``urgency``.

        More urgent requests that arrive until then go first, and so do those that other
        VMs have sent but not reported yet.

        :param places: the :class:`Places` of the pool.
        :param streams_a_second: the requests that all VMs get a second.
        :returns: 0 if there is room now, infinity if the more urgent requests ask for
            the whole pool, None before any stream has ended.
        """
        if places.has_ample:
            return 0.0
        if not self.seconds:
            return None
        seconds = sum(self.seconds.values()) / len(self.seconds)
        rate, asked = self._more_urgent(urgency, seconds, streams_a_second, now)
        reserve = min(rate * places.report_delay, MAX_RESERVED_SHARE * places.total)
        ahead = places.streams + reserve + 1 - places.total
        if ahead <= 0:
            return 0.0
        free = places.total - asked
        return ahead * seconds / free if free > 0 else math.inf

    def _more_urgent(self, urgency, seconds, streams_a_second, now):
        """Return the more urgent requests a second, and the places that they ask for.

        Clients are spread over the VMs, so the mix here is that of all of them.

        :param seconds: for which those hold a place of which that isn't known.
        """
        rates = {u: rate.average(now) for u, rate in self.rates.items()}
        factor = streams_a_second / (sum(rates.values()) or 1.0)
        rows = [(u, rate * factor) for u, rate in rates.items() if u < urgency]
        asked = sum(rate * self.seconds.get(u, seconds) for u, rate in rows)
        return sum(rate for _, rate in rows), asked
