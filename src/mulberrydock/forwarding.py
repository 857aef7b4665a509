"""Forwards requests to a peer while this VM has no links to the instances.

A VM may lose its links to all instances while clients still reach it and the other VMs
reach the instances. Its requests then go through one of these: at most one hop, as a
VM never forwards what was forwarded to it.
"""

import collections

import attrs

from .connections import ConnectionPool
from .forward_messages import FORWARD_PATH, SIGNATURE_HEADER, sign
from .rendezvous import rank

#: Maximum number of connections to one peer.
MAX_CONNECTIONS = 256
#: Seconds for which a peer that didn't take a request gets none for the same service:
#: its next messages tell whether it has lost its links as well.
AVOID_SECONDS = 1.0
#: Requests in flight by which a peer in this VM's data centre may be busier than one in
#: another data centre: traffic between data centres is billed.
LOCAL_PREFERENCE = 4
#: Maximum number of peers that are asked to take one request.
MAX_REFUSALS = 3


@attrs.define(frozen=True)
class ForwardPlan:
    """The peer that serves one attempt; ``prefill`` is None as in a plan in place."""

    name: str
    peer: object
    prefill: object = None

    @property
    def destination(self):
        """The name of the peer, for the log."""
        return self.name


@attrs.define(eq=False)
class Forwarding:
    """The peers to which this VM forwards requests.

    Methods take the current time as ``now``, in monotonic seconds.

    :param groups: the :class:`~mulberrydock.peer_groups.PeerGroups`.

    ``in_flight`` counts the requests at each peer, ``avoided_until`` maps (peer,
    service) to until when the peer gets no requests.
    """

    groups: object
    in_flight: collections.Counter = attrs.field(factory=collections.Counter)
    avoided_until: dict = attrs.field(factory=dict)
    pools: dict = attrs.field(factory=dict)

    @property
    def name(self):
        """This VM's name."""
        return self.groups.name

    def choose(self, service, request_id, refused, now):
        """Return the :class:`ForwardPlan` of a request, None if no peer can take it.

        :param refused: names of the peers that have refused this request.
        """
        if len(refused) >= MAX_REFUSALS:
            return None
        peers = {
            name: peer
            for name, peer in self.groups.forwarders(service, now).items()
            if name not in refused
            and self.avoided_until.get((name, service), now) <= now
        }
        if not peers:
            return None
        name = min(
            peers,
            key=lambda name: (self._cost(name, peers[name]), rank(request_id, name)),
        )
        return ForwardPlan(name, peers[name])

    def _cost(self, name, peer):
        """Return the requests in flight at a peer, more for a distant one."""
        report = self.groups.tracker.reports.get(name)
        running = sum(load.running for load in report.loads.values()) if report else 0
        local = peer.data_centre == self.groups.data_centre
        return max(running, self.in_flight[name]) + (0 if local else LOCAL_PREFERENCE)

    def avoid(self, name, service, now):
        """Forward nothing for ``service`` to a peer for a while."""
        self.avoided_until = {
            key: until for key, until in self.avoided_until.items() if until > now
        }
        self.avoided_until[name, service] = now + AVOID_SECONDS

    def silent_at(self, name):
        """Return when a peer counts as unreachable unless another message arrives.

        :returns: monotonic seconds, None for a peer that doesn't send to this VM.
        """
        report = self.groups.tracker.reports.get(name)
        if report is None or name not in self.groups.direct_peers():
            return None
        return report.unreachable_at

    async def exchange(self, plan, data, listener):
        """Send an encoded request to the peer of ``plan``.

        :raises UpstreamError: as :meth:`ConnectionPool.exchange` does.
        """
        address = plan.peer.peer_address
        pool = self.pools.get(plan.name)
        if pool is None or pool.address != address:
            if pool is not None:
                pool.close()
            pool = ConnectionPool(address, MAX_CONNECTIONS)
            self.pools[plan.name] = pool
        headers = {
            "Host": address,
            "Content-Length": str(len(data)),
            SIGNATURE_HEADER: sign(plan.peer.forward_key, data),
        }
        self.in_flight[plan.name] += 1
        try:
            await pool.exchange("POST", FORWARD_PATH, headers, data, listener)
        finally:
            self.in_flight[plan.name] -= 1
