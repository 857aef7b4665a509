"""The task that gives stage orders to engines, on one entry VM at a time.

The holder of the leader lease gives them, with the lease's fencing token. A
new holder first waits as long as a lease lasts: an order that its predecessor
sent while it still held the lease has arrived by then.
"""

import asyncio
import time

import attrs
from loguru import logger

from . import stages
from .clock import boot_seconds
from .exceptions import UpstreamError
from .stages import StagePlanner

#: Seconds between two looks at the pools.
LOOK_SECONDS = 0.25
#: Seconds for an engine's answer to an order; it answers before it acts.
ORDER_SECONDS = 1.0
#: Seconds for which an engine under change gets no new work beyond the answer
#: to its order; the users' engines are dark for 3 s.
CHANGE_SECONDS = 3.5


def _started_again(record, report):
    """True when an engine reports another start than its record does."""
    if record.started_at_ms is None or report.started_at_ms is None:
        return False
    return report.started_at_ms > record.started_at_ms


@attrs.define
class StageController:
    """Plans and orders stage changes while this VM holds the lease.

    :param lease: a :class:`~mulberrydock.lease.LeaderLease`.
    :param quiet_seconds: how long a new holder waits before its first order.
    """

    fleet: object
    relay: object
    wire: object
    lease: object
    name: str
    quiet_seconds: float
    planners: dict = attrs.field(factory=dict)

    def may_order(self, now):
        """True while the lease holds and its predecessor's orders are over.

        :param now: seconds since boot, see :func:`~mulberrydock.clock.boot_seconds`.
        """
        authority = self.lease.authority
        waited = now - authority.acquired_at >= self.quiet_seconds
        return self.lease.valid(now) and waited

    async def run(self):
        """Look at the pools for ever."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            await self.look(time.monotonic())

    async def look(self, now):
        """Order the changes that each pool needs, if this VM is the holder.

        Every VM follows for how long a pool has been out of balance, so that a
        new holder need not wait anew.
        """
        config = self.fleet.routes.config
        if config is None or self.fleet.instances.unsettled(now):
            # Records that lapsed with the store may be back in a moment.
            return
        for service in config.services.values():
            if service.is_engine_pool:
                await self._look_at(service, now)

    async def _look_at(self, service, now):
        """Order the changes that one pool may bear at once.

        Given together, the engines of a large pool are dark together and write
        their records together: each change of a record wakes every VM's watch.
        """
        planner = self.planners.setdefault(service.name, StagePlanner())
        engines = self.fleet.instances.serving(service.name)
        leaving = self.fleet.instances.any_leaving(service.name)
        loads = self.fleet.loads.total(now)
        needs = self.fleet.stage_needs(service, now)
        while True:
            change = planner.decide(engines, leaving, loads, needs, now)
            if change is None or not self.may_order(boot_seconds()):
                return
            settle = await self.order(change, needs, now)
            if settle:
                planner.record_order(change, settle, time.monotonic())
            if settle != stages.ORDER_SETTLE_SECONDS:
                # It wasn't accepted: what is known may be old, look again.
                return

    async def order(self, change, needs, now):
        """Send one order; return for how many seconds it may be at work."""
        instance = change.instance
        call = self.wire.report_call(instance.record)
        report = await self.relay.call(instance, call, ORDER_SECONDS)
        if report is None or report.status != 200:
            return stages.REFUSED_SETTLE_SECONDS
        try:
            report = self.wire.read_report(report.body)
        except UpstreamError as error:
            logger.warning("report refused", instance=instance.id, error=str(error))
            return stages.REFUSED_SETTLE_SECONDS
        if _started_again(instance.record, report):
            # The decision rests on what the former incarnation was.
            self.fleet.instances.restarted(instance, report.started_at_ms)
            return stages.REFUSED_SETTLE_SECONDS
        if report.busy:
            return stages.ORDER_SETTLE_SECONDS
        # The lease is checked at the moment of sending.
        if not self.may_order(boot_seconds()):
            return 0.0
        token = self.lease.authority.token
        self.fleet.loads.cordon(instance.id, now + CHANGE_SECONDS)
        call = self.wire.stage_order_call(
            instance.record, change.stage.value, report.orders, self.name, token
        )
        answer = await self.relay.call(instance, call, ORDER_SECONDS)
        status = answer.status if answer else None
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
        return await self._settle(instance, token, status, now)

    async def _settle(self, instance, token, status, now):
        if status is None:
            return stages.UNANSWERED_SETTLE_SECONDS
        if status in (200, 202, 409):
            # With 409 an earlier order, ours without an answer perhaps, is
            # being carried out or has been.
            return stages.ORDER_SETTLE_SECONDS
        self.fleet.loads.cordon(instance.id, now)
        if status == 412:
            # Another holder has a newer token: this one must never be used
            # again.
            logger.warning("order refused as stale", token=token)
            await self.lease.release()
        return stages.REFUSED_SETTLE_SECONDS
