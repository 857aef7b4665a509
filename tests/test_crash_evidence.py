"""Which cuts count as a crash under the request that was there, without a network."""

import asyncio
import time

import attrs
import pytest

from mulberrydock.exceptions import ConnectionCut, UpstreamError
from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import Instance, InstanceRecord
from mulberrydock.metrics import ServeMetrics
from mulberrydock.placement import Plan
from mulberrydock.prefill import Prefill
from mulberrydock.relay import Relay
from mulberrydock.request import Request


@attrs.define
class Probe:
    """Says after a moment whether an instance has crashed."""

    answer: bool | None

    async def crashed(self, instance):
        await asyncio.sleep(0.01)
        return self.answer


def relay_with(answer):
    fleet = FleetView("dc1", None, lambda: 1, lambda instance_id: None)
    relay = Relay(fleet, None, ServeMetrics())
    relay.probe = Probe(answer)
    return relay


def engine(leaving=False):
    record = InstanceRecord(
        "e1", "llm", "10.0.0.1:80", "dc1", 4, False, started_at_ms=1
    )
    return Instance(record, leaving)


def request():
    return Request("r1", "POST", "/x", "a.example", [], b"body", 0.0, 1.0)


@pytest.mark.parametrize(
    "answer, leaving, gone_later, crashes",
    [
        (True, False, False, 1),
        # It accepts connections: only this one was cut.
        (False, False, True, 0),
        # It doesn't say, as this VM is cut off from it perhaps.
        (None, False, False, 0),
        (None, False, True, 1),
        # It was about to end, and ended.
        (True, True, True, 0),
    ],
)
def test_what_a_cut_shows(answer, leaving, gone_later, crashes):
    relay, instance, work = relay_with(answer), engine(leaving), request().fingerprint
    asyncio.run(relay.examine(request(), instance))
    book = relay.fleet.quarantine
    if gone_later:
        book.record_termination(instance.id, time.monotonic())
    assert book.count(work) == crashes


def test_client_that_leaves_at_the_crash_hides_nothing():
    """An engine ends under a request, and in the milliseconds in which its VM looks
    whether it is still there the client gives up. It sends the same again later."""

    async def run():
        task = asyncio.ensure_future(relay.examine(request(), engine()))
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.sleep(0.05)

    relay = relay_with(True)
    asyncio.run(run())
    assert relay.fleet.quarantine.count(request().fingerprint) == 1


@pytest.mark.parametrize(
    "queued, error, crashes",
    [
        (0, ConnectionCut("cut"), 1),
        # It waited behind other prompts: the engine hadn't begun to read it.
        (5000, ConnectionCut("cut"), 0),
        (0, UpstreamError("no answer"), 0),
    ],
)
def test_prompt_that_waits_is_not_blamed(queued, error, crashes):
    relay = relay_with(True)
    plan = Plan(engine(), engine(), queued=queued)
    asyncio.run(Prefill(relay, request(), "llm", plan)._failed(error))
    assert relay.fleet.quarantine.count(request().fingerprint) == crashes
