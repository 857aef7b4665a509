"""How much work clients ask of a pool, measured as it arrives.

The load pattern this answers is a mix that swings between long prompts and long
answers within seconds: what is asked now, whether it is served or not, says
which stage of the pool will be short.
"""

import math

import attrs

#: Seconds over which demand is averaged: swings of a few seconds are evened out,
#: a shift that stays shows three quarters of itself after twice this time.
AVERAGE_SECONDS = 4.0
#: Seconds for which a peer's figures count: a second and a half passes between
#: two of them in small fleets, several in large ones.
PEER_SECONDS = 6.0


class Rate:
    """An exponential average of something a second."""

    def __init__(self):
        self.value = 0.0
        self.at = None

    def record(self, amount, now):
        """``amount`` was asked at ``now``."""
        self.value = self.read(now) + amount / AVERAGE_SECONDS
        self.at = now

    def read(self, now):
        """Return the average a second."""
        if self.at is None:
            return 0.0
        return self.value * math.exp(-max(0.0, now - self.at) / AVERAGE_SECONDS)


@attrs.define(frozen=True)
class Demand:
    """What is asked of a pool in a second.

    ``prefill_work`` is the work of reading prompts, in tokens without context;
    ``transferred_tokens`` the tokens whose KV cache goes to a decode engine; ``streams`` the
    requests. ``prefill_engine_work`` and ``decode_engine_work`` are the work of reading that was sent to
    prefill and to decode engines, repeats included; ``short_prefill_work`` the part of
    ``prefill_work`` that decode engines could do as well.
    """

    prefill_work: float = 0.0
    transferred_tokens: float = 0.0
    streams: float = 0.0
    prefill_engine_work: float = 0.0
    decode_engine_work: float = 0.0
    short_prefill_work: float = 0.0

    def __add__(self, other):
        pairs = zip(attrs.astuple(self), attrs.astuple(other))
        return Demand(*(a + b for a, b in pairs))


class DemandMeter:
    """Demand of one pool as this VM sees it, and what its peers tell."""

    def __init__(self):
        self.rates = [Rate() for _ in attrs.fields(Demand)]
        self.peers = {}

    def record(self, demand, now):
        """One request asks for ``demand``."""
        for rate, amount in zip(self.rates, attrs.astuple(demand)):
            rate.record(amount, now)

    def own(self, now):
        """Return the :class:`Demand` that this VM's clients make."""
        return Demand(*(rate.read(now) for rate in self.rates))

    def apply_update(self, peer, demand, now):
        """A peer tells what its clients ask."""
        self.peers[peer] = (demand, now)

    def total(self, now, peers=None):
        """Return the :class:`Demand` of this VM and of all peers that are heard.

        :param peers: names of the peers to count, None for all of them.
        """
        fresh = [
            demand
            for peer, (demand, at) in self.peers.items()
            if now - at <= PEER_SECONDS and (peers is None or peer in peers)
        ]
        return sum(fresh, self.own(now))
