"""One VM's relay before engines that move running streams to each other.

All of it runs on the event loop of the test and reads one clock, so that a busy machine
delays the VM and the engines alike. Two engines prefill; short prompts are prefilled by
the others.
"""

import asyncio
import contextlib
import functools
import json
import time

import attrs
import steady_clock
import tornado.httputil
from platform_fleet import HOST, config, event_ids
from test_budget import TIMING

from mulberrydock.fleet import free_ports
from mulberrydock.fleet_view import FleetView
from mulberrydock.metrics import ServeMetrics
from mulberrydock.platform import PlatformWire, documents, wire
from mulberrydock.ports import Sink
from mulberrydock.relay import Relay
from mulberrydock.standin.platform_engine import PlatformEngine
from mulberrydock.standin.platform_moves import MoveLedger

DECODERS = ("d1", "d2", "d3")
EVENTS = 24
EVENT_INTERVAL_SECONDS = 0.08
#: Time for which engines serve after their notice.
DRAIN_SECONDS = 2.0
#: Bytes of a token's KV cache with which a transfer is short, or longer than a stream
#: may stand still: 100 tokens then take 0.2 s.
SMALL_TOKEN_BYTES = 1000
LARGE_TOKEN_BYTES = 250_000


def on_loop(test):
    """Run an asynchronous test to its end."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        steady_clock.run(test(*args, **kwargs))

    return run


async def until(check, seconds=10.0):
    """Wait until ``check()`` is true."""
    async with asyncio.timeout(seconds):
        while not check():
            await asyncio.sleep(0.01)


class ClientSink(Sink):
    """What one client receives; ``complete`` is None until the response has ended."""

    def __init__(self):
        self.data = b""
        self.headers = {}
        self.complete = None

    def respond(self, status, headers, body):
        self.headers, self.data, self.complete = dict(headers), body, True

    def begin(self, status, headers):
        self.headers = dict(headers)

    def write(self, chunk):
        self.data += chunk

    def finish(self):
        self.complete = True

    def abort(self):
        self.complete = False

    @property
    def ids(self):
        """The ids of the events that arrived."""
        return event_ids(self.data)


class MoveFleet:
    """The relay of a VM and its engines by id; ``ledger`` is what these share."""

    def __init__(self, moves, token_bytes):
        timing = attrs.evolve(TIMING, drain_seconds=DRAIN_SECONDS)
        self.view = FleetView("dc1", timing, lambda: 1, self._on_removed)
        self.relay = Relay(self.view, PlatformWire(), ServeMetrics())
        self.ledger = MoveLedger()
        self.engines = {}
        document = config(3)
        engine = {"slots": 4, "link_mbps": 1000, "kv_token_bytes": token_bytes}
        document["services"][0]["engine"] |= engine | {"moves": moves}
        for row in document["routes"]:
            row["timeout_ms"] = 20_000
        accepted = documents.read_config("op/config", json.dumps(document))
        self.view.routes.accept(accepted)
        for name, port in zip(("p1", "p2", *DECODERS), free_ports(5)):
            self._add_engine(name, f"127.0.0.1:{port}")

    def _add_engine(self, name, address):
        stage = "decode" if name in DECODERS else "prefill"
        engine = PlatformEngine(name, address, "llm", stage, moves=self.ledger)
        engine.events, engine.event_interval_seconds = EVENTS, EVENT_INTERVAL_SECONDS
        engine.listen()
        self.engines[name] = self.ledger.engines[address] = engine
        self.write_record(engine, "ready")

    def _on_removed(self, instance_id):
        self.relay.forget(instance_id)
        self.view.forget(instance_id)

    def write_record(self, engine, state):
        """Let the VM read an engine's record."""
        text = json.dumps(engine.store_document(state))
        record = documents.read_instance(f"servers/{engine.id}", text)
        self.view.instances.put(record, time.monotonic())

    def remove_record(self, engine):
        """Let the VM see that an engine's record is gone."""
        self.view.instances.remove(engine.id, time.monotonic())

    async def begin(self, prefix):
        """Begin a stream and wait for its third event; return it."""
        fields = {
            "Host": HOST,
            wire.ATTEMPT_ID: "s",
            wire.DEADLINE: "15000",
            wire.TOKEN_COUNTS: f"100,{EVENTS}",
            wire.PROMPT_PREFIX: "aa:50,bb:50",
        }
        line = tornado.httputil.RequestStartLine("POST", f"{prefix}x", "HTTP/1.1")
        headers = tornado.httputil.HTTPHeaders(fields)
        now = time.monotonic()
        request = self.relay.wire.read_request(line, headers, b"prompt", now)
        sink = ClientSink()
        task = asyncio.ensure_future(self.relay.serve(request, sink))
        stream = MovingStream(self, sink, task)
        await until(lambda: len(sink.ids) >= 3)
        return stream

    def announce_leave(self, engine, seconds):
        """Let an engine announce that it leaves, and terminate after ``seconds``."""
        engine.leave(seconds)
        self.write_record(engine, "draining")


@attrs.define
class MovingStream:
    """A client's stream: what it received, and the task that serves it."""

    fleet: object
    sink: object
    task: object

    async def end(self):
        """Wait until the stream and all its runs have ended."""
        await self.task
        await until(lambda: all(run.ended for _, run in self.runs()))

    def runs(self):
        """Return (engine, run) of each run of the request, in order."""
        rows = [
            (engine, run)
            for engine in self.fleet.engines.values()
            for run in engine.runs
        ]
        return sorted(rows, key=lambda row: row[1].last_event_id)

    @property
    def source(self):
        """The engine that runs the stream now, None if none does."""
        return next((engine for engine, run in self.runs() if not run.ended), None)


@contextlib.asynccontextmanager
async def started_fleet(moves=True, token_bytes=SMALL_TOKEN_BYTES):
    """Start a :class:`MoveFleet` and stop it at the end."""
    fleet = MoveFleet(moves, token_bytes)
    try:
        yield fleet
    finally:
        for engine in fleet.engines.values():
            engine.terminate()
        # Lets the connections notice.
        await asyncio.sleep(0.01)
