"""The retry budget that all entry VMs share, seen from one of them."""

import types

import pytest

from mulberrydock._serve_model import Timing
from mulberrydock.admission import RetryBudget
from mulberrydock.fleet_view import BUDGET_SHARE, FleetView
from mulberrydock.membership import Membership, Peer
from mulberrydock.placement import Plan
from mulberrydock.request import Request
from mulberrydock.serve import EntryVm
from mulberrydock.serving import Serving

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


@pytest.mark.parametrize(
    "ends, granted",
    [
        ([], True),
        # Nobody listened where the first engines were: nothing was repeated yet.
        (["not sent"], True),
        (["not sent", "not sent", "not sent"], True),
        (["failed"], False),
        (["not sent", "failed"], False),
        # The budget has granted the call that was not made.
        (["failed", "not sent"], True),
    ],
)
def test_looking_for_an_engine_spends_no_budget(ends, granted):
    """Half of a pool's engines crash. Every VM goes on choosing them until it has met
    each of them, and each time finds nobody listening. Counted as repeats, these tries
    spend the budget within a second, and requests are refused that were never sent."""
    view = FleetView("dc1", TIMING, lambda: 1, lambda instance: None)
    relay = types.SimpleNamespace(fleet=view, wire=None)
    request = Request("r", "POST", "/", "h", [], b"", 0.0, 5.0)
    route = types.SimpleNamespace(timeout=5.0)
    serving = Serving(relay, request, route, "llm", None)
    view.budget("llm").allow = lambda now, count=1: False
    for end in ends:
        serving.sends.begin()
        if end == "not sent":
            serving.granted += serving.sends.not_sent()
    assert serving.grant(Plan(None), 0.0) is granted


def test_budget_granted_for_a_call_that_was_not_made_is_kept():
    view = FleetView("dc1", TIMING, lambda: 1, lambda instance: None)
    relay = types.SimpleNamespace(fleet=view, wire=None)
    request = Request("r", "POST", "/", "h", [], b"", 0.0, 5.0)
    serving = Serving(relay, request, types.SimpleNamespace(timeout=5.0), "llm", None)
    asked = []
    view.budget("llm").allow = lambda now, count=1: asked.append(count) or True
    serving.sends.begin()
    for _ in range(3):
        assert serving.grant(Plan(None), 0.0)
        serving.sends.begin()
        serving.granted += serving.sends.not_sent()
    assert asked == [1]
