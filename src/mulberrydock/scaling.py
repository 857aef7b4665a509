"""Decides how many engines a pool should have, in which data centres and of which kind.

A platform that bills engines by the second offers two kinds of them. Reclaimable ones
cost a fraction, but the platform may take back all of a data centre at once and may
then have no others for a while. So they are spread over the data centres such that
the loss of one leaves what the pool needs. While more are lost, the other data centres
take their place; engines that aren't reclaimable are only ordered for what is missing.
"""

import abc
import collections
import math

import attrs

from .reclaims import (
    NeededCapacity,
    ReclaimedCapacity,
    ReclaimSigns,
    keep_needed,
    leave_room,
    with_loss_cover,
)

#: Utilization at which the engines of a pool are kept: prompts wait about as long as
#: they take to prefill, and a burst of twice the load is still served.
TARGET_UTILIZATION = 0.5
#: Time constant with which a past peak of the demand is forgotten.
PEAK_MEMORY_SECONDS = 120.0
#: Share of the engines that must be superfluous before any is given up: each one takes
#: the parts of prompts along that it has in its cache.
SHRINK_SHARE = 0.25
#: Engines that a pool keeps at least: one that prefills, one that decodes, and a spare.
MIN_ENGINES = 3
#: Seconds for which engines must be missing before dearer ones are ordered: a crashed
#: engine may be back by the time at which another one has started.
SHORTAGE_SECONDS = 1.0
#: Seconds for which engines must be superfluous before they are given up.
SURPLUS_SECONDS = 1.0


@attrs.define(frozen=True)
class AutoscaleSpec:
    """How many engines a service may have, and what they cost.

    ``minimum`` and ``maximum`` bound the engines of each data centre, of both kinds
    together. ``boot_seconds`` pass until a new engine serves. ``prices`` are those of a
    second of an engine by data centre; a reclaimable one costs ``reclaimable_price``
    times as much, None if there are none.
    """

    minimum: int
    maximum: int
    boot_seconds: float
    prices: dict
    reclaimable_price: float | None = None


@attrs.define(frozen=True)
class EngineOrder:
    """A wanted number of engines of one kind in one data centre."""

    service: str
    data_centre: str
    reclaimable: bool
    count: int

    @property
    def subject(self):
        """What the order is about, without the count."""
        return self.service, self.data_centre, self.reclaimable


class CapacityPolicy(abc.ABC):
    """Decides how many engines a pool needs, wherever they are."""

    @abc.abstractmethod
    def engines_needed(self, declared, needs, now):
        """Return the number of engines.

        :param declared: the engines that the pool had at first.
        :param needs: the measured :class:`~mulberrydock.stages.StageNeeds`, None
            before any request.
        :param now: monotonic seconds.
        """


@attrs.define
class DeclaredCapacity(CapacityPolicy):
    """As many engines as the pool had at first, whatever is asked of them."""

    def engines_needed(self, declared, needs, now):
        return declared


@attrs.define
class UtilizationCapacity(CapacityPolicy):
    """Engines for the highest demand of late, at a target utilization.

    The number that the pool had at first counts as a past demand, which is forgotten
    like any other. ``peak`` is the highest demand in busy engines, as it was at
    ``updated_at``; ``needed`` is the number in force.
    """

    target: float = TARGET_UTILIZATION
    peak: float = 0.0
    updated_at: float | None = None
    needed: int = 0

    def engines_needed(self, declared, needs, now):
        if needs is None and self.updated_at is None:
            self.peak = declared * self.target
            return declared
        demand = needs.prefill_demand + needs.decode_demand if needs else 0.0
        elapsed = now - (now if self.updated_at is None else self.updated_at)
        self.peak = max(demand, self.peak * math.exp(-elapsed / PEAK_MEMORY_SECONDS))
        self.updated_at = now
        needed = max(MIN_ENGINES, math.ceil(self.peak / self.target))
        if needed > self.needed or needed <= self.needed * (1 - SHRINK_SHARE):
            self.needed = needed
        return self.needed


def spread(count, prices, minimum, maximum):
    """Return ``count`` engines as evenly over the data centres as the bounds allow.

    :returns: the number by data centre; what doesn't divide goes to the cheapest.
    """
    order = sorted(prices, key=lambda name: (prices[name], name))
    numbers = {}
    for index, name in enumerate(order):
        share = count // len(order) + (index < count % len(order))
        numbers[name] = max(minimum, min(maximum, share))
    return numbers


def resize(present, count, prices, room):
    """Return ``count`` engines by data centre, with as few changes as possible.

    :param present: the engines that there are, by data centre.
    :param room: the most that each data centre may have.
    """
    numbers = {name: min(present.get(name, 0), room[name]) for name in prices}
    while sum(numbers.values()) > count:
        dearest = max(
            (name for name in numbers if numbers[name]),
            key=lambda name: (numbers[name], prices[name]),
        )
        numbers[dearest] -= 1
    while sum(numbers.values()) < count:
        free = [name for name in numbers if numbers[name] < room[name]]
        if not free:
            break
        cheapest = min(free, key=lambda name: (numbers[name], prices[name]))
        numbers[cheapest] += 1
    return numbers


@attrs.define
class PoolScaler:
    """Decides the wanted engines of one pool, from pass to pass.

    ``declared`` is the largest number of engines that the pool had before any request.
    ``kept`` is the wanted number of the dearer engines that aren't reclaimable, None
    while those that are there stay. They have been too few since ``short_since`` or too
    many since ``surplus_since`` (monotonic seconds). ``lost`` are the data centres
    whose reclaimable engines were taken back and aren't there again.
    """

    policy: CapacityPolicy = attrs.field(factory=UtilizationCapacity)
    reclaimed: ReclaimedCapacity = attrs.field(factory=NeededCapacity)
    declared: int = 0
    kept: int | None = None
    short_since: float | None = None
    surplus_since: float | None = None
    lost: frozenset = frozenset()

    def decide(self, service, spec, engines, needs, now, signs=ReclaimSigns()):
        """Return the list of :class:`EngineOrder` that should be in force.

        :param spec: the pool's :class:`AutoscaleSpec`.
        :param engines: its instances that may take new work.
        :param needs: the measured :class:`~mulberrydock.stages.StageNeeds`, None before
            any request.
        :param signs: the :class:`ReclaimSigns`.
        """
        others = collections.Counter(
            e.record.data_centre for e in engines if not e.record.reclaimable
        )
        if needs is None and self.kept is None:
            self.declared = max(self.declared, others.total())
        if not self.declared:
            # Nothing is known of the pool yet: nothing must be ordered away.
            return []
        needed = self.policy.engines_needed(self.declared, needs, now)
        if spec.reclaimable_price is None:
            numbers = spread(needed, spec.prices, spec.minimum, spec.maximum)
            return _orders(service, False, numbers)
        present = collections.Counter(
            e.record.data_centre for e in engines if e.record.reclaimable
        )
        covered = with_loss_cover(needed, len(spec.prices))
        numbers = spread(covered, spec.prices, spec.minimum, spec.maximum)
        self._update_lost(numbers, present, signs)
        numbers = self._cover_lost(numbers, needed, spec)
        missing = max(0, needed - present.total())
        if missing and needs is not None:
            step = 0 if self.lost else 1
            numbers = leave_room(numbers, present, others, spec.maximum, step)
        numbers = keep_needed(numbers, present, needed, spec.maximum)
        orders = _orders(service, True, numbers)
        self._update_kept(missing, others.total(), signs.starting, now)
        if self.kept is not None:
            room = {name: spec.maximum - numbers[name] for name in numbers}
            kept = resize(others, self.kept, spec.prices, room)
            orders += _orders(service, False, kept)
        return orders

    def _update_lost(self, numbers, present, signs):
        """Update which data centres have lost their reclaimable engines.

        :param numbers: the engines wanted in each.
        :param present: those that there are.
        """
        gone = {
            name
            for name, number in numbers.items()
            if number
            and not present[name]
            and (name in signs.leaving or name in signs.refused)
        }
        # The others stay in place until at least half of the engines are back.
        missing = {
            name for name in self.lost if 2 * present[name] < numbers.get(name, 0)
        }
        self.lost = frozenset(gone | missing)

    def _cover_lost(self, numbers, needed, spec):
        """Return ``numbers`` with those of the lost data centres added to the others.

        The lost ones keep theirs, so that their engines are ordered again as soon as
        there are some.
        """
        prices = {n: p for n, p in spec.prices.items() if n not in self.lost}
        if not self.lost or not prices:
            return numbers
        total = self.reclaimed.total(needed, len(prices))
        raised = spread(total, prices, spec.minimum, spec.maximum)
        return {name: max(n, raised.get(name, 0)) for name, n in numbers.items()}

    def _update_kept(self, missing, present, starting, now):
        """Update how many engines to have that aren't reclaimable.

        :param missing: engines that the reclaimable ones lack of those needed.
        :param present: engines there are of the other kind.
        :param starting: reclaimable engines that are on their way.
        """
        kept = present if self.kept is None else self.kept
        self.short_since = _since(missing - starting > kept, self.short_since, now)
        self.surplus_since = _since(missing < kept, self.surplus_since, now)
        # A crashed engine may be back soon; one that was taken back isn't.
        patience = 0.0 if self.lost else SHORTAGE_SECONDS
        if _lasted(self.short_since, patience, now) or _lasted(
            self.surplus_since, SURPLUS_SECONDS, now
        ):
            # Engines on their way aren't replaced; replacements stay until they serve.
            short = self.short_since is not None
            self.kept = max(0, missing - starting) if short else missing
            self.short_since, self.surplus_since = None, None


def _since(holds, since, now):
    """Return since when a condition holds, None while it doesn't."""
    if not holds:
        return None
    return now if since is None else since


def _lasted(since, seconds, now):
    return since is not None and now - since >= seconds


def _orders(service, reclaimable, numbers):
    return [
        EngineOrder(service, name, reclaimable, number)
        for name, number in sorted(numbers.items())
    ]


@attrs.define
class OrderState:
    """What is known of the last order on one subject.

    ``count`` was ordered at ``sent_at`` (monotonic seconds); ``confirmed`` is True once
    the platform accepted it, ``refused`` if it had none.
    """

    count: int
    sent_at: float
    confirmed: bool
    refused: bool = False


@attrs.define
class OrderBook:
    """Decides which wanted orders to send now.

    An order is sent when its count changes, again while it isn't confirmed, and again
    when the engines that registered differ from it for longer than a start takes: an
    older order may have been carried out late, after it.

    ``states`` maps subjects to :class:`OrderState`.
    """

    #: Seconds until an order that wasn't confirmed, or found no engines, is repeated.
    retry_seconds: float = 1.0
    #: Seconds, beyond the start of an engine, for which its record may lag.
    record_lag_seconds: float = 4.0
    states: dict = attrs.field(factory=dict)

    def is_due(self, order, present, boot_seconds, now):
        """Return whether ``order`` has to be sent.

        :param present: engines that are there of the kind and data centre.
        """
        state = self.states.get(order.subject)
        if state is None:
            # A new holder doesn't know what was ordered before. What is there already
            # needs no order unless it changes.
            if present != order.count:
                return True
            state = self.states[order.subject] = OrderState(order.count, now, True)
        if state.count != order.count:
            return True
        elapsed = now - state.sent_at
        if not state.confirmed:
            return elapsed >= self.retry_seconds
        settled = elapsed >= boot_seconds + self.record_lag_seconds
        return settled and present != order.count

    def reclaim_signs(self, service, present, leaving, lost, boot_seconds, now):
        """Return the :class:`ReclaimSigns` of a pool.

        :param present: reclaimable engines that there are, by data centre.
        :param leaving: the data centres where one has announced that it leaves.
        :param lost: the data centres that are known to have lost theirs. What was
            accepted there may have been taken back as well.
        """
        refused, starting = set(), 0
        for (name, data_centre, reclaimable), state in self.states.items():
            if name != service or not reclaimable:
                continue
            if state.refused:
                refused.add(data_centre)
            gone = data_centre in leaving and not present[data_centre]
            in_time = now - state.sent_at < boot_seconds + SHORTAGE_SECONDS
            if state.confirmed and in_time and not (gone or data_centre in lost):
                starting += max(0, state.count - present[data_centre])
        return ReclaimSigns(frozenset(leaving), frozenset(refused), starting)

    def record(self, order, confirmed, now, refused=False):
        """Record that ``order`` was sent at ``now``, and how it was answered."""
        state = OrderState(order.count, now, confirmed, refused)
        self.states[order.subject] = state

    def forget_lost(self, service, data_centres):
        """Forget the accepted orders whose reclaimable engines were taken back."""
        for subject in [(service, name, True) for name in data_centres]:
            if subject in self.states and self.states[subject].confirmed:
                del self.states[subject]

    def forget(self):
        """Forget all orders, as another VM may order from now on."""
        self.states.clear()
