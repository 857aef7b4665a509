"""Decides which engines prefill and which generate, as the mix of the load shifts.

The prefill of a long prompt delays the tokens of other requests at its engine. Engines
with the prefill role avoid that, but a role change makes an engine unavailable for
seconds, and a fixed split wastes engines when the mix shifts back. The plan compares
the two by the weights of the settings.
"""

import abc
import math

import attrs

from . import defaults

#: Time constant of the average of demand, in seconds.
DEMAND_SECONDS = 4.0
#: Share of an engine's capacity that a plan may use.
UTILIZATION_LIMIT = 0.8
#: Share of tokens that a prefill may delay before roles pay off: the latency objective
#: covers 95 in 100 tokens.
TOLERATED_DELAYED_SHARE = 0.05
#: Seconds within which the gain of a role change must exceed its cost.
PAYBACK_SECONDS = 60.0
#: Time constant in seconds by which a peak of generation decays, so that a pool that
#: just needed its engines for generation doesn't turn them into prefill engines.
PEAK_SECONDS = 120.0


@attrs.define(frozen=True)
class RoleDemand:
    """Offered work of prefill and of generation, in numbers of busy engines."""

    prefill: float = 0.0
    decode: float = 0.0


class RoleDemandMeter:
    """Averages the pool's demand from the engines' cumulative token counts."""

    def __init__(self):
        self.counts = {}
        self.prefill = 0.0
        self.decode = 0.0
        self.measured_at = None

    def observe(self, views, settings, now):
        """Update the averages with every engine's counts; return a :class:`RoleDemand`.

        :param views: :class:`~mulberrydock.rollout.EngineView` list.
        :param settings: engine settings by name, for the engines' rates.
        :param now: monotonic seconds.
        """
        prefill, decode = 0.0, 0.0
        for view in views:
            engine = settings[view.name]
            prefilled, outputs = self._since_last(view)
            prefill += prefilled / engine.prefill_tokens_per_second
            decode += outputs / decode_capacity(engine)
        if self.measured_at is not None and now > self.measured_at:
            elapsed = now - self.measured_at
            weight = min(1.0, elapsed / DEMAND_SECONDS)
            self.prefill += weight * (prefill / elapsed - self.prefill)
            self.decode += weight * (decode / elapsed - self.decode)
        self.measured_at = now
        return RoleDemand(self.prefill, self.decode)

    def _since_last(self, view):
        before = self.counts.get(view.name, (view.prefilled_tokens, view.output_tokens))
        self.counts[view.name] = (view.prefilled_tokens, view.output_tokens)
        # A restarted engine counts from zero again.
        return (
            max(0, view.prefilled_tokens - before[0]),
            max(0, view.output_tokens - before[1]),
        )


def decode_capacity(engine):
    """Return the tokens a second that an engine generates with a full batch.

    :param engine: the engine's settings.
    """
    rate = engine.decode_tokens_per_second / (1 + defaults.FULL_BATCH_SLOWDOWN)
    return engine.batch_size * rate


class RolePlanner(abc.ABC):
    """Chooses the role of each engine whose declared role is ``auto``."""

    @abc.abstractmethod
    def plan(self, views, demand, now):
        """Return ``{engine name: role}`` for ``views``, all with role ``auto``."""


class StaticRoles(RolePlanner):
    """Lets every engine prefill and generate, without role changes."""

    def plan(self, views, demand, now):
        return {view.name: "both" for view in views}


class MixRoles(RolePlanner):
    """Plans as many prefill engines as the mix asks for, with few role changes.

    :param goodput_weight: value of one second with all tokens on time.
    :param change_weight: cost of one role change, in the unit of this value.
    :param settle_seconds: how long a better plan must stay better.
    :param interval_seconds: minimum time between two changes of plan.
    """

    def __init__(self, goodput_weight, change_weight, settle_seconds, interval_seconds):
        self.goodput_weight = goodput_weight
        self.change_weight = change_weight
        self.settle_seconds = settle_seconds
        self.interval_seconds = interval_seconds
        self.roles = {}
        self.better = None
        self.better_since = 0.0
        self.changed_at = None
        self.peak_decode = 0.0
        self.planned_at = None

    def plan(self, views, demand, now):
        # An engine that this controller hasn't seen before keeps its role; one that
        # can't be read now keeps its planned role.
        for view in views:
            self.roles.setdefault(view.name, view.role or "both")
        roles = {v.name: self.roles[v.name] for v in views}
        current = sum(role == "prefill" for role in roles.values())
        peak = RoleDemand(demand.prefill, self._peak(demand.decode, now))
        wanted = self.prefill_engines(peak, len(views), current)
        if wanted == current:
            self.better = None
        elif wanted != self.better:
            self.better, self.better_since = wanted, now
        elif self._settled(now):
            self._assign(views, wanted)
            self.better, self.changed_at = None, now
        return {v.name: self.roles[v.name] for v in views}

    def _peak(self, decode, now):
        if self.planned_at is not None:
            elapsed = max(0.0, now - self.planned_at)
            self.peak_decode *= math.exp(-elapsed / PEAK_SECONDS)
        self.planned_at = now
        self.peak_decode = max(self.peak_decode, decode)
        return self.peak_decode

    def _settled(self, now):
        if now - self.better_since < self.settle_seconds:
            return False
        return self.changed_at is None or (
            now - self.changed_at >= self.interval_seconds
        )

    def prefill_engines(self, demand, engines, current):
        """Return how many of ``engines`` should prefill if ``current`` do now."""

        def value(count):
            gained_share = delayed_share(demand, engines, 0)
            gained_share -= delayed_share(demand, engines, count)
            changes = abs(count - current)
            gain = gained_share * self.goodput_weight * PAYBACK_SECONDS
            return gain - changes * self.change_weight, -changes

        return max(range(engines), key=value, default=0)

    def _assign(self, views, wanted):
        def order(view):
            # Engines that prefill already come first, then the idlest ones.
            return (self.roles[view.name] != "prefill", view.running, view.name)

        for index, view in enumerate(sorted(views, key=order)):
            self.roles[view.name] = "prefill" if index < wanted else "both"


def delayed_share(demand, engines, prefilling):
    """Return the share of late tokens, 0 to 1.

    Without prefill engines, a token is delayed when its engine prefills; the tolerated
    share isn't counted. With them, only the work beyond the capacity of either group is
    late.

    :param engines: number of engines.
    :param prefilling: how many of them are prefill engines.
    """
    if prefilling == 0:
        stalled = max(0.0, demand.prefill / engines - TOLERATED_DELAYED_SHARE)
        excess = demand.prefill + demand.decode - engines * UTILIZATION_LIMIT
        return min(1.0, stalled + max(0.0, excess) / engines)
    limit = UTILIZATION_LIMIT
    excess = max(0.0, demand.prefill - prefilling * limit)
    excess += max(0.0, demand.decode - (engines - prefilling) * limit)
    return min(1.0, excess)
