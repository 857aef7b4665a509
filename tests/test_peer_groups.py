"""Messages between the VMs of a large fleet, and what is derived from them.

With 195 VMs in five data centres that have a few requests each, the load of an engine
is the sum of what all of them sent to it.
"""

import collections

import pytest

from mulberrydock.directory import MIN_ADDRESSES, Directory
from mulberrydock.peer_groups import MAX_DIRECT_PEERS, REPORTERS_PER_DATA_CENTRE
from mulberrydock.peer_loads import Load
from mulberrydock.peer_messages import decode
from mulberrydock.peers import (
    PEERS_AT_FULL_RATE,
    SEND_INTERVAL_SECONDS,
    SUM_INTERVAL_SECONDS,
)

LARGE = {"a": 39, "b": 41, "c": 36, "d": 40, "e": 39}
#: Large enough for data centres to send each other only their sums.
MIDDLE = {"a": 9, "b": 10, "c": 8, "d": 9}
#: Maximum number of messages per second that a VM may send beside its own to direct
#: peers: a reporter relays each other data centre's sum to its own.
RELAYED = PEERS_AT_FULL_RATE / SEND_INTERVAL_SECONDS * 8


@pytest.mark.parametrize("sizes", [{"a": 4, "b": 4}, MIDDLE, LARGE])
def test_every_vm_knows_the_load_that_all_cause(peer_fleet, sizes):
    """Guards against an engine that too many VMs choose: each VM must count, within a
    second, each request that VMs of any data centre sent to it, and count it once."""
    fleet = peer_fleet(**sizes)
    for vm in fleet.vms.values():
        vm.tracker.begin("e1", 100, 1)
    fleet.run(2.0)
    count = len(fleet.vms)
    for vm in fleet.vms.values():
        assert vm.tracker.total(fleet.now)["e1"] == Load(count, (0, 100 * count), 100)


def test_load_of_ended_requests_is_dropped_everywhere(peer_fleet):
    """Guards against VMs that avoid an engine more than a second after its requests."""
    fleet = peer_fleet(**MIDDLE)
    sends = [vm.tracker.begin("e1", 100) for vm in fleet.vms.values()]
    fleet.run(2.0)
    for send in sends:
        send.end()
    fleet.run(2 * SUM_INTERVAL_SECONDS + 0.4)
    assert [vm.tracker.total(fleet.now) for vm in fleet.vms.values()] == [{}] * 36


def test_each_sum_is_relayed_once(peer_fleet):
    """Guards against relays of the same sum by both reporters of a data centre: every
    VM would decode it twice, and decoding is most of the cost of a message."""
    fleet = peer_fleet(**LARGE)
    fleet.run(3.0)
    relays = collections.Counter()
    for name, vm in fleet.vms.items():
        send_to = vm.link.send_to

        def count(peers, data, name=name, send_to=send_to):
            peers = list(peers)
            update = decode(data, fleet.now)
            remote = update.data_centre != fleet.vms[name].data_centre
            relays[fleet.vms[name].data_centre] += bool(update.data_centre and remote)
            send_to(peers, data)

        vm.link.send_to = count
    fleet.run(4 * SUM_INTERVAL_SECONDS)
    assert set(relays) == set(LARGE)
    assert max(relays.values()) <= 4 * 5
    assert min(relays.values()) >= 4 * 3


@pytest.mark.parametrize("lost", [1, REPORTERS_PER_DATA_CENTRE])
def test_failed_reporters_are_replaced(peer_fleet, lost):
    """Guards against a data centre whose load stays unknown to the others after one or
    all of its reporters fail. Others replace them within seconds, without messages to
    agree on it."""
    fleet = peer_fleet(**MIDDLE)
    fleet.run(2.0)
    reporters = [
        vm.name
        for vm in fleet.vms.values()
        if vm.data_centre == "a" and vm.groups.reporter_rank(fleet.now) is not None
    ]
    assert len(reporters) == REPORTERS_PER_DATA_CENTRE
    fleet.dead |= set(reporters[:lost])
    live = [vm for vm in fleet.vms.values() if vm.name not in fleet.dead]
    for vm in live:
        vm.tracker.begin("e1", 100)
    # The store removes their records when their leases expire.
    for vm in live:
        for name in fleet.dead:
            vm.membership._expire(name)
    fleet.run(5.0)
    for vm in live:
        assert vm.tracker.total(fleet.now)["e1"].running == len(live)


def test_last_sum_of_a_disconnected_data_centre_expires(peer_fleet):
    """Guards against counting a data centre's last sum for ever when the links to it
    fail. The sums of the others stay complete."""
    fleet = peer_fleet(**MIDDLE)
    for vm in fleet.vms.values():
        vm.tracker.begin(vm.data_centre, 0)
    fleet.run(2.0)
    fleet.cut = [{"a", name} for name in "bcd"]
    fleet.run(3.0)
    seen = fleet.vms["b-0"].tracker.total(fleet.now)
    assert {i: load.running for i, load in seen.items()} == {"b": 10, "c": 8, "d": 9}


def test_cordon_ends_everywhere(peer_fleet):
    """Guards against a cordon that data centres report back and forth for ever: a VM
    cordons an engine, all others receive that, and it ends a while after the change."""
    fleet = peer_fleet(**MIDDLE)
    fleet.run(1.0)
    fleet.vms["a-3"].tracker.cordon("e1", fleet.now + 3.0)
    fleet.run(2.0)
    assert all(vm.tracker.cordoned(fleet.now) == {"e1"} for vm in fleet.vms.values())
    fleet.run(5.0)
    assert all(vm.tracker.cordoned(fleet.now) == set() for vm in fleet.vms.values())


@pytest.mark.parametrize("sizes", [{"a": 4, "b": 5}, MIDDLE, LARGE])
def test_messages_per_second_do_not_grow_with_the_fleet(peer_fleet, sizes):
    """Guards against unbounded traffic when a fleet grows from 9 to 195 VMs: if each VM
    sent to all others five times a second, it would send 970 messages a second."""
    fleet = peer_fleet(**sizes)
    fleet.run(1.0)
    fleet.sent.clear()
    fleet.run(1.0)
    direct = PEERS_AT_FULL_RATE / SEND_INTERVAL_SECONDS
    reporters = {n for n, vm in fleet.vms.items() if vm.link.reporter_rank is not None}
    others = [count for name, count in fleet.sent.items() if name not in reporters]
    assert max(others) <= 2 * direct
    assert max(fleet.sent.values()) <= direct + RELAYED


@pytest.mark.parametrize(
    ("alive", "asked", "expected"),
    [
        (9, "a", 9),
        (8, "a", 8),
        (2, "a", MIN_ADDRESSES),
        (9, "", 36),
    ],
)
def test_clients_get_vms_of_their_data_centre(peer_fleet, alive, asked, expected):
    """Guards against giving all clients of a large fleet the same first addresses: most
    VMs would be idle, and most requests would cross between data centres. Where few
    VMs of a data centre are live, its clients get VMs of others as well."""
    fleet = peer_fleet(**MIDDLE)
    fleet.dead = {f"a-{n}" for n in range(alive, 9)}
    fleet.run(4.0)
    vm = fleet.vms["a-0"]
    addresses = Directory(vm.groups, vm.name).addresses(False, fleet.now, asked)
    assert len(addresses) == expected
    local = [address for address in addresses if address.startswith("a-")]
    assert not set(addresses) & fleet.dead
    if asked:
        assert len(local) == min(alive, expected)


def test_clients_of_a_small_fleet_get_all_vms(peer_fleet):
    """Guards against clients that can't survive the loss of some VMs: of eight VMs in
    three data centres, a client gets all."""
    fleet = peer_fleet(a=3, b=3, c=2)
    fleet.run(1.0)
    vm = fleet.vms["a-0"]
    addresses = Directory(vm.groups, vm.name).addresses(False, fleet.now, "a")
    assert len(addresses) == 8 <= MAX_DIRECT_PEERS


def test_all_vms_of_a_very_large_data_centre_get_clients(peer_fleet):
    """Guards against VMs without clients in a data centre that has more VMs than fit in
    a response: each VM answers with a different selection."""
    fleet = peer_fleet(a=100)
    fleet.run(5.0)
    given = set()
    for vm in fleet.vms.values():
        given |= set(Directory(vm.groups, vm.name).addresses(False, fleet.now, "a"))
    assert len(given) == 100


@pytest.mark.parametrize("dead", [0, 1, 3])
def test_vms_agree_on_the_order_for_a_vacant_lease(peer_fleet, dead):
    """Guards against attempts of all VMs to become leader when the leader fails, four
    calls to the store each: they try one after the other, without the failed ones."""
    fleet = peer_fleet(**MIDDLE)
    fleet.run(2.0)
    ranks = {
        n: Directory(vm.groups, n).takeover_rank(fleet.now)
        for n, vm in fleet.vms.items()
    }
    assert sorted(ranks.values()) == list(range(36))
    first = sorted(ranks, key=ranks.get)
    fleet.dead = set(first[:dead])
    for vm in fleet.vms.values():
        for name in fleet.dead:
            vm.membership.apply(f"entries/{name}", None, 9)
            vm.membership.expired.pop(name, None)
    fleet.run(5.0)
    assert (
        Directory(fleet.vms[first[dead]].groups, first[dead]).takeover_rank(fleet.now)
        == 0
    )


# Guards against a VM whose messages are dropped for minutes, as it has restarted after
# its time of day was set back and its sequence begins lower.
@pytest.mark.parametrize("leaving", [False, True])
@pytest.mark.parametrize("sizes", [{"dc1": 3}, {"dc1": 2, "dc2": 2}])
def test_messages_of_a_vm_whose_clock_was_set_back_count(peer_fleet, sizes, leaving):
    fleet = peer_fleet(**sizes)
    first, second = fleet.vms["dc1-0"], fleet.vms["dc1-1"]
    first.link.leaving = lambda: leaving
    fleet.run(5.0)
    first.link.leaving = bool
    first.link.sequence -= 60_000
    first.tracker.begin("e1", 100)
    fleet.run(3.0)
    report = second.tracker.fresh_reports(fleet.now)["dc1-0"]
    assert report.loads["e1"].running == 1 and not report.leaving
    for vm in fleet.vms.values():
        assert vm.tracker.total(fleet.now)["e1"].running == 1
