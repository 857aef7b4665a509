"""Orders the engines that each pool needs, from one VM at a time."""

import asyncio
import collections
import time

import attrs
from loguru import logger

from .clock import boot_seconds
from .platform import DutyOutcome
from .scaling import OrderBook, PoolScaler

#: Seconds between two passes over the pools.
POLL_INTERVAL_SECONDS = 0.5


def _log_lost(service, lost, signs):
    logger.info(
        "reclaimable engines lost" if lost else "reclaimable engines back",
        service=service,
        data_centres=sorted(lost),
        leaving=sorted(signs.leaving),
        refused=sorted(signs.refused),
        starting=signs.starting,
    )


@attrs.define
class ScaleController:
    """Decides the engines of each pool, and orders them while this VM is the leader.

    :param fleet: the :class:`~mulberrydock.fleet_view.FleetView`.
    :param platform: a :class:`~mulberrydock.platform.PlatformDuties`.
    :param lease: a :class:`~mulberrydock.lease.LeaderLease`.
    :param name: this VM's name, stated in each order.
    :param clock: returns the seconds since boot.
    """

    fleet: object
    platform: object
    lease: object
    name: str
    clock: object = boot_seconds
    scalers: dict = attrs.field(factory=dict)
    book: OrderBook = attrs.field(factory=OrderBook)

    async def run_pass(self, now):
        """Decide for each pool, and send the orders that are due.

        The other VMs decide as well, so that a new leader knows the past demand.
        """
        config = self.fleet.routes.config
        if config is None or self.fleet.instances.records_incomplete(now):
            return
        may_act = self.lease.may_act(self.clock())
        if not may_act:
            self.book.forget()
        for service in config.services.values():
            if service.autoscale is None:
                continue
            scaler = self.scalers.setdefault(service.name, PoolScaler())
            engines = self.fleet.instances.serving(service.name)
            needs = self.fleet.stage_needs(service, now)
            signs = self._reclaim_signs(service, engines, scaler.lost, now)
            known_lost = scaler.lost
            orders = scaler.decide(
                service.name, service.autoscale, engines, needs, now, signs
            )
            if scaler.lost != known_lost:
                _log_lost(service.name, scaler.lost, signs)
            self.book.forget_lost(service.name, scaler.lost - known_lost)
            if may_act:
                await self._send_due(orders, service.autoscale, engines, needs, now)

    def _reclaim_signs(self, service, engines, lost, now):
        """Return the :class:`~mulberrydock.reclaims.ReclaimSigns` of a pool."""
        present = collections.Counter(
            e.record.data_centre for e in engines if e.record.reclaimable
        )
        leaving = {
            e.record.data_centre
            for e in self.fleet.instances.leaving(service.name)
            if e.record.reclaimable
        }
        boot_seconds = service.autoscale.boot_seconds
        return self.book.reclaim_signs(
            service.name, present, leaving, lost, boot_seconds, now
        )

    async def _send_due(self, orders, spec, engines, needs, now):
        present = collections.Counter(
            (e.record.service, e.record.data_centre, e.record.reclaimable)
            for e in engines
        )
        for order in orders:
            there = present[order.subject]
            if not self.book.is_due(order, there, spec.boot_seconds, now):
                continue
            if not self.lease.may_act(self.clock()):
                return
            token = self.lease.authority.token
            outcome = await self.platform.order_engines(self.name, token, order)
            confirmed = outcome in (DutyOutcome.ACCEPTED, DutyOutcome.INVALID)
            refused = outcome is DutyOutcome.REFUSED
            self.book.record(order, confirmed, now, refused)
            logger.info(
                "engines ordered",
                service=order.service,
                data_centre=order.data_centre,
                reclaimable=order.reclaimable,
                count=order.count,
                present=there,
                prefill=needs and round(needs.prefill_demand, 2),
                decode=needs and round(needs.decode_demand, 2),
                token=token,
                outcome=outcome.value,
            )

    async def run(self):
        """Make a pass at each interval, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            await self.run_pass(time.monotonic())
