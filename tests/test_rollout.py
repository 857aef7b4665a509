"""Decisions of the rollout and the role planner at given times."""

import attrs
import pytest

from mulberrydock.planner import (
    MixRoles,
    RoleDemand,
    RoleDemandMeter,
    StaticRoles,
    delayed_share,
)
from mulberrydock.rollout import CORDON_SETTLE_SECONDS, EngineView, Rollout, Target
from mulberrydock.settings import default_settings_text, parse_settings

OLD, NEW = Target("m", "1", "", "both"), Target("m", "2", "", "both")
ENGINES = {e.name: e for e in parse_settings(default_settings_text("lagos")).engines}


def _view(name, target=OLD, **changes):
    view = EngineView(name, "i", **attrs.asdict(target), available=True)
    return attrs.evolve(view, **changes)


@pytest.mark.parametrize(
    "held, changes, expected",
    [
        # Not cordoned yet: cordon it before anything else.
        ({}, {}, ("hold",)),
        # Cordoned, but the report was made before the cordon took effect.
        ({"a": 10.0}, {"reported_at": 10.5}, ()),
        # Cordoned and the report is late enough, but a request still runs or waits.
        ({"a": 10.0}, {"reported_at": 11.5, "running": 1}, ()),
        ({"a": 10.0}, {"reported_at": 11.5, "waiting": 1}, ()),
        ({"a": 10.0}, {"reported_at": 11.5}, ("order",)),
        # A new engine runs nothing: no cordon is needed.
        ({}, {"model": ""}, ("order",)),
        # Ordered, and still unavailable.
        ({"a": 10.0}, {"version": "2", "available": False}, ()),
        ({"a": 10.0}, {"version": "2"}, ("release",)),
        # It is unreachable.
        ({"a": 10.0}, None, ("release",)),
    ],
)
def test_rollout_of_one_engine(held, changes, expected):
    # Guards against an order to an engine that may still have requests, and against one
    # that stays cordoned after its change or while it is unreachable.
    rollout = Rollout()
    rollout.cordoned = dict(held)
    views = {} if changes is None else {"a": _view("a", **changes)}
    actions = rollout.decide(views, {"a": NEW}, 12.0)
    done = [n for n in ("hold", "order", "release") if getattr(actions, n) == ["a"]]
    assert tuple(done) == expected


@pytest.mark.parametrize("engines, most", [(1, 1), (4, 1), (5, 1), (8, 2), (40, 10)])
def test_rollout_cordons_few_engines_at_a_time(engines, most):
    # Guards against a rollout that takes too many engines out of service at once, or
    # that never ends.
    names = [f"e{i}" for i in range(engines)]
    rollout, views, now, rounds = Rollout(), {n: _view(n) for n in names}, 0.0, 0
    while any(v.current_target != NEW for v in views.values()):
        actions = rollout.decide(views, dict.fromkeys(names, NEW), now)
        for name in actions.release:
            del rollout.cordoned[name]
        rollout.cordoned.update(dict.fromkeys(actions.hold, now))
        assert len(rollout.cordoned) <= most
        for name in actions.order:
            views[name] = _view(name, NEW)
        now += CORDON_SETTLE_SECONDS
        views = {n: attrs.evolve(v, reported_at=now) for n, v in views.items()}
        rounds += 1
        assert rounds < 10 * engines + 10


@pytest.mark.parametrize(
    "demand, prefilling, expected",
    [
        (RoleDemand(0.0, 1.0), 0, 0.0),
        (RoleDemand(0.25, 1.0), 0, 0.0),
        # 5 engines, 2.5 of them prefilling: half of the tokens wait for one.
        (RoleDemand(2.5, 0.5), 0, 0.45),
        (RoleDemand(2.5, 0.5), 4, 0.0),
        # More than the prefill engines, or the others, can carry.
        (RoleDemand(2.5, 0.5), 3, 0.1),
        (RoleDemand(0.5, 3.0), 2, 0.6),
    ],
)
def test_delayed_share(demand, prefilling, expected):
    # Guards against a wrong comparison of plans: the planner weighs the share of late
    # tokens against the number of role changes.
    assert delayed_share(demand, 5, prefilling) == pytest.approx(expected)


def _prefilling(planner, demand, now, names="abcde"):
    roles = planner.plan([_view(n) for n in names], demand, now)
    return sum(role == "prefill" for role in roles.values())


@pytest.mark.parametrize(
    "change_weight, steps, expected",
    [
        # Long prompts for a while: the plan follows once the demand has settled.
        (1.0, [(0.0, 0.1), (1.0, 1.5), (3.0, 1.5), (5.0, 1.5)], [0, 0, 0, 2]),
        # A short burst changes nothing.
        (1.0, [(0.0, 0.1), (1.0, 1.5), (2.0, 0.1), (9.0, 0.1)], [0, 0, 0, 0]),
        # Short prompts again: the prefill engines do no harm, so they stay.
        (1.0, [(0.0, 1.5), (4.0, 1.5), (15.0, 0.1), (20.0, 0.1)], [0, 2, 2, 2]),
        # Where role changes weigh more than the goodput, none is made.
        (100.0, [(0.0, 1.5), (4.0, 1.5), (8.0, 1.5)], [0, 0, 0]),
    ],
)
def test_mix_roles_through_a_shift(change_weight, steps, expected):
    # Guards against role changes for a short burst or without a gain, and against none
    # when the demand has shifted for good.
    planner = MixRoles(1.0, change_weight, settle_seconds=3.0, interval_seconds=10.0)
    seen = [_prefilling(planner, RoleDemand(p, 1.0), now) for now, p in steps]
    assert seen == expected


def test_a_change_of_plan_waits_for_the_interval_since_the_last():
    # Guards against roles that change too often: long outputs follow right after long
    # prompts, and the engines change back only when the interval is over.
    planner = MixRoles(1.0, 1.0, settle_seconds=3.0, interval_seconds=10.0)
    for now in (0.0, 4.0):
        before = _prefilling(planner, RoleDemand(1.5, 0.5), now)
    assert before == 2
    seen = [
        _prefilling(planner, RoleDemand(0.1, 3.8), t) for t in (5.0, 9.0, 13.0, 15.0)
    ]
    assert seen == [2, 2, 2, 0]


@pytest.mark.parametrize("later, expected", [(10.0, 0), (600.0, 2)])
def test_recent_peak_of_decode_demand_keeps_engines_from_prefilling(later, expected):
    # Guards against too few decode engines: long outputs occupied four engines, and
    # long prompts follow at once. With two prefill engines, too few would be left when
    # the long outputs return.
    planner = MixRoles(1.0, 1.0, settle_seconds=3.0, interval_seconds=10.0)
    _prefilling(planner, RoleDemand(0.1, 3.8), 0.0)
    for now in (later, later + 4.0):
        seen = _prefilling(planner, RoleDemand(1.5, 0.5), now)
    assert seen == expected


@pytest.mark.parametrize("prefill", [0.0, 1.0, 2.0, 4.0, 9.0])
def test_some_engine_always_decodes(prefill):
    # Guards against a pool without a decode engine when prefill demand is high.
    planner = MixRoles(1.0, 0.0, settle_seconds=0.0, interval_seconds=0.0)
    for now in (0.0, 1.0, 2.0):
        assert _prefilling(planner, RoleDemand(prefill, 0.0), now) < 5
    assert StaticRoles().plan([_view("a")], RoleDemand(9.0, 0.0), 0.0) == {"a": "both"}


def test_planner_goes_on_while_no_engine_is_reachable():
    # Guards against a planner that fails or loses its roles without any engine's state,
    # as after a controller's start or while it is disconnected from all engines.
    planner = MixRoles(1.0, 1.0, settle_seconds=3.0, interval_seconds=10.0)
    assert planner.plan([], RoleDemand(), 0.0) == {}
    for now in (1.0, 5.0):
        before = _prefilling(planner, RoleDemand(1.5, 1.0), now)
    assert planner.plan([], RoleDemand(1.5, 1.0), 6.0) == {}
    assert _prefilling(planner, RoleDemand(1.5, 1.0), 7.0) == before == 2


def test_a_new_controller_keeps_the_roles_that_engines_have():
    # Guards against role changes only because another controller became the leader.
    planner = MixRoles(1.0, 1.0, settle_seconds=3.0, interval_seconds=10.0)
    views = [_view("a", attrs.evolve(OLD, role="prefill")), _view("b"), _view("c")]
    roles = planner.plan(views, RoleDemand(0.6, 0.5), 0.0)
    assert roles == {"a": "prefill", "b": "both", "c": "both"}


def test_demand_is_measured_from_counts_and_survives_a_restart():
    # Guards against a wrong demand when an engine restarts and counts from 0 again.
    meter = RoleDemandMeter()
    rate = ENGINES["engine-1"].prefill_tokens_per_second
    for second, tokens in enumerate([0, rate, 2 * rate, 5, rate + 5]):
        view = _view("engine-1", prefilled_tokens=int(tokens))
        demand = meter.observe([view], ENGINES, float(second))
    assert 0.3 < demand.prefill < 1.0
    assert demand.decode == 0.0
