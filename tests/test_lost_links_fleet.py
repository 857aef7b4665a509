"""What a fleet decides when some of its VMs lose their links to the instances.

In simulated time, without processes.
"""

import pytest

from mulberrydock.directory import Directory

SMALL = {"a": 4, "b": 3, "c": 2}
LARGE = {"a": 39, "b": 41, "c": 36, "d": 40, "e": 39}
#: Seconds until all VMs know of lost links: two messages and a sum.
NOTICE_SECONDS = 1.5


def fleet_with_lost_links(peer_fleet, sizes, lost):
    """Return a fleet whose VMs in the data centres ``lost`` have no link to "llm"."""
    fleet = peer_fleet(**sizes)
    fleet.run(NOTICE_SECONDS)
    for vm in fleet.vms.values():
        if vm.data_centre in lost:
            vm.lost_services.add("llm")
    fleet.run(NOTICE_SECONDS)
    return fleet


# Guards against clients that are sent to VMs which can only pass their requests on, and
# against clients that get no address when all VMs have lost their links.
@pytest.mark.parametrize("sizes", [SMALL, LARGE])
@pytest.mark.parametrize(
    ("lost", "listed"),
    [("", "abcde"), ("a", "bcde"), ("ab", "cde"), ("abcde", "abcde")],
)
def test_clients_get_vms_with_links(peer_fleet, sizes, lost, listed):
    fleet = fleet_with_lost_links(peer_fleet, sizes, lost)
    for vm in fleet.vms.values():
        for asked in sizes:
            directory = Directory(vm.groups, vm.name)
            addresses = directory.addresses(False, fleet.now, asked)
            found = {fleet.vms[address].data_centre for address in addresses}
            assert found and found <= set(listed)


# Guards against a leader that can't give its orders to the engines.
@pytest.mark.parametrize("sizes", [SMALL, LARGE])
def test_vms_without_links_are_last_to_become_leader(peer_fleet, sizes):
    fleet = fleet_with_lost_links(peer_fleet, sizes, "a")
    for vm in fleet.vms.values():
        order = Directory(vm.groups, vm.name).takeover_order(fleet.now)
        places = [fleet.vms[name].data_centre for name in order]
        assert "a" not in places[: -sizes["a"]]


# Guards against a limited instance whose few senders can't reach it.
@pytest.mark.parametrize("sizes", [SMALL, LARGE])
@pytest.mark.parametrize(("lost", "senders"), [("a", "bcde"), ("abcde", "abcde")])
def test_limited_instance_is_left_to_vms_with_links(peer_fleet, sizes, lost, senders):
    fleet = fleet_with_lost_links(peer_fleet, sizes, lost)
    for vm in fleet.vms.values():
        names = vm.groups.senders(fleet.now)
        assert {fleet.vms[name].data_centre for name in names} == set(senders) & set(
            sizes
        )
