"""Which engine of a pool changes its stage, and when."""

import pytest

from mulberrydock.instances import Instance, InstanceRecord, Stage
from mulberrydock.peer_loads import Load
from mulberrydock.stages import (
    FEW_DECODERS_SECONDS,
    FEW_PREFILLS_SECONDS,
    MISSING_SECONDS,
    NOTICED_SECONDS,
    ORDER_SETTLE_SECONDS,
    REFUSED_SETTLE_SECONDS,
    REPEAT_SECONDS,
    UNANSWERED_SETTLE_SECONDS,
    UNBALANCED_SECONDS,
    StagePlanner,
    prefill_target,
)

P, D = Stage.PREFILL, Stage.DECODE


def pool(*stages):
    """Return engines e0, e1, ... with the given stages."""
    return [
        Instance(InstanceRecord(f"e{n}", "llm", f"10.0.0.{n}:1", "dc1", 64, False, s))
        for n, s in enumerate(stages)
    ]


@pytest.mark.parametrize(
    ("engines", "target"),
    [(0, 0), (1, 0), (2, 1), (3, 1), (4, 2), (5, 2), (45, 18)],
)
def test_prefill_target(engines, target):
    """A pool always keeps an engine that decodes; alone, it does both."""
    assert prefill_target(engines) == target


@pytest.mark.parametrize(
    ("stages", "seconds", "changed"),
    [
        ((P, P, D, D, D), 60.0, None),
        ((D, D, D), MISSING_SECONDS / 2, None),
        ((D, D, D), MISSING_SECONDS, ("e1", P)),
        ((P, P, P), MISSING_SECONDS, ("e1", D)),
        ((P, D, D, D, D), FEW_PREFILLS_SECONDS / 2, None),
        ((P, D, D, D, D), FEW_PREFILLS_SECONDS, ("e1", P)),
        ((P, P, D), FEW_DECODERS_SECONDS / 2, None),
        ((P, P, D), FEW_DECODERS_SECONDS, ("e1", D)),
        ((P, P, P, P, D, D, D, D), FEW_DECODERS_SECONDS, None),
        ((P, P, P, P, D, D, D, D), UNBALANCED_SECONDS, ("e1", D)),
        ((D,), 60.0, None),
    ],
)
def test_change_after_patience(stages, seconds, changed):
    """Engines leave a pool. A whole stage that is missing is mended at once,
    any other imbalance only when it lasts, by the engine with the least work:
    crashed engines come back in their old stage."""
    engines = pool(*stages)
    loads = {e.id: Load(running=5) for e in engines if e.id != "e1"}
    planner = StagePlanner()
    assert planner.decide(engines, False, loads, 0.0) is None
    change = planner.decide(engines, False, loads, seconds)
    assert (change and (change.instance.id, change.stage)) == changed


@pytest.mark.parametrize(
    ("left_at", "seconds", "changed"),
    [
        (5.0, NOTICED_SECONDS / 2, False),
        (5.0, NOTICED_SECONDS, True),
        # The notice was about an engine that left long ago.
        (1.0, NOTICED_SECONDS, False),
        (1.0, FEW_PREFILLS_SECONDS, True),
    ],
)
def test_pool_whose_engine_gave_notice_is_mended_at_once(left_at, seconds, changed):
    """One of two prefill engines drains for good. The letters wait at the
    other one for as long as nothing is ordered; clients leave after 2.4 s. An
    engine that said that it leaves won't be back, so there is nothing to wait
    for, unlike after a crash."""
    planner = StagePlanner()
    whole, short = pool(P, P, D, D, D), pool(P, D, D, D)
    assert planner.decide(whole, True, {}, left_at) is None
    assert planner.decide(short, left_at == 5.0, {}, 5.0) is None
    change = planner.decide(short, False, {}, 5.0 + seconds)
    assert (change is not None) is changed
    assert change is None or change.stage is P


@pytest.mark.parametrize(
    ("stages", "seconds", "changed"),
    [
        ((P, P, D), NOTICED_SECONDS, True),
        # Too many prefill engines: one of them may be about to leave as well.
        ((P, P, P, D, D), NOTICED_SECONDS, False),
        ((P, P, P, D, D), FEW_DECODERS_SECONDS, True),
    ],
)
def test_pool_left_with_one_decode_engine_by_notice(stages, seconds, changed):
    """A decode engine drains and leaves two prefill engines and one that
    decodes. When that one drains too, a second later, nothing can run for as
    long as a stage change takes; every moment before the order adds to it."""
    planner = StagePlanner()
    engines = pool(*stages)
    planner.decide(engines, True, {}, 0.0)
    assert (planner.decide(engines, True, {}, seconds) is not None) is changed


def test_one_change_at_a_time_and_the_next_at_once():
    """A pool without prefill engines gets one; while that order is at work
    nothing else is ordered. As soon as the engine shows its stage and the
    last decode engines leave, the next order doesn't wait."""
    planner = StagePlanner()
    engines = pool(D, D, D, D)
    planner.decide(engines, False, {}, 0.0)
    change = planner.decide(engines, False, {}, MISSING_SECONDS)
    planner.note_order(change, ORDER_SETTLE_SECONDS, MISSING_SECONDS)
    assert planner.decide(engines, False, {}, MISSING_SECONDS + 1) is None
    engines = pool(P, P)
    now = MISSING_SECONDS + 2
    planner.decide(engines, False, {}, now)
    assert planner.decide(engines, False, {}, now + MISSING_SECONDS).stage is D


@pytest.mark.parametrize(
    ("second", "third"),
    [
        # Answered now: it is at work, nothing else is ordered.
        (ORDER_SETTLE_SECONDS, None),
        # Refused or lost again: the first may still be carried out, so it is
        # this engine's turn again and no other's.
        (REFUSED_SETTLE_SECONDS, "e0"),
        (UNANSWERED_SETTLE_SECONDS, "e0"),
    ],
)
def test_order_without_an_answer_is_given_again_to_the_same_engine(second, third):
    """A pool lost its prefill engines and the order to mend it gets no answer:
    it may be carried out 12 s later. Until then all long prompts are late.
    Given again with the same order count, it is carried out once; given to
    another engine, two would change."""
    planner = StagePlanner()
    engines = pool(D, D, D, D)
    now = MISSING_SECONDS
    planner.decide(engines, False, {}, 0.0)
    first = planner.decide(engines, False, {}, now)
    planner.note_order(first, UNANSWERED_SETTLE_SECONDS, now)
    assert planner.decide(engines, False, {}, now + REPEAT_SECONDS / 2) is None
    now += REPEAT_SECONDS
    again = planner.decide(engines, False, {}, now)
    assert again == first
    planner.note_order(again, second, now)
    change = planner.decide(engines, False, {}, now + REPEAT_SECONDS)
    assert (change and change.instance.id) == third
