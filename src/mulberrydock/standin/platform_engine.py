"""A stand-in of the platform's engines and plain services, with scripted faults.

It answers whole calls and streams, prefill calls, reports and orders, and
misbehaves as a test's script says. It is no model of an engine's speed.
"""

import asyncio
import enum
import json
import time
import typing as t
import weakref

import attrs
import tornado.httpserver
import tornado.httputil

from ..platform import wire


class Fault(enum.Enum):
    """What an engine does with the next request instead of serving it."""

    NONE = "none"
    REFUSE = "refuse"
    ERROR = "error"
    HANG = "hang"
    CUT = "cut"
    CUT_MID_EVENT = "cut-mid-event"
    CRASH_BEFORE_ANSWER = "crash-before-answer"
    UNFRAMED = "unframed"
    EXTRA = "extra"
    LATE_OTHER = "late-other"
    UNSIGNED = "unsigned"
    STALL = "stall"
    PAUSE = "pause"


#: Seconds of a pause: longer than any silence after which an instance may be
#: left for another one, shorter than the requests' deadline.
PAUSE_SECONDS = 1.5
#: Seconds after which a crashed process is back.
CRASH_SECONDS = 0.5


@attrs.define
class Run:
    """A request that this engine began to work on."""

    id: str
    method: str
    target: str
    headers: tornado.httputil.HTTPHeaders
    body: bytes
    last_event_id: int
    ended: str = ""


@attrs.define(eq=False)
class PlatformEngine:
    """One engine or plain-service instance at ``address``.

    :param faults: what to do with the next requests, in order.
    :param events: events of a whole stream; ids begin at 1.
    :param born: Unix milliseconds of its start, None when it doesn't say.
    :param crash_marker: a run whose body holds these bytes crashes the process.
    :param on_crash: called with this engine when it crashes.
    :param on_restart: called with this engine when it is back after a crash.
    :param limit: rate limit that its answers declare, in requests a second.
    :param prefill_gate: prefill calls are answered once this is set.
    :param prefill_refusals: each entry refuses one prefill call; several
        engines may share the list, so that whichever is asked first refuses.
    """

    id: str
    address: str
    service: str
    stage: str = ""
    data_centre: str = "dc1"
    events: int = 4
    event_interval_seconds: float = 0.0
    prefill_gate: asyncio.Event | None = None
    prefill_refusals: list = attrs.field(factory=list)
    faults: list = attrs.field(factory=list)
    runs: list = attrs.field(factory=list)
    prefills: list = attrs.field(factory=list)
    released_handles: list = attrs.field(factory=list)
    orders: list = attrs.field(factory=list)
    misdirected: int = 0
    started_at_ms: int | None = None
    crash_marker: bytes = b""
    on_crash: t.Callable = lambda engine: None
    on_restart: t.Callable = lambda engine: None
    crashes: int = 0
    rate_limit: float | None = None
    arrived_ids: list = attrs.field(factory=list)
    arrival_times: list = attrs.field(factory=list)
    listens_at: str = ""
    server: object = None
    readers: weakref.WeakSet = attrs.field(factory=weakref.WeakSet)

    def store_document(self, state="ready"):
        """Return the document that the instance keeps of itself in the store."""
        record = {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 7,
        }
        if self.stage:
            record["stage"] = self.stage
        return record | self._birth()

    def _birth(self):
        return {} if self.started_at_ms is None else {"born": self.started_at_ms}

    def listen(self):
        """Begin to serve on the running loop.

        Where it listens stays, also when it is known by a proxy's address later.
        """
        self.listens_at = self.listens_at or self.address
        host, port = self.listens_at.split(":")
        self.server = tornado.httpserver.HTTPServer(_Server(self))
        self.server.listen(int(port), address=host)

    def restart(self, started_at_ms):
        """Start again under the same id: nothing of before is known."""
        self.started_at_ms = started_at_ms
        self.orders = []
        self.prefills = []
        for reader in list(self.readers):
            reader.close()

    def crash(self):
        """End as a process that crashed, and be back under the same id later."""
        self.crashes += 1
        self.on_crash(self)
        self.stop()
        for reader in list(self.readers):
            reader.close()
        asyncio.get_running_loop().call_later(CRASH_SECONDS, self._come_back)

    def _come_back(self):
        self.started_at_ms = int(time.time() * 1000)
        self.listen()
        self.on_restart(self)

    def stop(self):
        """Refuse new connections, as a process that is gone."""
        self.server.stop()

    async def answer(self, reader):
        """Answer one request read by ``reader``."""
        path = reader.start_line.path
        if reader.headers.get(wire.EXPECT_INSTANCE, self.id) != self.id:
            self.misdirected += 1
            reader.respond(421, {wire.INSTANCE_ID: self.id}, b"")
        elif path == "/report":
            reader.respond(200, {}, json.dumps(self._report()).encode())
        elif path == "/order":
            self._order(reader)
        elif path.startswith("/kv-handle/"):
            self.released_handles.append(path.rsplit("/", 1)[1])
            reader.respond(200, {}, b"")
        else:
            await self._serve(reader)

    def _report(self):
        return {
            "stage": self.stage,
            "models": [],
            "busy": False,
            "sequence": len(self.orders),
            "queued": 0,
            "running": 0,
        } | self._birth()

    def _order(self, reader):
        order = json.loads(reader.body)
        if order["expected"] != len(self.orders):
            reader.respond(409, {}, b"")
            return
        if any(o["fencing_token"] > order["fencing_token"] for o in self.orders):
            reader.respond(412, {}, b"")
            return
        self.orders.append(order)
        self.stage = order["stage"]
        reader.respond(202, {}, b"")

    async def _serve(self, reader):
        self.arrived_ids.append(reader.headers.get(wire.ATTEMPT_ID, ""))
        self.arrival_times.append(time.monotonic())
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        if fault is Fault.REFUSE:
            reader.respond(503, {wire.NOT_EXECUTED: "1"} | self._limit(), b"")
            return
        if reader.headers.get(wire.STAGE) == "prefill":
            await self._prefill(reader)
            return
        run = Run(
            reader.headers.get(wire.ATTEMPT_ID, ""),
            reader.start_line.method,
            reader.start_line.path,
            reader.headers,
            reader.body,
            int(reader.headers.get(wire.LAST_EVENT_ID, "0")),
        )
        self.runs.append(run)
        if self.crash_marker and self.crash_marker in reader.body:
            self.crash()
            return
        try:
            await self._run(reader, run, fault)
            run.ended = run.ended or "done"
        except asyncio.CancelledError:
            run.ended = "cancelled"
            raise

    async def _prefill(self, reader):
        if self.prefill_refusals:
            self.prefill_refusals.pop()
            reader.respond(503, {wire.NOT_EXECUTED: "1"}, b"")
            return
        handle = f"h{len(self.prefills)}"
        self.prefills.append(reader.headers.get(wire.ATTEMPT_ID))
        if self.prefill_gate is not None:
            await self.prefill_gate.wait()
        body = json.dumps({"kv_handle": handle, "tokens": 10, "version": 1})
        headers = {wire.ATTEMPT_ID: self.prefills[-1]} | self._limit()
        reader.respond(200, headers, body.encode())

    def _limit(self):
        return (
            {} if self.rate_limit is None else {wire.SERVER_LIMIT: str(self.rate_limit)}
        )

    def _marks(self, run):
        return {
            wire.ATTEMPT_ID: run.id,
            wire.SIGNATURE: f"signature-of-{self.id}",
        } | self._limit()

    async def _run(self, reader, run, fault):
        if fault is Fault.HANG:
            await asyncio.sleep(3600)
        if fault is Fault.CRASH_BEFORE_ANSWER:
            reader.close()
        elif fault is Fault.ERROR:
            reader.respond(500, self._marks(run), b"failed")
        elif fault is Fault.UNSIGNED:
            reader.respond(200, {wire.ATTEMPT_ID: run.id}, b"not the engine's")
        elif self.stage:
            await self._stream(reader, run, fault)
        elif fault is Fault.PAUSE:
            await asyncio.sleep(PAUSE_SECONDS)
            self._whole(reader, run, fault)
        else:
            self._whole(reader, run, fault)

    def _whole(self, reader, run, fault):
        body = f"{self.id} answers {run.id}".encode()
        if fault is Fault.LATE_OTHER:
            reader.raw(_raw_answer({wire.ATTEMPT_ID: "other"}, b"someone else's"))
        if fault is Fault.UNFRAMED:
            reader.raw(_raw_head(self._marks(run)) + body)
            reader.close()
            return
        if fault is Fault.CUT:
            reader.raw(_raw_answer(self._marks(run), body)[:-4])
            reader.close()
            return
        reader.respond(200, self._marks(run), body)
        if fault is Fault.EXTRA:
            reader.raw(_raw_answer(self._marks(run), b"a second answer"))

    async def _stream(self, reader, run, fault):
        first = run.last_event_id + 1
        reader.begin(self._marks(run) | {"Content-Type": "text/event-stream"})
        for number in range(first, self.events + 1):
            if number - first == 2 and fault is Fault.CUT:
                reader.close()
                return
            if number - first == 2 and fault is Fault.CUT_MID_EVENT:
                reader.write(f"id: {number}\nda".encode())
                reader.close()
                return
            if number - first == 2 and fault is Fault.STALL:
                await asyncio.sleep(3600)
            if number - first == 2 and fault is Fault.PAUSE:
                await asyncio.sleep(PAUSE_SECONDS)
            reader.write(f"id: {number}\ndata: {run.id}\n\n".encode())
            await asyncio.sleep(self.event_interval_seconds)
        reader.finish_stream()


def _raw_head(headers):
    lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _raw_answer(headers, body):
    return _raw_head(headers | {"Content-Length": len(body)}) + body


class _Reader(tornado.httputil.HTTPMessageDelegate):
    """Reads one request and answers it as the engine says."""

    def __init__(self, engine, connection):
        self.engine = engine
        self.connection = connection
        self.start_line = None
        self.headers = None
        self.body = b""
        self.task = None

    def headers_received(self, start_line, headers):
        self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk):
        self.body += chunk

    def finish(self):
        self.task = asyncio.ensure_future(self.engine.answer(self))
        self.connection.set_close_callback(self.on_connection_close)

    def on_connection_close(self):
        if self.task is not None:
            self.task.cancel()

    def _start(self, status):
        return tornado.httputil.ResponseStartLine("HTTP/1.1", status, "OK")

    def respond(self, status, headers, body):
        """Send a whole answer."""
        fields = tornado.httputil.HTTPHeaders(headers)
        fields["Content-Length"] = str(len(body))
        self.connection.write_headers(self._start(status), fields, body or None)
        self.connection.finish()

    def begin(self, headers):
        """Begin a streamed answer."""
        self.connection.write_headers(
            self._start(200), tornado.httputil.HTTPHeaders(headers)
        )

    def write(self, chunk):
        """Send a part of a streamed answer."""
        self.connection.write(chunk)

    def finish_stream(self):
        """End a streamed answer."""
        self.connection.finish()

    def raw(self, data):
        """Send bytes as they are."""
        self.connection.stream.write(data)

    def close(self):
        """Close the connection, whatever was sent."""
        self.connection.stream.close()


class _Server(tornado.httputil.HTTPServerConnectionDelegate):
    def __init__(self, engine):
        self.engine = engine

    def start_request(self, server_conn, request_conn):
        reader = _Reader(self.engine, request_conn)
        self.engine.readers.add(reader)
        return reader
