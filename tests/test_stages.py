"""Which engine of a pool changes its stage, and when."""

import pytest

from mulberrydock.instances import Instance, InstanceRecord, Stage
from mulberrydock.peer_loads import Load
from mulberrydock.stages import (
    FEW_DECODERS_SECONDS,
    MISSING_SECONDS,
    ORDER_SETTLE_SECONDS,
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
        ((P, D, D, D, D), UNBALANCED_SECONDS / 2, None),
        ((P, D, D, D, D), UNBALANCED_SECONDS, ("e1", P)),
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
    assert planner.decide(engines, loads, 0.0) is None
    change = planner.decide(engines, loads, seconds)
    assert (change and (change.instance.id, change.stage)) == changed


def test_one_change_at_a_time_and_the_next_at_once():
    """A pool without prefill engines gets one; while that order is at work
    nothing else is ordered. As soon as the engine shows its stage and the
    last decode engines leave, the next order doesn't wait."""
    planner = StagePlanner()
    engines = pool(D, D, D, D)
    planner.decide(engines, {}, 0.0)
    change = planner.decide(engines, {}, MISSING_SECONDS)
    planner.note_order(change, MISSING_SECONDS + ORDER_SETTLE_SECONDS)
    assert planner.decide(engines, {}, MISSING_SECONDS + 1) is None
    engines = pool(P, P)
    now = MISSING_SECONDS + 2
    planner.decide(engines, {}, now)
    assert planner.decide(engines, {}, now + MISSING_SECONDS).stage is D
