"""The entry VMs that clients should use, and the order in which VMs become leader."""

import attrs

from .rendezvous import DUTY_ORDER, rank

#: Maximum number of addresses in a response; clients read no more.
MAX_ADDRESSES = 64
#: Minimum number of addresses in a response, if there are as many VMs. A client that
#: only knew a few VMs of its own data centre would know no other once those fail;
#: eight rarely fail together while the client keeps the response.
MIN_ADDRESSES = 8


@attrs.define
class Directory:
    """The addresses for clients that ask where to connect.

    Needed with hundreds of VMs in several data centres: a client gets those of its
    own data centre, so that its requests don't cross between data centres, which is
    paid for, and every VM gets its share of the clients, however many VMs there are.

    Methods take the current time as ``now``, in monotonic seconds.

    :param groups: the :class:`~mulberrydock.peer_groups.PeerGroups`, which knows the
        live peers.
    :param own_address: this VM's own front address.
    """

    groups: object
    own_address: str

    def addresses(self, draining, now, data_centre=""):
        """Return front addresses of live VMs that aren't leaving.

        VMs without links to the instances are left out while there are others.

        :param draining: whether this VM is draining; it is then left out if there is
            another one.
        :param data_centre: the client's data centre, empty if unknown.
        """
        name = self.groups.name
        rows = {
            peer_name: (peer.data_centre, peer.address)
            for peer_name, peer in self.groups.live_peers(now).items()
        }
        if not draining or not rows:
            rows[name] = (self.groups.data_centre, self.own_address)
        without_links = self.groups.without_links(now)
        with_links = [row for key, row in rows.items() if key not in without_links]
        rows = with_links or list(rows.values())
        # Where not all addresses fit, each VM answers with a different selection.
        rows.sort(key=lambda row: (row[0] != data_centre, rank(name, row[1])))
        local = sum(row[0] == data_centre for row in rows)
        count = (
            min(MAX_ADDRESSES, max(local, MIN_ADDRESSES)) if local else MAX_ADDRESSES
        )
        return sorted(address for _, address in rows[:count])

    def takeover_order(self, now):
        """Return the names of the live VMs in the order of acquiring the leader lease.

        VMs that know the same live peers agree on the order. VMs without links to the
        instances come last, as a leader gives orders to engines.
        """
        names = [*self.groups.live_peers(now), self.groups.name]
        without_links = self.groups.without_links(now)
        return sorted(
            names, key=lambda name: (name in without_links, rank(DUTY_ORDER, name))
        )

    def takeover_rank(self, now):
        """Return how many live VMs come before this one in :meth:`takeover_order`."""
        return self.takeover_order(now).index(self.groups.name)
