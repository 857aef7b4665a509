"""What a VM derives for a decision from its streams and engines; without network."""

import asyncio
import types

import attrs
import pytest
from test_budget import TIMING

from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import Instance, InstanceRecord
from mulberrydock.moves import MoveAll, Mover, StreamMove
from mulberrydock.moves.mover import Leave
from mulberrydock.placement import Pool
from mulberrydock.prefill_cost import PrefillCost
from mulberrydock.request import Prompt, Request, ServiceSpec
from mulberrydock.sse import EventSplitter


def make_mover():
    view = FleetView("dc1", TIMING, lambda: 1, lambda instance: None)
    return Mover(types.SimpleNamespace(fleet=view, wire=None))


def record(data_centre):
    return InstanceRecord("e", "llm", "127.0.0.1:1", data_centre, 4, False)


def make_stream(mover, prompt=Prompt(1000, 400), events=11, begun_at=0.0, name="r"):
    route = types.SimpleNamespace(gap_objective=0.15, resumable=False)
    lifecycle = types.SimpleNamespace(
        relay=types.SimpleNamespace(mover=mover),
        route=route,
        service="llm",
        request=Request(name, "POST", "/", "h", [], b"", 0.0, 5.0, prompt),
        stream=types.SimpleNamespace(splitter=EventSplitter()),
        version=types.SimpleNamespace(fixed=record("dc1").stream_version),
    )
    lifecycle.stream.splitter.last_id = lifecycle.stream.splitter.count = events
    stream = StreamMove(lifecycle)
    stream.listener = types.SimpleNamespace(first_progress_at=begun_at)
    stream.source = Instance(record("dc1"))
    return stream


# Streams of engines whose events have one token or a dozen, with and without a hint; a
# first event says nothing about the rate.
@pytest.mark.parametrize(
    ("prompt", "event_tokens", "events", "remaining"),
    [
        (Prompt(1000, 410), 1.0, 11, 39.9),
        (Prompt(1000, 410), 12.0, 11, 278 / 120),
        (Prompt(1000, 410, (), 252), 12.0, 11, 1.0),
        (Prompt(1000, 120, (), 240), 12.0, 11, 0.0),
        (Prompt(1000, 410), 12.0, 1, None),
        (Prompt(1000, 410), None, 11, None),
    ],
)
def test_remaining_time_of_a_stream(prompt, event_tokens, events, remaining):
    mover = make_mover()
    mover.event_tokens = {"llm": event_tokens}
    stream = make_stream(mover, prompt, events)
    state = mover._state(stream, PrefillCost(0.0, 1e-5, 0.0), now=1.0)
    assert state.remaining == (remaining and pytest.approx(remaining))
    assert state.tokens == 1000 + events * (event_tokens or 1)
    assert state.reread_seconds == pytest.approx(0.01)


# Guards against a pool whose engines all leave at once: the moved requests arrive at a
# second engine each, which the retry budget of the fleet has to allow.
@pytest.mark.parametrize("granted", [0, 2, 9])
def test_moves_stay_within_the_retry_budget(granted):
    mover = make_mover()
    grants = [True] * granted
    mover.fleet.budget("llm").allow = lambda now, count=1: bool(grants and grants.pop())
    started = []
    mover.relay.run_in_background = lambda task: started.append(task) or task.close()
    streams = [make_stream(mover, name=f"r{number}") for number in range(4)]
    source = streams[0].source
    for stream in streams:
        stream.source, stream.task = source, types.SimpleNamespace(done=lambda: False)
    mover.streams = {source.id: set(streams)}
    target = Instance(attrs.evolve(source.record, id="d", slots=24))
    pool = Pool([], [target], {}, PrefillCost(0.0, 1e-5, 0.0), None)
    mover._spec = lambda service: ServiceSpec("llm", 100, moves=True)
    mover.fleet.decode_pool = lambda service, record, now: pool
    mover.policy = MoveAll()
    mover._decide(Leave(source, 0.0, 3.0, 2.0), now=1.0)
    assert len(started) == min(granted, 4)
    reasons = [s.logged_reason for s in streams if s.logged_reason]
    assert reasons == ["retry budget spent"] * (4 - len(started))


# Guards against a stream without a length that passes as whole though its engine was
# told to stop it: a later call is refused, which says nothing about the earlier one.
@pytest.mark.parametrize(
    "calls, may_have_stopped",
    [
        ([(False, 409)], False),
        ([(False, 200)], False),
        ([(True, None)], True),
        ([(True, 200)], True),
        ([(True, 500)], True),
        ([(True, 503)], True),
        ([(True, "503 not executed")], False),
        *[([(True, status)], False) for status in (400, 404, 409, 421, 429)],
        *[([(True, None), (True, status)], True) for status in (400, 404, 409, 421)],
        *[([(True, None), (True, status)], True) for status in (429, 500, 503)],
        ([(True, None), (True, "503 not executed")], True),
        ([(True, None), (False, 404)], True),
    ],
)
def test_stream_may_have_stopped_until_its_engine_denies_it(calls, may_have_stopped):
    mover = make_mover()
    stream = make_stream(mover)
    mover.wire = types.SimpleNamespace(
        move_call=lambda *args: None,
        read_move=lambda address, body: None,
        read_metadata=lambda headers: types.SimpleNamespace(not_executed=bool(headers)),
    )
    for last, status in calls:
        refused = status == "503 not executed"
        answer = status and types.SimpleNamespace(
            status=503 if refused else status, headers=refused, body=b""
        )

        async def call(*args, **options):
            return answer

        mover.relay.call = call
        asyncio.run(mover._call(stream, stream.source, last, 1.0))
    assert stream.may_have_stopped is may_have_stopped


# Guards against a stopped stream that is sent back to its engine later than allowed.
@pytest.mark.parametrize(
    ("ends_at", "now", "permitted"),
    [(12.0, 11.0, True), (12.0, 12.5, False), (30.0, 12.6, True), (30.0, 12.8, False)],
)
def test_time_to_return_to_a_source(ends_at, now, permitted):
    leave = Leave(None, 10.0, 3.0, ends_at)
    assert leave.permits_return(now) is permitted
