"""Hands the leader lease over when the leader has lost its links to the engines."""

import asyncio
import time

import attrs
from loguru import logger

#: Seconds for which the links must be lost: a handover takes several store calls, and
#: the successor waits for the duration of a lease before its first order.
LOST_SECONDS = 1.0
#: Seconds between two checks.
CHECK_INTERVAL_SECONDS = 0.25


@attrs.define
class LeaderHandover:
    """The task that gives up the leader lease of a VM that can't give orders.

    :param fleet: the :class:`~mulberrydock.fleet_view.FleetView`.
    :param groups: the :class:`~mulberrydock.peer_groups.PeerGroups`, which know whether
        another VM has links.
    :param lease: the :class:`~mulberrydock.lease.LeaderLease`.
    """

    fleet: object
    groups: object
    lease: object

    def lost_pools(self, now):
        """Return the engine pools to which only other VMs have links."""
        config = self.fleet.routes.config
        if config is None:
            return []
        return [
            service
            for service, since in self.fleet.links.lost_since.items()
            if now - since >= LOST_SECONDS
            and service in config.services
            and config.services[service].is_engine_pool
            and self.groups.forwarders(service, now)
        ]

    async def step(self, now):
        """Give the lease up if this VM holds it and can't give orders."""
        if not self.lease.authority.token:
            return
        pools = self.lost_pools(now)
        if pools:
            token = self.lease.authority.token
            logger.warning("leader without links", services=pools, token=token)
            await self.lease.release()

    async def run(self):
        """Check until cancelled."""
        while True:
            await self.step(time.monotonic())
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
