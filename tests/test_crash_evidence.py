"""Which cuts of a connection count as a crash under its request, without a network.

A cut alone shows no crash: counted as one, it would quarantine harmless work.
"""

import asyncio
import time

import attrs
import pytest

from mulberrydock.exceptions import ConnectionCut, UpstreamError
from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import Instance, InstanceRecord
from mulberrydock.metrics import ServeMetrics
from mulberrydock.placement import Plan
from mulberrydock.prefill import PrefillCall
from mulberrydock.relay import Relay
from mulberrydock.request import Request


@attrs.define
class Probe:
    """Returns after a moment whether an instance has crashed."""

    result: bool | None

    async def has_crashed(self, instance):
        await asyncio.sleep(0.01)
        return self.result


def relay_with(probe_result):
    fleet = FleetView("dc1", None, lambda: 1, lambda instance_id: None)
    relay = Relay(fleet, None, ServeMetrics())
    relay.crash_probe = Probe(probe_result)
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
        # It doesn't respond, perhaps as this VM is cut off from it.
        (None, False, False, 0),
        (None, False, True, 1),
        # It was leaving, and terminated.
        (True, True, True, 0),
    ],
)
def test_cut_counts_as_a_crash_only_if_the_instance_terminated(
    answer, leaving, gone_later, crashes
):
    relay, instance, work = relay_with(answer), engine(leaving), request().fingerprint
    asyncio.run(relay.probe_after_cut(request(), instance))
    quarantine = relay.fleet.quarantine
    if gone_later:
        quarantine.record_termination(instance.id, time.monotonic())
    assert quarantine.count(work) == crashes


def test_crash_is_recorded_when_the_client_leaves_during_the_probe():
    """An engine crashes under a request whose client leaves while the probe still runs.

    The crash must be recorded, as the client sends the same request again later.
    """

    async def run():
        task = asyncio.ensure_future(relay.probe_after_cut(request(), engine()))
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
        # Queued behind other prompts: the engine hadn't begun to prefill it.
        (5000, ConnectionCut("cut"), 0),
        (0, UpstreamError("no answer"), 0),
    ],
)
def test_queued_prompt_is_not_blamed_for_a_crash(queued, error, crashes):
    relay = relay_with(True)
    plan = Plan(engine(), engine(), queued_work=queued)
    asyncio.run(PrefillCall(relay, request(), "llm", plan)._record_failure(error))
    assert relay.fleet.quarantine.count(request().fingerprint) == crashes
