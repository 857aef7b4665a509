"""Sends stage orders to engines, from one entry VM at a time.

The holder of the leader lease sends them, with the lease's fencing token. A new
leader first waits for the duration of a lease: orders that its predecessor sent
while it held the lease have arrived by then.
"""

import asyncio
import time

import attrs
from loguru import logger

from . import stages
from .clock import boot_seconds
from .incarnation_check import CheckOutcome, compare_starts
from .stages import StagePlanner

#: Seconds between two passes over the pools.
POLL_INTERVAL_SECONDS = 0.25
#: Timeout of a call to an engine; an engine answers an order before it carries it out.
ORDER_TIMEOUT_SECONDS = 1.0
#: Seconds for which an engine is cordoned after a stage order; it is unavailable for
#: about 3 s after a stage change.
STAGE_CHANGE_SECONDS = 3.5


@attrs.define
class StageController:
    """The planner of stage changes, which orders them while this VM is the leader.

    :param fleet: the :class:`~mulberrydock.fleet_view.FleetView`.
    :param relay: the :class:`~mulberrydock.relay.Relay` that makes the calls.
    :param wire: encodes the calls and decodes the reports.
    :param lease: a :class:`~mulberrydock.lease.LeaderLease`.
    :param name: this VM's name, sent with each order.
    :param takeover_wait_seconds: how long a new leader waits before its first order.
    """

    fleet: object
    relay: object
    wire: object
    lease: object
    name: str
    takeover_wait_seconds: float
    planners: dict = attrs.field(factory=dict)

    def may_order(self, now):
        """Return whether this VM may send orders, as leader after the initial wait.

        :param now: seconds since boot, see :func:`~mulberrydock.clock.boot_seconds`.
        """
        authority = self.lease.authority
        waited = now - authority.acquired_at >= self.takeover_wait_seconds
        return self.lease.valid(now) and waited

    async def run(self):
        """Make a pass over the pools at each interval, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            await self.run_pass(time.monotonic())

    async def run_pass(self, now):
        """Order the changes that each pool needs if this VM is the leader.

        The other VMs plan as well: they track for how long a pool has been out of
        balance, so that a new leader needn't start with a fresh count.
        """
        config = self.fleet.routes.config
        if config is None or self.fleet.instances.records_incomplete(now):
            # Records that expired in a store outage may be written again any moment.
            return
        for service in config.services.values():
            if service.is_engine_pool:
                await self._order_changes(service, now)

    async def _order_changes(self, service, now):
        """Order the changes that one pool may have at once.

        The orders go out together, so that the engines of a large pool are
        unavailable at the same time and write their records at the same time: each
        change of a record completes the poll of every VM's watch, but changes in quick
        succession come in one response.
        """
        planner = self.planners.setdefault(service.name, StagePlanner())
        engines = self.fleet.instances.serving(service.name)
        leaving = self.fleet.instances.any_leaving(service.name)
        loads = self.fleet.loads.total(now)
        needs = self.fleet.stage_needs(service, now)
        permits = self.fleet.backoffs.permits
        paused = {engine.id for engine in engines if not permits(engine.id, now)}
        while True:
            change = planner.decide(engines, leaving, loads, needs, now, paused)
            if change is None or not self.may_order(boot_seconds()):
                return
            settle = await self.order(change, needs, now)
            if settle:
                planner.record_order(change, settle, time.monotonic())
            if settle != stages.ORDER_SETTLE_SECONDS:
                # The order wasn't accepted: the state may be outdated, so plan again
                # in the next pass.
                return

    async def order(self, change, needs, now):
        """Send one order; return for how many seconds it may be in progress."""
        instance = change.instance
        call = self.wire.report_call(instance.record)
        response = await self.relay.call(instance, call, ORDER_TIMEOUT_SECONDS)
        report = self.relay.read_report(instance, response)
        if report is None:
            return stages.REFUSED_SETTLE_SECONDS
        if compare_starts(instance.record, report) is CheckOutcome.RESTARTED:
            # The decision was based on the state of the former incarnation.
            self.fleet.instances.mark_restarted(instance, report.started_at_ms)
            return stages.REFUSED_SETTLE_SECONDS
        if report.leaving:
            self.fleet.instances.mark_leaving(instance.id, "report", now)
            return stages.REFUSED_SETTLE_SECONDS
        if report.busy:
            return stages.ORDER_SETTLE_SECONDS
        # Check the lease again right before sending.
        if not self.may_order(boot_seconds()):
            return 0.0
        token = self.lease.authority.token
        self.fleet.loads.cordon(instance.id, now + STAGE_CHANGE_SECONDS)
        call = self.wire.stage_order_call(
            instance.record, change.stage.value, report.orders, self.name, token
        )
        response = await self.relay.call(instance, call, ORDER_TIMEOUT_SECONDS)
        status = response.status if response else None
        logger.info(
            "order",
            instance=instance.id,
            stage=change.stage.value,
            reading=needs and round(needs.prefill_demand, 2),
            decoding=needs and round(needs.decode_demand, 2),
            token=token,
            orders=report.orders,
            status=status,
        )
        return await self._settle_seconds(instance, token, status, now)

    async def _settle_seconds(self, instance, token, status, now):
        if status is None:
            return stages.UNANSWERED_SETTLE_SECONDS
        if status in (200, 202, 409):
            # 409: another order has been accepted before, perhaps this VM's own
            # whose response was lost.
            return stages.ORDER_SETTLE_SECONDS
        self.fleet.loads.cordon(instance.id, now)
        if status == 412:
            # Another leader has a newer token: this one must not be used again.
            logger.warning("order refused as stale", token=token)
            await self.lease.release()
        return stages.REFUSED_SETTLE_SECONDS
