"""Stand-in for a model engine, as PROTOCOL.md describes it.

It prefills, streams, resumes, reports, takes orders, and copies the memory of runs to
other engines. ``Memory`` stands for what an engine keeps of a run: a run that goes on
from a memory writes the text that belongs to that memory's request.
"""

import asyncio
import dataclasses
import itertools
import json
import time
import urllib.parse

from . import http1

ID = "X-Mulberrydock-Attempt-Id"
SIGNATURE = "X-Mulberrydock-Response-Signature"
INSTANCE = "X-Mulberrydock-Instance-Id"
EXPECT = "X-Mulberrydock-Expect-Instance"
NOT_RUN = "X-Mulberrydock-Not-Executed"
STAGE = "X-Mulberrydock-Stage"
SOURCE = "X-Mulberrydock-Kv-Source"
TOKENS = "X-Mulberrydock-Token-Counts"
LIMIT = "X-Mulberrydock-Deadline-Ms"
JSON = {"Content-Type": "application/json"}

#: The sheet of sctp-renewals: 92.1 prompt tokens a ms, 35.136 KB of KV cache a token,
#: links of 1,100 Gbit/s; a heartbeat each 1.2 s.
PREFILL_TOKENS_PER_SECOND = 92_100
KV_TOKEN_BYTES = 35_136
LINK_MBPS = 1_100_000
KV_TOKENS = 540_686
HEARTBEAT_SECONDS = 1.2
#: A transfer between zones takes twice as long.
ZONE_FACTOR = 2


@dataclasses.dataclass(eq=False)
class Run:
    id: str
    engine: str
    first: int
    prompt: int
    total: int
    text: str
    source: str
    began: float
    request: object
    version: str
    made: int = 0
    ended: str = ""
    ended_at: float = 0.0


@dataclasses.dataclass(eq=False)
class Memory:
    """The KV cache of a run or of a prefilled prompt, by handle."""

    handle: str
    owner: str
    text: str
    holders: set
    used: bool = False


class Pool:
    """What the engines of one service share: the transfers' memories and the log.

    ``log`` is called with one line of text for each thing that an engine does.
    """

    def __init__(self, log):
        self.log = log
        self.engines = {}
        self.memories = {}
        self.runs = []
        self.mixed = []
        self.numbers = itertools.count(0x3FA09C41B7D5)

    def remember(self, owner, text, holder):
        handle = f"{next(self.numbers):x}"
        self.memories[handle] = Memory(handle, owner, text, {holder})
        return self.memories[handle]


class Engine:
    """One engine.

    :param event_seconds: seconds between two events of a stream of a request.
    """

    def __init__(self, pool, store, name, address, service, zone, stage):
        self.pool, self.store, self.name, self.address = pool, store, name, address
        self.service, self.zone, self.stage = service, zone, stage
        self.server = http1.Server(address, self.handle)
        self.state = "ready"
        self.leaves_at = None
        self.slots = 64
        self.orders = 0
        self.fence = 0
        self.version = "v1"
        #: Unix millisecond of the engine's start; None if it doesn't say so.
        self.born = None
        self.beats = 0
        self.entry = None
        self.runs = []
        self.link = asyncio.Lock()
        self.reading = asyncio.Lock()
        self.event_seconds = lambda request: 0.03
        #: May write bytes on a channel before its next answer: ``extra(request)``.
        self.extra = lambda request: None
        #: Called with each complete stream: ``on_answer(channel, raw bytes, id)``.
        self.on_answer = lambda channel, raw, request_id: None
        self.task = None
        pool.engines[address] = self

    async def start(self):
        await self.server.start()
        self.task = asyncio.ensure_future(self._beat())

    def stop(self):
        if self.task is not None:
            self.task.cancel()
        self.server.stop()

    def register(self):
        """Send a heartbeat; the entry changes when more than ``sequence`` changes."""
        self.beats += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
        } | self._start_field()
        if entry != self.entry:
            self.entry = entry
            key = f"servers/{self.name}"
            self.store.write(key, entry | {"sequence": self.beats})

    def _start_field(self):
        return {} if self.born is None else {"born": self.born}

    async def crash(self, down_seconds, version):
        """Crash, and start again under the same id with another software version."""
        self.pool.log(f"{self.name} crashes")
        self.stop()
        await asyncio.sleep(down_seconds)
        self.orders = self.fence = self.beats = 0
        self.runs = []
        self.version, self.born = version, int(time.time() * 1000)
        self.server = http1.Server(self.address, self.handle)
        await self.start()
        self.pool.log(f"{self.name} starts again as {version}")

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def drain(self, seconds):
        """Report ``draining``, and state an end in so many seconds."""
        self.state = "draining"
        self.leaves_at = time.monotonic() + seconds
        self.register()
        self.pool.log(f"{self.name} reports draining, leaves in {seconds} s")

    async def leave(self):
        """End at the stated time and remove the record."""
        await asyncio.sleep(max(0.0, self.leaves_at - time.monotonic()))
        self.pool.log(f"{self.name} ends")
        self.stop()
        self.store.change({}, [f"servers/{self.name}"])

    def headers(self, request, more=None):
        """The headers of each answer; an engine that is leaving closes its channels."""
        fields = {"Keep-Alive": "timeout=10"}
        if request.headers.of(ID):
            fields[ID] = request.headers.of(ID)
        if self.state == "draining":
            fields = {"Connection": "close"} | fields
            del fields["Keep-Alive"]
        return fields | (more or {})

    def answer(self, request, status, more=None, body=b""):
        request.respond(status, self.headers(request, more), body)
        if self.state == "draining":
            request.close()

    def _is_too_large(self, request):
        """A request that is larger than the memory is rejected as if it were full."""
        counts = request.headers.of(TOKENS)
        return bool(counts) and int(counts.split(",")[0]) > KV_TOKENS

    async def handle(self, request):
        extra = self.extra(request)
        if extra:
            request.write(extra)
        expected = request.headers.of(EXPECT, self.name)
        if expected != self.name:
            self.answer(request, 421, {INSTANCE: self.name})
        elif request.path == "/report":
            self.answer(request, 200, JSON, json.dumps(self.report()).encode())
        elif request.path == "/order":
            self._order(request, json.loads(request.body))
        elif request.path == "/kv-move":
            await self._move(request, json.loads(request.body))
        elif request.path.startswith("/kv-handle/"):
            self.pool.memories.pop(request.path.rsplit("/", 1)[1], None)
            self.answer(request, 200)
        elif self._is_too_large(request):
            self.pool.log(f"{self.name} rejects {request.headers.of(ID)}: too large")
            self.answer(request, 503, {NOT_RUN: "1"})
        elif request.headers.of(STAGE) == "prefill":
            await self._prefill(request)
        else:
            await self._run(request)

    def running(self):
        return [run for run in self.runs if not run.ended]

    def report(self):
        rows = [[r.id, r.prompt + r.made, r.made, 1] for r in self.running()]
        document = {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self.orders,
            "queued": 0,
            "running": len(rows),
            "kv_used": sum(row[1] for row in rows),
            "kv_total": KV_TOKENS,
            "kv_handles": 0,
            "state": self.state,
            "runs": rows,
        }
        document |= self._start_field()
        if self.leaves_at is not None:
            left = self.leaves_at - time.monotonic()
            document["leaves_ms"] = max(0, int(left * 1000))
        return document

    def _order(self, request, order):
        if order["fencing_token"] < self.fence:
            self.answer(request, 412)
        elif order.get("expected", self.orders) != self.orders:
            self.answer(request, 409)
        else:
            self.fence = order["fencing_token"]
            self.orders += 1
            self.stage = order["stage"]
            self.pool.log(f"{self.name} takes the order {order}")
            self.register()
            self.answer(request, 202)

    async def _prefill(self, request):
        if self.stage != "prefill":
            self.answer(request, 421, {INSTANCE: self.name})
            return
        tokens = int(request.headers.of(TOKENS).split(",")[0])
        async with self.reading:
            await asyncio.sleep(tokens / PREFILL_TOKENS_PER_SECOND)
        request_id = request.headers.of(ID)
        memory = self.pool.remember(request_id, request_id, self.address)
        body = {"kv_handle": memory.handle, "tokens": tokens, "version": 1}
        self.answer(request, 200, JSON, json.dumps(body).encode())

    def _take(self, request):
        """Return the text of the memory that a request goes on from, and its owner.

        None if it names a memory that can't be had.
        """
        request_id, source = request.headers.of(ID), request.headers.of(SOURCE)
        if not source:
            return request_id
        address, _, handle = source.partition("/")
        memory = self.pool.memories.get(handle)
        if memory is None or memory.used:
            return None
        prefilled = address in memory.holders and len(memory.holders) == 1
        held = self.address in memory.holders
        if not held and not (prefilled and address != self.address):
            return None
        memory.used = True
        if memory.owner != request_id:
            self.pool.mixed.append((request_id, memory.owner, self.name))
            self.pool.log(
                f"MIXED: {self.name} runs {request_id} from the memory "
                f"{handle} of {memory.owner}"
            )
        return memory.text

    async def _run(self, request):
        request_id = request.headers.of(ID)
        if self.stage == "prefill":
            self.answer(request, 421, {INSTANCE: self.name})
            return
        text = self._take(request)
        if text is None:
            self.answer(request, 503, {NOT_RUN: "1"})
            return
        prompt, total = map(int, request.headers.of(TOKENS).split(","))
        if not request.headers.of(SOURCE):
            async with self.reading:
                await asyncio.sleep(2 * prompt / PREFILL_TOKENS_PER_SECOND)
        first = int(request.headers.of("Last-Event-Id", "0")) + 1
        query = dict(urllib.parse.parse_qsl(request.query))
        total = int(query.get("events", total))
        run = Run(
            request_id,
            self.name,
            first,
            prompt,
            total,
            text,
            request.headers.of(SOURCE),
            time.monotonic(),
            request,
            self.version,
        )
        run.made = first - 1
        self.runs.append(run)
        self.pool.runs.append(run)
        origin = f"from {run.source}" if run.source else "from its prompt"
        self.pool.log(f"{self.name} runs {request_id} after event {first - 1} {origin}")
        try:
            await self._stream(request, run)
        except asyncio.CancelledError:
            run.ended = run.ended or "dropped"
            raise
        finally:
            run.ended_at = time.monotonic()
            self.pool.log(
                f"{self.name}: run of {request_id} {run.ended} at event {run.made}"
            )

    async def _stream(self, request, run):
        fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        signature = {SIGNATURE: f"{self.name}.{run.id}"}
        raw = http1.response_head(200, self.headers(request, signature | fields))
        request.write(raw)
        limit = time.monotonic() + int(request.headers.of(LIMIT, "60000")) / 1000
        pause = self.event_seconds(request)
        for number in range(run.first, run.total + 1):
            event = self._event(run, number)
            raw += http1.chunk(event)
            request.write(http1.chunk(event))
            run.made = number
            await asyncio.sleep(pause)
            if run.ended:
                return
            if time.monotonic() > limit:
                run.ended = "reached its time limit"
                request.close()
                return
        run.ended = "done"
        request.write(http1.LAST_CHUNK)
        self.on_answer(request.channel, raw + http1.LAST_CHUNK, run.id)
        if self.state == "draining":
            request.close()

    def _event(self, run, number):
        text = f"{run.text} word {number} by {run.version}"
        return f"id: {number}\ndata: {text}\n\n".encode()

    async def _move(self, request, body):
        """Copy a run's memory; transfers of one engine run one after the other."""
        run = next((r for r in self.running() if r.id == body["id"]), None)
        log = f"{self.name}: kv-move of {body['id']} to {body['to']}"
        self.pool.log(f"{log}, last={body['last']}")
        if run is None:
            known = [
                m
                for m in self.pool.memories.values()
                if m.owner == body["id"] and self.address in m.holders and not m.used
            ]
            if not known:
                self.answer(request, 404)
                return
            self._answer_move(request, known[-1], 0)
            return
        if body["last"]:
            # The run stops first, and its stream is closed without its end.
            run.ended = "stopped for a move"
            run.request.close()
        other = self.pool.engines[body["to"]]
        seconds = run.prompt * KV_TOKEN_BYTES * 8 / (LINK_MBPS * 1e6)
        if other.zone != self.zone:
            seconds *= ZONE_FACTOR
        memory = next(
            (
                m
                for m in self.pool.memories.values()
                if m.owner == run.id and other.address in m.holders and not m.used
            ),
            None,
        )
        async with self.link:
            # A second copy holds only what is new.
            await asyncio.sleep(0.0005 if memory else seconds)
        if memory is None:
            memory = self.pool.remember(run.id, run.text, other.address)
        if body["last"]:
            memory.holders.add(self.address)
        self._answer_move(request, memory, run.made)

    def _answer_move(self, request, memory, created):
        self.pool.log(
            f"{self.name}: copy {memory.handle} of {memory.owner} is complete"
        )
        body = {"kv_handle": memory.handle, "created": created}
        self.answer(request, 200, JSON, json.dumps(body).encode())
