"""Loads and suspicions that a VM takes over from its peers, and for how long."""

import random
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
    """Return the groups of a VM without peers."""
    membership = Membership(None, EntryVm("entry-1", "a1", "dc1"))
    return PeerGroups(membership, tracker, "dc1")


def test_loads_of_own_and_peers_add_up_until_reports_are_stale():
    """Guards against an engine that is avoided for the work of a dead peer: the peer's
    last counts are added to the VM's own only until they are stale."""
    tracker = LoadTracker()
    work = tracker.begin("e1", 100)
    tracker.receive("entry-2", report(1, 10.0, {"e1": Load(2, (0, 500), 400)}))
    assert tracker.total(10.5)["e1"] == Load(3, (100, 500), 400)
    work.mark_prefilled()
    assert tracker.total(10.5)["e1"] == Load(3, (0, 500), 400)
    assert tracker.total(11.0)["e1"] == Load(1, (0,))
    work.end()
    assert tracker.total(11.0) == {}


def summed(tracker, now):
    """Return the running requests and the work by instance, added up from scratch."""
    reports = [*tracker.reports.values(), *tracker.sums.values()]
    rows = [tracker.own(), *(r.loads for r in reports if r.is_fresh(now))]
    total = {}
    for instance, load in ((i, load) for row in rows for i, load in row.items()):
        running, prefill, longest = total.get(instance, (0, 0, 0))
        total[instance] = (
            running + load.running,
            prefill + load.prefill_tokens,
            max(longest, load.longest),
        )
    return total


# Guards against sums that are kept while what they are made of has changed: reports
# arrive, are lost and go stale, and this VM's own sends begin and end.
@pytest.mark.parametrize("seed", range(20))
def test_kept_sums_are_those_of_the_fresh_reports(seed):
    rng, tracker, sends, now = random.Random(seed), LoadTracker(), [], 0.0
    for sequence in range(1, 300):
        now += rng.choice((0.0, 0.01, 0.05, 0.3, 1.5))
        loads = {
            f"e{n}": Load(
                rng.randrange(1, 4), (rng.randrange(9),) * 2, rng.randrange(9)
            )
            for n in rng.sample(range(6), rng.randrange(4))
        }
        name, arrived = rng.choice("abcd"), report(sequence, now, loads)
        change = rng.randrange(5)
        if change == 0:
            tracker.receive(name, arrived)
        elif change == 1:
            tracker.receive_sum(name, f"{name}-1", arrived)
        elif change == 2:
            sends.append(tracker.begin(f"e{rng.randrange(6)}", rng.randrange(9)))
        elif change == 3 and sends:
            sends.pop(rng.randrange(len(sends))).end()
        found = {
            i: (load.running, load.prefill_tokens, load.longest)
            for i, load in tracker.total(now).items()
        }
        assert found == summed(tracker, now)
        assert tracker.fresh_reports(now) == {
            peer: r for peer, r in tracker.reports.items() if r.is_fresh(now)
        }


@pytest.mark.parametrize(("sequence", "running"), [(1, 5), (2, 5), (3, 7)])
def test_datagrams_out_of_order(sequence, running):
    """Guards against an older report that replaces a newer one, as datagrams overtake
    each other."""
    tracker = LoadTracker()
    tracker.receive("entry-2", report(2, 1.0, {"e1": Load(5)}))
    tracker.receive("entry-2", report(sequence, 1.1, {"e1": Load(7)}))
    assert tracker.total(1.2)["e1"].running == running


# Guards against a restarted peer whose reports are dropped, as its sequence is lower.
@pytest.mark.parametrize(
    ("silent_seconds", "accepted"), [(0.1, False), (1.1, False), (1.3, True)]
)
def test_lower_sequence_counts_once_the_peer_was_silent(silent_seconds, accepted):
    tracker, now = LoadTracker(), 1.0 + silent_seconds
    tracker.receive("entry-2", report(9, 1.0))
    tracker.receive("entry-2", report(2, now))
    assert (tracker.reports["entry-2"].sequence == 2) is accepted
    assert tracker.receive_sum("dc2", "entry-3", report(9, 1.0))
    assert tracker.receive_sum("dc2", "entry-3", report(2, now)) is accepted


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
    """Guards against clients that are sent to dead or leaving VMs. If no peer is
    reachable, the fault is more likely in this VM's own network, so that the list in
    the store counts."""
    membership = Membership(None, EntryVm("entry-1", "a1", "dc1"))
    for number in (1, 2, 3):
        membership.peers[f"entry-{number}"] = Peer(f"a{number}", "dc1")
    tracker = LoadTracker()
    for peer in heard:
        tracker.receive(peer, report(1, 100.0, leaving=peer in leaving))
    directory = Directory(PeerGroups(membership, tracker, "dc1"), "a1")
    assert directory.addresses(draining, 100.5) == expected


def test_reachable_peer_with_an_expired_record_stays_listed():
    """Guards against a list without live VMs when an outage of the store drops every
    record: clients are still sent to the reachable VMs."""
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
def test_tokens_ahead_of_a_new_prompt(urgency, ahead):
    """Guards against estimates that ignore a less urgent prompt which the engine may
    have begun, or that count all less urgent ones."""
    load = Load(4, (100, 0, 5000), 4000)
    assert load.tokens_ahead(urgency) == ahead


def test_loads_survive_the_message_to_a_peer():
    """Guards against a peer that decodes other loads by urgency than the VM sent, and
    sends short prompts to an engine where long ones wait."""
    tracker, peer_tracker = LoadTracker(), LoadTracker()
    tracker.begin("e1", 3000, 2)
    tracker.begin("e1", 700, 0)
    link = PeerLink("entry-1", tracker, alone(tracker), bool)
    peer = PeerLink("entry-2", peer_tracker, alone(peer_tracker), bool)
    peer.datagram_received(link.message(0.0), ("127.0.0.1", 1))
    assert peer_tracker.reports["entry-1"].loads == {
        "e1": Load(2, (700, 0, 3000), 3000)
    }


@pytest.mark.parametrize("peers", [1, 8, 16, 79, 570])
def test_messages_a_second_are_bounded(peers):
    """Guards against messages a second that grow with the fleet. The message itself
    states when the next one is due."""
    membership = Membership(None, EntryVm("entry-0", "a0", "dc1"))
    for number in range(1, peers + 1):
        peer = Peer(f"a{number}", "dc1", f"10.0.0.1:{number}")
        membership.peers[f"entry-{number}"] = peer
    tracker = LoadTracker()
    link = PeerLink("entry-0", tracker, PeerGroups(membership, tracker, "dc1"), bool)
    assert peers / link.interval() <= PEERS_AT_FULL_RATE / SEND_INTERVAL_SECONDS + 1e-9


@pytest.mark.parametrize(
    ("failed_at", "avoided"), [(0, False), (1, False), (2, True), (3, True)]
)
def test_engine_suspected_by_two_peers_is_avoided(failed_at, avoided):
    """Guards against requests that every VM of a large fleet loses at crashed engines,
    for example ten engines and 195 VMs, before it suspects them itself. A report of a
    single peer may come from that peer's own trouble."""
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
    healthy = {i.id for i in here._healthy(here.instances.serving("app"), now)}
    assert ("e1" not in healthy) is avoided
