"""What a VM derives for a decision from its streams and engines; without network."""

import asyncio
import types

import pytest
from test_budget import TIMING

from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import Instance, InstanceRecord
from mulberrydock.moves import Mover, StreamMove
from mulberrydock.moves.decision import Move
from mulberrydock.moves.mover import Leave
from mulberrydock.prefill_cost import PrefillCost
from mulberrydock.request import Prompt, Request
from mulberrydock.sse import EventSplitter

REGIONS = {"dc1": "r1", "dc2": "r1", "dc3": "r2"}


def make_mover():
    view = FleetView("dc1", TIMING, lambda: 1, lambda instance: None)
    return Mover(types.SimpleNamespace(fleet=view, wire=None))


def record(data_centre):
    return InstanceRecord("e", "llm", "127.0.0.1:1", data_centre, 4, False)


def make_stream(mover, prompt=Prompt(1000, 400), events=10, begun_at=0.0):
    route = types.SimpleNamespace(gap_objective=0.15, resumable=False)
    lifecycle = types.SimpleNamespace(
        relay=types.SimpleNamespace(mover=mover),
        route=route,
        service="llm",
        request=Request("r", "POST", "/", "h", [], b"", 0.0, 5.0, prompt),
        stream=types.SimpleNamespace(splitter=EventSplitter()),
    )
    lifecycle.stream.splitter.last_id = lifecycle.stream.splitter.count = events
    stream = StreamMove(lifecycle)
    stream.listener = types.SimpleNamespace(first_progress_at=begun_at)
    stream.source = Instance(record("dc1"))
    return stream


# A transfer takes twice as long between data centres and ten times between regions; a
# data centre that the settings don't know counts as one of another region.
@pytest.mark.parametrize(
    ("source", "other", "factor"),
    [
        ("dc1", "dc1", 1.0),
        ("dc1", "dc2", 2.0),
        ("dc1", "dc3", 10.0),
        ("dc1", "new", 10.0),
        ("new", "new", 1.0),
    ],
)
def test_distance_between_engines(source, other, factor):
    mover = make_mover()
    mover.regions = REGIONS
    assert mover._distance(record(source), record(other)) == factor


# Streams of engines whose events have one token or a dozen, with and without a hint.
@pytest.mark.parametrize(
    ("prompt", "tokens_per_event", "now", "remaining"),
    [
        (Prompt(1000, 400), 1.0, 1.0, 39.0),
        (Prompt(1000, 400), 12.0, 1.0, 280 / 120),
        (Prompt(1000, 400, (), 240), 12.0, 1.0, 1.0),
        (Prompt(1000, 400, (), 240), 12.0, 0.5, 0.5),
        (Prompt(1000, 120, (), 240), 12.0, 1.0, 0.0),
    ],
)
def test_remaining_time_of_a_stream(prompt, tokens_per_event, now, remaining):
    mover = make_mover()
    leave = Leave(None, 0.0, 2.0, 2.0, tokens_per_event)
    cost = PrefillCost(0.0, 1e-5, 0.0)
    state = mover._state(make_stream(mover, prompt), leave, cost, now)
    assert state.remaining == pytest.approx(remaining)
    assert state.tokens == 1000 + 10 * tokens_per_event
    assert state.reread_seconds == pytest.approx(0.01)


# Guards against a pool whose engines all leave at once: the moved requests arrive at a
# second engine each, which the retry budget of the fleet has to allow.
def test_no_move_without_retry_budget():
    mover = make_mover()
    mover.fleet.budget("llm").allow = lambda now, count=1: False
    stream = make_stream(mover)
    move = Move("r", "d", False, 0.1)
    outcome = asyncio.run(mover._copy_and_stop(stream, None, move))
    assert outcome == "retry budget spent"


# Guards against a stopped stream that is sent back to its engine later than allowed.
@pytest.mark.parametrize(
    ("ends_at", "now", "permitted"),
    [(12.0, 11.0, True), (12.0, 12.5, False), (30.0, 12.6, True), (30.0, 12.8, False)],
)
def test_time_to_return_to_a_source(ends_at, now, permitted):
    leave = Leave(None, 10.0, 3.0, ends_at)
    assert leave.permits_return(now) is permitted
