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
#: Seconds for which an average counts without a further response. While it keeps all
#: requests out, no response would correct it.
HELD_EXPIRY_SECONDS = 30.0


@attrs.define(frozen=True)
class Places:
    """The places of a pool, and the requests sent to it, waiting ones included.

    ``total`` is 0 if the engines don't state how many they have. ``report_delay`` is
    the number of seconds for which sends of other VMs may not be counted yet,
    ``arrivals`` the number of requests that all VMs get a second.
    """

    total: int = 0
    streams: int = 0
    report_delay: float = 0.0
    arrivals: float = 0.0

    @classmethod
    def from_pool(cls, pool):
        """Count the decode places of a :class:`~mulberrydock.placement.Pool`."""
        places = cls.from_instances(pool.decoders, pool.loads)
        return attrs.evolve(
            places, report_delay=pool.report_delay, arrivals=pool.streams
        )

    @classmethod
    def from_instances(cls, instances, loads):
        """Count the places of instances.

        :param loads: their :class:`~mulberrydock.load_sum.Load` by id.
        """
        running = (loads[i.id].running for i in instances if i.id in loads)
        return cls(sum(i.record.slots for i in instances), sum(running))


@attrs.define
class HeldSeconds:
    """The average time for which streams held their places; the last ended at ``at``.

    Seconds, and monotonic seconds.
    """

    average: float
    at: float

    def record(self, seconds, now):
        """Record one more stream that ended at ``now``."""
        self.average += STREAM_WEIGHT * (seconds - self.average)
        self.at = now


class PlaceUse:
    """How many places the streams of each urgency ask for, as seen by one VM.

    ``rates`` holds the requests a second and ``streams`` the :class:`HeldSeconds`, by
    urgency.
    """

    def __init__(self):
        self.rates = {}
        self.streams = {}

    def record_arrival(self, urgency, now):
        """Record a client's request, whether it is served or not."""
        self.rates.setdefault(urgency, Rate()).record(1.0, now)

    def record_end(self, urgency, seconds, now):
        """Record a complete response that held its place for ``seconds``."""
        known = self.streams.get(urgency)
        if known is None or now - known.at > HELD_EXPIRY_SECONDS:
            self.streams[urgency] = HeldSeconds(seconds, now)
        else:
            known.record(seconds, now)

    def held_seconds(self, urgency, now):
        """Return for how long such a request holds its place, 0 if unknown."""
        return self._known(now).get(urgency, 0.0)

    def _known(self, now):
        """Return the average seconds of a stream, by urgency."""
        return {
            urgency: stream.average
            for urgency, stream in self.streams.items()
            if now - stream.at <= HELD_EXPIRY_SECONDS
        }

    def wait(self, urgency, places, longest, now):
        """Return the seconds until there is a place for a stream of ``urgency``.

        More urgent requests that arrive until then go first, and so do those that other
        VMs have sent but not reported yet.

        :param places: the :class:`Places` of the pool.
        :param longest: the seconds for which a stream may hold a place. It counts while
            no stream has ended.
        :returns: 0 if there is room now or the engines don't state their places,
            infinity if the more urgent requests ask for the whole pool.
        """
        if not places.total:
            return 0.0
        known = self._known(now)
        seconds = sum(known.values()) / len(known) if known else longest
        rate, asked = self._more_urgent(urgency, known, seconds, places.arrivals, now)
        ahead = places.streams + rate * places.report_delay + 1 - places.total
        if ahead <= 0:
            return 0.0
        free = places.total - asked
        return ahead * seconds / free if free > 0 else math.inf

    def _more_urgent(self, urgency, known, seconds, arrivals, now):
        """Return the more urgent requests a second, and the places that they ask for.

        Clients are spread over the VMs, so the mix here is that of all of them.

        :param known: the average seconds of a stream, by urgency.
        :param seconds: for which those hold a place of which that isn't known.
        :param arrivals: the requests that all VMs get a second.
        """
        rates = {u: rate.average(now) for u, rate in self.rates.items()}
        factor = arrivals / (sum(rates.values()) or 1.0)
        rows = [(u, rate * factor) for u, rate in rates.items() if u < urgency]
        asked = sum(rate * known.get(u, seconds) for u, rate in rows)
        return sum(rate for _, rate in rows), asked
