"""Entry VMs of several data centres that exchange messages in simulated time.

There is no network: datagrams are delivered at once, or lost.
"""

import attrs

from mulberrydock import peers as peers_module
from mulberrydock.instances import InstanceRegistry
from mulberrydock.membership import Membership, Peer
from mulberrydock.peer_groups import PeerGroups
from mulberrydock.peer_loads import LoadTracker
from mulberrydock.peers import SUM_INTERVAL_SECONDS, PeerLink
from mulberrydock.rate_limits import RateLimits
from mulberrydock.serve import EntryVm

PORT = 7380


@attrs.define
class Transport:
    """Delivers one VM's datagrams to the VMs of a fleet."""

    fleet: object
    sender: str

    def sendto(self, data, address):
        self.fleet.deliver(self.sender, address[0], data)


@attrs.define(eq=False)
class Vm:
    """One VM; its name is also its address."""

    name: str
    data_centre: str
    membership: Membership
    tracker: LoadTracker
    groups: PeerGroups
    link: PeerLink
    lost_services: set
    next_message: float = 0.0
    next_sum: float = 0.0


class PeerFleet:
    """A fleet in simulated time.

    :param sizes: number of VMs by data centre.

    ``dead`` holds the names of failed VMs, which neither send nor receive; ``cut``
    holds the pairs of data centres between which datagrams are lost.
    """

    def __init__(self, monkeypatch, sizes):
        self.now = 0.0
        monkeypatch.setattr(peers_module.time, "monotonic", lambda: self.now)
        self.dead = set()
        self.cut = set()
        self.sent = {}
        self.vms = {}
        for data_centre, size in sizes.items():
            for number in range(size):
                self.add(f"{data_centre}-{number}", data_centre)
        for vm in self.vms.values():
            for other in self.vms.values():
                vm.membership.peers[other.name] = Peer(
                    other.name, other.data_centre, f"{other.name}:{PORT}"
                )

    def add(self, name, data_centre):
        """Add a VM without peers."""
        membership = Membership(None, EntryVm(name, name, data_centre))
        tracker = LoadTracker()
        lost_services = set()
        groups = PeerGroups(membership, tracker, data_centre, lambda: lost_services)
        limits = RateLimits(name, groups.senders)
        link = PeerLink(
            name, tracker, groups, bool, limits=limits, instances=InstanceRegistry()
        )
        link.transport = Transport(self, name)
        self.vms[name] = Vm(
            name, data_centre, membership, tracker, groups, link, lost_services
        )

    def deliver(self, sender, receiver, data):
        """Deliver a datagram, unless a VM has failed or their link is cut."""
        self.sent[sender] = self.sent.get(sender, 0) + 1
        if sender in self.dead or receiver in self.dead:
            return
        vm = self.vms[receiver]
        if {self.vms[sender].data_centre, vm.data_centre} in self.cut:
            return
        vm.link.datagram_received(data, (sender, PORT))

    def run(self, seconds, step=0.05):
        """Advance the time by ``seconds``, ``step`` at a time."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step
            for vm in self.vms.values():
                if vm.name not in self.dead:
                    self.tick(vm)

    def tick(self, vm):
        """Send a VM's message and its sum if they are due."""
        if self.now >= vm.next_message:
            vm.next_message = self.now + vm.link.interval()
            vm.link.send()
        if self.now >= vm.next_sum:
            vm.next_sum = self.now + SUM_INTERVAL_SECONDS
            vm.link.send_sum(self.now)
