"""Streams that move with their memory as their engine leaves, one failure a test."""

import signal
import socket

import pytest
from move_fleet import (
    DECODERS,
    EVENTS,
    LARGE_TOKEN_BYTES,
    MovingStream,
    announce_leave,
    started_fleet,
)
from platform_fleet import RESUMABLE_PATH, STREAM_PATH, wait_until

from mulberrydock.platform import wire
from mulberrydock.standin.platform_engine import Fault
from mulberrydock.standin.platform_moves import MoveFault

ALL = list(range(1, EVENTS + 1))
#: Notice within which no stream of :data:`EVENTS` events ends. The VM learns of it up
#: to 0.3 s late, from the store: half a second is left then.
SHORT_NOTICE_SECONDS = 0.8
BOTH_PATHS = pytest.mark.parametrize("path", [RESUMABLE_PATH, STREAM_PATH])


@pytest.fixture
def fleet(tmp_path, request):
    with started_fleet(tmp_path, **getattr(request, "param", {})) as running:
        yield running


large = pytest.mark.parametrize(
    "fleet", [{"token_bytes": LARGE_TOKEN_BYTES}], indirect=True
)


def begin_and_leave(fleet, path, faults=(), full=0, seconds=SHORT_NOTICE_SECONDS):
    """Begin a stream, let its engine announce its leave; return stream and engine.

    :param full: number of other decode engines without room.
    """
    stream = MovingStream(fleet, path).begin()
    source = stream.source
    fleet.ledger.faults = list(faults)
    others = [fleet.engines[n] for n in DECODERS if n != source.id]
    fleet.ledger.full = {engine.address for engine in others[:full]}
    announce_leave(fleet, source, seconds)
    return stream, source


def assert_whole(stream, source):
    """Assert that the client has the whole answer, signed by the first engine."""
    assert stream.ids == ALL and stream.complete
    assert stream.signature == f"signature-of-{source.id}"
    assert stream.fleet.ledger.mixed == []


# Guards against a stream that is lost with its engine, though another one has room:
# half a second of the notice is left, while the stream takes two seconds.
@BOTH_PATHS
def test_stream_goes_on_elsewhere_with_its_memory(fleet, path):
    stream, source = begin_and_leave(fleet, path)
    assert_whole(stream.end(), source)
    wait_until(lambda: all(run.ended for _, run in stream.runs()))
    (first, stopped), (second, run) = stream.runs()
    assert (first, stopped.ended, run.ended) == (source, "stopped", "done")
    assert second is not source and wire.KV_SOURCE in run.headers
    assert run.last_event_id == stopped.made
    assert [call[3] for call in fleet.ledger.calls] == [True]
    (move,) = wait_until(lambda: fleet.log_records("stream moved"))
    assert move["outcome"] == "went on" and move["pause"] < 0.3


# Guards against a stopped stream that passes as complete, as only the end of its
# connection would mark its end.
def test_stream_without_framing_goes_on(fleet):
    fleet.fail_next("llm", Fault.UNFRAMED)
    stream, source = begin_and_leave(fleet, STREAM_PATH)
    assert_whole(stream.end(), source)


# Guards against a stream that stands still for the whole transfer of a long prompt.
@large
def test_stream_runs_on_during_a_long_transfer(fleet):
    fleet.ledger.transfer_seconds = 0.1
    stream, source = begin_and_leave(fleet, STREAM_PATH, seconds=1.2)
    assert_whole(stream.end(), source)
    assert [call[3] for call in fleet.ledger.calls] == [False, True]


# Guards against a move that is given up at the first thing that goes wrong.
@pytest.mark.parametrize(
    "options",
    [
        {"faults": [MoveFault.BUSY]},
        {"faults": [MoveFault.LOSE]},
        {"faults": [MoveFault.CRASH_AFTER]},
        {"full": 1},
    ],
    ids=["call in progress", "answer lost", "source crashes", "one is full"],
)
@BOTH_PATHS
def test_move_succeeds_in_spite_of(fleet, path, options):
    stream, source = begin_and_leave(fleet, path, **options)
    assert_whole(stream.end(), source)


# Guards against a stream that is lost although a copy of its memory was made before its
# engine crashed.
@large
@pytest.mark.parametrize("fault", [MoveFault.CRASH, MoveFault.HANG])
def test_stream_goes_on_from_its_copy(fleet, fault):
    faults = [MoveFault.NONE, fault, fault]
    stream, source = begin_and_leave(fleet, STREAM_PATH, faults, seconds=1.2)
    assert_whole(stream.end(), source)


# Guards against a move that fails and takes with it what would be served without it: a
# stream that may be resumed goes on without its memory, and the client of another one
# gets its events in order and no end.
@pytest.mark.parametrize(
    "options",
    [
        {"faults": [MoveFault.ENDED]},
        {"faults": [MoveFault.HANG] * 6},
        {"faults": [MoveFault.CRASH]},
        {"faults": [MoveFault.LAPSE]},
        {"faults": [MoveFault.LOSE] * 6},
        {"full": 2},
    ],
    ids=["no run", "no answer", "source gone", "lapsed", "answers lost", "all full"],
)
@BOTH_PATHS
def test_failed_move_loses_no_more_than_none(fleet, path, options):
    stream, source = begin_and_leave(fleet, path, **options)
    stream.end()
    if path == RESUMABLE_PATH:
        assert_whole(stream, source)
    else:
        assert not stream.complete
        assert stream.ids == ALL[: len(stream.ids)]
    wait_until(lambda: all(run.ended for _, run in stream.runs()))


# Guards against a stream that has nowhere to go on while its engine, which has stopped
# it, still serves: no other one has room, or the one that has the copy is gone.
@pytest.mark.parametrize(
    "options",
    [{"full": 2}, {"faults": [MoveFault.GONE]}],
    ids=["all full", "destination gone"],
)
def test_stopped_stream_goes_on_at_its_source(fleet, options):
    stream, source = begin_and_leave(fleet, STREAM_PATH, **options)
    stream.end()
    runs = [run for engine, run in stream.runs() if engine is source]
    assert len(runs) > 1 and wire.KV_SOURCE in runs[1].headers
    assert stream.ids == ALL[: len(stream.ids)]


# Guards against a stream that is lost when the engine it has moved to leaves as well.
def test_stream_moves_twice(fleet):
    stream, source = begin_and_leave(fleet, STREAM_PATH)
    wait_until(lambda: stream.source not in (source, None))
    announce_leave(fleet, stream.source, SHORT_NOTICE_SECONDS)
    assert_whole(stream.end(), source)
    assert len({engine.id for engine, _ in stream.runs()}) == 3


# Guards against memory that stays at two engines after the client has left.
@large
def test_client_leaves_during_a_move(fleet):
    fleet.ledger.transfer_seconds = 0.3
    stream, source = begin_and_leave(fleet, STREAM_PATH, seconds=1.5)
    wait_until(lambda: fleet.ledger.calls)
    stream.connection.sock.shutdown(socket.SHUT_RDWR)
    wait_until(lambda: source.released_handles)
    assert [engine for engine, _ in stream.runs()] == [source]


# Guards against a stop of the VM that cuts a stream as it moves.
def test_vm_is_stopped_during_a_move(fleet):
    fleet.ledger.transfer_seconds = 0.2
    stream, source = begin_and_leave(fleet, STREAM_PATH)
    wait_until(lambda: fleet.ledger.calls)
    fleet.daemons["entry-1"].send_signal(signal.SIGTERM)
    assert_whole(stream.end(), source)


# Guards against moves of streams that end in time, and at engines that offer none.
@pytest.mark.parametrize(
    ("fleet", "seconds"), [({}, 4.0), ({"moves": False}, 0.7)], indirect=["fleet"]
)
def test_stream_stays(fleet, seconds):
    stream, source = begin_and_leave(fleet, RESUMABLE_PATH, seconds=seconds)
    assert_whole(stream.end(), source)
    assert fleet.ledger.calls == []


# Guards against streams that are lost at an engine which never announces its leave: its
# record is removed, and only its report tells that it leaves.
def test_leave_that_is_not_announced(fleet):
    stream = MovingStream(fleet, STREAM_PATH).begin()
    source = stream.source
    fleet.call_on_loop(source.leave, SHORT_NOTICE_SECONDS)
    fleet.remove(f"servers/{source.id}")
    assert_whole(stream.end(), source)


# Guards against moves from an engine whose record is missing while it goes on to serve.
def test_missing_record_of_an_engine_that_stays(fleet):
    stream = MovingStream(fleet, STREAM_PATH).begin()
    source = stream.source
    fleet.remove(f"servers/{source.id}")
    assert_whole(stream.end(), source)
    assert fleet.ledger.calls == []


# Guards against an engine that doesn't say when it ends: its streams move within the
# time for which any engine serves after its notice.
def test_end_that_is_not_stated(fleet):
    stream = MovingStream(fleet, STREAM_PATH).begin()
    source = stream.source
    source.states_leave = False
    source.event_interval_seconds = 0.5
    announce_leave(fleet, source, 2.2)
    wait_until(lambda: fleet.ledger.calls)
