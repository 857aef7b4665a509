"""Stand-in for the platform's engines and plain services, with scripted faults.

It answers unstreamed calls, streams, prefill calls, reports and orders, and injects the
faults that a test lists. It doesn't simulate an engine's speed.
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
from .listening import ListenerMixin


class Fault(enum.Enum):
    """What the instance does with a request instead of serving it normally.

    - ``REFUSE``: answers 503 and states that the request was not executed.
    - ``ERROR``: answers 500.
    - ``HANG``: never answers.
    - ``CUT``, ``CUT_MID_EVENT``: closes the connection in the middle of the response,
      or of a stream's event.
    - ``CRASH_BEFORE_ANSWER``: closes the connection before it responds.
    - ``UNFRAMED``: sends a response, also a stream, that has no length and ends with
      its connection; after ``UNFRAMED_PAUSE`` the process is silent for
      :data:`PAUSE_SECONDS`.
    - ``UNFRAMED_CRASH``, ``UNFRAMED_CRASH_AT_ONCE``: the process crashes during such a
      response, between two events or before the first, and closes the connection
      without a reset.
    - ``EXTRA``: sends a second response after the first.
    - ``LATE_OTHER``: sends the response to another request first.
    - ``UNSIGNED``: sends a response without the response signature.
    - ``STALL``, ``PAUSE``: a stream stops for good, or for :data:`PAUSE_SECONDS`; a
      unstreamed response is late by as much.
    """

    NONE = "none"
    REFUSE = "refuse"
    ERROR = "error"
    HANG = "hang"
    CUT = "cut"
    CUT_MID_EVENT = "cut-mid-event"
    CRASH_BEFORE_ANSWER = "crash-before-answer"
    UNFRAMED = "unframed"
    UNFRAMED_PAUSE = "unframed-pause"
    UNFRAMED_CRASH = "unframed-crash"
    UNFRAMED_CRASH_AT_ONCE = "unframed-crash-at-once"
    EXTRA = "extra"
    LATE_OTHER = "late-other"
    UNSIGNED = "unsigned"
    STALL = "stall"
    PAUSE = "pause"


#: Faults of responses that end with their connection.
UNFRAMED_FAULTS = (
    Fault.UNFRAMED,
    Fault.UNFRAMED_PAUSE,
    Fault.UNFRAMED_CRASH,
    Fault.UNFRAMED_CRASH_AT_ONCE,
)
#: Duration of a pause: longer than any progress timeout after which a request may be
#: sent to another instance, shorter than the requests' deadline.
PAUSE_SECONDS = 1.5
#: Time after which a crashed process has restarted.
CRASH_SECONDS = 0.5
#: Time from the head of a response to the crash that its prompt causes.
CRASH_DELAY_SECONDS = 0.03


@attrs.define
class Run:
    """A request that the instance started to execute.

    ``ended`` is "done", "cancelled" or "stopped", empty while it runs; ``made`` is the
    last event that it has made.
    """

    id: str
    method: str
    target: str
    headers: tornado.httputil.HTTPHeaders
    body: bytes
    last_event_id: int
    ended: str = ""
    made: int = 0
    reader: object = None


@attrs.define(eq=False)
class PlatformEngine:
    """One engine or plain-service instance.

    :param address: ``host:port`` that its record names; a proxy's may be set later.
    :param stage: "prefill" or "decode", empty for a plain service.
    :param events: number of events in a complete stream; their ids start at 1.
    :param event_interval_seconds: seconds between two events.
    :param response_seconds: seconds before each unstreamed response.
    :param prefill_gate: prefill calls are answered only once this event is set.
    :param prefill_refusals: for each element one prefill call is refused; several
        engines may share the list, so that whichever is called first refuses.
    :param faults: a :class:`Fault` for each of the next requests, in order.
    :param started_at_ms: start of the incarnation in Unix milliseconds, None when its
        record and report don't state it.
    :param crash_marker: a request whose body contains these bytes crashes the process.
    :param crash_parts: ids of prompt parts that crash the process as it begins to write
        an answer, in any position but the last; a prefill call does no harm.
    :param on_crash: called with this object when the process crashes.
    :param on_restart: called with this object after the process has restarted.
    :param rate_limit: rate limit that its responses declare, in requests per second.
    :param leaving: its responses state that it is about to terminate.
    :param version: what its record states as the version of its software, None for a
        record without one.
    :param retry_after: seconds without further calls that its refusals ask for.
    :param moves: the :class:`~mulberrydock.standin.platform_moves.MoveLedger` of
        engines that move runs, None for one that doesn't.
    :param states_leave: whether its report says when it terminates.

    For assertions, ``runs`` lists the requests that it started to execute,
    ``arrived_ids`` the ids of all that arrived, ``arrival_times`` their times in
    monotonic seconds, ``prefills`` the ids of prefill calls, ``released_handles`` the
    KV handles that were released, ``crash_times`` the times of its crashes,
    ``crashed_parts`` the parts that caused some of them, ``refusals`` the (id, time,
    pause) of the requests refused with a pause, and ``misdirected`` counts the calls
    for another instance.
    """

    id: str
    address: str
    service: str
    stage: str = ""
    data_centre: str = "dc1"
    events: int = 4
    event_interval_seconds: float = 0.0
    response_seconds: float = 0.0
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
    crash_parts: frozenset = frozenset()
    on_crash: t.Callable = lambda engine: None
    on_restart: t.Callable = lambda engine: None
    crashes: int = 0
    crash_times: list = attrs.field(factory=list)
    crashed_parts: list = attrs.field(factory=list)
    server_running: bool = False
    rate_limit: float | None = None
    leaving: bool = False
    retry_after: float | None = None
    moves: object = None
    states_leave: bool = True
    leaves_at: float | None = None
    silent_until: float = 0.0
    version: object = "v1"
    arrived_ids: list = attrs.field(factory=list)
    arrival_times: list = attrs.field(factory=list)
    refusals: list = attrs.field(factory=list)
    listen_address: str = ""
    server: object = None
    readers: weakref.WeakSet = attrs.field(factory=weakref.WeakSet)

    def store_document(self, state="ready"):
        """Return the document with which the instance registers in the store."""
        document = {
            "service": self.service,
            "address": self.address,
            "zone": self.data_centre,
            "slots": 4,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 7,
        }
        if self.stage:
            document["stage"] = self.stage
        if self.version is not None:
            document["version"] = self.version
        return document | self._start_field()

    def _start_field(self):
        return {} if self.started_at_ms is None else {"born": self.started_at_ms}

    def listen(self):
        """Start to serve on the running event loop.

        Later calls listen on the address of the first one: by then ``address`` may be
        that of a proxy.
        """
        self.listen_address = self.listen_address or self.address
        host, port = self.listen_address.split(":")
        self.server = _Server(_ConnectionDelegate(self))
        self.server.listen(int(port), address=host)
        self.server_running = True

    def restart(self, started_at_ms):
        """Restart under the same id, without the state of the previous incarnation.

        :param started_at_ms: start of the new incarnation in Unix milliseconds.
        """
        self.started_at_ms = started_at_ms
        self.orders = []
        self.prefills = []
        for reader in list(self.readers):
            reader.close()

    def crash(self):
        """Crash, and restart under the same id after :data:`CRASH_SECONDS`."""
        self.crashes += 1
        self.crash_times.append(time.monotonic())
        self.on_crash(self)
        self.stop()
        for reader in list(self.readers):
            reader.close()
        asyncio.get_running_loop().call_later(CRASH_SECONDS, self._restart_after_crash)

    def _restart_after_crash(self):
        self.started_at_ms = int(time.time() * 1000)
        self.listen()
        self.on_restart(self)

    def stop(self):
        """Stop listening, so that new connections are refused."""
        self.server_running = False
        self.server.stop()

    def leave(self, seconds):
        """Terminate after ``seconds``, without regard to what runs then."""
        self.leaves_at = time.monotonic() + seconds
        asyncio.get_running_loop().call_later(seconds, self.terminate)

    def terminate(self):
        """Stop listening and cut off everything that runs."""
        self.stop()
        for reader in list(self.readers):
            reader.close()

    async def answer(self, reader):
        """Answer one request.

        :param reader: the :class:`_Reader` that received it and sends the response.
        """
        while time.monotonic() < self.silent_until:
            await asyncio.sleep(self.silent_until - time.monotonic())
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
        elif path == "/kv-move" and self.moves is not None:
            await self.moves.move(self, reader)
        else:
            await self._serve(reader)

    def _report(self):
        report = {
            "stage": self.stage,
            "models": [],
            "busy": False,
            "sequence": len(self.orders),
            "queued": 0,
            "running": 0,
            "state": "ready" if self.leaves_at is None else "draining",
            "runs": [[r.id, 100 + r.made, r.made, 1] for r in self.running()],
        }
        if self.leaves_at is not None and self.states_leave:
            left = self.leaves_at - time.monotonic()
            report["leaves_ms"] = max(0, int(left * 1000))
        return report | self._start_field()

    def running(self):
        """Return the runs in progress."""
        return [run for run in self.runs if not run.ended]

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
            self._refuse(reader)
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
            reader=reader,
        )
        if self.moves is not None and not self.moves.claim(self, run):
            self._refuse(reader)
            return
        self.runs.append(run)
        if self.crash_marker and self.crash_marker in reader.body:
            self.crash()
            return
        deadly = self.crash_parts & _shared_part_ids(reader.headers)
        if deadly:
            reader.begin(self._response_headers(run))
            await asyncio.sleep(CRASH_DELAY_SECONDS)
            if self.server_running:
                self.crashed_parts.extend(deadly)
                self.crash()
            return
        try:
            await self._run(reader, run, fault)
            run.ended = run.ended or "done"
        except asyncio.CancelledError:
            run.ended = run.ended or "cancelled"
            raise

    async def _prefill(self, reader):
        if self.prefill_refusals:
            self.prefill_refusals.pop()
            self._refuse(reader)
            return
        handle = f"h{len(self.prefills)}"
        self.prefills.append(reader.headers.get(wire.ATTEMPT_ID))
        if self.prefill_gate is not None:
            await self.prefill_gate.wait()
        body = json.dumps({"kv_handle": handle, "tokens": 10, "version": 1})
        reader.respond(200, {wire.ATTEMPT_ID: self.prefills[-1]}, body.encode())

    def _refuse(self, reader):
        headers = {wire.NOT_EXECUTED: "1"}
        if self.retry_after is not None:
            headers[wire.RETRY_AFTER] = str(self.retry_after)
            refused_id = reader.headers.get(wire.ATTEMPT_ID, "")
            self.refusals.append((refused_id, time.monotonic(), self.retry_after))
        reader.respond(503, headers, b"")

    def statements(self):
        """Return the headers of every response about the instance itself."""
        headers = {}
        if self.rate_limit is not None:
            headers[wire.SERVER_LIMIT] = str(self.rate_limit)
        if self.leaving:
            headers[wire.SERVER_LEAVING] = "1"
        return headers

    def _response_headers(self, run):
        return {
            wire.ATTEMPT_ID: run.id,
            wire.SIGNATURE: f"signature-of-{self.id}",
        } | self.statements()

    async def _run(self, reader, run, fault):
        if fault is Fault.HANG:
            await asyncio.sleep(3600)
        if not self.stage:
            await asyncio.sleep(self.response_seconds)
        if fault is Fault.CRASH_BEFORE_ANSWER:
            reader.close()
        elif fault is Fault.ERROR:
            reader.respond(500, self._response_headers(run), b"failed")
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
            reader.raw(_raw_response({wire.ATTEMPT_ID: "other"}, b"someone else's"))
        if fault in UNFRAMED_FAULTS:
            crashes = fault not in (Fault.UNFRAMED, Fault.UNFRAMED_PAUSE)
            reader.raw(_raw_head(self._response_headers(run)) + body[crashes * 4 :])
            self.crash() if crashes else self._end_unframed(reader, fault)
            return
        if fault is Fault.CUT:
            reader.raw(_raw_response(self._response_headers(run), body)[:-4])
            reader.close()
            return
        reader.respond(200, self._response_headers(run), body)
        if fault is Fault.EXTRA:
            reader.raw(_raw_response(self._response_headers(run), b"a second answer"))

    async def _stream_unframed(self, reader, run, fault):
        headers = self._response_headers(run) | {"Content-Type": "text/event-stream"}
        reader.raw(_raw_head(headers))
        for number in range(run.last_event_id + 1, self.events + 1):
            if fault is Fault.UNFRAMED_CRASH_AT_ONCE or (
                fault is Fault.UNFRAMED_CRASH and number - run.last_event_id == 3
            ):
                self.crash()
                return
            reader.raw(self._event(run, number))
            run.made = number
            await asyncio.sleep(self.event_interval_seconds)
        self._end_unframed(reader, fault)

    def _end_unframed(self, reader, fault):
        if fault is Fault.UNFRAMED_PAUSE:
            self.silent_until = time.monotonic() + PAUSE_SECONDS
        reader.close()

    def _event(self, run, number):
        event = f"id: {number}\nversion: {self.version}\ndata: {run.id}\n\n"
        return event.encode()

    async def _stream(self, reader, run, fault):
        if fault in UNFRAMED_FAULTS:
            await self._stream_unframed(reader, run, fault)
            return
        first = run.last_event_id + 1
        reader.begin(
            self._response_headers(run) | {"Content-Type": "text/event-stream"}
        )
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
            reader.write(self._event(run, number))
            run.made = number
            await asyncio.sleep(self.event_interval_seconds)
        reader.finish_stream()


def _shared_part_ids(headers):
    """Return the ids of a prompt's parts, without the last one."""
    parts = headers.get(wire.PROMPT_PREFIX, "").split(",")
    return {part.partition(":")[0] for part in parts[:-1]}


def _raw_head(headers):
    lines = ["HTTP/1.1 200 OK"] + [f"{k}: {v}" for k, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _raw_response(headers, body):
    return _raw_head(headers | {"Content-Length": len(body)}) + body


class _Reader(tornado.httputil.HTTPMessageDelegate):
    """Receives one request and sends the engine's response."""

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
        """Send a complete response."""
        fields = tornado.httputil.HTTPHeaders(headers | self.engine.statements())
        fields["Content-Length"] = str(len(body))
        self.connection.write_headers(self._start(status), fields, body or None)
        self.connection.finish()

    def begin(self, headers):
        """Start a streamed response."""
        self.connection.write_headers(
            self._start(200), tornado.httputil.HTTPHeaders(headers)
        )

    def write(self, chunk):
        """Send a part of a streamed response."""
        self.connection.write(chunk)

    def finish_stream(self):
        """End a streamed response."""
        self.connection.finish()

    def raw(self, data):
        """Send bytes without framing."""
        self.connection.stream.write(data)

    def close(self):
        """Close the connection, even in the middle of a response."""
        self.connection.stream.close()


class _Server(ListenerMixin, tornado.httpserver.HTTPServer):
    """Serves an engine until it stops or crashes."""


class _ConnectionDelegate(tornado.httputil.HTTPServerConnectionDelegate):
    def __init__(self, engine):
        self.engine = engine

    def start_request(self, server_conn, request_conn):
        reader = _Reader(self.engine, request_conn)
        self.engine.readers.add(reader)
        return reader
