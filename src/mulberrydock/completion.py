"""One language request: admission, prefill hand-off, relay and resume.

The engine is always asked for a stream, also for a whole answer, because
its tokens are the only sign that a connection still works. A stream that is
cut is resumed on another engine after the last event already received, so
the caller gets one whole answer, or is told that it was cut.
"""

import abc
import json
import time
import uuid

from loguru import logger

from . import defaults, upstream
from .admission import Decision
from .exceptions import ResultCode, UpstreamError
from .policies import LeastWait
from .prefix import block_hashes, prompt_tokens, routing_key
from .request import fingerprint
from .routing import PREFILL_ROLE, Work

#: Engines that one language request may be sent to.
MAX_ATTEMPTS = 3
#: Multiple of the estimated wait after which a silent engine is given up.
WAIT_MARGIN = 3.0
#: Multiple of a class's deadline at which a stream still running is cut.
LATE_LIMIT = 2.0
#: Prompt tokens from which a prefill engine, if there is one, prefills.
PREFILL_HANDOFF_TOKENS = 256
#: Output tokens assumed when a request names no ``max_tokens``.
DEFAULT_MAX_TOKENS = 16
#: Request fields whose answers can't be put together from stream events.
PASS_THROUGH_FIELDS = ("tools", "functions", "logprobs", "best_of")

DONE = b"[DONE]"
DATA = b"data: "


class Sink(abc.ABC):
    """Where the events of an answer go."""

    @abc.abstractmethod
    def event(self, document, raw):
        """Take one event, parsed and as bytes."""

    @abc.abstractmethod
    def finish(self):
        """The answer is complete."""

    @abc.abstractmethod
    def cut(self, message):
        """The answer can't be completed after events were taken."""


def _finish_json(handler, body):
    handler.set_header(defaults.RESULT_HEADER, str(int(ResultCode.OK)))
    handler.set_header("Content-Type", "application/json")
    handler.finish(body)


class StreamSink(Sink):
    """Forwards events to the caller as they come."""

    def __init__(self, handler):
        self.handler = handler
        self.begun = False

    def event(self, document, raw):
        if not self.begun:
            self.begun = True
            self.handler.set_header(defaults.RESULT_HEADER, str(int(ResultCode.OK)))
            self.handler.set_header("Content-Type", "text/event-stream")
            self.handler.set_header("Cache-Control", "no-cache")
        self.handler.write(raw + b"\n\n")
        self.handler.flush()

    def finish(self):
        self.handler.finish(DATA + DONE + b"\n\n")

    def cut(self, message):
        # No [DONE] follows the error, so the answer can't pass as complete.
        error = {"error": {"code": int(ResultCode.STREAM_CUT), "message": message}}
        self.handler.write(f"data: {json.dumps(error)}\n\n")
        self.handler.finish()


class WholeSink(Sink):
    """Puts a whole answer together from stream events."""

    def __init__(self, handler, chat):
        self.handler = handler
        self.chat = chat
        self.texts = []
        self.last = {}

    def event(self, document, raw):
        choice = document["choices"][0]
        self.texts.append(
            choice["delta"].get("content", "") if self.chat else choice["text"]
        )
        self.last = document

    def finish(self):
        text = "".join(self.texts)
        answer = {"index": 0, "text": text}
        if self.chat:
            answer = {"index": 0, "message": {"role": "assistant", "content": text}}
        answer["finish_reason"] = self.last["choices"][0].get("finish_reason")
        document = {
            "id": self.last["id"],
            "object": "chat.completion" if self.chat else "text_completion",
            "model": self.last["model"],
            "choices": [answer],
            "usage": self.last.get("usage"),
        }
        _finish_json(self.handler, json.dumps(document))

    def cut(self, message):
        self.handler.refuse(502, ResultCode.STREAM_CUT, message)


class PassThroughSink(Sink):
    """Passes on an engine's own whole answer, unparsed but for its id."""

    def __init__(self, handler):
        self.handler = handler
        self.raw = b""

    def event(self, document, raw):
        self.raw = raw

    def finish(self):
        _finish_json(self.handler, self.raw)

    def cut(self, message):
        self.handler.refuse(502, ResultCode.STREAM_CUT, message)


class _Answer:
    """Checks the events of one engine's answer and hands them to the sink.

    Each event carries the request's id and its place in the answer. An id
    of another request (a crossed answer) or a wrong place (a lost or doubled
    event) ends the exchange before anything of it is taken.
    """

    def __init__(self, completion, streamed):
        self.completion = completion
        self.streamed = streamed
        self.status = 0
        self.not_executed = False
        self.buffer = b""
        self.done = False

    def on_headers(self, exchange):
        self.status = exchange.status
        self.not_executed = defaults.NOT_EXECUTED_HEADER in exchange.headers

    def on_chunk(self, chunk):
        self.buffer += chunk
        if self.status != 200 or not self.streamed:
            return
        while b"\n\n" in self.buffer:
            event, self.buffer = self.buffer.split(b"\n\n", 1)
            self._take(event)

    def _take(self, event):
        data = event.removeprefix(DATA)
        if data.strip() == DONE:
            self.done = True
            return
        document = json.loads(data)
        completion = self.completion
        if document.get("id") != completion.request_id:
            raise UpstreamError("crossed answer", ResultCode.STREAM_CUT)
        if document.get("sequence", completion.events) != completion.events:
            raise UpstreamError("event out of place", ResultCode.STREAM_CUT)
        completion.take(document, event)

    def end(self):
        """Check that the answer ended as a complete one."""
        if self.streamed:
            if not self.done:
                raise UpstreamError("stream ended early", ResultCode.STREAM_CUT)
            return
        document = json.loads(self.buffer)
        if document.get("id") != self.completion.request_id:
            raise UpstreamError("crossed answer", ResultCode.STREAM_CUT)
        self.completion.take(document, self.buffer)


class Completion:
    """One language request at an entry.

    Build with :meth:`from_request`; :meth:`run` answers it through ``sink``
    and returns the :class:`ResultCode` of the outcome.
    """

    def __init__(self, daemon, klass, route, body, work, sink, arrived, fingerprint):
        self.daemon = daemon
        self.klass = klass
        self.route = route
        self.body = body
        self.work = work
        self.sink = sink
        self.arrived = arrived
        self.fingerprint = fingerprint
        self.request_id = uuid.uuid4().hex
        self.events = 0
        self.may_have_run = False
        self.first_event_at = None
        self.tried = set()

    @classmethod
    def from_request(cls, handler, route, body):
        """Build from a tornado handler and the parsed request body."""
        chat = route.startswith("chat/")
        if body.get("stream"):
            sink = StreamSink(handler)
        elif any(body.get(f) for f in PASS_THROUGH_FIELDS) or body.get("n", 1) != 1:
            sink = PassThroughSink(handler)
        else:
            sink = WholeSink(handler, chat)
        daemon = handler.daemon
        tokens = prompt_tokens(body)
        blocks = ()
        if daemon.engines.policy.needs_blocks:
            blocks = tuple(block_hashes(tokens))
        work = Work(
            len(tokens),
            int(body.get("max_tokens", DEFAULT_MAX_TOKENS)),
            routing_key(tokens),
            blocks,
        )
        return cls(
            daemon,
            handler.klass,
            route,
            body,
            work,
            sink,
            handler.arrived,
            fingerprint(route, handler.tenant, handler.request.body),
        )

    @property
    def deadline(self):
        """When the class's deadline for this request is over."""
        return self.arrived + self.klass.deadline_seconds

    @property
    def model(self):
        """Model named by the request, or empty for any."""
        return self.body.get("model", "")

    def admission(self, now):
        """Decide whether the engine with the shortest wait could answer in time.

        Without any engine the answer is NO_UPSTREAM, not a refusal here.
        """
        router = self.daemon.engines
        best = LeastWait.best(
            router.candidates(self.model, self.tried, now),
            self.work,
            now,
            router.policy.entries,
        )
        if best is None:
            return Decision(True)
        return self.daemon.admission.decide(
            self.klass,
            best.wait_seconds(self.work, now, router.policy.entries),
            best.generate_seconds(self.work),
            self.deadline - now,
        )

    def take(self, document, raw):
        """Hand one checked event to the sink."""
        if self.first_event_at is None:
            self.first_event_at = time.monotonic()
        self.events += 1
        self.sink.event(document, raw)

    async def run(self):
        """Try engines until the answer is whole; return the result code.

        NO_UPSTREAM and QUARANTINED (it ran nowhere) or UPSTREAM_FAILED (it may have
        run) are returned with nothing written; the caller of this method then answers.
        """
        code = ResultCode.CALLER_GONE
        try:
            code = await self._attempts()
        finally:
            self.daemon.crashes.ended(self.fingerprint, code is ResultCode.OK)
        return code

    async def _attempts(self):
        self.daemon.retry_budget.record_request(self.arrived)
        cause = "no engine could take the request"
        quarantined = False
        for attempt in range(MAX_ATTEMPTS):
            now = time.monotonic()
            quarantined = self.daemon.crashes.is_quarantined(self.fingerprint)
            if quarantined:
                cause = "engines crashed under it"
                break
            if attempt and not self.daemon.retry_budget.allow(now):
                cause = "retry budget spent"
                break
            engine = self._next_engine(now)
            if engine is None or now >= self.deadline:
                break
            if attempt:
                self.daemon.metrics.retries.labels(self.klass.name).inc()
            try:
                if await self._attempt(engine, now):
                    self.sink.finish()
                    return ResultCode.OK
            except UpstreamError as error:
                self.daemon.engines.record_failure(engine, time.monotonic())
                self.may_have_run |= error.code != ResultCode.NOT_RUN
                cause = str(error)
                call = f"{self.request_id}/{attempt}"
                await self.daemon.crashes.failed(self.fingerprint, engine, call, error)
                logger.info(
                    "attempt failed",
                    engine=engine.name,
                    request=self.request_id,
                    error=cause,
                )
        if self.events:
            self.sink.cut(cause)
            return ResultCode.STREAM_CUT
        if self.may_have_run:
            return ResultCode.UPSTREAM_FAILED
        if quarantined:
            return ResultCode.QUARANTINED
        return ResultCode.NO_UPSTREAM

    def _next_engine(self, now):
        router = self.daemon.engines
        engine = router.choose(self.model, self.tried, self.work, now)
        if engine is None and self.tried:
            # Every engine was tried once. A failed connection says little
            # about its engine, so the attempts left go to any of them.
            self.tried.clear()
            engine = router.choose(self.model, self.tried, self.work, now)
        if engine is not None:
            self.tried.add(engine.name)
        return engine

    async def _attempt(self, engine, now):
        """Send to ``engine``; True when the answer is whole, False when refused."""
        source = await self._prefill(now)
        now = time.monotonic()
        estimate = engine.wait_seconds(
            self.work, now, self.daemon.engines.policy.entries
        )
        streamed = not isinstance(self.sink, PassThroughSink)
        answer = _Answer(self, streamed)
        first = self.events == 0
        engine.record_send(self.work, now)
        engine.in_flight += 1
        try:
            await self._exchange(engine, answer, source, estimate, streamed)
        finally:
            engine.in_flight -= 1
        if answer.status != 200:
            self.daemon.engines.record_failure(engine, time.monotonic())
            self.may_have_run |= not answer.not_executed
            return False
        answer.end()
        if first and not source:
            waited = self.first_event_at - now
            self.daemon.admission.observe(self.klass, estimate, waited)
        return True

    async def _exchange(self, engine, answer, source, estimate, streamed):
        idle = self.daemon.settings.deployment.stream_idle_timeout_seconds
        headers = self._headers()
        if source:
            headers[defaults.KV_SOURCE_HEADER] = source
        if self.events:
            headers[defaults.RESUME_HEADER] = str(self.events)
        limit = self.arrived + LATE_LIMIT * self.klass.deadline_seconds
        left = max(idle, limit - time.monotonic())
        # Before the first token an engine is rightly silent while the prompt
        # waits and is prefilled; after it, silence means a dead connection.
        first_byte = idle + WAIT_MARGIN * estimate if streamed else left
        await upstream.exchange(
            engine.address,
            "POST",
            f"/v1/{self.route}",
            headers,
            json.dumps(self.body | {"stream": streamed}).encode(),
            answer.on_chunk,
            answer.on_headers,
            first_byte_timeout=first_byte,
            idle_timeout=idle,
            total_timeout=left,
        )

    def _headers(self):
        return {
            "Content-Type": "application/json",
            defaults.REQUEST_ID_HEADER: self.request_id,
            defaults.RANK_HEADER: str(self.klass.rank),
        }

    async def _prefill(self, now):
        """Prefill on a prefill engine; return the KV source, empty if not done.

        Any failure falls back to prefilling on the decoding engine, which is
        always possible, so a prefill engine can't fail a request.
        """
        if self.work.prompt_tokens < PREFILL_HANDOFF_TOKENS or self.events:
            return ""
        router = self.daemon.engines
        engine = router.choose(self.model, self.tried, self.work, now, (PREFILL_ROLE,))
        if engine is None:
            return ""
        headers = self._headers() | {defaults.STAGE_HEADER: PREFILL_ROLE}
        estimate = engine.wait_seconds(self.work, now, router.policy.entries)
        idle = self.daemon.settings.deployment.stream_idle_timeout_seconds
        chunks = []
        engine.record_send(self.work, now)
        engine.in_flight += 1
        try:
            exchange = await upstream.exchange(
                engine.address,
                "POST",
                f"/v1/{self.route}",
                headers,
                json.dumps(self.body | {"stream": False}).encode(),
                chunks.append,
                first_byte_timeout=idle + WAIT_MARGIN * estimate,
                idle_timeout=idle,
                total_timeout=max(idle, self.deadline - now),
            )
            document = json.loads(b"".join(chunks))
        except (UpstreamError, ValueError):
            router.record_failure(engine, time.monotonic())
            return ""
        finally:
            engine.in_flight -= 1
        if exchange.status != 200:
            router.record_failure(engine, time.monotonic())
            return ""
        return f"{engine.address}/{document['kv_handle']}"
