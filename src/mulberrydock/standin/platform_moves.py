"""The memory of runs that stand-in engines copy to each other, with scripted faults."""

import asyncio
import enum
import itertools
import json

import attrs

from ..platform import wire


class MoveFault(enum.Enum):
    """What becomes of a call that moves a run.

    - ``BUSY``, ``ENDED``: answered as if another call were in progress, or no such run.
    - ``LOSE``: carried out, but the connection closes without an answer.
    - ``HANG``: neither carried out nor answered.
    - ``CRASH``, ``CRASH_AFTER``: the engine terminates before it is carried out, or as
      soon as it is answered.
    - ``LAPSE``: carried out, and the memory is gone at once, at both engines.
    - ``GONE``: carried out; the other engine terminates before it is answered.
    """

    NONE = "none"
    BUSY = "busy"
    ENDED = "ended"
    LOSE = "lose"
    HANG = "hang"
    CRASH = "crash"
    CRASH_AFTER = "crash-after"
    LAPSE = "lapse"
    GONE = "gone"


@attrs.define(eq=False)
class Memory:
    """The memory of a run, kept by the engines at the addresses ``holders``."""

    request_id: str
    source: str
    holders: set = attrs.field(factory=set)
    used: bool = False


@attrs.define(eq=False)
class MoveLedger:
    """What a test's engines keep for each other.

    :param transfer_seconds: duration of a copy.

    ``full`` holds the addresses of engines without room, ``faults`` the
    :class:`MoveFault` of the next calls. For assertions, ``calls`` lists the (request
    id, source, destination address, last) of all calls, ``mixed`` the ids of requests
    that were to go on from the memory of another one, and ``refused`` of those whose
    memory was gone.
    """

    transfer_seconds: float = 0.0
    full: set = attrs.field(factory=set)
    faults: list = attrs.field(factory=list)
    memories: dict = attrs.field(factory=dict)
    calls: list = attrs.field(factory=list)
    mixed: list = attrs.field(factory=list)
    refused: list = attrs.field(factory=list)
    engines: dict = attrs.field(factory=dict)
    numbers: object = attrs.field(factory=itertools.count)

    async def move(self, engine, reader):
        """Answer a call to ``engine`` that moves one of its runs."""
        body = json.loads(reader.body)
        self.calls.append((body["id"], engine.id, body["to"], body["last"]))
        fault = self.faults.pop(0) if self.faults else MoveFault.NONE
        run = next((r for r in engine.running() if r.id == body["id"]), None)
        if fault is MoveFault.HANG:
            await asyncio.sleep(3600)
        elif fault is MoveFault.CRASH:
            engine.terminate()
        elif fault is MoveFault.BUSY:
            reader.respond(409, {}, b"")
        elif fault is MoveFault.ENDED or not self._has_memory(run, body["id"]):
            reader.respond(404, {}, b"")
        else:
            await self._copy(engine, reader, run, body, fault)

    def _has_memory(self, run, request_id):
        return run is not None or any(
            m.request_id == request_id and not m.used for m in self.memories.values()
        )

    async def _copy(self, engine, reader, run, body, fault):
        if body["last"] and run is not None:
            run.ended = "stopped"
            run.reader.close()
        await asyncio.sleep(self.transfer_seconds)
        handle, memory = self._memory(engine, body["id"])
        fits = body["to"] not in self.full
        if fits:
            memory.holders.add(body["to"])
        if body["last"]:
            memory.holders.add(engine.address)
        if fault is MoveFault.LAPSE:
            memory.holders.clear()
        if fault is MoveFault.GONE:
            self.engines[body["to"]].terminate()
        if fault is MoveFault.LOSE:
            reader.close()
            return
        document = {"created": run.made if run else 0}
        if fits or body["last"]:
            document["kv_handle"] = handle
        reader.respond(200 if fits else 503, {}, json.dumps(document).encode())
        if fault is MoveFault.CRASH_AFTER:
            await asyncio.sleep(0)
            engine.terminate()

    def _memory(self, engine, request_id):
        """Return the handle and the :class:`Memory` of a run of ``engine``."""
        for handle, memory in self.memories.items():
            known = (memory.request_id, memory.source, memory.used)
            if known == (request_id, engine.address, False):
                return handle, memory
        handle = f"m{next(self.numbers)}"
        memory = self.memories[handle] = Memory(request_id, engine.address)
        return handle, memory

    def claim(self, engine, run):
        """Return whether ``engine`` may run a request: its memory is there if needed.

        Handles of prefilled prompts aren't checked.
        """
        source, _, handle = run.headers.get(wire.KV_SOURCE, "").rpartition("/")
        memory = self.memories.get(handle)
        if memory is None:
            return True
        if memory.request_id != run.id:
            self.mixed.append(run.id)
        held = engine.address in memory.holders and not memory.used
        if not held or memory.source != source:
            self.refused.append(run.id)
            return False
        memory.used = True
        return True
