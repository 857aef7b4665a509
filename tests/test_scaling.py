"""How many engines a pool orders, where and of which kind, under changing demand."""

import asyncio
import collections
import json

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from test_budget import TIMING

from mulberrydock.clock import boot_seconds
from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import Instance, InstanceRecord, Stage
from mulberrydock.lease import Authority, LeaderLease
from mulberrydock.platform import DutyOutcome, read_config, read_instance
from mulberrydock.reclaims import (
    CoveredCapacity,
    NeededCapacity,
    ReclaimSigns,
    with_loss_cover,
)
from mulberrydock.request import RoutingConfig, ServiceSpec
from mulberrydock.scale_controller import ScaleController
from mulberrydock.scaling import (
    PEAK_MEMORY_SECONDS,
    SHORTAGE_SECONDS,
    SURPLUS_SECONDS,
    AutoscaleSpec,
    DeclaredCapacity,
    EngineOrder,
    OrderBook,
    PoolScaler,
    UtilizationCapacity,
    resize,
    spread,
)
from mulberrydock.stages import StageNeeds

PRICES = {"dc1": 1.0, "dc2": 0.8, "dc3": 1.25}
SPEC = AutoscaleSpec(1, 20, 4.0, PRICES, 0.18)
DEAR = attrs.evolve(SPEC, reclaimable_price=None)


def engines(reclaimable=False, **counts):
    """Return engines by data centre."""
    return [
        Instance(
            InstanceRecord(
                f"{name}-{number}-{reclaimable}",
                "llm",
                "h:1",
                name,
                64,
                False,
                Stage.DECODE,
                None,
                reclaimable,
            )
        )
        for name, count in counts.items()
        for number in range(count)
    ]


def wanted(orders, reclaimable):
    """Return the wanted numbers of one kind by data centre, None without orders."""
    rows = {o.data_centre: o.count for o in orders if o.reclaimable is reclaimable}
    return rows or None


def demand(busy):
    """Return needs of so many busy engines."""
    return StageNeeds(busy * 0.7, busy * 0.3)


class Pool:
    """A pool whose platform carries orders out, with the time that engines take."""

    def __init__(self, spec=SPEC, policy=None, **present):
        self.spec = spec
        self.scaler = PoolScaler(policy or UtilizationCapacity())
        self.engines = engines(**present)
        self.booting = []
        self.unavailable = set()
        self.now = 0.0
        self.orders = []

    def run(self, seconds, needs=None, interval=0.5):
        """Let time pass; orders take effect at once, new engines after their start."""
        end = self.now + seconds
        while self.now < end:
            self.now += interval
            self.engines += [e for at, e in self.booting if at <= self.now]
            self.booting = [row for row in self.booting if row[0] > self.now]
            self.orders = self.scaler.decide(
                "llm", self.spec, self.engines, needs, self.now
            )
            for order in self.orders:
                self._carry_out(order)
        return self

    def _carry_out(self, order):
        def matches(engine):
            record = engine.record
            place = (record.data_centre, record.reclaimable)
            return place == (order.data_centre, order.reclaimable)

        present = [e for e in self.engines if matches(e)]
        started = [row for row in self.booting if matches(row[1])]
        for engine in present[order.count :]:
            self.engines.remove(engine)
        if order.reclaimable and order.data_centre in self.unavailable:
            return
        for number in range(order.count - len(present) - len(started)):
            (new,) = engines(order.reclaimable, **{order.data_centre: 1})
            self.booting.append((self.now + self.spec.boot_seconds, new))

    def reclaim(self, data_centre):
        """Take back all reclaimable engines of a data centre."""
        self.unavailable.add(data_centre)
        self.engines = [
            e
            for e in self.engines
            if not (e.record.reclaimable and e.record.data_centre == data_centre)
        ]

    def count(self, reclaimable=None):
        """Return the number of engines, of one kind or of both."""
        return sum(
            reclaimable is None or e.record.reclaimable is reclaimable
            for e in self.engines
        )


@pytest.mark.parametrize(
    ("count", "numbers"),
    [
        (0, {"dc1": 1, "dc2": 1, "dc3": 1}),
        (4, {"dc1": 1, "dc2": 2, "dc3": 1}),
        (12, {"dc1": 4, "dc2": 4, "dc3": 4}),
        (14, {"dc1": 5, "dc2": 5, "dc3": 4}),
        (999, {"dc1": 20, "dc2": 20, "dc3": 20}),
    ],
)
def test_engines_are_spread_over_the_data_centres(count, numbers):
    assert spread(count, PRICES, 1, 20) == numbers


@given(st.integers(1, 60), st.integers(1, 6))
def test_loss_of_a_data_centre_leaves_what_is_needed(needed, data_centres):
    """Guards against a pool that is too small while the platform takes back all
    reclaimable engines of one data centre."""
    prices = {f"dc{number}": 1.0 for number in range(data_centres)}
    numbers = spread(with_loss_cover(needed, data_centres), prices, 0, 1000)
    left = sum(numbers.values()) - max(numbers.values())
    assert left >= needed or data_centres == 1
    assert sum(numbers.values()) <= 2 * needed + data_centres


@given(
    st.dictionaries(st.sampled_from(sorted(PRICES)), st.integers(0, 20)),
    st.integers(0, 80),
)
def test_resized_pool_changes_no_more_engines_than_needed(present, count):
    room = {name: 20 for name in PRICES}
    numbers = resize(present, count, PRICES, room)
    assert sum(numbers.values()) == min(count, 60)
    changed = sum(abs(numbers[name] - present.get(name, 0)) for name in PRICES)
    assert changed == abs(min(count, 60) - sum(present.values()))


def test_nothing_is_ordered_away_before_the_pool_is_known():
    """Guards against engines that are given up on ignorance, before their records or
    the first requests have come."""
    scaler = PoolScaler()
    assert scaler.decide("llm", SPEC, [], None, 0.0) == []
    for second in range(20):
        known = engines(dc1=min(3, second // 2), dc2=3, dc3=2)
        orders = scaler.decide("llm", SPEC, known, None, float(second))
        assert wanted(orders, False) is None
    assert wanted(orders, True) == {"dc1": 4, "dc2": 4, "dc3": 4}


def test_reclaimable_engines_replace_the_others_before_the_first_request():
    pool = Pool(dc1=3, dc2=2, dc3=3).run(3.0)
    assert pool.count(False) == 8
    pool.run(6.0)
    assert (pool.count(True), pool.count(False)) == (12, 0)


def test_without_reclaimable_engines_the_number_follows_the_demand():
    pool = Pool(DEAR, dc1=4, dc2=4, dc3=4).run(5.0).run(20.0, demand(2.0))
    assert pool.count() == 12
    pool.run(5 * PEAK_MEMORY_SECONDS, demand(2.0), interval=5.0)
    assert 4 <= pool.count() <= 6
    pool.run(8.0, demand(8.0))
    assert pool.count() == 16


def test_mix_that_swings_every_three_seconds_changes_nothing():
    """Guards against engines that come and go with each swing of the mix, and take the
    parts of prompts in their caches along."""
    pool = Pool(dc1=3, dc2=2, dc3=3).run(12.0)
    seen = set()
    for swing in range(12):
        pool.run(2.8, demand(3.6 if swing % 2 else 1.2))
        seen.add(tuple(sorted(wanted(pool.orders, True).items())))
    assert len(seen) == 1


def test_burst_of_twice_the_load_is_followed_at_once():
    pool = Pool(dc1=3, dc2=2, dc3=3).run(12.0).run(10.0, demand(3.0))
    pool.run(0.5, demand(6.0))
    assert sum(wanted(pool.orders, True).values()) == with_loss_cover(12, 3)


def test_reclaimed_data_centre_is_covered_by_the_others():
    """Guards against dear engines that are ordered though those left are enough."""
    pool = Pool(dc1=3, dc2=2, dc3=3).run(12.0).run(5.0, demand(3.0))
    pool.reclaim("dc2")
    pool.run(9.0, demand(3.0))
    assert (pool.count(True), pool.count(False)) == (8, 0)
    pool.unavailable.clear()
    pool.run(6.0, demand(3.0))
    assert pool.count(True) == 12


def test_shortage_after_two_reclaims_is_filled_with_other_engines():
    """Guards against a pool that waits for reclaimable engines that don't come."""
    pool = Pool(dc1=3, dc2=2, dc3=3).run(12.0).run(5.0, demand(3.0))
    pool.reclaim("dc2")
    pool.reclaim("dc3")
    pool.run(SHORTAGE_SECONDS + SPEC.boot_seconds + 1.0, demand(3.0))
    assert (pool.count(True), pool.count(False)) == (4, 4)
    pool.unavailable.clear()
    pool.run(SPEC.boot_seconds + SURPLUS_SECONDS + 1.0, demand(3.0))
    assert (pool.count(True), pool.count(False)) == (12, 0)


def test_crashed_engine_that_is_back_soon_is_not_replaced():
    pool = Pool(dc1=3, dc2=2, dc3=3).run(12.0).run(5.0, demand(3.0))
    lost, pool.engines = pool.engines[:5], pool.engines[5:]
    pool.run(SHORTAGE_SECONDS - 0.5, demand(3.0))
    pool.engines += lost
    pool.run(2.0, demand(3.0))
    assert wanted(pool.orders, False) == {"dc1": 0, "dc2": 0, "dc3": 0}


def reclaimed_orders(scaler, needs, starting=0, now=20.0, **present):
    """Return the orders once dc2 and dc3 have announced that all their engines leave.

    Two engines of dc2 and dc3 each were there, beside those that are still present.
    """
    scaler.decide("llm", SPEC, engines(dc1=3, dc2=2, dc3=3), None, 0.0)
    full = engines(reclaimable=True, dc1=4, dc2=4, dc3=4)
    for step in range(6):
        scaler.decide("llm", SPEC, full, needs, now - 3.0 + step / 2)
    signs = ReclaimSigns(frozenset({"dc2", "dc3"}), frozenset(), starting)
    left = engines(reclaimable=True, **present)
    return scaler.decide("llm", SPEC, left, needs, now, signs)


@pytest.mark.parametrize(
    ("reclaimed", "busy", "starting", "reclaimable", "others"),
    [
        # What the pool needs, at once, in the data centre that is left.
        (NeededCapacity(), 3.0, 0, {"dc1": 8, "dc2": 4, "dc3": 4}, 4),
        (CoveredCapacity(), 3.0, 0, {"dc1": 8, "dc2": 4, "dc3": 4}, 4),
        # The platform has accepted to start four: no dear ones are needed.
        (NeededCapacity(), 3.0, 4, {"dc1": 8, "dc2": 4, "dc3": 4}, 0),
        # The load is above what the pool was declared for.
        (NeededCapacity(), 6.0, 0, {"dc1": 12, "dc2": 6, "dc3": 6}, 8),
    ],
)
def test_announced_reclaim_of_two_data_centres_at_a_peak_is_replaced_at_once(
    reclaimed, busy, starting, reclaimable, others
):
    """Guards against a second without orders after a loss that is certain, while what
    is left of the pool serves the peak."""
    scaler = PoolScaler(reclaimed=reclaimed)
    orders = reclaimed_orders(scaler, demand(busy), starting, dc1=4)
    assert wanted(orders, True) == reclaimable
    assert sum((wanted(orders, False) or {}).values()) == others


def test_data_centre_without_engines_for_an_order_is_covered_by_the_others():
    """Guards against orders that are only repeated where there are no engines."""
    scaler = PoolScaler()
    scaler.decide("llm", SPEC, engines(dc1=3, dc2=2, dc3=3), None, 0.0)
    there = engines(reclaimable=True, dc1=4, dc2=4)
    signs = ReclaimSigns(refused=frozenset({"dc3"}))
    orders = scaler.decide("llm", SPEC, there, demand(5.0), 1.0, signs)
    assert wanted(orders, True) == {"dc1": 5, "dc2": 5, "dc3": 5}
    orders = scaler.decide("llm", SPEC, there, demand(6.0), 2.0, signs)
    assert wanted(orders, True) == {"dc1": 6, "dc2": 6, "dc3": 6}


@pytest.mark.parametrize(("back", "raised"), [(0, True), (1, True), (2, False)])
def test_others_stay_until_half_of_the_reclaimed_engines_are_back(back, raised):
    """Guards against a pool that gives up the replacements while the engines that they
    replace are still starting."""
    scaler = PoolScaler()
    reclaimed_orders(scaler, demand(3.0), dc1=4)
    there = engines(reclaimable=True, dc1=8, dc2=back, dc3=back)
    orders = scaler.decide("llm", SPEC, there, demand(3.0), 21.0)
    assert wanted(orders, True)["dc1"] == (8 if raised else 4)


def test_engines_that_serve_a_peak_are_not_displaced_by_reclaimable_ones():
    """Guards against a pool that gives up engines while too few are left, as a data
    centre that has its maximum gets reclaimable ones that have yet to start."""
    spec = attrs.evolve(SPEC, maximum=5)
    scaler = PoolScaler()
    scaler.decide("llm", spec, engines(dc1=3, dc2=2, dc3=3), None, 0.0)
    left = engines(reclaimable=True, dc1=4) + engines(dc1=1, dc2=5)
    signs = ReclaimSigns(refused=frozenset({"dc2", "dc3"}))
    scaler.kept = 6
    orders = scaler.decide("llm", spec, left, demand(6.0), 1.0, signs)
    assert wanted(orders, True)["dc1"] == 4
    assert wanted(orders, False)["dc1"] == 1


def test_full_pool_under_load_changes_to_reclaimable_engines_one_by_one():
    """Guards against a pool that keeps the dearer engines for ever, as its data centres
    had their maximum of them when the first requests came."""
    spec = attrs.evolve(SPEC, maximum=4)
    pool = Pool(spec, dc1=4, dc2=4, dc3=4)
    pool.scaler.decide("llm", spec, pool.engines, None, 0.0)
    for _ in range(100):
        pool.run(0.5, demand(6.0))
        assert pool.count() >= 9
    assert (pool.count(True), pool.count(False)) == (12, 0)


def test_crashed_engines_of_a_data_centre_are_not_taken_for_reclaimed_ones():
    """Guards against replacements for engines that are back within seconds."""
    scaler = PoolScaler()
    scaler.decide("llm", SPEC, engines(dc1=3, dc2=2, dc3=3), None, 0.0)
    there = engines(reclaimable=True, dc1=4, dc2=4)
    orders = scaler.decide("llm", SPEC, there, demand(3.0), 1.0)
    assert wanted(orders, True) == {"dc1": 4, "dc2": 4, "dc3": 4}
    assert not scaler.lost


@pytest.mark.parametrize(
    ("answer", "seconds", "present", "lost", "refused", "starting"),
    [
        ("accepted", 0.5, 1, set(), set(), 3),
        # What hasn't come once its start is over doesn't count any more.
        ("accepted", 6.0, 1, set(), set(), 0),
        # What was accepted before the loss was taken back with the others.
        ("accepted", 0.5, 0, {"dc1"}, set(), 0),
        ("refused", 0.5, 0, set(), {"dc1"}, 0),
        # No answer, or too many calls, doesn't show that there are no engines.
        ("unknown", 0.5, 0, set(), set(), 0),
    ],
)
def test_orders_show_what_is_lost_and_what_is_on_its_way(
    answer, seconds, present, lost, refused, starting
):
    book = OrderBook()
    order = attrs.evolve(ORDER, count=4)
    book.record(order, answer == "accepted", 10.0, answer == "refused")
    book.record(EngineOrder("other", "dc2", True, 3), False, 10.0, True)
    there, now = collections.Counter(dc1=present), 10.0 + seconds
    signs = book.reclaim_signs("llm", there, {"dc3"}, lost, SPEC.boot_seconds, now)
    assert signs == ReclaimSigns(frozenset({"dc3"}), frozenset(refused), starting)


def test_engines_accepted_just_before_they_are_taken_back_are_not_awaited():
    """Guards against a peak that is left without replacements for as long as a start
    takes, as engines ordered for it are taken back with the others."""
    book = OrderBook()
    book.record(attrs.evolve(ORDER, count=9), True, 10.0)
    there = collections.Counter(dc2=4, dc3=4)
    signs = book.reclaim_signs(
        "llm", there, {"dc1"}, frozenset(), SPEC.boot_seconds, 10.5
    )
    assert signs == ReclaimSigns(frozenset({"dc1"}), frozenset(), 0)


def test_replacements_stay_until_the_engines_of_all_data_centres_are_back():
    """Guards against a pool that falls below its need when one of two data centres has
    half of its engines again and the other has none."""
    scaler = PoolScaler()
    reclaimed_orders(scaler, demand(3.0), dc1=4)
    there = engines(reclaimable=True, dc1=8, dc2=2)
    orders = scaler.decide("llm", SPEC, there, demand(3.0), 21.0)
    assert wanted(orders, True) == {"dc1": 6, "dc2": 4, "dc3": 4}


@pytest.mark.parametrize("maximum", [8, 5])
def test_replacements_stay_within_the_bounds_of_a_new_configuration(maximum):
    scaler = PoolScaler()
    reclaimed_orders(scaler, demand(3.0), dc1=4)
    spec = attrs.evolve(SPEC, maximum=maximum)
    there = engines(reclaimable=True, dc1=8)
    orders = scaler.decide("llm", spec, there, demand(3.0), 21.0)
    assert wanted(orders, True)["dc1"] == maximum
    total = collections.Counter()
    for order in orders:
        total[order.data_centre] += order.count
        assert order.count >= 0
    assert max(total.values()) <= maximum


def test_lost_data_centre_that_the_configuration_drops_is_forgotten():
    """Guards against a VM that ends by itself when a new configuration no longer
    has a data centre whose engines were just taken back."""
    scaler = PoolScaler()
    reclaimed_orders(scaler, demand(3.0), dc1=4)
    spec = attrs.evolve(SPEC, prices={"dc1": 1.0, "dc2": 0.8})
    left = engines(reclaimable=True, dc1=4)
    scaler.decide("llm", spec, left, demand(3.0), 21.0)
    assert scaler.lost == {"dc2"}


@pytest.mark.parametrize("policy", [DeclaredCapacity(), UtilizationCapacity()])
def test_first_seconds_of_demand_shrink_no_pool(policy):
    """Guards against a pool that is cut to the first requests' demand and then lacks
    engines when a data centre is reclaimed and the load rises."""
    pool = Pool(SPEC, policy, dc1=3, dc2=2, dc3=3).run(12.0)
    pool.run(10.0, demand(0.4))
    assert pool.count(True) == 12


@hypothesis_settings(max_examples=40, deadline=None)
@given(st.lists(st.floats(0.0, 40.0), min_size=1, max_size=40))
def test_orders_stay_within_the_bounds(loads):
    pool = Pool(dc1=3, dc2=2, dc3=3)
    for busy in loads:
        pool.run(1.0, demand(busy))
        total = collections.Counter()
        for order in pool.orders:
            total[order.data_centre] += order.count
        assert all(1 <= count <= 20 for count in total.values())


ORDER = EngineOrder("llm", "dc1", True, 4)


@pytest.mark.parametrize(
    ("sent", "present", "seconds", "due"),
    [
        # Nothing sent by this holder: what is there already needs no order.
        (None, 0, 0.0, True),
        (None, 4, 0.0, False),
        # Accepted: engines may still be starting, and their records lag.
        ((4, True), 0, 7.0, False),
        # An older order was carried out after this one.
        ((4, True), 0, 9.0, True),
        ((4, True), 5, 9.0, True),
        ((4, True), 4, 60.0, False),
        # Not answered, or none to be had.
        ((4, False), 0, 0.5, False),
        ((4, False), 0, 1.0, True),
        # Another number is wanted now.
        ((3, True), 3, 0.1, True),
    ],
)
def test_order_is_sent_again_only_with_a_reason(sent, present, seconds, due):
    """Guards against lost orders, those carried out late after newer ones, and calls
    that say what the platform knows."""
    book = OrderBook()
    if sent:
        count, confirmed = sent
        book.record(attrs.evolve(ORDER, count=count), confirmed, 100.0)
    assert book.is_due(ORDER, present, SPEC.boot_seconds, 100.0 + seconds) is due


@attrs.define
class Platform:
    """Stands in for the platform: the orders that arrived, with their outcome."""

    outcome: DutyOutcome = DutyOutcome.ACCEPTED
    orders: list = attrs.field(factory=list)

    async def order_engines(self, holder, token, order):
        self.orders.append((holder, token, order))
        return self.outcome


def controller(platform, leader=True):
    """Return the controller of a VM over a pool of eight engines."""
    fleet = FleetView("dc1", TIMING, lambda: 1, lambda instance: None)
    service = ServiceSpec("llm", 100, 1000, autoscale=SPEC)
    fleet.routes.accept(RoutingConfig(1, (), {"llm": service}, None))
    for engine in engines(dc1=3, dc2=2, dc3=3):
        fleet.instances.put(engine.record, 0.0)
    lease = LeaderLease(None, "entry-1", 3.0, clock=boot_seconds)
    now = boot_seconds()
    if leader:
        lease.authority = Authority(1, 7, now, now - 10)
    return ScaleController(fleet, platform, lease, "entry-1")


def test_only_the_leader_orders():
    platform = Platform()
    asyncio.run(controller(platform, leader=False).run_pass(10.0))
    assert not platform.orders
    asyncio.run(controller(platform).run_pass(10.0))
    assert [(h, t, o.count) for h, t, o in platform.orders] == [("entry-1", 7, 4)] * 3


def test_orders_that_found_no_engines_are_repeated_at_an_interval():
    """Guards against a flood of orders while the platform has no engines."""
    platform = Platform(DutyOutcome.REFUSED)
    scale = controller(platform)
    for step in range(10):
        asyncio.run(scale.run_pass(10.0 + step * 0.25))
    assert len(platform.orders) == 9


def test_order_is_sent_again_as_soon_as_its_engines_are_taken_back():
    """Guards against a data centre whose order counts as carried out for seconds, as
    its engines had come just before they were taken back."""
    platform = Platform()
    scale = controller(platform)
    asyncio.run(scale.run_pass(10.0))
    for engine in engines(reclaimable=True, dc1=4, dc2=4, dc3=4):
        scale.fleet.instances.put(engine.record, 10.5)
    asyncio.run(scale.run_pass(11.0))
    assert len(platform.orders) == 3
    for instance in scale.fleet.instances.serving("llm"):
        if instance.record.data_centre == "dc1" and instance.record.reclaimable:
            scale.fleet.instances.mark_leaving(instance.id, "test", 11.0)
    asyncio.run(scale.run_pass(11.5))
    assert [order for _, _, order in platform.orders[3:]] == [ORDER]


def test_nothing_is_ordered_while_records_are_missing():
    """Guards against orders based on a pool that seems empty in an outage of the
    store."""
    platform = Platform()
    scale = controller(platform)
    scale.fleet.instances.mark_store_unavailable(9.0)
    asyncio.run(scale.run_pass(10.0))
    assert not platform.orders


def test_documents_state_bounds_prices_and_kind():
    service = {
        "name": "llm",
        "engine": {"kv_tokens": 10},
        "autoscale": {
            "min": 1,
            "max": 20,
            "boot_timeout_s": 4.0,
            "spot_price": 0.18,
            "zone_prices": PRICES,
        },
    }
    text = json.dumps({"version": 1, "routes": [], "services": [service]})
    assert read_config("op/config", text).services["llm"].autoscale == SPEC
    row = {"service": "llm", "address": "127.0.0.1:1", "zone": "dc1", "slots": 64}
    for spot in (True, False):
        text = json.dumps(row | {"state": "ready", "spot": spot})
        assert read_instance("servers/i", text).reclaimable is spot
