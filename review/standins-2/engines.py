"""Model engines in the script's own process.

They stream events, copy the memory of runs to each other (``POST /kv-move``) over one
link each, and go on from such memory, as PROTOCOL.md says. Prompts are read at once.
"""

import asyncio
import json
import math
import time

from lab import PREFIX, Server, response, signature

NOT_EXECUTED = [(f"{PREFIX}Not-Executed", "1")]


class Run:
    """One run at an engine; ``made`` is the number of its last event."""

    def __init__(self, request_id, tokens, total, made, writer):
        self.id, self.tokens, self.total, self.made = request_id, tokens, total, made
        self.writer = writer
        self.stopped = False


class Pool:
    """What the engines of one pool share."""

    def __init__(self, lab, service, slots, token_bytes, link_mbps, stride, interval):
        self.lab, self.service, self.slots = lab, service, slots
        self.token_seconds = 8 * token_bytes / (link_mbps * 1e6)
        self.stride, self.interval = stride, interval
        self.states_birth = False
        self.engines = {}

    async def add(self, name, zone, stage="decode", framed=True):
        engine = Engine(self, name, zone, stage, framed)
        await engine.start()
        self.engines[engine.address] = engine
        engine.register()
        self.lab.record.write("engine started", id=name, address=engine.address)
        return engine


class Engine(Server):
    """One engine; ``link_factor`` is by how much its moves of memory are slowed down.

    Streams of the requests in ``unframed_ids`` have no length and end with their channel.
    """

    def __init__(self, pool, name, zone, stage, framed):
        self.pool, self.name, self.zone = pool, name, zone
        self.born = int(time.time() * 1000)
        self.stage, self.framed = stage, framed
        self.state, self.sequence = "ready", 0
        self.ends_at = None
        self.runs = {}
        self.memories = {}
        self.moving = set()
        self.link = asyncio.Lock()
        self.link_factor = 1.0
        self.unframed_ids = frozenset()
        self.has_room = True

    @property
    def record(self):
        return self.pool.lab.record

    def register(self):
        """Write the engine's entry; return the store's revision."""
        models = [{"name": "m", "version": 1, "adapters": []}]
        return self.pool.lab.store.write(
            f"servers/{self.name}",
            {
                "service": self.pool.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.pool.slots,
                "state": self.state,
                "cold_remaining_ms": 0,
                "stage": self.stage,
                "models": models,
                "sequence": 1,
                **self._birth(),
            },
        )

    def _birth(self):
        """Return what an engine says of its start where engines do so."""
        return {"born": self.born} if self.pool.states_birth else {}

    async def crash(self, seconds):
        """Crash, and start again under the same id, with nothing of before."""
        self.record.write("engine crashes", id=self.name, runs=len(self.runs))
        self.runs, self.memories, self.sequence = {}, {}, 0
        await super().crash(seconds)
        self.born = int(time.time() * 1000)
        self.register()
        self.record.write("engine started again", id=self.name)

    async def drain(self, seconds):
        """Leave as planned: say so, serve on for ``seconds``, then exit."""
        self.state = "draining"
        self.register()
        self.record.write("engine says that it leaves (draining)", id=self.name)
        await asyncio.sleep(seconds)
        await self.close()
        self.pool.lab.store.remove(f"servers/{self.name}")
        self.record.write("engine gone", id=self.name, still_running=len(self.runs))

    async def handle(self, request, reader, writer):
        method, target, headers, body = request
        expected = headers.get(f"{PREFIX}Expect-Instance".lower(), self.name)
        if expected != self.name:
            writer.write(response(421, headers=[(f"{PREFIX}Instance-Id", self.name)]))
        elif target == "/report":
            writer.write(response(200, self.report()))
        elif target == "/order":
            writer.write(self.order(json.loads(body)))
        elif target == "/kv-move":
            writer.write(await self.move(json.loads(body)))
        elif target.startswith("/kv-handle/"):
            self.free(target.removeprefix("/kv-handle/"))
            writer.write(response(200, {}))
        else:
            return await self.run(method, target, headers, writer)
        await writer.drain()

    def report(self):
        used = sum(run.tokens for run in self.runs.values())
        return {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self.sequence,
            "queued": 0,
            "running": len(self.runs),
            "kv_used": used,
            "kv_total": 468958,
            "kv_handles": len(self.memories),
            "state": self.state,
            "next": 0,
            "runs": [[r.id, r.tokens, r.made, 1] for r in self.runs.values()],
            **self._birth(),
        }

    def order(self, body):
        if body.get("expected", self.sequence) != self.sequence:
            return response(409, {})
        if body["stage"] == self.stage:
            return response(200, {})
        self.sequence += 1
        self.stage = body["stage"]
        self.register()
        return response(202, {})

    def free(self, handle):
        for engine in self.pool.engines.values():
            engine.memories.pop(handle, None)

    async def move(self, body):
        """Copy a run's memory to another engine; with ``last`` the run stops first."""
        request_id, destination = body["id"], self.pool.engines.get(body["to"])
        run, handle = self.runs.get(request_id), f"h-{request_id}"
        if request_id in self.moving:
            self.record.write("move refused, in progress", id=request_id, status=409)
            return response(409, {})
        if run is None and handle not in self.memories:
            self.record.write("move refused, no such run", id=request_id, status=404)
            return response(404, {})
        self.moving.add(request_id)
        # A caller that leaves doesn't end the copy.
        copy = asyncio.ensure_future(self._move(run, handle, destination, body))
        return await asyncio.shield(copy)

    async def _move(self, run, handle, destination, body):
        request_id, last, started = body["id"], body["last"], time.monotonic()
        memory = self.memories.get(handle)
        try:
            if last and run is not None:
                run.stopped = True
                del self.runs[request_id]
                run.writer.close()
                memory = self.memories.setdefault(handle, Memory(run))
                memory.made = run.made
                self.record.write(
                    "run stopped for a move", id=request_id, at=self.name, made=run.made
                )
            tokens = run.tokens if run else memory.run.tokens
            copied = destination.memories.get(handle) if destination else None
            new = tokens - (copied.tokens if copied else 0)
            async with self.link:
                factor = self.link_factor * (
                    2 if destination and destination.zone != self.zone else 1
                )
                await asyncio.sleep(new * self.pool.token_seconds * factor)
            fits = destination is not None and destination.has_room
            made = run.made if run else memory.made
            if fits:
                copy = destination.memories.setdefault(handle, Memory(run or memory.run))
                copy.tokens, copy.made = tokens, made
            self.record.write(
                "move answered",
                id=request_id,
                last=last,
                status=200 if fits else 503,
                seconds=round(time.monotonic() - started, 3),
            )
            if fits:
                return response(200, {"kv_handle": handle, "created": made})
            return response(503, {"kv_handle": handle} if last else {})
        finally:
            self.moving.discard(request_id)

    async def run(self, method, target, headers, writer):
        request_id = headers.get(f"{PREFIX}Attempt-Id".lower(), "")
        if not request_id:
            writer.write(response(400, headers=NOT_EXECUTED))
            return True
        echo = [(f"{PREFIX}Attempt-Id", request_id)]
        counts = headers.get(f"{PREFIX}Token-Counts".lower(), "0,0").split(",")
        tokens, output = map(int, counts)
        if headers.get(f"{PREFIX}Stage".lower()) == "prefill":
            if self.stage != "prefill":
                writer.write(response(421, headers=echo))
                return True
            document = {"kv_handle": f"p-{request_id}", "tokens": tokens, "version": 1}
            writer.write(response(200, document, echo))
            return True
        if self.stage == "prefill":
            writer.write(response(421, headers=echo))
            return True
        source = headers.get(f"{PREFIX}Kv-Source".lower(), "")
        handle = source.rpartition("/")[2]
        if handle.startswith("h-"):
            memory = self.memories.pop(handle, None)
            if memory is None:
                self.record.write("refused, memory gone", id=request_id, at=self.name)
                writer.write(response(503, headers=[*NOT_EXECUTED, *echo]))
                return True
            for engine in self.pool.engines.values():
                engine.memories.pop(handle, None)
        made = int(headers.get("last-event-id", 0))
        total = math.ceil(output / self.pool.stride)
        run = Run(request_id, tokens + made * self.pool.stride, total, made, writer)
        self.runs[request_id] = run
        self.record.write(
            "runs", id=request_id, at=self.name, state=self.state, after_event=made
        )
        try:
            return await self.stream(run, echo)
        finally:
            if self.runs.get(request_id) is run:
                del self.runs[request_id]

    async def stream(self, run, echo):
        framed = self.framed and run.id not in self.unframed_ids
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in echo]
        lines += [f"{PREFIX}Response-Signature: {signature(run.id)}"]
        lines += ["Transfer-Encoding: chunked" if framed else "Connection: close"]
        run.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        while run.made < run.total:
            await asyncio.sleep(self.pool.interval)
            if run.stopped or run.writer.is_closing():
                return False
            run.made += 1
            run.tokens += self.pool.stride
            event = event_of(run.id, run.made)
            if framed:
                event = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            run.writer.write(event)
            await run.writer.drain()
        if framed:
            run.writer.write(b"0\r\n\r\n")
        self.record.write("run whole", id=run.id, at=self.name, made=run.made)
        return framed


class Memory:
    """The memory of a run, as far as it was copied."""

    def __init__(self, run):
        self.run, self.tokens, self.made = run, 0, 0


def event_of(request_id, number):
    """Return the bytes of one event of a stream."""
    return f"id: {number}\ndata: {request_id} piece {number}\n\n".encode()
