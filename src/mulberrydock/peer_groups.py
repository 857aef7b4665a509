"""Whom an entry VM tells what it knows, in a fleet of any size.

The load pattern this answers is hundreds of VMs that each have a few requests in
flight. Told to everybody, a VM's counts are seconds old by the time it may send the
next, as its messages a second are bounded; and most of them cross between data
centres, which is paid for. So in a large fleet a VM tells its own data centre, and
a few reporters of each data centre tell the others the sum.
"""

import attrs

from .rendezvous import rank

#: Peers up to which a VM tells everybody itself.
DIRECT_PEERS = 24
#: VMs of a data centre that tell the others its sum and pass theirs on. With two,
#: one that is lost or slow is not missed until the next takes its place.
REPORTERS = 2


@attrs.define
class PeerGroups:
    """Decides from the members of the fleet; ``data_centre`` is this VM's.

    :param membership: the :class:`~mulberrydock.membership.Membership`.
    :param book: the :class:`~mulberrydock.peer_loads.LoadTracker`, which knows who
        is heard.
    """

    membership: object
    tracker: object
    data_centre: str

    @property
    def name(self):
        """This VM's name."""
        return self.membership.entry.name

    def known(self):
        """Return the peers that may live, by name, this VM not among them."""
        peers = self.membership.lapsed | self.membership.peers
        peers.pop(self.name, None)
        return {name: peer for name, peer in peers.items() if peer.peer_address}

    def direct(self):
        """Return the peers that this VM tells each of its messages, by name."""
        known = self.known()
        if len(known) <= DIRECT_PEERS:
            return known
        return {n: p for n, p in known.items() if p.data_centre == self.data_centre}

    def grouped(self):
        """True when data centres tell each other only their sums."""
        return len(self.known()) > DIRECT_PEERS

    def senders(self, now):
        """Return the names of the VMs that may send to instances, this one included
        unless it leaves.

        A VM whose record is gone may live, as the store loses records in an outage:
        it counts while it is heard, or for as long as it can't be.
        """
        reports, direct = self.tracker.reports, self.direct()
        silent = {
            name
            for name in self.membership.lapsed
            if name in direct
            and not (name in reports and reports[name].is_reachable(now))
        }
        own = set() if self.membership.leaving else {self.name}
        return frozenset((self.known().keys() - silent) | own)

    def _first(self, names):
        key = "reporter"
        return sorted(names, key=lambda name: rank(key, name))[:REPORTERS]

    def is_direct(self, address):
        """True when a datagram from ``address`` is of a peer told directly."""
        sender = f"{address[0]}:{address[1]}"
        return any(peer.peer_address == sender for peer in self.direct().values())

    def reporter_place(self, now):
        """Return this VM's place, from 0, among those that speak for its data
        centre; None while it isn't one of them."""
        if not self.grouped():
            return None
        reports = self.tracker.reports
        heard = [
            n for n in self.direct() if n in reports and reports[n].is_reachable(now)
        ]
        first = self._first([*heard, self.name])
        return first.index(self.name) if self.name in first else None

    def far_reporters(self):
        """Return the peers to which a reporter sends the sum of its data centre."""
        by_data_centre = {}
        for name, peer in self.membership.peers.items():
            if peer.data_centre != self.data_centre and peer.peer_address:
                by_data_centre.setdefault(peer.data_centre, []).append(name)
        return [
            self.membership.peers[name]
            for names in by_data_centre.values()
            for name in self._first(names)
        ]

    def alive(self, now):
        """Return the live peers by name.

        A VM without power disappears from the store only when its lease ends; its
        messages stop at once. Of those that don't tell this VM directly only the
        store knows. With all others silent the cause is more likely this VM's own
        network, so then only the store's list counts.
        """
        registered = dict(self.membership.peers)
        registered.pop(self.name, None)
        heard = {
            name
            for name, report in self.tracker.reports.items()
            if report.is_reachable(now) and not report.leaving
        }
        known = self.membership.lapsed | registered
        alive = {name: peer for name, peer in known.items() if name in heard}
        if not alive:
            return registered
        if not self.grouped():
            return alive
        direct = self.direct()
        others = {n: p for n, p in registered.items() if n not in direct}
        return alive | others
