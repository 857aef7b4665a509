"""Policies by which an entry picks an engine or instance for a request.

Each takes the present time and the upstreams that may take the request. See
``docs/design/routing.md`` for a comparison and the reason for the default.
"""

import abc
import collections
import functools
import random

import uhashring

from . import defaults

#: Upstreams picked at random, of which the one with the shortest wait is chosen.
CHOICES = 2
#: Number of engines that own a prefix on the ring.
RING_WAYS = 2
#: Maximum number of cached rings, one for each set of candidates; the set changes when
#: an upstream fails.
MAX_RINGS = 16
#: Share of a prompt that its owner is expected to have cached.
EXPECTED_CACHED_SHARE = 0.5


@functools.lru_cache(maxsize=MAX_RINGS)
def _ring(names):
    return uhashring.HashRing(nodes=list(names))


class Policy(abc.ABC):
    """Picks among eligible upstreams."""

    #: True for a policy that uses :attr:`Work.blocks`.
    needs_blocks = False
    #: Number of entry daemons that share the upstreams; the entry updates it.
    entries = 1

    @abc.abstractmethod
    def pick(self, candidates, work, now):
        """Return one of ``candidates``, which are not empty, for ``work``."""


class RoundRobin(Policy):
    """Picks each upstream in turn, regardless of load; the baseline."""

    def __init__(self):
        self.turn = 0

    def pick(self, candidates, work, now):
        self.turn += 1
        return sorted(candidates, key=lambda u: u.name)[self.turn % len(candidates)]


class FewestInFlight(Policy):
    """Picks the upstream with the fewest requests of this entry; ties go by name."""

    def pick(self, candidates, work, now):
        return min(candidates, key=lambda u: (u.in_flight, u.name))


class LeastWait(Policy):
    """Picks the shorter wait of two random upstreams.

    Load reports lag, and all entries get the same ones. If they picked the shortest
    wait of all upstreams, they would all choose the same engine until the next report
    and overload it. Two random choices spread them.
    """

    def __init__(self, seed=None):
        self.random = random.Random(seed)

    @staticmethod
    def best(candidates, work, now, entries):
        """Return the candidate with the shortest wait, None when there is none."""
        return min(
            candidates,
            key=lambda u: (u.wait_seconds(work, now, entries), u.in_flight),
            default=None,
        )

    def pick(self, candidates, work, now):
        two = self.random.sample(candidates, min(CHOICES, len(candidates)))
        return self.best(two, work, now, self.entries)


class RingPlacement(LeastWait):
    """Assigns each prompt prefix to owners on a consistent-hash ring.

    The owners follow from the routing key, without a directory of what each engine has
    cached (after "Slotmap mode: directory-free deterministic KV placement", PeerCache).
    An owner is passed over when its wait exceeds another upstream's by more than a
    cached prefix would save, so that a popular prefix can't overload its owners.
    """

    def __init__(self, ways=RING_WAYS, seed=None):
        super().__init__(seed)
        self.ways = ways

    def owners(self, candidates, key):
        """Return the candidates that own ``key``, at most :attr:`ways`."""
        by_name = {u.name: u for u in candidates}
        ring = _ring(tuple(sorted(by_name)))
        ways = min(self.ways, len(by_name))
        return [by_name[row["nodename"]] for row in ring.range(key, size=ways)]

    def pick(self, candidates, work, now):
        other = super().pick(candidates, work, now)
        if not work.key:
            return other
        owners = self.owners(candidates, work.key)
        owner = self.best(owners, work, now, self.entries)
        wait = owner.wait_seconds(work, now, self.entries)
        saved = work.prompt_tokens * EXPECTED_CACHED_SHARE / owner.prefill_rate
        if wait <= other.wait_seconds(work, now, self.entries) + saved:
            return owner
        return other


class CacheTracking(Policy):
    """Tracks the engines' cache events and prefers the longest cached prefix.

    The events are delayed and incomplete, so :attr:`blocks` (engine name to block
    hashes) is an estimate: an error costs time but never changes an answer.
    """

    needs_blocks = True

    def __init__(self):
        self.blocks = collections.defaultdict(set)

    def apply(self, engine, kind, block):
        """Apply one cache event of ``engine``: ``stored`` or ``removed``."""
        if kind == "stored":
            self.blocks[engine].add(block)
        else:
            self.blocks[engine].discard(block)

    def cached_tokens(self, engine, work):
        """Return how many leading prompt tokens ``engine`` likely has cached."""
        cached = self.blocks[engine]
        count = 0
        for block in work.blocks:
            if block not in cached:
                break
            count += 1
        return count * defaults.CACHE_BLOCK_TOKENS

    def pick(self, candidates, work, now):
        def cost(upstream):
            wait = upstream.wait_seconds(work, now, self.entries)
            if upstream.prefill_rate:
                cached = self.cached_tokens(upstream.name, work)
                wait -= cached / upstream.prefill_rate
            return wait, upstream.in_flight

        return min(candidates, key=cost)


#: Policies by their names in the settings.
POLICIES = {
    "round-robin": RoundRobin,
    "fewest-in-flight": FewestInFlight,
    "least-wait": LeastWait,
    "ring": RingPlacement,
    "cache-tracking": CacheTracking,
}
