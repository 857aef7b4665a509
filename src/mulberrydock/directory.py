"""Which entry VMs clients should use, and whether this one is ready."""

import attrs

from .membership import Membership

#: Addresses in one answer; clients read no more.
ADDRESSES_MAX = 64


@attrs.define
class Directory:
    """Builds the answer to clients that ask where to connect.

    A VM without power disappears from the store only when its lease ends; its
    messages stop at once. With all peers silent the cause is more likely this
    VM's own network, so then only the store's list counts.
    """

    membership: Membership
    book: object
    own_address: str

    def addresses(self, draining, now):
        """Return front addresses of live VMs that aren't leaving."""
        registered = dict(self.membership.peers)
        registered.pop(self.membership.entry.name, None)
        heard = {
            name
            for name, report in self.book.reports.items()
            if report.heard(now) and not report.leaving
        }
        known = self.membership.lapsed | registered
        alive = [peer for name, peer in known.items() if name in heard]
        if not alive:
            alive = list(registered.values())
        addresses = [peer.address for peer in alive]
        if not draining or not addresses:
            addresses.append(self.own_address)
        return sorted(addresses)[:ADDRESSES_MAX]
