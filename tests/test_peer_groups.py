"""What VMs of large fleets know of each other's work, and how long.

The load pattern is that of 195 VMs in five data centres that have a few requests
each: what is known of an engine is the sum of what all of them sent there.
"""

import collections

import pytest

from mulberrydock.directory import ADDRESSES_MIN, Directory
from mulberrydock.peer_groups import DIRECT_PEERS, REPORTERS
from mulberrydock.peer_loads import Load
from mulberrydock.peer_messages import decode
from mulberrydock.peers import (
    PEERS_AT_FULL_RATE,
    SEND_INTERVAL_SECONDS,
    SUM_INTERVAL_SECONDS,
)

LARGE = {"a": 39, "b": 41, "c": 36, "d": 40, "e": 39}
#: As large as it takes for data centres to tell each other only their sums.
MIDDLE = {"a": 9, "b": 10, "c": 8, "d": 9}
#: Messages a second that a VM may send at most beside its own to its direct peers:
#: a reporter passes each other data centre's sum on to its own.
RELAYED = PEERS_AT_FULL_RATE / SEND_INTERVAL_SECONDS * 8


@pytest.mark.parametrize("sizes", [{"a": 4, "b": 4}, MIDDLE, LARGE])
def test_every_vm_knows_the_work_of_all(peer_fleet, sizes):
    """VMs of all data centres send to one engine. Wherever a VM stands, it counts
    each of these requests once, within a second, or it would send there too."""
    fleet = peer_fleet(**sizes)
    for vm in fleet.vms.values():
        vm.tracker.begin("e1", 100, 1)
    fleet.run(2.0)
    count = len(fleet.vms)
    for vm in fleet.vms.values():
        assert vm.tracker.total(fleet.now)["e1"] == Load(count, (0, 100 * count), 100)


def test_work_that_is_over_is_forgotten_everywhere(peer_fleet):
    """A burst of requests ends. A second later no VM avoids its engine any more."""
    fleet = peer_fleet(**MIDDLE)
    works = [vm.tracker.begin("e1", 100) for vm in fleet.vms.values()]
    fleet.run(2.0)
    for work in works:
        work.end()
    fleet.run(2 * SUM_INTERVAL_SECONDS + 0.4)
    assert [vm.tracker.total(fleet.now) for vm in fleet.vms.values()] == [{}] * 36


def test_each_sum_is_passed_on_once(peer_fleet):
    """Two reporters of a data centre get the sums of the others. If both passed all of
    them on, every VM would read each twice, and reading is most of what they cost."""
    fleet = peer_fleet(**LARGE)
    fleet.run(3.0)
    relays = collections.Counter()
    for name, vm in fleet.vms.items():
        send_to = vm.link._send_to

        def count(peers, data, name=name, send_to=send_to):
            peers = list(peers)
            news = decode(data, fleet.now)
            far = news.data_centre != fleet.vms[name].data_centre
            relays[fleet.vms[name].data_centre] += bool(news.data_centre and far)
            send_to(peers, data)

        vm.link._send_to = count
    fleet.run(4 * SUM_INTERVAL_SECONDS)
    assert set(relays) == set(LARGE)
    assert max(relays.values()) <= 4 * 5
    assert min(relays.values()) >= 4 * 3


@pytest.mark.parametrize("lost", [1, REPORTERS])
def test_reporters_that_die_are_replaced(peer_fleet, lost):
    """VMs that speak for their data centre lose power, all of them even. Others
    take their place within seconds, with no message to agree on it, and the work of
    the data centre is known elsewhere again."""
    fleet = peer_fleet(**MIDDLE)
    fleet.run(2.0)
    reporters = [
        vm.name
        for vm in fleet.vms.values()
        if vm.data_centre == "a" and vm.groups.reporter_place(fleet.now) is not None
    ]
    assert len(reporters) == REPORTERS
    fleet.dead |= set(reporters[:lost])
    living = [vm for vm in fleet.vms.values() if vm.name not in fleet.dead]
    for vm in living:
        vm.tracker.begin("e1", 100)
    # Their records are gone from the store once their leases end.
    for vm in living:
        for name in fleet.dead:
            vm.membership._lapse(name)
    fleet.run(5.0)
    for vm in living:
        assert vm.tracker.total(fleet.now)["e1"].running == len(living)


def test_data_centre_that_is_cut_off_counts_for_a_moment(peer_fleet):
    """The links to one data centre fail. Its last sum is not taken for its work of
    now for ever, and what is heard of the others stays whole."""
    fleet = peer_fleet(**MIDDLE)
    for vm in fleet.vms.values():
        vm.tracker.begin(vm.data_centre, 0)
    fleet.run(2.0)
    fleet.cut = [{"a", name} for name in "bcd"]
    fleet.run(3.0)
    seen = fleet.vms["b-0"].tracker.total(fleet.now)
    assert {i: load.running for i, load in seen.items()} == {"b": 10, "c": 8, "d": 9}


def test_held_engine_is_free_again_everywhere(peer_fleet):
    """A VM holds an engine under change. All others hear of it, and a while after
    the change nobody holds it: data centres must not tell each other of it in turn."""
    fleet = peer_fleet(**MIDDLE)
    fleet.run(1.0)
    fleet.vms["a-3"].tracker.cordon("e1", fleet.now + 3.0)
    fleet.run(2.0)
    assert all(vm.tracker.cordoned(fleet.now) == {"e1"} for vm in fleet.vms.values())
    fleet.run(5.0)
    assert all(vm.tracker.cordoned(fleet.now) == set() for vm in fleet.vms.values())


@pytest.mark.parametrize("sizes", [{"a": 4, "b": 5}, MIDDLE, LARGE])
def test_messages_a_second_do_not_grow_with_the_fleet(peer_fleet, sizes):
    """A fleet grows from 9 to 195 VMs. What one VM sends a second stays bounded:
    with each of them telling all others five times, it would be 970."""
    fleet = peer_fleet(**sizes)
    fleet.run(1.0)
    fleet.sent.clear()
    fleet.run(1.0)
    direct = PEERS_AT_FULL_RATE / SEND_INTERVAL_SECONDS
    reporters = {n for n, vm in fleet.vms.items() if vm.link.place is not None}
    others = [count for name, count in fleet.sent.items() if name not in reporters]
    assert max(others) <= 2 * direct
    assert max(fleet.sent.values()) <= direct + RELAYED


@pytest.mark.parametrize(
    ("alive", "asked", "expected"),
    [
        (9, "a", 9),
        (8, "a", 8),
        (2, "a", ADDRESSES_MIN),
        (9, "", 36),
    ],
)
def test_clients_get_vms_of_their_data_centre(peer_fleet, alive, asked, expected):
    """A client asks where to connect. In a large fleet the first addresses of the
    whole list would be the same for all clients: most VMs would idle, and most
    requests cross between data centres. Where hardly a VM of a data centre is left,
    its clients get some of the others as well."""
    fleet = peer_fleet(**MIDDLE)
    fleet.dead = {f"a-{n}" for n in range(alive, 9)}
    fleet.run(4.0)
    vm = fleet.vms["a-0"]
    addresses = Directory(vm.groups, vm.name).addresses(False, fleet.now, asked)
    assert len(addresses) == expected
    near = [address for address in addresses if address.startswith("a-")]
    assert not set(addresses) & fleet.dead
    if asked:
        assert len(near) == min(alive, expected)


def test_small_fleet_is_answered_whole(peer_fleet):
    """Eight VMs in three data centres: a client gets all of them, as it must live
    through the loss of any."""
    fleet = peer_fleet(a=3, b=3, c=2)
    fleet.run(1.0)
    vm = fleet.vms["a-0"]
    addresses = Directory(vm.groups, vm.name).addresses(False, fleet.now, "a")
    assert len(addresses) == 8 <= DIRECT_PEERS


def test_every_address_of_a_very_large_data_centre_is_given_out(
    peer_fleet,
):
    """A data centre has more VMs than fit in an answer. Each VM answers with a
    choice of its own, so that all of them get clients."""
    fleet = peer_fleet(a=100)
    fleet.run(5.0)
    given = set()
    for vm in fleet.vms.values():
        given |= set(Directory(vm.groups, vm.name).addresses(False, fleet.now, "a"))
    assert len(given) == 100


@pytest.mark.parametrize("dead", [0, 1, 3])
def test_vms_take_turns_at_a_vacant_duty(peer_fleet, dead):
    """The holder of the duty is lost. If all VMs tried to take it, that would be
    four calls each to the store; so they go one after the other, the dead left out."""
    fleet = peer_fleet(**MIDDLE)
    fleet.run(2.0)
    turns = {n: Directory(vm.groups, n).turn(fleet.now) for n, vm in fleet.vms.items()}
    assert sorted(turns.values()) == list(range(36))
    first = sorted(turns, key=turns.get)
    fleet.dead = set(first[:dead])
    for vm in fleet.vms.values():
        for name in fleet.dead:
            vm.membership.apply(f"entries/{name}", None, 9)
            vm.membership.lapsed.pop(name, None)
    fleet.run(5.0)
    assert Directory(fleet.vms[first[dead]].groups, first[dead]).turn(fleet.now) == 0
