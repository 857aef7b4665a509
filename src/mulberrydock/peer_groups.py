"""Chooses the peers to which an entry VM sends its messages.

Needed in fleets of hundreds of VMs that each have a few requests in flight: with
messages to all peers, a VM's counts would be seconds old before it could send the
next ones, as its messages per second are bounded; and most messages would cross
between data centres, which is paid for. So in a large fleet a VM sends to its own
data centre only, and a few reporters of each data centre send its sum to the others.
"""

import attrs

from .rendezvous import rank

#: Maximum number of peers in a fleet whose VMs all send to each other.
MAX_DIRECT_PEERS = 24
#: VMs of a data centre that send its sum to the others and relay theirs. With two,
#: the sums still arrive when one fails or is slow, until another takes its place.
REPORTERS_PER_DATA_CENTRE = 2


@attrs.define
class PeerGroups:
    """The peers of this VM by role.

    Methods take the current time as ``now``, in monotonic seconds.

    :param membership: the :class:`~mulberrydock.membership.Membership`.
    :param tracker: the :class:`~mulberrydock.peer_loads.LoadTracker`, whose reports
        show which peers are reachable.
    :param data_centre: the data centre of this VM.
    :param lost_services: returns the services to whose instances this VM has no link.
    """

    membership: object
    tracker: object
    data_centre: str
    lost_services: object = frozenset

    @property
    def name(self):
        """This VM's name."""
        return self.membership.entry.name

    def known_peers(self):
        """Return the peers that may be alive, by name, without this VM."""
        peers = self.membership.expired | self.membership.peers
        peers.pop(self.name, None)
        return {name: peer for name, peer in peers.items() if peer.peer_address}

    def direct_peers(self):
        """Return the peers that receive each message of this VM, by name."""
        known = self.known_peers()
        if len(known) <= MAX_DIRECT_PEERS:
            return known
        return {n: p for n, p in known.items() if p.data_centre == self.data_centre}

    def is_grouped(self):
        """Return whether data centres send each other only their sums."""
        return len(self.known_peers()) > MAX_DIRECT_PEERS

    def senders(self, now):
        """Return the names of the VMs that may send requests to instances.

        This VM is included unless it is leaving. A VM whose record was removed may
        be alive, as the store drops records in an outage: it counts while its
        messages arrive, or always if it doesn't send to this VM. VMs without links to
        the instances are left out while there are others.
        """
        reports, direct = self.tracker.reports, self.direct_peers()
        silent = {
            name
            for name in self.membership.expired
            if name in direct
            and not (name in reports and reports[name].is_reachable(now))
        }
        own = set() if self.membership.leaving else {self.name}
        alive = frozenset((self.known_peers().keys() - silent) | own)
        return alive - self.without_links(now) or alive

    def local_without_links(self, now, service=None):
        """Return the VMs without links to a service of which this VM hears directly.

        :param service: the service, None for any service.
        """
        lost = self.tracker.lost_services(now) | {self.name: self.lost_services()}
        return {
            name
            for name, services in lost.items()
            if (services if service is None else service in services)
        }

    def without_links(self, now, service=None):
        """Return the names of the VMs, this one included, without links to a service.

        :param service: the service, None for any service. Of VMs in other data centres
            it isn't known which service it is.
        """
        remote = self.tracker.remote_vms_without_links(now)
        return self.local_without_links(now, service) | remote

    def forwarders(self, service, now):
        """Return the live peers that can serve requests for a service, by name."""
        without_links = self.without_links(now, service)
        return {
            name: peer
            for name, peer in self.live_peers(now).items()
            if peer.forward_key and peer.peer_address and name not in without_links
        }

    def _select_reporters(self, names):
        key = "reporter"
        return sorted(names, key=lambda name: rank(key, name))[
            :REPORTERS_PER_DATA_CENTRE
        ]

    def is_direct(self, address):
        """Return whether ``address``, a (host, port) pair, is of a direct peer."""
        sender = f"{address[0]}:{address[1]}"
        return any(peer.peer_address == sender for peer in self.direct_peers().values())

    def reporter_rank(self, now):
        """Return this VM's rank, from 0, among the reporters of its data centre.

        :returns: None while it isn't one of them.
        """
        if not self.is_grouped():
            return None
        reports = self.tracker.reports
        reachable = [
            n
            for n in self.direct_peers()
            if n in reports and reports[n].is_reachable(now)
        ]
        reporters = self._select_reporters([*reachable, self.name])
        return reporters.index(self.name) if self.name in reporters else None

    def remote_reporters(self):
        """Return the reporters of the other data centres."""
        by_data_centre = {}
        for name, peer in self.membership.peers.items():
            if peer.data_centre != self.data_centre and peer.peer_address:
                by_data_centre.setdefault(peer.data_centre, []).append(name)
        return [
            self.membership.peers[name]
            for names in by_data_centre.values()
            for name in self._select_reporters(names)
        ]

    def live_peers(self, now):
        """Return the live peers by name.

        A VM that fails disappears from the store only when its lease expires, but
        its messages stop at once. For peers that don't send to this VM, only the
        store can tell. If no peer's messages arrive, the cause is more likely this
        VM's own network, so only the store's list is used.
        """
        registered = dict(self.membership.peers)
        registered.pop(self.name, None)
        reachable = {
            name
            for name, report in self.tracker.reports.items()
            if report.is_reachable(now) and not report.leaving
        }
        known = self.membership.expired | registered
        alive = {name: peer for name, peer in known.items() if name in reachable}
        if not alive:
            return registered
        if not self.is_grouped():
            return alive
        direct = self.direct_peers()
        others = {n: p for n, p in registered.items() if n not in direct}
        return alive | others
