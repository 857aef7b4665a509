"""To which peer a VM without links forwards a request."""

import collections

import pytest

from mulberrydock.forwarding import AVOID_SECONDS, MAX_REFUSALS, Forwarding
from mulberrydock.membership import Membership, Peer
from mulberrydock.peer_groups import PeerGroups
from mulberrydock.peer_loads import Load, LoadTracker, PeerReport
from mulberrydock.serve import EntryVm

NOW = 100.0


def make_forwarding(peers, reports, **sums):
    """Return the forwarding of VM ``vm`` in data centre ``dc1``.

    :param peers: data centre by name.
    :param reports: fields of the report of each peer that sends to this VM.
    :param sums: VMs without links by data centre.
    """
    membership = Membership(None, EntryVm("vm", "vm", "dc1"))
    for name, data_centre in peers.items():
        membership.peers[name] = Peer(name, data_centre, f"{name}:1", b"key")
    tracker = LoadTracker()
    for name, fields in reports.items():
        fields = {"loads": {}} | fields
        tracker.receive(name, PeerReport(1, NOW, **fields))
    for data_centre, names in sums.items():
        report = PeerReport(1, NOW, {}, vms_without_links=frozenset(names))
        tracker.receive_sum(data_centre, f"{data_centre}-0", report)
    return Forwarding(PeerGroups(membership, tracker, "dc1"))


def choose(forwarding, request_id="r1", refused=(), now=NOW):
    plan = forwarding.choose("llm", request_id, refused, now)
    return plan and plan.name


# Guards against a request that goes to a VM which can't serve it either.
@pytest.mark.parametrize(
    ("reports", "chosen"),
    [
        ({"a": {}, "b": {}, "c": {"lost_services": frozenset({"llm"})}}, {"a", "b"}),
        ({"a": {}, "b": {"lost_services": frozenset({"app"})}}, {"a", "b"}),
        ({"a": {}, "b": {"leaving": True}}, {"a"}),
        ({"a": {"lost_services": frozenset({"llm"})}}, {None}),
    ],
)
def test_only_peers_with_links_are_chosen(reports, chosen):
    forwarding = make_forwarding(dict.fromkeys("abc", "dc1"), reports)
    assert {choose(forwarding, f"r{number}") for number in range(30)} == chosen


def test_peer_that_refused_is_not_asked_again():
    forwarding = make_forwarding(dict.fromkeys("ab", "dc1"), {"a": {}, "b": {}})
    assert choose(forwarding, refused={"a"}) == "b"
    forwarding.avoid("b", "llm", NOW)
    assert choose(forwarding, refused={"a"}) is None
    assert choose(forwarding, refused={"a"}, now=NOW + AVOID_SECONDS) == "b"


# Guards against a request that asks every VM of a large fleet in turn.
def test_number_of_peers_that_are_asked_is_bounded():
    names = [f"vm-{number}" for number in range(10)]
    forwarding = make_forwarding(dict.fromkeys(names, "dc1"), {n: {} for n in names})
    assert choose(forwarding, refused=set(names[: MAX_REFUSALS - 1]))
    assert choose(forwarding, refused=set(names[:MAX_REFUSALS])) is None


def test_less_busy_peer_is_preferred():
    busy = {"loads": {"i1": Load(3), "i2": Load(2)}}
    forwarding = make_forwarding(dict.fromkeys("ab", "dc1"), {"a": busy, "b": {}})
    assert {choose(forwarding, f"r{number}") for number in range(20)} == {"b"}
    forwarding.in_flight["b"] = 6
    assert choose(forwarding) == "a"


def test_peer_in_the_same_data_centre_is_preferred_unless_it_is_busier():
    forwarding = make_forwarding({"a": "dc1", "b": "dc2"}, {"a": {}, "b": {}})
    assert choose(forwarding) == "a"
    forwarding.in_flight["a"] = 10
    assert choose(forwarding) == "b"


# Guards against a data centre that is cut off as a whole and forwards to itself, or all
# to the same VM, in a fleet whose data centres send each other only sums.
def test_data_centre_without_links_forwards_to_the_others():
    peers = {
        f"{data_centre}-{number}": data_centre
        for data_centre in ("dc1", "dc2", "dc3")
        for number in range(39)
    }
    lost = {"lost_services": frozenset({"llm"})}
    reports = {name: lost for name, place in peers.items() if place == "dc1"}
    forwarding = make_forwarding(peers, reports, dc2=["dc2-0", "dc2-1"])
    counts = collections.Counter(choose(forwarding, f"r{n}") for n in range(800))
    assert {peers[name] for name in counts} == {"dc2", "dc3"}
    assert not {"dc2-0", "dc2-1"} & counts.keys()
    assert len(counts) == 76
