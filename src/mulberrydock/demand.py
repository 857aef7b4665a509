"""Measures the work that clients ask of a pool as it arrives.

Needed because the mix swings between long prompts and long answers within seconds: the
work asked for now, whether it is served or not, shows which stage of the pool is about
to be overloaded.
"""

import math

import attrs

#: Time constant of the averages: swings of a few seconds are evened out, and three
#: quarters of a lasting shift show after twice this time.
AVERAGING_SECONDS = 4.0
#: Seconds for which the demand reported by a peer counts: a second and a half passes
#: between two reports in small fleets, several seconds in large ones.
PEER_EXPIRY_SECONDS = 6.0


class Rate:
    """Exponentially weighted average of an amount a second."""

    def __init__(self):
        self.value = 0.0
        self.updated_at = None

    def record(self, amount, now):
        """Add ``amount`` at ``now`` (monotonic seconds)."""
        self.value = self.average(now) + amount / AVERAGING_SECONDS
        self.updated_at = now

    def average(self, now):
        """Return the average a second."""
        if self.updated_at is None:
            return 0.0
        return self.value * math.exp(
            -max(0.0, now - self.updated_at) / AVERAGING_SECONDS
        )


@attrs.define(frozen=True)
class Demand:
    """What is asked of a pool, a second or by one request.

    ``prefill_work`` is in tokens without context, as are all fields named ``_work``.
    ``transferred_tokens`` are those whose KV cache is transferred to a decode engine,
    ``streams`` the requests. ``prefill_engine_work`` and ``decode_engine_work`` are the
    prefill work that was sent to prefill and to decode engines, retries included;
    ``short_prefill_work`` is the part of ``prefill_work`` that decode engines could do
    as well.
    """

    prefill_work: float = 0.0
    transferred_tokens: float = 0.0
    streams: float = 0.0
    prefill_engine_work: float = 0.0
    decode_engine_work: float = 0.0
    short_prefill_work: float = 0.0

    def __add__(self, other):
        # By name: this is called for each peer at each decision, and attrs.astuple()
        # takes ten times as long.
        return Demand(
            self.prefill_work + other.prefill_work,
            self.transferred_tokens + other.transferred_tokens,
            self.streams + other.streams,
            self.prefill_engine_work + other.prefill_engine_work,
            self.decode_engine_work + other.decode_engine_work,
            self.short_prefill_work + other.short_prefill_work,
        )


class DemandMeter:
    """Demand for one pool at this VM, and as its peers reported it."""

    def __init__(self):
        self.rates = [Rate() for _ in attrs.fields(Demand)]
        self.peers = {}

    def record(self, demand, now):
        """Add the :class:`Demand` of one request."""
        for rate, field in zip(self.rates, attrs.fields(Demand)):
            rate.record(getattr(demand, field.name), now)

    def own(self, now):
        """Return the :class:`Demand` of this VM's clients, a second."""
        return Demand(*(rate.average(now) for rate in self.rates))

    def apply_update(self, peer, demand, now):
        """Record the :class:`Demand` a second that a peer reported."""
        self.peers[peer] = (demand, now)

    def total(self, now, peers=None):
        """Return the :class:`Demand` a second of this VM and its peers together.

        A peer whose report has expired doesn't count.

        :param peers: names of the peers to count, None for all of them.
        """
        fresh = [
            demand
            for peer, (demand, at) in self.peers.items()
            if now - at <= PEER_EXPIRY_SECONDS and (peers is None or peer in peers)
        ]
        return sum(fresh, self.own(now))
