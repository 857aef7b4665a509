"""When a candidate tries to acquire the leader lease."""

import attrs
import pytest

from mulberrydock.lease import LeaderLease


@attrs.define
class Candidate:
    """The state that a lease queries; ``turn`` is the takeover delay in seconds."""

    vacant: bool = True
    turn: float = 0.0


@pytest.mark.parametrize(
    ("turn", "vacant", "due"),
    [
        (0.0, [True, True, True, True], [True, True, True, True]),
        (1.0, [True, True, True, True], [False, False, True, True]),
        # Another VM acquired it meanwhile: the wait starts again.
        (1.0, [True, False, True, True], [False, False, False, False]),
        (0.0, [False, False, True, True], [False, False, True, True]),
    ],
)
def test_vms_try_in_turn_to_acquire_a_vacant_lease(turn, vacant, due):
    """Guards against attempts of all VMs when the leader fails, four calls to the store
    each: a VM waits for its turn, and makes none if another one is leader by then."""
    candidate = Candidate(turn=turn)
    lease = LeaderLease(
        None,
        "entry-1",
        3.0,
        is_vacant=lambda: candidate.vacant,
        takeover_delay=lambda: candidate.turn,
    )
    seen = []
    for step, candidate.vacant in enumerate(vacant):
        seen.append(lease.may_acquire(10.0 + step * 0.5))
    assert seen == due
