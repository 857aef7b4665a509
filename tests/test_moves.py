"""Streams that move with their memory as their engine leaves, one failure a test."""

import asyncio
import contextlib
import signal

import pytest
from move_fleet import (
    DECODERS,
    EVENTS,
    LARGE_TOKEN_BYTES,
    on_loop,
    started_fleet,
    until,
)
from platform_fleet import (
    RESUMABLE_PATH,
    STREAM_PATH,
    PlatformFleet,
    config,
    event_ids,
    event_versions,
    send,
    wait_until,
)

from mulberrydock.platform import wire
from mulberrydock.standin.platform_engine import Fault
from mulberrydock.standin.platform_moves import MoveFault, MoveLedger

ALL = list(range(1, EVENTS + 1))
#: Notice within which no stream of :data:`EVENTS` events ends: they take two seconds.
NOTICE_SECONDS = 0.5
BOTH_PATHS = pytest.mark.parametrize("path", [RESUMABLE_PATH, STREAM_PATH])


async def begin_and_leave(fleet, path, faults=(), full=0, seconds=NOTICE_SECONDS):
    """Begin a stream, let its engine announce its leave; return stream and engine.

    :param full: number of other decode engines without room.
    """
    stream = await fleet.begin(path)
    source = stream.source
    fleet.ledger.faults = list(faults)
    others = [fleet.engines[n] for n in DECODERS if n != source.id]
    fleet.ledger.full = {engine.address for engine in others[:full]}
    fleet.announce_leave(source, seconds)
    return stream, source


def assert_whole(stream, source):
    """Assert that the client has the whole answer, signed by the first engine."""
    assert stream.sink.ids == ALL and stream.sink.complete
    assert stream.sink.headers[wire.SIGNATURE] == f"signature-of-{source.id}"
    assert stream.fleet.ledger.mixed == []


# Guards against a stream that is lost with its engine, though another one has room: the
# engine gives half a second of notice, the stream takes two seconds.
@BOTH_PATHS
@on_loop
async def test_stream_goes_on_elsewhere_with_its_memory(path):
    async with started_fleet() as fleet:
        stream, source = await begin_and_leave(fleet, path)
        await stream.end()
        assert_whole(stream, source)
        (first, stopped), (second, run) = stream.runs()
        assert (first, stopped.ended, run.ended) == (source, "stopped", "done")
        assert second is not source and wire.KV_SOURCE in run.headers
        assert run.last_event_id == stopped.made
        assert [call[3] for call in fleet.ledger.calls] == [True]


# Guards against a stopped stream that passes as complete, as only the end of its
# connection would mark its end.
@on_loop
async def test_stream_without_framing_goes_on():
    async with started_fleet() as fleet:
        for name in DECODERS:
            fleet.engines[name].faults = [Fault.UNFRAMED]
        stream, source = await begin_and_leave(fleet, STREAM_PATH)
        await stream.end()
        assert_whole(stream, source)


# Guards against a stopped stream that passes as complete, as its engine knows of no run
# any more: the call that stopped it wasn't answered.
@BOTH_PATHS
@on_loop
async def test_stream_without_framing_is_not_whole_after_an_unanswered_stop(path):
    async with started_fleet() as fleet:
        for name in DECODERS:
            fleet.engines[name].faults = [Fault.UNFRAMED]
        faults = [MoveFault.LOSE, MoveFault.ENDED]
        stream, source = await begin_and_leave(fleet, path, faults)
        await stream.end()
        assert stream.sink.ids == ALL or not stream.sink.complete


# Guards against a stream that stands still for the whole transfer of a long prompt.
@on_loop
async def test_stream_runs_on_during_a_long_transfer():
    async with started_fleet(token_bytes=LARGE_TOKEN_BYTES) as fleet:
        fleet.ledger.transfer_seconds = 0.1
        stream, source = await begin_and_leave(fleet, STREAM_PATH, seconds=0.8)
        await stream.end()
        assert_whole(stream, source)
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
@on_loop
async def test_move_succeeds_in_spite_of(path, options):
    async with started_fleet() as fleet:
        stream, source = await begin_and_leave(fleet, path, **options)
        await stream.end()
        assert_whole(stream, source)


# Guards against a stream that is lost although a copy of its memory was made before its
# engine crashed or fell silent.
@pytest.mark.parametrize("fault", [MoveFault.CRASH, MoveFault.HANG])
@on_loop
async def test_stream_goes_on_from_its_copy(fault):
    async with started_fleet(token_bytes=LARGE_TOKEN_BYTES) as fleet:
        faults = [MoveFault.NONE, fault, fault]
        stream, source = await begin_and_leave(fleet, STREAM_PATH, faults, seconds=0.8)
        await stream.end()
        assert_whole(stream, source)


# Guards against a run that goes on at two engines: the connection of the source was cut
# while it lives, and it says that a call is in progress.
@on_loop
async def test_copy_is_not_used_while_its_source_may_run():
    async with started_fleet(token_bytes=LARGE_TOKEN_BYTES) as fleet:
        faults = [MoveFault.NONE, *[MoveFault.BUSY] * 9]
        stream, source = await begin_and_leave(fleet, STREAM_PATH, faults, seconds=0.8)
        await until(lambda: len(fleet.ledger.calls) >= 2)
        for _, run in stream.runs():
            run.reader.close()
        await stream.end()
        assert [engine for engine, _ in stream.runs()] == [source]
        assert not stream.sink.complete


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
@on_loop
async def test_failed_move_loses_no_more_than_none(path, options):
    async with started_fleet() as fleet:
        stream, source = await begin_and_leave(fleet, path, **options)
        await stream.end()
        if path == RESUMABLE_PATH:
            assert_whole(stream, source)
        else:
            assert not stream.sink.complete
            assert stream.sink.ids == ALL[: len(stream.sink.ids)]


# Guards against a stream that has nowhere to go on while its engine, which has stopped
# it, still serves: no other one has room, or the one that has the copy is gone.
@pytest.mark.parametrize(
    "options",
    [{"full": 2}, {"faults": [MoveFault.GONE]}],
    ids=["all full", "destination gone"],
)
@on_loop
async def test_stopped_stream_goes_on_at_its_source(options):
    async with started_fleet() as fleet:
        stream, source = await begin_and_leave(fleet, STREAM_PATH, **options)
        await stream.end()
        runs = [run for engine, run in stream.runs() if engine is source]
        assert len(runs) > 1 and wire.KV_SOURCE in runs[1].headers
        assert stream.sink.ids == ALL[: len(stream.sink.ids)]


# Guards against a stream that is lost when the engine it has moved to leaves as well.
@on_loop
async def test_stream_moves_twice():
    async with started_fleet() as fleet:
        stream, source = await begin_and_leave(fleet, STREAM_PATH)
        await until(lambda: stream.source not in (source, None))
        fleet.announce_leave(stream.source, NOTICE_SECONDS)
        await stream.end()
        assert_whole(stream, source)
        assert len({engine.id for engine, _ in stream.runs()}) == 3


# Guards against memory that stays at two engines after the client has left.
@pytest.mark.parametrize("calls", [1, 2])
@on_loop
async def test_client_leaves_during_a_move(calls):
    async with started_fleet(token_bytes=LARGE_TOKEN_BYTES) as fleet:
        fleet.ledger.transfer_seconds = 0.1
        stream, source = await begin_and_leave(fleet, STREAM_PATH, seconds=0.8)
        await until(lambda: len(fleet.ledger.calls) == calls)
        stream.task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await stream.task
        await until(lambda: source.released_handles)
        assert [engine for engine, _ in stream.runs()] == [source]


# Guards against moves of streams that end in time, and at engines that offer none.
@pytest.mark.parametrize(("moves", "seconds"), [(True, 4.0), (False, 0.5)])
@on_loop
async def test_stream_stays(moves, seconds):
    async with started_fleet(moves=moves) as fleet:
        stream, source = await begin_and_leave(fleet, RESUMABLE_PATH, seconds=seconds)
        await stream.end()
        assert_whole(stream, source)
        assert fleet.ledger.calls == []


# Guards against streams that are lost at an engine which never announces its leave: its
# record is removed, and only its report tells that it leaves.
@on_loop
async def test_leave_that_is_not_announced():
    async with started_fleet() as fleet:
        stream = await fleet.begin(STREAM_PATH)
        source = stream.source
        source.leave(NOTICE_SECONDS)
        fleet.remove_record(source)
        await stream.end()
        assert_whole(stream, source)


# Guards against moves from an engine whose record is missing while it goes on to serve.
@on_loop
async def test_missing_record_of_an_engine_that_stays():
    async with started_fleet() as fleet:
        stream = await fleet.begin(STREAM_PATH)
        source = stream.source
        fleet.remove_record(source)
        await stream.end()
        assert_whole(stream, source)
        assert fleet.ledger.calls == []


# Guards against an engine that doesn't say when it ends: its streams move within the
# time for which any engine serves after its notice.
@on_loop
async def test_end_that_is_not_stated():
    async with started_fleet() as fleet:
        for engine in fleet.engines.values():
            engine.event_interval_seconds = 0.2
            engine.states_leave = False
        stream, source = await begin_and_leave(fleet, STREAM_PATH, seconds=2.2)
        await stream.end()
        assert_whole(stream, source)
        assert len(stream.runs()) == 2


# Guards against a stop of the VM that cuts a stream as it moves.
def test_vm_is_stopped_during_a_move(tmp_path):
    fleet = PlatformFleet(tmp_path)
    ledger = MoveLedger(transfer_seconds=0.2)
    document = config(3)
    document["services"][0]["engine"] |= {"slots": 4, "moves": True}
    for row in document["routes"]:
        row["timeout_ms"] = 12_000
    fleet.write("op/config", document)
    options = {"events": EVENTS, "event_interval_seconds": 0.2, "moves": ledger}
    for name in ("d1", "d2"):
        fleet.add_instance(name, "llm", "decode", **options)
    fleet.start(grace=8.0)
    try:
        fleet.wait_ready()
        connection = fleet.connect()
        headers = {"X_Mulberrydock_Token_Counts": f"100,{EVENTS}"}
        headers["X_Mulberrydock_Deadline_Ms"] = "12000"
        send(connection, STREAM_PATH, "s", **headers)
        running = wait_until(lambda: [e for e in fleet.engines.values() if e.running()])
        wait_until(lambda: running[0].running()[0].made >= 3)
        fleet.call_on_loop(running[0].leave, 1.8)
        fleet.write(f"servers/{running[0].id}", running[0].store_document("draining"))
        wait_until(lambda: ledger.calls)
        fleet.daemons["entry-1"].send_signal(signal.SIGTERM)
        assert event_ids(connection.getresponse().read()) == ALL
    finally:
        fleet.stop()


# Guards against a stream whose version isn't known, as its engine may have restarted,
# and that moves to an engine of the former version.
@BOTH_PATHS
@on_loop
async def test_stream_of_unknown_version_stays_at_its_engine(path):
    async with started_fleet() as fleet:
        first, *others = (fleet.engines[name] for name in DECODERS)
        for engine in others:
            fleet.remove_record(engine)
        first.started_at_ms = 1000
        fleet.write_record(first, "ready")
        # Its report doesn't say that it has restarted since.
        first.started_at_ms, first.version = None, "v2"
        stream = await fleet.begin(path)
        for engine in others:
            engine.started_at_ms = 1000
            fleet.write_record(engine, "ready")
        first.started_at_ms = 2000
        fleet.announce_leave(first, NOTICE_SECONDS)
        await stream.end()
    assert event_versions(stream.sink.data) == {b"v2"}
    assert not stream.sink.complete and fleet.ledger.calls == []
