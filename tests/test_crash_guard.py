"""Requests that crash engines, at the entry daemon, over loopback connections.

As in ``test_crashing_request``, a request crashes every engine that runs it and comes
again, to any entry. The same failure: an entry remembered failures by engine, but not
by the request that caused them.
"""

import asyncio
import json
import socket
import time

import attrs
import pytest

from mulberrydock import crash_guard
from mulberrydock.admission import RetryBudget
from mulberrydock.completion import Completion
from mulberrydock.crash_evidence import CRASH_LIMIT, Crash
from mulberrydock.crash_guard import CrashGuard
from mulberrydock.entry import EntryDaemon
from mulberrydock.exceptions import ConnectionCut, ResultCode
from mulberrydock.idempotency import IdempotentCall
from mulberrydock.metrics import EntryMetrics
from mulberrydock.prefix import conversation_works
from mulberrydock.request import fingerprint
from mulberrydock.routing import Router, Upstream, Work
from mulberrydock.settings import default_settings_text, parse_settings

CRASHING_BODY = b'{"prompt": "crash"}'
HARMLESS_BODY = b'{"prompt": "sound"}'


class Engine:
    """Terminates on the marked body; cuts the responses to other requests."""

    def __init__(self, name):
        self.name = name
        self.calls = 0
        self.crashes = 0
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            await self._receive(reader)
        finally:
            writer.transport.abort()

    async def _receive(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        body = await reader.readexactly(length)
        self.calls += 1
        if b"crash" in body:
            self.crashes += 1
            self.server.close()

    async def restart(self):
        if not self.server.is_serving():
            await self.start()

    def upstream(self):
        return Upstream(self.name, f"127.0.0.1:{self.port}", "dc1", "m")


class Sink:
    def abort(self, message):
        pass


@attrs.define
class Daemon:
    """What a completion and an idempotent call need of an entry daemon."""

    engines: Router
    services: dict
    settings: object
    crash_guard: CrashGuard
    retry_budget: RetryBudget = attrs.field(factory=RetryBudget)
    metrics: EntryMetrics = attrs.field(factory=EntryMetrics)


def daemon_of(engines):
    router = Router()
    router.update([engine.upstream() for engine in engines], ())
    guard = CrashGuard.from_store(None, "entry-1", bool)
    return Daemon(
        router, {"app": router}, parse_settings(default_settings_text()), guard
    )


def completion(daemon, body, document=None):
    klass = daemon.settings.classes[0]
    now = asyncio.get_running_loop().time()
    name = fingerprint("completions", "tenant", body)
    document = document or {"prompt": body.decode()}
    works = conversation_works("tenant", document)
    content = json.dumps(document).encode()
    return Completion(
        daemon, klass, "completions", content, "", Work(), Sink(), now, name, works
    ).run()


def conversation(number, first_message):
    """Return the body of one turn of a conversation, which differs from all others."""
    texts = ["be brief", first_message, f"turn {number}"]
    return {"messages": [{"role": "user", "content": text} for text in texts]}


def turn(daemon, number, first_message):
    """Send one turn of a conversation."""
    document = conversation(number, first_message)
    return completion(daemon, json.dumps(document).encode(), document)


async def call(daemon, body):
    idempotent_call = IdempotentCall(
        daemon, "app", "status", "GET", "tenant", "", body, 2.0
    )
    outcome = await idempotent_call.run(asyncio.get_running_loop().time())
    return outcome.code


@pytest.mark.parametrize("send", [completion, call])
@pytest.mark.parametrize(
    "body, code",
    [(CRASHING_BODY, ResultCode.QUARANTINED), (HARMLESS_BODY, None)],
)
def test_work_that_crashed_three_upstreams_is_sent_to_none(send, body, code):
    """Engines that crash under a request restart at once and would get it again.

    Engines that only cut its responses are retried.
    """

    async def run():
        engines = [Engine(f"e{number}") for number in range(3)]
        for engine in engines:
            await engine.start()
        daemon = daemon_of(engines)
        for _ in range(4):
            for engine in engines:
                await engine.restart()
            for upstream in daemon.engines.upstreams.values():
                upstream.failed_until = 0.0
            last = await send(daemon, body)
        for engine in engines:
            engine.server.close()
        return sum(engine.calls for engine in engines), last

    calls, last = asyncio.run(run())
    if code is not None:
        assert (calls, last) == (CRASH_LIMIT, code)
    else:
        assert calls > 2 * CRASH_LIMIT
        assert last is not ResultCode.QUARANTINED


def test_conversation_whose_beginning_crashes_engines_is_stopped(monkeypatch):
    """Each turn of a conversation has a new body with the same beginning.

    Kept under the whole body, the crashes never add up. A sound conversation with the
    same first message, which was served before, isn't refused.
    """
    # Engines start again at once here.
    monkeypatch.setattr(crash_guard, "SAME_CRASH_SECONDS", 0.001)

    async def run():
        engines = [Engine(f"e{number}") for number in range(3)]
        for engine in engines:
            await engine.start()
        daemon = daemon_of(engines)
        works = conversation_works("tenant", conversation(0, "sound"))
        daemon.crash_guard.record_request_end("served", True, works)
        codes = []
        for number in range(12):
            for engine in engines:
                await engine.restart()
            for upstream in daemon.engines.upstreams.values():
                upstream.failed_until = 0.0
            codes.append(await turn(daemon, number, "crash"))
        sound = await turn(daemon, 99, "sound")
        for engine in engines:
            engine.server.close()
        return codes, sound, sum(engine.crashes for engine in engines)

    codes, sound, crashes = asyncio.run(run())
    assert codes[-1] is ResultCode.QUARANTINED
    assert sound is not ResultCode.QUARANTINED
    assert crashes <= CRASH_LIMIT + 2


def test_one_crash_under_many_turns_counts_once():
    """An engine crashes beside many conversations that begin alike, once.

    Counted by call, that would quarantine the beginning.
    """

    async def run():
        engine = Engine("e0")
        await engine.start()
        daemon = daemon_of([engine])
        upstream = engine.upstream()
        engine.server.close()
        for number in range(CRASH_LIMIT + 1):
            error = ConnectionCut("cut")
            await daemon.crash_guard.record_failure(
                f"w{number}", upstream, number, error, ["beginning"]
            )
        return daemon.crash_guard

    assert not asyncio.run(run()).is_quarantined("beginning")


@pytest.mark.parametrize(
    "body, count",
    [
        ({}, 0),
        ({"prompt": "text"}, 0),
        ({"messages": "text"}, 0),
        ({"messages": []}, 0),
        ({"messages": [{"content": "a"}]}, 0),
        ({"messages": [{"content": "a"}, {"content": "b"}, 7]}, 2),
    ],
)
def test_works_of_a_conversation(body, count):
    works = conversation_works("tenant", body)
    assert len(set(works)) == count
    assert not set(works) & set(conversation_works("other", body))


def test_entry_quarantines_work_for_crashes_read_from_the_store():
    """The engines crashed at other entries; this one has read that from the store."""

    async def run():
        engine = Engine("e0")
        await engine.start()
        daemon = daemon_of([engine])
        work = fingerprint("completions", "tenant", CRASHING_BODY)
        for number in range(CRASH_LIMIT):
            daemon.crash_guard.quarantine.apply(
                Crash.of(work, f"x{number}").key, 1000.0, time.monotonic()
            )
        code = await completion(daemon, CRASHING_BODY)
        engine.server.close()
        return code, engine.calls

    assert asyncio.run(run()) == (ResultCode.QUARANTINED, 0)


def test_failure_without_a_cut_is_no_crash():
    """Nobody responds at its address, as during a partition: that shows no crash."""

    async def run():
        guard = CrashGuard.from_store(None, "entry-1", bool)
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            address = "127.0.0.1:%d" % closed.getsockname()[1]
            upstream = Upstream("e0", address, "dc1")
            await guard.record_failure("work", upstream, "1", ValueError("silent"))
        return guard.quarantine.count("work")

    assert asyncio.run(run()) == 0


@pytest.mark.parametrize(
    "listening, status, code",
    [(True, 502, ResultCode.UPSTREAM_FAILED), (False, 503, ResultCode.NO_UPSTREAM)],
)
def test_503_only_for_a_call_that_has_not_run(listening, status, code):
    """A look-up is sent to two instances and both cut the response, so it may have run.

    A 503, which guarantees that it has not run and never will, would be wrong.
    """

    async def run():
        engines = [Engine("e0"), Engine("e1")]
        for engine in engines:
            await engine.start()
        daemon = daemon_of(engines)
        if not listening:
            for engine in engines:
                engine.server.close()
        idempotent_call = IdempotentCall(
            daemon, "app", "status", "GET", "t", "", HARMLESS_BODY, 2.0
        )
        outcome = await idempotent_call.run(asyncio.get_running_loop().time())
        for engine in engines:
            engine.server.close()
        return outcome.status, outcome.code

    assert asyncio.run(run()) == (status, code)


# Guards against an entry whose watch of the stored crashes ends at its first full read:
# it would learn of no crash that another entry saw.
def test_watch_of_crashes_survives_a_full_read():
    settings = parse_settings(default_settings_text("lagos"))
    daemon = EntryDaemon(settings, settings.entries[0], None)
    watch = daemon.crash_watch
    for number in range(CRASH_LIMIT):
        daemon.crash_guard.quarantine.apply(
            Crash.of("work", f"e{number}").key, 1.0, 0.0
        )
    assert daemon.crash_guard.is_quarantined("work")
    watch.on_reset()
    watch.on_loaded()
    assert not daemon.crash_guard.is_quarantined("work")
