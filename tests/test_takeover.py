"""Another instance takes over from a silent one; the instances follow scripts."""

import asyncio
import time

import attrs
import pytest
from test_budget import ROUTE, TIMING
from tornado.httputil import HTTPHeaders

from mulberrydock import attempt_time, serving
from mulberrydock.admission import RetryBudget
from mulberrydock.exceptions import ConnectionCut, ResultCode, UpstreamError
from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import InstanceRecord, Stage
from mulberrydock.metrics import ServeMetrics
from mulberrydock.moves.mover import Leave
from mulberrydock.moves.stream import Step
from mulberrydock.platform import PlatformWire, wire
from mulberrydock.ports import Sink
from mulberrydock.relay import Relay
from mulberrydock.request import (
    Kind,
    KvHandle,
    Prompt,
    PromptPart,
    Request,
    RoutingConfig,
    ServiceSpec,
)

HEAD = {wire.SIGNATURE: "s", "Transfer-Encoding": "chunked"}


class RecordingSink(Sink):
    aborted = False

    def __init__(self):
        self.data, self.responses, self.ends = b"", [], 0

    def write(self, chunk):
        self.data += chunk

    def respond(self, status, headers, body):
        self.responses.append(status)

    def begin(self, status, headers):
        pass

    def finish(self):
        self.ends += 1

    def abort(self):
        self.aborted = True


async def feed(listener, data):
    written = listener.on_data(data)
    if asyncio.iscoroutine(written) or asyncio.isfuture(written):
        await written


class Engines:
    """The n-th send is served by the n-th script; notes when each run ends."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.names, self.ended = [], {}

    async def exchange(self, instance, request, options, listener, check=None):
        number = len(self.names)
        self.names.append(instance.id)
        try:
            await self.scripts[number](listener, options)
        finally:
            self.ended[number] = time.monotonic()


def begun(listener):
    listener.on_headers(200, HTTPHeaders(HEAD))


async def respond(listener):
    head = {wire.SIGNATURE: "s", "Content-Length": "1"}
    listener.on_headers(200, HTTPHeaders(head))
    await feed(listener, b"x")


def stage(monkeypatch, engines, max_attempts, kind=Kind.STREAMING):
    # More than the check of an engine takes, on which the first event waits.
    monkeypatch.setattr(attempt_time, "share", lambda seconds, attempts: 0.15)
    view = FleetView("dc1", TIMING, lambda: 1, lambda instance: None)
    view.routes.accept(
        RoutingConfig(1, (), {"llm": ServiceSpec("llm", 100, 1000)}, None)
    )
    for number in range(5):
        record = InstanceRecord(
            f"d{number}",
            "llm",
            f"h{number}:1",
            "dc1",
            64,
            False,
            Stage.DECODE,
            version="v1",
        )
        view.instances.put(record, 0.0)
    budget = RetryBudget(ratio=0, floor=50)
    view.budget = lambda service: budget
    relay = Relay(view, PlatformWire(), ServeMetrics())
    relay.exchange = engines.exchange

    async def ignore(*args, **kwargs):
        pass

    relay.check_link = relay.probe_after_cut = relay.call = ignore
    now = time.monotonic()
    request = Request(
        "r",
        "POST",
        "/",
        "h",
        [],
        b"",
        now,
        now + 8.0,
        Prompt(100, 20, (PromptPart("own", 100),)),
    )
    if kind is not Kind.STREAMING:
        request.prompt = Prompt()
    sink = RecordingSink()
    route = attrs.evolve(ROUTE, kind=kind, max_attempts=max_attempts)
    return view, serving.RequestLifecycle(relay, request, route, "llm", sink), sink


# Guards against a request that two engines work on: both that fell silent are ended as
# soon as a third one has begun.
def test_first_silent_engine_is_ended_when_the_third_has_begun(monkeypatch):
    third_began = []

    async def first(listener, options):
        begun(listener)
        await feed(listener, b"id: 1\ndata: x\n\n")
        await asyncio.sleep(10)

    async def second(listener, options):
        await asyncio.sleep(10)

    async def third(listener, options):
        begun(listener)
        third_began.append(time.monotonic())
        for number in range(2, 22):
            await feed(listener, b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(0.05)

    engines = Engines(first, second, third)
    _, lifecycle, sink = stage(monkeypatch, engines, 3)
    assert asyncio.run(lifecycle.run()) is ResultCode.OK
    assert engines.ended[1] - third_began[0] < 0.4
    assert engines.ended[0] - third_began[0] < 0.4


# Guards against a stream that is cut as an engine wakes that was given up.
def test_stream_of_the_third_goes_on_when_the_first_wakes(monkeypatch):
    async def first(listener, options):
        begun(listener)
        await feed(listener, b"id: 1\ndata: x\n\n")
        await asyncio.sleep(0.6)
        for number in range(2, 22):
            await feed(listener, b"id: %d\ndata: x\n\n" % number)

    async def second(listener, options):
        await asyncio.sleep(10)

    async def third(listener, options):
        begun(listener)
        for number in range(2, 22):
            await feed(listener, b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(0.05)

    engines = Engines(first, second, third)
    _, lifecycle, sink = stage(monkeypatch, engines, 3)
    code = asyncio.run(lifecycle.run())
    assert (code, sink.aborted, sink.data.count(b"id:")) == (ResultCode.OK, False, 21)


# Guards against a stream that waits for a dead engine until its deadline, though an
# attempt is left.
def test_third_engine_is_tried_if_the_second_refuses(monkeypatch):

    async def first(listener, options):
        begun(listener)
        await feed(listener, b"id: 1\ndata: x\n\n")
        await asyncio.sleep(100)

    async def second(listener, options):
        listener.on_headers(503, HTTPHeaders({wire.NOT_EXECUTED: "1"}))

    async def third(listener, options):
        begun(listener)
        await feed(listener, b"id: 2\ndata: x\n\n")

    engines = Engines(first, second, third)
    _, lifecycle, sink = stage(monkeypatch, engines, 3)
    assert asyncio.run(lifecycle.run()) is ResultCode.OK


# Guards against requests that are sent to an engine that hangs, as its failure is only
# recorded when the stream has ended elsewhere.
def test_silent_engine_counts_as_failed_when_another_has_taken_over(monkeypatch):
    seen = {}

    async def first(listener, options):
        begun(listener)
        await feed(listener, b"id: 1\ndata: x\n\n")
        await asyncio.sleep(10)

    async def second(listener, options):
        begun(listener)
        await feed(listener, b"id: 2\ndata: x\n\n")
        for number in range(3, 13):
            await asyncio.sleep(0.05)
            await feed(listener, b"id: %d\ndata: x\n\n" % number)
        seen["failures"] = view.suspicion.health(engines.names[0]).failures

    engines = Engines(first, second)
    view, lifecycle, sink = stage(monkeypatch, engines, 2)
    assert asyncio.run(lifecycle.run()) is ResultCode.OK
    assert seen["failures"] == 1


# Guards against a stream that is cut by the first bytes of the engine that takes over.
def test_second_engine_error_in_the_first_chunk_does_not_cut_the_first(monkeypatch):
    async def first(listener, options):
        begun(listener)
        await feed(listener, b"id: 1\ndata: x\n\n")
        await asyncio.sleep(0.4)
        await feed(listener, b"id: 2\ndata: x\n\nid: 3\ndata: x\n\n")

    async def second(listener, options):
        begun(listener)
        try:
            await feed(listener, b"id: 2\ndata: x\n\nid: 1\ndata: x\n\n")
        except UpstreamError as error:
            raise ConnectionCut("reader ended") from error

    engines = Engines(first, second)
    _, lifecycle, sink = stage(monkeypatch, engines, 2)
    code = asyncio.run(lifecycle.run())
    assert (code, sink.data.count(b"id:")) == (ResultCode.OK, 3)


# Guards against a missing event: one before a wrong event in the same bytes was never
# passed on, and the stream was resumed after it.
def test_resumed_stream_lacks_no_event_after_a_wrong_one(monkeypatch):
    async def first(listener, options):
        begun(listener)
        await feed(listener, b"id: 1\ndata: x\n\n")
        try:
            await feed(listener, b"id: 2\ndata: x\n\nid: 2\ndata: x\n\n")
        except UpstreamError as error:
            raise ConnectionCut("reader ended") from error

    async def second(listener, options):
        begun(listener)
        for number in range(options.last_event_id + 1, 5):
            await feed(listener, b"id: %d\ndata: x\n\n" % number)

    engines = Engines(first, second)
    _, lifecycle, sink = stage(monkeypatch, engines, 2)
    code = asyncio.run(lifecycle.run())
    ids = [row for row in sink.data.split(b"\n") if row.startswith(b"id:")]
    assert (code, ids) == (ResultCode.OK, [b"id: 1", b"id: 2", b"id: 3", b"id: 4"])


# Guards against a stream that is cut as both engines go on within one iteration of the
# event loop or a few.
@pytest.mark.parametrize("steps", range(8))
def test_both_go_on_at_nearly_the_same_moment(monkeypatch, steps):
    moment = []

    async def first(listener, options):
        begun(listener)
        await feed(listener, b"id: 1\ndata: x\n\n")
        moment.append(asyncio.Event())
        await moment[0].wait()
        for number in range(2, 6):
            await feed(listener, b"id: %d\ndata: x\n\n" % number)

    async def second(listener, options):
        begun(listener)
        await asyncio.sleep(0.05)
        moment[0].set()
        for _ in range(steps):
            await asyncio.sleep(0)
        for number in range(2, 6):
            await feed(listener, b"id: %d\ndata: x\n\n" % number)

    engines = Engines(first, second)
    _, lifecycle, sink = stage(monkeypatch, engines, 2)
    code = asyncio.run(lifecycle.run())
    assert (code, sink.data.count(b"id:")) == (ResultCode.OK, 5)


# Guards against a request that ends with an exception, as the reader whose bytes are
# held back is cancelled.
def test_first_engine_that_fails_while_it_is_held(monkeypatch):

    async def first(listener, options):
        begun(listener)
        await feed(listener, b"id: 1\ndata: x\n\n")
        await asyncio.sleep(0.2)
        reader = asyncio.ensure_future(feed(listener, b"id: 2\ndata: x\n\n"))
        await asyncio.sleep(0)
        reader.cancel()
        raise ConnectionCut("cut")

    async def second(listener, options):
        begun(listener)
        await asyncio.sleep(0.5)
        for number in range(2, 6):
            await feed(listener, b"id: %d\ndata: x\n\n" % number)

    engines = Engines(first, second)
    _, lifecycle, sink = stage(monkeypatch, engines, 2)
    code = asyncio.run(lifecycle.run())
    assert code in (ResultCode.OK, ResultCode.STREAM_CUT)


# Guards against a client that gets two responses, or two ends of one, as the first of
# three instances goes on when the third one's response has just ended.
@pytest.mark.parametrize("lag", range(-3, 8))
@pytest.mark.parametrize("kind", [Kind.IDEMPOTENT, Kind.STREAMING])
def test_client_gets_one_response_when_first_and_third_end_together(
    monkeypatch, kind, lag
):
    third_ends = asyncio.Event()

    async def first(listener, options):
        if kind is Kind.STREAMING:
            begun(listener)
            await feed(listener, b"id: 1\ndata: x\n\n")
        await third_ends.wait()
        for _ in range(lag):
            await asyncio.sleep(0)
        if kind is not Kind.STREAMING:
            await respond(listener)

    async def second(listener, options):
        await asyncio.sleep(10)

    async def third(listener, options):
        await asyncio.sleep(0.05)
        third_ends.set()
        for _ in range(-lag):
            await asyncio.sleep(0)
        if kind is Kind.STREAMING:
            begun(listener)
        else:
            await respond(listener)

    engines = Engines(first, second, third)
    _, lifecycle, sink = stage(monkeypatch, engines, 4, kind)
    assert asyncio.run(lifecycle.run()) is ResultCode.OK
    assert len(engines.names) == 3
    assert sink.responses + [sink.ends] == ([1] if kind is Kind.STREAMING else [200, 0])


# Guards against a client that gets a second response, or a cut stream, as the deadline
# passes right after the instance that took over has answered.
@pytest.mark.parametrize("kind", [Kind.IDEMPOTENT, Kind.STREAMING])
def test_deadline_passes_as_the_second_has_answered(monkeypatch, kind):
    async def first(listener, options):
        if kind is Kind.STREAMING:
            begun(listener)
            await feed(listener, b"id: 1\ndata: x\n\n")
        await asyncio.sleep(10)

    async def second(listener, options):
        if kind is Kind.STREAMING:
            begun(listener)
            await feed(listener, b"id: 2\ndata: x\n\n")
        else:
            await respond(listener)

    class LateSink(RecordingSink):
        def respond(self, status, headers, body):
            super().respond(status, headers, body)
            self.pass_deadline()

        def finish(self):
            super().finish()
            self.pass_deadline()

        def pass_deadline(self):
            if not lifecycle.time_limit.expired():
                lifecycle.time_limit.reschedule(asyncio.get_running_loop().time())

    _, lifecycle, sink = stage(monkeypatch, Engines(first, second), 3, kind)
    lifecycle.sink = lifecycle.stream.sink = sink = LateSink()
    assert asyncio.run(lifecycle.run()) is ResultCode.OK
    assert not sink.aborted
    assert sink.responses + [sink.ends] == ([1] if kind is Kind.STREAMING else [200, 0])


# Guards against an engine that is avoided after one silence, as its failure is recorded
# again when the engine that took over fails.
def test_silent_engine_counts_as_failed_once_when_its_successor_fails(monkeypatch):
    async def first(listener, options):
        begun(listener)
        await feed(listener, b"id: 1\ndata: x\n\n")
        await asyncio.sleep(10)

    async def second(listener, options):
        begun(listener)
        await feed(listener, b"id: 2\ndata: x\n\n")
        raise ConnectionCut("cut")

    async def third(listener, options):
        begun(listener)
        await feed(listener, b"id: 3\ndata: x\n\n")

    engines = Engines(first, second, third)
    view, lifecycle, sink = stage(monkeypatch, engines, 3)
    assert asyncio.run(lifecycle.run()) is ResultCode.OK
    assert sink.data.count(b"id:") == 3
    failures = [view.suspicion.health(name).failures for name in engines.names]
    assert failures == [1, 1, 0]


# Guards against a stream that runs at more engines than its route allows: those that
# took over from the engine that it had moved to weren't counted.
@pytest.mark.parametrize("max_attempts", [2, 3, 4])
def test_takeover_from_a_moved_stream_takes_an_attempt(monkeypatch, max_attempts):
    async def first(listener, options):
        begun(listener)
        await feed(listener, b"id: 1\ndata: x\n\n")
        move = lifecycle.move
        destination = next(
            instance
            for instance in view.instances.instances.values()
            if instance.id not in engines.names
        )
        move.leave = Leave(move.source, 0.0, 0.0, 0.0)
        move.record_stop([Step(destination, KvHandle("h:1", "k", 100), move.source)])
        await asyncio.sleep(10)

    async def moved(listener, options):
        begun(listener)
        await feed(listener, b"id: 2\ndata: x\n\n")
        await asyncio.sleep(0.4)
        raise ConnectionCut("cut")

    async def cut(listener, options):
        raise ConnectionCut("cut")

    engines = Engines(first, moved, *[cut] * 8)
    view, lifecycle, sink = stage(monkeypatch, engines, max_attempts)
    config = RoutingConfig(
        1, (), {"llm": ServiceSpec("llm", 100, 1000, moves=True)}, None
    )
    view.routes.accept(attrs.evolve(config, version=2))
    asyncio.run(lifecycle.run())
    # The move takes no attempt.
    assert len(engines.names) == max_attempts + 1
