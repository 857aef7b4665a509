"""What a VM knows of its peers' work, and for how long."""

import time

import pytest
from test_budget import TIMING

from mulberrydock.directory import Directory
from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import InstanceRecord
from mulberrydock.membership import Membership, Peer
from mulberrydock.peer_groups import PeerGroups
from mulberrydock.peer_loads import Load, LoadTracker, PeerReport
from mulberrydock.peers import PEERS_AT_FULL_RATE, SEND_INTERVAL_SECONDS, PeerLink
from mulberrydock.serve import EntryVm
from mulberrydock.suspicion import Suspicion


def report(sequence, received_at, loads=None, **options):
    """Return a peer's report."""
    return PeerReport(sequence, received_at, loads or {}, **options)


def alone(tracker):
    """Return the groups of a VM that knows no peer."""
    membership = Membership(None, EntryVm("entry-1", "a1", "dc1"))
    return PeerGroups(membership, tracker, "dc1")


def test_own_and_peers_work_add_up_until_reports_are_stale():
    """A peer dies with requests in flight. Its last counts are added to our
    own for a moment and then forgotten, so that its engine isn't avoided for
    work that no one does any more."""
    tracker = LoadTracker()
    work = tracker.begin("e1", 100)
    tracker.receive("entry-2", report(1, 10.0, {"e1": Load(2, (0, 500), 400)}))
    assert tracker.total(10.5)["e1"] == Load(3, (100, 500), 400)
    work.mark_prefilled()
    assert tracker.total(10.5)["e1"] == Load(3, (0, 500), 400)
    assert tracker.total(11.0)["e1"] == Load(1, (0,))
    work.end()
    assert tracker.total(11.0) == {}


@pytest.mark.parametrize(("sequence", "kept"), [(1, 5), (2, 5), (3, 7)])
def test_datagrams_out_of_order(sequence, kept):
    """Datagrams overtake each other. An older one changes nothing."""
    tracker = LoadTracker()
    tracker.receive("entry-2", report(2, 1.0, {"e1": Load(5)}))
    tracker.receive("entry-2", report(sequence, 1.1, {"e1": Load(7)}))
    assert tracker.total(1.2)["e1"].running == kept


@pytest.mark.parametrize(
    ("heard", "leaving", "draining", "expected"),
    [
        ({"entry-2", "entry-3"}, set(), False, ["a1", "a2", "a3"]),
        ({"entry-2"}, set(), False, ["a1", "a2"]),
        ({"entry-2", "entry-3"}, {"entry-3"}, False, ["a1", "a2"]),
        ({"entry-2", "entry-3"}, set(), True, ["a2", "a3"]),
        (set(), set(), False, ["a1", "a2", "a3"]),
        (set(), set(), True, ["a2", "a3"]),
    ],
)
def test_addresses_for_clients(heard, leaving, draining, expected):
    """Clients ask where to connect while a VM is dead, leaves, or while this
    VM hears nobody. Dead and leaving VMs are left out; hearing nobody is more
    likely this VM's own network, so then the store's list counts."""
    membership = Membership(None, EntryVm("entry-1", "a1", "dc1"))
    for number in (1, 2, 3):
        membership.peers[f"entry-{number}"] = Peer(f"a{number}", "dc1")
    tracker = LoadTracker()
    for peer in heard:
        tracker.receive(peer, report(1, 100.0, leaving=peer in leaving))
    directory = Directory(PeerGroups(membership, tracker, "dc1"), "a1")
    assert directory.addresses(draining, 100.5) == expected


def test_peer_whose_record_lapsed_but_is_heard_stays_listed():
    """The store drops every record in an outage while all VMs live. Clients
    are still sent to the VMs that are heard."""
    membership = Membership(None, EntryVm("entry-1", "a1", "dc1"))
    membership.peers["entry-2"] = Peer("a2", "dc1")
    membership.begin_reload()
    tracker = LoadTracker()
    tracker.receive("entry-2", report(1, 100.0))
    directory = Directory(PeerGroups(membership, tracker, "dc1"), "a1")
    assert directory.addresses(False, 100.5) == ["a1", "a2"]


@pytest.mark.parametrize(
    ("urgency", "ahead"), [(0, 100 + 4000), (1, 100 + 4000), (2, 5100), (5, 5100)]
)
def test_work_ahead_of_a_new_prompt(urgency, ahead):
    """Prompts of several classes wait at an engine. A new one waits for those
    that are as urgent, and for a less urgent one that may have been begun."""
    load = Load(4, (100, 0, 5000), 4000)
    assert load.ahead(urgency) == ahead


def test_loads_survive_the_message_to_a_peer():
    """A VM tells its peers what waits at an engine, by urgency; the peer must
    read the same, or it sends short prompts behind long ones."""
    tracker, peer_book = LoadTracker(), LoadTracker()
    tracker.begin("e1", 3000, 2)
    tracker.begin("e1", 700, 0)
    link = PeerLink("entry-1", tracker, alone(tracker), bool)
    peer = PeerLink("entry-2", peer_book, alone(peer_book), bool)
    peer.datagram_received(link.message(0.0), ("127.0.0.1", 1))
    assert peer_book.reports["entry-1"].loads == {"e1": Load(2, (700, 0, 3000), 3000)}


@pytest.mark.parametrize("peers", [1, 8, 16, 79, 570])
def test_messages_a_second_are_bounded(peers):
    """A fleet grows. What one VM sends a second stays bounded, and a peer
    still knows from the message itself when the next one is due."""
    membership = Membership(None, EntryVm("entry-0", "a0", "dc1"))
    for number in range(1, peers + 1):
        peer = Peer(f"a{number}", "dc1", f"10.0.0.1:{number}")
        membership.peers[f"entry-{number}"] = peer
    tracker = LoadTracker()
    link = PeerLink("entry-0", tracker, PeerGroups(membership, tracker, "dc1"), bool)
    assert peers / link.interval() <= PEERS_AT_FULL_RATE / SEND_INTERVAL_SECONDS + 1e-9


@pytest.mark.parametrize(
    ("failed_at", "passed_over"), [(0, False), (1, False), (2, True), (3, True)]
)
def test_engine_that_failed_others_is_passed_over(failed_at, passed_over):
    """Ten engines crash before a fleet of 195 VMs. A VM that has not met them yet
    hears of two peers whose requests failed there, and sends none of its own; the
    word of one may be that one's own trouble."""
    here = FleetView("dc1", TIMING, lambda: 1, lambda instance: None)
    for number in (1, 2):
        record = InstanceRecord(f"e{number}", "app", "h:1", "dc1", 6, False)
        here.instances.put(record, 0.0)
    link = PeerLink("entry-0", here.loads, alone(here.loads), bool)
    for number in range(3):
        suspicion = Suspicion()
        if number < failed_at:
            suspicion.record_failure("e1", time.monotonic(), unreachable=True)
        tracker = LoadTracker()
        peer = PeerLink(
            f"entry-{number + 1}",
            tracker,
            alone(tracker),
            bool,
            None,
            suspicion.suspects,
        )
        message = peer.message(time.monotonic())
        link.datagram_received(message, ("127.0.0.1", 1))
    now = time.monotonic()
    sound = {i.id for i in here._healthy(here.instances.serving("app"), now)}
    assert ("e1" not in sound) is passed_over
