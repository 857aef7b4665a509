"""The retry budget that all entry VMs share, seen from one of them."""

import pytest

from mulberrydock._serve_model import Timing
from mulberrydock.admission import RetryBudget
from mulberrydock.fleet_view import BUDGET_SHARE, FleetView
from mulberrydock.membership import Membership, Peer
from mulberrydock.serve import EntryVm

TIMING = Timing(
    config_apply_seconds=2,
    drain_seconds=2,
    grace_seconds=8,
    answer_ttl_seconds=5,
    lease_seconds=3,
    contact_seconds=3,
    retry_budget_ratio=0.2,
    retry_budget_window_seconds=10,
    retry_budget_floor=56,
)


@pytest.mark.parametrize(
    ("requests", "count", "allowed"),
    [(0, 1, 4), (0, 2, 4), (20, 1, 8), (20, 3, 6)],
)
def test_no_more_sends_than_the_budget(requests, count, allowed):
    """Every instance of a service fails. Repeats stop at the floor and a share
    of the requests of the window, also when one repeat makes several sends,
    and begin again when the window has moved on."""
    budget = RetryBudget(ratio=0.2, window_seconds=10, floor=4)
    for _ in range(requests):
        budget.note_request(0.0)
    sent = 0
    while budget.allow(1.0, count):
        sent += count
    assert sent == allowed
    assert not budget.allow(9.0, count)
    assert budget.allow(11.5, count) or count > 4


@pytest.mark.parametrize("peers", [1, 8, 9, 79])
def test_vms_together_stay_below_the_fleets_budget(peers):
    """All VMs spend their whole floor at once. Together they stay below what
    the users allow, however many they are."""
    view = FleetView("dc1", TIMING, lambda: peers, lambda instance: None)
    sent = 0
    while view.budget("llm").allow(0.0):
        sent += 1
    assert sent * peers <= TIMING.retry_budget_floor * BUDGET_SHARE


def test_a_vm_that_loses_sight_of_its_peers_keeps_to_its_share():
    """The store drops every VM's record at once. A VM that counted only the
    records it sees would take the whole fleet's budget for itself, and so
    would each of the others."""
    membership = Membership(None, EntryVm("entry-1", "127.0.0.1:1", "dc1"))
    for number in range(1, 9):
        membership.peers[f"entry-{number}"] = Peer("127.0.0.1:1", "dc1")
    assert membership.count() == 8
    membership.reset()
    assert membership.count() == 8
