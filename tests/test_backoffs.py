"""Pauses that instances ask this VM for: how they are read, kept and respected."""

import asyncio
import math
import random

import attrs
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


# Guards against calls in a pause that an instance asked for after its restart, before
# the VM had read its new record or found the restart out.
@pytest.mark.parametrize("found_out", [False, True])
def test_pause_outlasts_the_record_of_the_former_incarnation(found_out):
    fleet = FleetView("dc1", None, lambda: 1, lambda instance_id: None)
    fleet.instances.put(RECORD, 0.0)
    (former,) = fleet.instances.serving("llm")
    refusal = ResponseMetadata("", "", False, True, None, False, retry_after=3.0)
    fleet.record_response(former, 503, refusal, 1.0)
    if found_out:
        fleet.instances.mark_restarted(former, 6)
    fleet.instances.put(attrs.evolve(RECORD, started_at_ms=6), 2.0)
    (instance,) = fleet.instances.serving("llm")
    assert instance is not former
    with pytest.raises(CallWithheld):
        fleet.check_send(instance, 3.9)
    assert fleet.avoided(3.9) == {instance.id}
    fleet.check_send(instance, 4.0)


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


#: Engines of a pool, how many of them refuse everything, and what they ask for.
ENGINES, REFUSING, PAUSE_SECONDS = 16, 6, 3.0
#: Requests a second of one VM, duration of the load, and the pause between two looks.
REQUESTS_PER_SECOND, LOAD_SECONDS, STEP_SECONDS = 3, 9.0, 0.05
#: Sends to a second engine that the platform allows for each request.
RETRY_BUDGET_RATIO = 0.2


def refused_share(fleet, rng):
    """Return the share of the requests that an engine refuses at the first attempt."""
    views = {}
    for name, vm in fleet.vms.items():
        views[name] = FleetView("dc1", None, lambda: 1, lambda instance_id: None)
        vm.link.suspects = views[name].avoided
    sent = refused = 0
    while fleet.now < LOAD_SECONDS:
        fleet.run(STEP_SECONDS)
        for name, vm in fleet.vms.items():
            if rng.random() >= REQUESTS_PER_SECOND * STEP_SECONDS:
                continue
            permits = views[name].backoffs.permits
            engines = [e for e in range(ENGINES) if permits(f"e{e}", fleet.now)]
            avoided = vm.tracker.suspected_by_peers(fleet.now)
            engine = rng.choice([e for e in engines if f"e{e}" not in avoided])
            sent += 1
            if engine < REFUSING:
                refused += 1
                views[name].backoffs.record(f"e{engine}", PAUSE_SECONDS, fleet.now)
    return refused / sent


@pytest.mark.parametrize(
    "sizes",
    [{"dc1": 3, "dc2": 3, "dc3": 2}, {f"dc{n}": 39 for n in range(1, 6)}],
    ids=["8 VMs", "195 VMs"],
)
# Guards against a fleet in which each VM has to be refused by each overloaded engine in
# each pause: the second attempts exceed the retry budget.
def test_refusals_stay_within_the_retry_budget_of_a_fleet(peer_fleet, sizes):
    share = refused_share(peer_fleet(**sizes), random.Random(1))
    assert share <= RETRY_BUDGET_RATIO


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
