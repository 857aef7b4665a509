"""Which engine of a pool changes its stage, and when it does."""

import attrs
import pytest

from mulberrydock.instances import Instance, InstanceRecord, Stage
from mulberrydock.peer_loads import Load
from mulberrydock.stages import (
    ANNOUNCED_LEAVE_SECONDS,
    DECODER_SHORTAGE_SECONDS,
    MISSING_STAGE_SECONDS,
    ORDER_RETRY_SECONDS,
    ORDER_SETTLE_SECONDS,
    PREFILL_SHORTAGE_SECONDS,
    REFUSED_SETTLE_SECONDS,
    UNANSWERED_SETTLE_SECONDS,
    StageNeeds,
    StagePlanner,
    idle_prefills,
    prefills_wanted,
    sustainable_streams,
)

#: Needs that overload no stage of five engines.
LIGHT = StageNeeds(1.5, 0.2)
#: Needs that overload the prefill engines, however many there are.
PREFILL_HEAVY = StageNeeds(50.0, 0.2)
#: Needs that overload three decode engines.
DECODE_HEAVY = StageNeeds(1.0, 2.5)

P, D = Stage.PREFILL, Stage.DECODE


def pool(*stages):
    """Return engines e0, e1, ... with the given stages."""
    return [
        Instance(InstanceRecord(f"e{n}", "llm", f"10.0.0.{n}:1", "dc1", 64, False, s))
        for n, s in enumerate(stages)
    ]


@pytest.mark.parametrize(
    ("engines", "slots", "prefill"),
    [
        (0, 64, 0),
        (1, 64, 0),
        (2, 64, 1),
        (3, 64, 1),
        (4, 64, 2),
        (5, 64, 2),
        (9, 64, 6),
        (45, 64, 30),
        (5, 12, 2),
        (59, 12, 29),
    ],
)
def test_stages_before_any_request(engines, slots, prefill):
    """Guards against a pool that starts with too few prefill engines, or with so few
    decode engines that none is left after a loss. Most engines prefill, half of them
    where engines have few slots."""
    assert idle_prefills(engines, slots) == prefill


@pytest.mark.parametrize(
    ("prefills", "decoders", "needs", "wanted"),
    [
        # No stage is overloaded.
        (2, 3, LIGHT, 2),
        (3, 2, LIGHT, 3),
        (6, 3, StageNeeds(4.0, 0.5), 6),
        # Long prompts: all engines that can be spared prefill, one after the other.
        (2, 3, StageNeeds(3.3, 0.2), 3),
        (6, 3, StageNeeds(8.0, 0.5), 7),
        (7, 2, PREFILL_HEAVY, 7),
        # Long answers: engines go back to decoding, and no decode engine is taken.
        (7, 2, StageNeeds(2.0, 1.9), 6),
        (6, 3, StageNeeds(50.0, 2.0), 6),
        # Both stages are overloaded: an engine taken from prefill would cost more.
        (1, 2, StageNeeds(2.0, 1.7), 1),
        (2, 2, StageNeeds(3.0, 1.7), 2),
        (2, 2, StageNeeds(0.6, 1.9), 1),
        # Only one decode engine is left.
        (3, 1, LIGHT, 2),
        (2, 1, LIGHT, 1),
        # A stage is missing.
        (0, 5, LIGHT, 1),
        (5, 0, LIGHT, 3),
        (0, 1, PREFILL_HEAVY, 0),
        (1, 0, PREFILL_HEAVY, 0),
        (0, 0, PREFILL_HEAVY, 0),
        (1, 1, PREFILL_HEAVY, 1),
        # A large pool: one engine more or less hardly matters while it changes.
        (14, 45, StageNeeds(11.7, 21.0), 15),
        (22, 37, StageNeeds(11.7, 21.0), 22),
        (39, 20, StageNeeds(11.7, 21.0), 38),
    ],
)
def test_stages_follow_the_measured_needs(prefills, decoders, needs, wanted):
    """Guards against a stage that stays overloaded while the other one could spare an
    engine, and against any other change, as it makes its engine unavailable for
    seconds."""
    assert prefills_wanted(prefills, decoders, needs, 64) == wanted


@pytest.mark.parametrize(
    ("stages", "needs", "seconds", "changed"),
    [
        ((P, P, D, D, D), LIGHT, 60.0, None),
        ((D, D, D), LIGHT, MISSING_STAGE_SECONDS / 2, None),
        ((D, D, D), LIGHT, MISSING_STAGE_SECONDS, ("e1", P)),
        ((P, P, P), LIGHT, MISSING_STAGE_SECONDS, ("e1", D)),
        ((P, D, D, D, D), PREFILL_HEAVY, PREFILL_SHORTAGE_SECONDS / 2, None),
        ((P, D, D, D, D), PREFILL_HEAVY, PREFILL_SHORTAGE_SECONDS, ("e1", P)),
        ((P, P, P, D), LIGHT, DECODER_SHORTAGE_SECONDS / 2, None),
        ((P, P, P, D), LIGHT, DECODER_SHORTAGE_SECONDS, ("e1", D)),
        # More decode work: a small pool waits longer than a large one.
        ((P, P, P, D, D, D), DECODE_HEAVY, PREFILL_SHORTAGE_SECONDS, None),
        ((P, P, P, D, D, D), DECODE_HEAVY, DECODER_SHORTAGE_SECONDS, ("e1", D)),
        ((P,) * 17 + (D, D, D), DECODE_HEAVY, PREFILL_SHORTAGE_SECONDS / 2, None),
        ((P,) * 17 + (D, D, D), DECODE_HEAVY, PREFILL_SHORTAGE_SECONDS, ("e1", D)),
        ((D,), PREFILL_HEAVY, 60.0, None),
        ((D, D, D, D, P), None, PREFILL_SHORTAGE_SECONDS, ("e1", P)),
    ],
)
def test_change_only_after_the_imbalance_lasts(stages, needs, seconds, changed):
    """Guards against changes for a short imbalance, as crashed engines come back in
    their old stage, and against waiting while a whole stage is missing. The engine with
    the least work changes."""
    engines = pool(*stages)
    loads = {e.id: Load(running=5) for e in engines if e.id != "e1"}
    planner = StagePlanner()
    assert planner.decide(engines, False, loads, needs, 0.0) is None
    change = planner.decide(engines, False, loads, needs, seconds)
    assert (change and (change.instance.id, change.stage)) == changed


@pytest.mark.parametrize(
    "seconds", [PREFILL_SHORTAGE_SECONDS, DECODER_SHORTAGE_SECONDS]
)
def test_crashed_decode_engine_is_not_replaced_at_once(seconds):
    """Guards against a change of another engine after a crash: the crashed decode
    engine of a large pool is back in its stage within seconds, while the change takes
    as long and has to be reversed."""
    planner = StagePlanner()
    stages = [*[P] * 17, D, D, D]
    planner.decide(pool(*stages, D), False, {}, DECODE_HEAVY, 0.0)
    assert planner.decide(pool(*stages), False, {}, DECODE_HEAVY, 1.0) is None
    change = planner.decide(pool(*stages), False, {}, DECODE_HEAVY, 1.0 + seconds)
    assert (change is not None) is (seconds >= DECODER_SHORTAGE_SECONDS)


@pytest.mark.parametrize(
    ("slots", "sustainable"), [(0, 0.0), (1, 0.17), (6, 2.71), (12, 6.79), (64, 49.88)]
)
def test_engine_with_few_slots_sustains_a_smaller_share_of_them(slots, sustainable):
    """Guards against small engines that preempt streams: as streams arrive at random,
    an engine of 12 slots with nine streams on average is often full, while one of 64
    slots at the same share is not."""
    assert sustainable_streams(slots) == pytest.approx(sustainable, abs=0.01)


@pytest.mark.parametrize(
    ("left_at", "seconds", "changed"),
    [
        (5.0, ANNOUNCED_LEAVE_SECONDS / 2, False),
        (5.0, ANNOUNCED_LEAVE_SECONDS, True),
        # The announcement was of an engine that left long ago.
        (1.0, ANNOUNCED_LEAVE_SECONDS, False),
        (1.0, PREFILL_SHORTAGE_SECONDS, True),
    ],
)
def test_engine_that_announced_its_leave_is_replaced_at_once(left_at, seconds, changed):
    """Guards against waiting for an engine that won't be back: one of two prefill
    engines announces that it leaves, the prompts wait at the other one, and clients
    time out after 2.4 s."""
    planner = StagePlanner()
    needs = StageNeeds(2.4, 0.2)
    before, after = pool(P, P, D, D, D), pool(P, D, D, D)
    assert planner.decide(before, True, {}, needs, left_at) is None
    assert planner.decide(after, left_at == 5.0, {}, needs, 5.0) is None
    change = planner.decide(after, False, {}, needs, 5.0 + seconds)
    assert (change is not None) is changed
    assert change is None or change.stage is P


@pytest.mark.parametrize(
    ("stages", "seconds", "changed"),
    [
        ((P, P, P, D), ANNOUNCED_LEAVE_SECONDS, True),
        # Two decode engines are left, so that another one may be lost.
        ((P, P, P, D, D), DECODER_SHORTAGE_SECONDS, False),
    ],
)
def test_decode_engine_is_ordered_at_once_when_one_is_left(stages, seconds, changed):
    """Guards against a pool without decode engines: one announces that it leaves, and
    if the only other one leaves a second later, nothing runs for as long as a stage
    change takes and the order was delayed."""
    planner = StagePlanner()
    engines = pool(*stages)
    planner.decide(engines, True, {}, LIGHT, 0.0)
    change = planner.decide(engines, True, {}, LIGHT, seconds)
    assert (change is not None) is changed


def test_one_change_at_a_time_and_the_next_without_delay():
    """Guards against a second order while the first is carried out, and against a next
    order that waits until the first one expires although its engine reports the new
    stage. A pool lacks prefill engines first, and then decode engines."""
    planner = StagePlanner()
    engines = pool(D, D, D, D)
    planner.decide(engines, False, {}, LIGHT, 0.0)
    change = planner.decide(engines, False, {}, LIGHT, MISSING_STAGE_SECONDS)
    planner.record_order(change, ORDER_SETTLE_SECONDS, MISSING_STAGE_SECONDS)
    after = MISSING_STAGE_SECONDS + 1
    assert planner.decide(engines, False, {}, LIGHT, after) is None
    engines = pool(P, P)
    now = MISSING_STAGE_SECONDS + 2
    planner.decide(engines, False, {}, LIGHT, now)
    moment = now + MISSING_STAGE_SECONDS + 1e-6
    change = planner.decide(engines, False, {}, LIGHT, moment)
    assert change.stage is D


@pytest.mark.parametrize(("count", "at_once"), [(4, 1), (9, 2), (30, 7)])
def test_changes_at_once_are_a_share_of_the_pool(count, at_once):
    """Guards against a large pool that adapts one engine at a time to a mix of long
    prompts, and against so many changes at once that the pool is unavailable."""
    planner = StagePlanner()
    engines = pool(P, *[D] * (count - 1))
    planner.decide(engines, False, {}, PREFILL_HEAVY, 0.0)
    ordered = 0
    for _ in range(count):
        change = planner.decide(
            engines, False, {}, PREFILL_HEAVY, PREFILL_SHORTAGE_SECONDS
        )
        if change is not None:
            planner.record_order(change, ORDER_SETTLE_SECONDS, PREFILL_SHORTAGE_SECONDS)
            ordered += 1
    assert ordered == at_once


@pytest.mark.parametrize("period", [1.0, 3.0, 6.0])
def test_swinging_mix_changes_nothing(period):
    """Guards against a pool that follows a mix which swings between long prompts and
    long answers every few seconds: each change would make an engine unavailable for as
    long as a swing lasts."""
    planner = StagePlanner()
    engines = pool(P, P, P, D, D, D)
    prompts, answers = StageNeeds(4.5, 0.3), StageNeeds(1.0, 2.6)
    now = 0.0
    while now < 60.0:
        # The measured demand is an average: it lags and never swings fully.
        needs = prompts if now % period < min(period / 2, 1.5) else answers
        assert planner.decide(engines, False, {}, needs, now) is None
        now += 0.25


@pytest.mark.parametrize(
    ("second", "third"),
    [
        # Answered now: it is carried out, nothing else is ordered.
        (ORDER_SETTLE_SECONDS, None),
        # Refused or unanswered again: the first may still be carried out, so the order
        # goes to this engine again and to no other one.
        (REFUSED_SETTLE_SECONDS, "e0"),
        (UNANSWERED_SETTLE_SECONDS, "e0"),
    ],
)
def test_unanswered_order_is_sent_again_to_the_same_engine(second, third):
    """Guards against two engines that change instead of one: an unanswered order may be
    carried out up to 12 s later. Sent again to the same engine with the same order
    count, it is carried out once. Until then all long prompts are late, so it can't
    just be waited for."""
    planner = StagePlanner()
    engines = pool(D, D, D, D)
    now = MISSING_STAGE_SECONDS
    planner.decide(engines, False, {}, LIGHT, 0.0)
    first = planner.decide(engines, False, {}, LIGHT, now)
    planner.record_order(first, UNANSWERED_SETTLE_SECONDS, now)
    half = now + ORDER_RETRY_SECONDS / 2
    assert planner.decide(engines, False, {}, LIGHT, half) is None
    now += ORDER_RETRY_SECONDS
    again = planner.decide(engines, False, {}, LIGHT, now)
    assert again == first
    planner.record_order(again, second, now)
    change = planner.decide(engines, False, {}, LIGHT, now + ORDER_RETRY_SECONDS)
    assert (change and change.instance.id) == third


def versioned_pool(*rows):
    """Return engines e0, e1, ... with the given (stage, version)."""
    return [
        Instance(attrs.evolve(engine.record, version=version))
        for engine, (_, version) in zip(pool(*(stage for stage, _ in rows)), rows)
    ]


# Guards against a change that leaves a software version without decode engines, so that
# none of its streams can go on, or without prefill engines.
@pytest.mark.parametrize(
    ("rows", "stage", "changed"),
    [
        ([(D, "a"), (D, "a"), (D, "b"), (D, "b"), (D, "b"), (P, "b")], P, {"e0", "e1"}),
        ([(D, "a"), (P, "a"), (D, "b"), (D, "b"), (D, "b")], P, {"e2", "e3", "e4"}),
        ([(P, "a"), (P, "a"), (P, "b"), (D, "b"), (D, "b")], D, {"e0", "e1"}),
        ([(P, "a"), (D, "a"), (P, "b"), (P, "b"), (P, "b")], D, {"e2", "e3", "e4"}),
    ],
)
def test_change_leaves_each_version_both_stages(rows, stage, changed):
    engines = versioned_pool(*rows)
    # The engines that should be changed are the busiest ones.
    loads = {name: Load(running=9) for name in changed}
    change = StagePlanner()._change(engines, engines, stage, loads)
    assert change.instance.id in changed and change.stage is stage
