"""Which engine of a pool changes its stage, and when."""

import pytest

from mulberrydock.instances import Instance, InstanceRecord, Stage
from mulberrydock.peer_loads import Load
from mulberrydock.stages import (
    FEW_DECODERS_SECONDS,
    MISSING_SECONDS,
    NOTICED_SECONDS,
    ORDER_SETTLE_SECONDS,
    PREFILL_SHORTAGE_SECONDS,
    REFUSED_SETTLE_SECONDS,
    REPEAT_SECONDS,
    UNANSWERED_SETTLE_SECONDS,
    StageNeeds,
    StagePlanner,
    idle_prefills,
    prefills_wanted,
    sustainable_streams,
)

#: Needs under which no stage of five engines is short.
CALM = StageNeeds(1.5, 0.2)
#: Needs under which the prefill engines are short, however many there are.
HEAVY = StageNeeds(50.0, 0.2)
#: Answers of which three decode engines have too many.
GROWN = StageNeeds(1.0, 2.5)

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
def test_pool_before_any_request(engines, slots, prefill):
    """A pool starts, and nobody has asked anything yet. Most of it prefills, half
    where engines have few places for answers, and engines that decode are never
    fewer than their loss allows."""
    assert idle_prefills(engines, slots) == prefill


@pytest.mark.parametrize(
    ("prefills", "decoders", "needs", "wanted"),
    [
        # Nothing is short.
        (2, 3, CALM, 2),
        (3, 2, CALM, 3),
        (6, 3, StageNeeds(4.0, 0.5), 6),
        # Long prompts: all that can be spared prefills, one after the other.
        (2, 3, StageNeeds(3.3, 0.2), 3),
        (6, 3, StageNeeds(8.0, 0.5), 7),
        (7, 2, HEAVY, 7),
        # Long answers: engines go back to decoding, and none is taken from it.
        (7, 2, StageNeeds(2.0, 1.9), 6),
        (6, 3, StageNeeds(50.0, 2.0), 6),
        # Both stages are short: what is taken from reading would be missed more.
        (1, 2, StageNeeds(2.0, 1.7), 1),
        (2, 2, StageNeeds(3.0, 1.7), 2),
        (2, 2, StageNeeds(0.6, 1.9), 1),
        # The last but one decode engine is gone.
        (3, 1, CALM, 2),
        (2, 1, CALM, 1),
        # A stage is missing.
        (0, 5, CALM, 1),
        (5, 0, CALM, 3),
        (0, 1, HEAVY, 0),
        (1, 0, HEAVY, 0),
        (0, 0, HEAVY, 0),
        (1, 1, HEAVY, 1),
        # A large pool: one engine more or less is hardly missed while it changes.
        (14, 45, StageNeeds(11.7, 21.0), 15),
        (22, 37, StageNeeds(11.7, 21.0), 22),
        (39, 20, StageNeeds(11.7, 21.0), 38),
    ],
)
def test_stages_follow_the_measured_work(prefills, decoders, needs, wanted):
    """The mix shifts between long prompts and long answers. The stage that is
    short gets an engine if the other one can spare it; otherwise a change, which
    darkens its engine for seconds, isn't worth it."""
    assert prefills_wanted(prefills, decoders, needs, 64) == wanted


@pytest.mark.parametrize(
    ("stages", "needs", "seconds", "changed"),
    [
        ((P, P, D, D, D), CALM, 60.0, None),
        ((D, D, D), CALM, MISSING_SECONDS / 2, None),
        ((D, D, D), CALM, MISSING_SECONDS, ("e1", P)),
        ((P, P, P), CALM, MISSING_SECONDS, ("e1", D)),
        ((P, D, D, D, D), HEAVY, PREFILL_SHORTAGE_SECONDS / 2, None),
        ((P, D, D, D, D), HEAVY, PREFILL_SHORTAGE_SECONDS, ("e1", P)),
        ((P, P, P, D), CALM, FEW_DECODERS_SECONDS / 2, None),
        ((P, P, P, D), CALM, FEW_DECODERS_SECONDS, ("e1", D)),
        # Answers have grown: a small pool waits longer than a large one.
        ((P, P, P, D, D, D), GROWN, PREFILL_SHORTAGE_SECONDS, None),
        ((P, P, P, D, D, D), GROWN, FEW_DECODERS_SECONDS, ("e1", D)),
        ((P,) * 17 + (D, D, D), GROWN, PREFILL_SHORTAGE_SECONDS / 2, None),
        ((P,) * 17 + (D, D, D), GROWN, PREFILL_SHORTAGE_SECONDS, ("e1", D)),
        ((D,), HEAVY, 60.0, None),
        ((D, D, D, D, P), None, PREFILL_SHORTAGE_SECONDS, ("e1", P)),
    ],
)
def test_change_after_patience(stages, needs, seconds, changed):
    """Engines leave a pool, or the mix shifts. A whole stage that is missing is
    mended at once, any other want only when it lasts, by the engine with the
    least work: crashed engines come back in their old stage."""
    engines = pool(*stages)
    loads = {e.id: Load(running=5) for e in engines if e.id != "e1"}
    planner = StagePlanner()
    assert planner.decide(engines, False, loads, needs, 0.0) is None
    change = planner.decide(engines, False, loads, needs, seconds)
    assert (change and (change.instance.id, change.stage)) == changed


@pytest.mark.parametrize("seconds", [PREFILL_SHORTAGE_SECONDS, FEW_DECODERS_SECONDS])
def test_crashed_decode_engine_is_waited_for(seconds):
    """A decode engine of a large pool crashes while many streams run. It is back in
    its stage within seconds; a change of another one would take as long, and once
    more back."""
    planner = StagePlanner()
    stages = [*[P] * 17, D, D, D]
    planner.decide(pool(*stages, D), False, {}, GROWN, 0.0)
    assert planner.decide(pool(*stages), False, {}, GROWN, 1.0) is None
    change = planner.decide(pool(*stages), False, {}, GROWN, 1.0 + seconds)
    assert (change is not None) is (seconds >= FEW_DECODERS_SECONDS)


@pytest.mark.parametrize(
    ("slots", "bearable"), [(0, 0.0), (1, 0.17), (6, 2.71), (12, 6.79), (64, 49.88)]
)
def test_engine_with_few_places_bears_a_smaller_share(slots, bearable):
    """Streams come at random. An engine of 12 places that has nine of them on
    average is full at every moment or other, and preempts; one of 64 is not."""
    assert sustainable_streams(slots) == pytest.approx(bearable, abs=0.01)


@pytest.mark.parametrize(
    ("left_at", "seconds", "changed"),
    [
        (5.0, NOTICED_SECONDS / 2, False),
        (5.0, NOTICED_SECONDS, True),
        # The notice was about an engine that left long ago.
        (1.0, NOTICED_SECONDS, False),
        (1.0, PREFILL_SHORTAGE_SECONDS, True),
    ],
)
def test_pool_whose_engine_gave_notice_is_mended_at_once(left_at, seconds, changed):
    """One of two prefill engines drains for good. The letters wait at the
    other one for as long as nothing is ordered; clients leave after 2.4 s. An
    engine that said that it leaves won't be back, so there is nothing to wait
    for, unlike after a crash."""
    planner = StagePlanner()
    needs = StageNeeds(2.4, 0.2)
    whole, short = pool(P, P, D, D, D), pool(P, D, D, D)
    assert planner.decide(whole, True, {}, needs, left_at) is None
    assert planner.decide(short, left_at == 5.0, {}, needs, 5.0) is None
    change = planner.decide(short, False, {}, needs, 5.0 + seconds)
    assert (change is not None) is changed
    assert change is None or change.stage is P


@pytest.mark.parametrize(
    ("stages", "seconds", "changed"),
    [
        ((P, P, P, D), NOTICED_SECONDS, True),
        # Two decode engines are left: enough for the loss of another one.
        ((P, P, P, D, D), FEW_DECODERS_SECONDS, False),
    ],
)
def test_pool_left_with_one_decode_engine_by_notice(stages, seconds, changed):
    """A decode engine drains and leaves one that decodes. When that one drains
    too, a second later, nothing can run for as long as a stage change takes;
    every moment before the order adds to it."""
    planner = StagePlanner()
    engines = pool(*stages)
    planner.decide(engines, True, {}, CALM, 0.0)
    change = planner.decide(engines, True, {}, CALM, seconds)
    assert (change is not None) is changed


def test_one_change_at_a_time_and_the_next_at_once():
    """A pool without prefill engines gets one; while that order is at work
    nothing else is ordered. As soon as the engine shows its stage and the
    last decode engines leave, the next order doesn't wait."""
    planner = StagePlanner()
    engines = pool(D, D, D, D)
    planner.decide(engines, False, {}, CALM, 0.0)
    change = planner.decide(engines, False, {}, CALM, MISSING_SECONDS)
    planner.record_order(change, ORDER_SETTLE_SECONDS, MISSING_SECONDS)
    after = MISSING_SECONDS + 1
    assert planner.decide(engines, False, {}, CALM, after) is None
    engines = pool(P, P)
    now = MISSING_SECONDS + 2
    planner.decide(engines, False, {}, CALM, now)
    moment = now + MISSING_SECONDS + 1e-6
    change = planner.decide(engines, False, {}, CALM, moment)
    assert change.stage is D


@pytest.mark.parametrize(("count", "at_once"), [(4, 1), (9, 2), (30, 7)])
def test_changes_at_once_are_a_share_of_the_pool(count, at_once):
    """The mix turns to long prompts in a large pool. Several engines change at
    once, so that it takes seconds, but never so many that the pool is dark."""
    planner = StagePlanner()
    engines = pool(P, *[D] * (count - 1))
    planner.decide(engines, False, {}, HEAVY, 0.0)
    ordered = 0
    for _ in range(count):
        change = planner.decide(engines, False, {}, HEAVY, PREFILL_SHORTAGE_SECONDS)
        if change is not None:
            planner.record_order(change, ORDER_SETTLE_SECONDS, PREFILL_SHORTAGE_SECONDS)
            ordered += 1
    assert ordered == at_once


@pytest.mark.parametrize("period", [1.0, 3.0, 6.0])
def test_mix_that_swings_changes_nothing(period):
    """The mix swings between long prompts and long answers every few seconds.
    Each change would darken an engine for as long as a swing lasts, so the pool
    stays as it is for a whole minute."""
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
    planner.decide(engines, False, {}, CALM, 0.0)
    first = planner.decide(engines, False, {}, CALM, now)
    planner.record_order(first, UNANSWERED_SETTLE_SECONDS, now)
    half = now + REPEAT_SECONDS / 2
    assert planner.decide(engines, False, {}, CALM, half) is None
    now += REPEAT_SECONDS
    again = planner.decide(engines, False, {}, CALM, now)
    assert again == first
    planner.record_order(again, second, now)
    change = planner.decide(engines, False, {}, CALM, now + REPEAT_SECONDS)
    assert (change and change.instance.id) == third
