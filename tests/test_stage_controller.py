"""How the leader sends its stage orders, to engines that answer at once."""

import asyncio

import attrs
import pytest
from test_budget import TIMING

from mulberrydock.clock import boot_seconds
from mulberrydock.engine_report import EngineReport
from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import InstanceRecord, Stage
from mulberrydock.lease import Authority, LeaderLease
from mulberrydock.request import RoutingConfig, ServiceSpec
from mulberrydock.stage_controller import StageController
from mulberrydock.stages import PREFILL_SHORTAGE_SECONDS, idle_prefills


@attrs.define
class Response:
    """An engine's response to a call."""

    status: int
    body: str = ""


@attrs.define
class Engines:
    """Stands in for wire, relay and store; ``status`` is the response to each order.

    ``leaving`` is what the engines' reports state.
    """

    status: int
    leaving: bool = False
    ordered: list = attrs.field(factory=list)

    def report_call(self, record):
        return "report"

    def read_report(self, instance, response):
        return EngineReport(Stage.DECODE, False, 0, leaving=self.leaving)

    def stage_order_call(self, record, stage, orders, holder, token):
        return (record.id, stage)

    async def revoke(self, lease):
        """Stands in for the store's call that revokes the lease."""

    async def call(self, instance, call, seconds):
        if call == "report":
            return Response(200)
        self.ordered.append(call)
        return Response(self.status) if self.status else None


def controller_over(engines, decoders):
    """Return the controller of a leader that may send orders, with an idle pool."""
    fleet = FleetView("dc1", TIMING, lambda: 1, lambda instance: None)
    fleet.routes.accept(
        RoutingConfig(1, (), {"llm": ServiceSpec("llm", 100, 1000)}, None)
    )
    for number in range(decoders):
        name = f"e{number:02}"
        record = InstanceRecord(name, "llm", "h:1", "dc1", 12, False, Stage.DECODE)
        fleet.instances.put(record, 0.0)
    lease = LeaderLease(engines, "entry-1", 1000.0, clock=boot_seconds)
    lease.authority = Authority(1, 7, boot_seconds(), boot_seconds() - 10)
    return StageController(fleet, engines, engines, lease, "entry-1", 1.0)


@pytest.mark.parametrize(
    ("status", "at_once"),
    # Accepted; response lost; refused as the token is stale.
    [(202, 10), (None, 1), (412, 1)],
)
def test_changes_of_a_large_pool_are_ordered_together(status, at_once):
    """Guards against orders one at a time: for an idle pool of 40 engines, which lacks
    20 prefill engines, they take 5 s, and each change completes the poll of every VM's
    watch. A quarter of the pool is ordered at once, until one isn't accepted."""
    engines = Engines(status)
    controller = controller_over(engines, 40)
    assert idle_prefills(40, 12) == 20
    asyncio.run(controller.run_pass(10.0))
    asyncio.run(controller.run_pass(10.0 + PREFILL_SHORTAGE_SECONDS))
    assert len(engines.ordered) == at_once
    assert len(set(engines.ordered)) == at_once


# Guards against a stage order, and further requests, for an engine whose report states
# that it leaves while its record doesn't.
def test_engine_that_reports_its_leave_is_not_ordered():
    engines = Engines(202, leaving=True)
    controller = controller_over(engines, 40)
    asyncio.run(controller.run_pass(10.0))
    asyncio.run(controller.run_pass(10.0 + PREFILL_SHORTAGE_SECONDS))
    assert engines.ordered == []
    assert len(controller.fleet.instances.serving("llm")) == 39
