"""When a candidate tries to acquire the leader lease."""

import asyncio

import attrs
import pytest

from mulberrydock.lease import LeaderLease
from mulberrydock.standin.store import DirectStore, StoreState


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


@pytest.mark.parametrize(
    ("first_start", "history", "waits"),
    [
        (False, [], True),
        (True, [], False),
        # Another leader was seen, or this VM was the leader before.
        (True, ["other"], True),
        (True, ["lost"], True),
        (True, ["released"], True),
        (True, ["store restored"], True),
    ],
)
def test_new_leader_waits_for_calls_of_a_predecessor(first_start, history, waits):
    """Guards against a leader that acts while calls of its predecessor are on their
    way. At the first start of the whole system there is none, and the engines that it
    doesn't need are paid for while it waits."""
    state, now = StoreState(), 100.0
    store = DirectStore(state, lambda: now)
    vacant = True
    lease = LeaderLease(
        store, "a", 3.0, lambda: vacant, lambda: now, first_start=first_start
    )
    for event in history:
        if event == "other":
            vacant = False
            assert not lease.may_acquire(now)
            vacant = True
            continue
        assert asyncio.run(lease.acquire(now))
        if event == "lost":
            now += 4.0
            state.expire(now)
            asyncio.run(lease.renew(now))
        elif event == "released":
            asyncio.run(lease.release())
        else:
            lease.discard()
            state.expire(now + 4.0)
    assert asyncio.run(lease.acquire(now))
    assert lease.may_act(now) is not waits
    now += 3.0
    lease.authority.renewed_at = now
    assert lease.may_act(now)


def first_lease(store, is_readable, clock):
    """Return the lease of a VM of a first start, vacant once the store is readable."""
    return LeaderLease(
        store,
        "a",
        3.0,
        is_readable,
        clock,
        first_start=True,
        is_readable=is_readable,
    )


@pytest.mark.parametrize(
    ("unread_seconds", "waits"), [(0.0, False), (1.0, False), (3.0, True), (5.0, True)]
)
def test_store_that_has_not_answered_yet_is_no_predecessor(unread_seconds, waits):
    """Guards against a first leader that waits for the calls of nobody while the
    engines that it doesn't need are paid for. If the store is silent for as long as a
    lease, another leader may have come and gone meanwhile."""
    state, now, readable = StoreState(), 100.0, False
    store = DirectStore(state, lambda: now)
    lease = first_lease(store, lambda: readable, lambda: now)
    for _ in range(1 + int(unread_seconds)):
        assert not lease.may_acquire(now)
        now += 1.0
    readable = True
    assert lease.may_acquire(now)
    assert asyncio.run(lease.acquire(now))
    assert lease.may_act(now) is not waits


@pytest.mark.parametrize(("suspended_seconds", "waits"), [(1.0, False), (10.0, True)])
def test_vm_suspended_at_its_start_waits_for_calls_of_a_predecessor(
    suspended_seconds, waits
):
    """Guards against a VM that is suspended before the store has answered, and that
    sends orders as soon as it goes on: another one may have led meanwhile."""
    now, readable = 100.0, False
    store = DirectStore(StoreState(), lambda: now)
    lease = first_lease(store, lambda: readable, lambda: now)
    assert not lease.may_acquire(now)
    now, readable = now + suspended_seconds, True
    assert lease.may_acquire(now)
    assert asyncio.run(lease.acquire(now))
    assert lease.may_act(now) is not waits


def test_vm_that_lost_the_race_knows_that_there_is_a_leader():
    """Guards against a VM that never saw the record of the VM that was faster."""
    store = DirectStore(StoreState(), lambda: 100.0)
    first, second = (
        LeaderLease(store, name, 3.0, clock=lambda: 100.0, first_start=True)
        for name in "ab"
    )
    assert asyncio.run(first.acquire(100.0))
    assert not asyncio.run(second.acquire(100.0))
    assert not first.may_have_predecessor
    assert second.may_have_predecessor
