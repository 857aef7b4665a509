"""Pauses that instances ask this VM for: how they are read, kept and respected."""

import asyncio
import math

import pytest
import tornado.httputil
from hypothesis import given
from hypothesis import strategies as st
from test_stages import pool

from mulberrydock.backoffs import MAX_PAUSE_SECONDS, Backoffs
from mulberrydock.connections import BufferedResponse, ConnectionPool
from mulberrydock.exceptions import CallWithheld, ResultCode
from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import InstanceRecord, Stage
from mulberrydock.platform import PlatformWire, wire
from mulberrydock.request import ResponseMetadata
from mulberrydock.stages import ANNOUNCED_LEAVE_SECONDS, StageNeeds, StagePlanner

RECORD = InstanceRecord("e1", "llm", "10.0.0.1:80", "dc1", 64, False, Stage.DECODE, 5)
PAUSES = st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 20.0))


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("3", 3.0),
        ("0.25", 0.25),
        (" 2 ", 2.0),
        ("0", 0.0),
        ("3, 5", 5.0),
        ("1e999", math.inf),
        ("-1", None),
        ("nan", None),
        ("", None),
        ("soon", None),
        ("Fri, 31 Dec 1999 23:59:59 GMT", None),
    ],
)
# Guards against a response that fails its request because its pause can't be read.
def test_pause_of_a_response(text, seconds):
    headers = tornado.httputil.HTTPHeaders({wire.RETRY_AFTER: text})
    assert PlatformWire().read_metadata(headers).retry_after == seconds


@pytest.mark.parametrize(
    ("text", "leaving"), [("1", True), ("0", False), ("", False), ("1,1", True)]
)
# Guards against an engine taken for a leaving one because it states that it isn't.
def test_leave_of_a_response(text, leaving):
    headers = tornado.httputil.HTTPHeaders({wire.SERVER_LEAVING: text})
    assert PlatformWire().read_metadata(headers).leaving is leaving


# Guards against a pause that ends early: a call that was in progress is refused with a
# shorter one, or the record of the instance is lost.
@given(st.lists(PAUSES, min_size=1))
def test_instance_is_not_called_before_its_longest_pause_ends(refusals):
    fleet = FleetView("dc1", None, lambda: 1, lambda instance_id: None)
    fleet.instances.put(RECORD, 0.0)
    (instance,) = fleet.instances.serving("llm")
    now, end = 0.0, 0.0
    for after, seconds in refusals:
        now += after
        fleet.backoffs.record(instance.id, seconds, now)
        end = max(end, now + seconds)
        fleet.forget(instance.id)
    assert fleet.backoffs.permits(instance.id, now) is (end <= now)
    assert fleet.backoffs.permits(instance.id, end + 0.001)


# Guards against an instance that is excluded for ever by one wrong value.
def test_pause_is_bounded():
    backoffs = Backoffs()
    backoffs.record("e1", math.inf, 0.0)
    assert not backoffs.permits("e1", MAX_PAUSE_SECONDS - 1)
    assert backoffs.permits("e1", MAX_PAUSE_SECONDS)


@pytest.mark.parametrize(
    ("status", "retry_after", "paused"),
    [(503, 3.0, True), (429, 3.0, True), (200, 3.0, False), (503, None, False)],
)
# Guards against a pause that is read from a response that refuses nothing.
def test_only_a_refusal_asks_for_a_pause(status, retry_after, paused):
    fleet = FleetView("dc1", None, lambda: 1, lambda instance_id: None)
    fleet.instances.put(RECORD, 0.0)
    (instance,) = fleet.instances.serving("llm")
    metadata = ResponseMetadata(
        "r1", "", False, status != 200, None, False, retry_after=retry_after
    )
    fleet.record_response(instance, status, metadata, 1.0)
    assert fleet.backoffs.permits(instance.id, 2.0) is not paused
    assert fleet.is_held_back("llm", 2.0) is paused
    assert fleet.pause_seconds("llm", 2.0) == (2.0 if paused else 0.0)


# Guards against memory that grows with every instance that ever asked for a pause.
def test_ended_pauses_are_forgotten():
    backoffs = Backoffs()
    for number in range(1000):
        backoffs.record(f"e{number}", 1.0, float(number))
    assert len(backoffs.ends) <= 2


# Guards against a request that is sent after the refusal of another one, because its
# connection was being made meanwhile.
def test_call_is_checked_when_its_connection_is_ready():
    received = []

    async def serve(reader, writer):
        received.append(await reader.read(1))
        writer.close()

    async def call():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connections = ConnectionPool(f"127.0.0.1:{port}")

        def check():
            raise CallWithheld("e1 asked for a pause")

        with pytest.raises(CallWithheld) as error:
            await connections.exchange(
                "GET", "/", {}, b"", BufferedResponse(), check_send=check
            )
        assert error.value.code is ResultCode.NOT_RUN
        await asyncio.sleep(0.05)
        server.close()
        return connections.open

    assert asyncio.run(call()) == 0
    assert b"".join(received) == b""


@pytest.mark.parametrize(
    ("paused", "chosen"), [(set(), "e0"), ({"e0"}, "e1"), ({"e0", "e1", "e2"}, None)]
)
# Guards against a stage order to an engine that accepts no calls, and against counting
# that engine as lost.
def test_stage_order_goes_to_an_engine_that_accepts_calls(paused, chosen):
    engines = pool(*[Stage.PREFILL] * 3, Stage.DECODE, Stage.DECODE)
    needs, planner = StageNeeds(1.0, 2.5), StagePlanner()
    planner.decide(engines, True, {}, needs, 0.0, paused)
    now = ANNOUNCED_LEAVE_SECONDS + 0.1
    change = planner.decide(engines, True, {}, needs, now, paused)
    assert (change and change.instance.id) == chosen
