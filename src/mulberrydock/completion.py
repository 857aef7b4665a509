"""One language request: admission, prefill handoff, relay and resume.

The engine is asked for a stream even when the client wants a buffered response, because
its tokens are the only sign that a connection still works. A stream that is cut is
resumed on another engine after the last event received, so the client gets one complete
response, or an error that states that it was cut. The engine must run the version of
the model that began the stream.
"""

import abc
import json
import time
import uuid

from loguru import logger

from . import defaults, upstream
from .admission import Decision
from .crash_evidence import CRASH_BLAME_SECONDS
from .exceptions import ResultCode, UpstreamError
from .policies import LeastWait
from .prefix import block_hashes, conversation_works, prompt_tokens, routing_key
from .request import fingerprint
from .routing import PREFILL_ROLE, Work

#: Engines that one language request may be sent to.
MAX_ATTEMPTS = 3
#: Multiple of the estimated wait after which a silent engine times out.
WAIT_TIMEOUT_FACTOR = 3.0
#: Multiple of a class's deadline at which a stream that is still running is cut.
LATE_CUT_FACTOR = 2.0
#: Prompt tokens from which a prefill engine, if there is one, does the prefill.
PREFILL_HANDOFF_TOKENS = 256
#: Output tokens assumed when a request names no ``max_tokens``.
DEFAULT_MAX_TOKENS = 16
#: Request fields whose responses can't be assembled from stream events.
PASS_THROUGH_FIELDS = ("tools", "functions", "logprobs", "best_of")

DONE_MARKER = b"[DONE]"
DATA_PREFIX = b"data: "


class Sink(abc.ABC):
    """Receives the events of a response."""

    @abc.abstractmethod
    def add_event(self, document, raw):
        """Add one event, given parsed and as bytes."""

    @abc.abstractmethod
    def finish(self):
        """Finish the response as complete."""

    @abc.abstractmethod
    def abort(self, message):
        """End a response that can't be completed after events were added."""


def _finish_json(handler, body):
    handler.set_header(defaults.RESULT_HEADER, str(int(ResultCode.OK)))
    handler.set_header("Content-Type", "application/json")
    handler.finish(body)


class StreamSink(Sink):
    """Forwards events to the client as they arrive."""

    def __init__(self, handler):
        self.handler = handler
        self.has_started = False

    def add_event(self, document, raw):
        if not self.has_started:
            self.has_started = True
            self.handler.set_header(defaults.RESULT_HEADER, str(int(ResultCode.OK)))
            self.handler.set_header("Content-Type", "text/event-stream")
            self.handler.set_header("Cache-Control", "no-cache")
        self.handler.write(raw + b"\n\n")
        self.handler.flush()

    def finish(self):
        self.handler.finish(DATA_PREFIX + DONE_MARKER + b"\n\n")

    def abort(self, message):
        # No [DONE] follows the error, so the response can't pass as complete.
        error = {"error": {"code": int(ResultCode.STREAM_CUT), "message": message}}
        self.handler.write(f"data: {json.dumps(error)}\n\n")
        self.handler.finish()


class BufferedSink(Sink):
    """Assembles one response from stream events, for a client that doesn't stream."""

    def __init__(self, handler, chat):
        self.handler = handler
        self.chat = chat
        self.texts = []
        self.last = {}

    def add_event(self, document, raw):
        choice = document["choices"][0]
        self.texts.append(
            choice["delta"].get("content", "") if self.chat else choice["text"]
        )
        self.last = document

    def finish(self):
        text = "".join(self.texts)
        choice = {"index": 0, "text": text}
        if self.chat:
            choice = {"index": 0, "message": {"role": "assistant", "content": text}}
        choice["finish_reason"] = self.last["choices"][0].get("finish_reason")
        document = {
            "id": self.last["id"],
            "object": "chat.completion" if self.chat else "text_completion",
            "model": self.last["model"],
            "choices": [choice],
            "usage": self.last.get("usage"),
        }
        _finish_json(self.handler, json.dumps(document))

    def abort(self, message):
        self.handler.refuse(502, ResultCode.STREAM_CUT, message)


class PassThroughSink(Sink):
    """Passes an engine's own buffered response on, unparsed but for its id."""

    def __init__(self, handler):
        self.handler = handler
        self.raw = b""

    def add_event(self, document, raw):
        self.raw = raw

    def finish(self):
        _finish_json(self.handler, self.raw)

    def abort(self, message):
        self.handler.refuse(502, ResultCode.STREAM_CUT, message)


class _ResponseChecker:
    """Checks the events of one engine's response and passes them to the sink.

    Each event carries the request's id and its sequence number. An id of another
    request (its response came on the wrong connection) or a wrong number (a lost or
    duplicated event) ends the exchange before any part of that event is passed on.
    """

    def __init__(self, completion, streamed):
        self.completion = completion
        self.streamed = streamed
        self.status = 0
        self.not_executed = False
        self.version = ""
        self.buffer = b""
        self.done = False

    def on_headers(self, response):
        self.status = response.status
        self.not_executed = defaults.NOT_EXECUTED_HEADER in response.headers
        self.version = response.headers.get(defaults.VERSION_HEADER, "")

    def on_chunk(self, chunk):
        self.buffer += chunk
        if self.status != 200 or not self.streamed:
            return
        while b"\n\n" in self.buffer:
            event, self.buffer = self.buffer.split(b"\n\n", 1)
            self._check_event(event)

    def _check_event(self, event):
        data = event.removeprefix(DATA_PREFIX)
        if data.strip() == DONE_MARKER:
            self.done = True
            return
        document = json.loads(data)
        completion = self.completion
        if document.get("id") != completion.request_id:
            raise UpstreamError("crossed answer", ResultCode.STREAM_CUT)
        if document.get("sequence", completion.event_count) != completion.event_count:
            raise UpstreamError("event out of place", ResultCode.STREAM_CUT)
        if completion.version not in ("", self.version):
            # The engine's last report was outdated.
            raise UpstreamError("another model version", ResultCode.STREAM_CUT)
        completion.version = self.version
        completion.accept_event(document, event)

    def check_complete(self):
        """Check that the response ended as a complete one.

        :raises UpstreamError: when it didn't.
        """
        if self.streamed:
            if not self.done:
                raise UpstreamError("stream ended early", ResultCode.STREAM_CUT)
            return
        document = json.loads(self.buffer)
        if document.get("id") != self.completion.request_id:
            raise UpstreamError("crossed answer", ResultCode.STREAM_CUT)
        self.completion.accept_event(document, self.buffer)


class Completion:
    """One language request at an entry.

    Build with :meth:`from_request`; :meth:`run` answers it through ``sink`` and returns
    the :class:`ResultCode` of the outcome.
    """

    def __init__(
        self,
        daemon,
        klass,
        route,
        content,
        model,
        work,
        sink,
        arrived,
        fingerprint,
        shared_works=(),
    ):
        self.daemon = daemon
        self.klass = klass
        self.route = route
        self.content = content
        self.model = model
        self.work = work
        self.sink = sink
        self.arrived = arrived
        self.fingerprint = fingerprint
        self.shared_works = shared_works
        self.request_id = uuid.uuid4().hex
        self.event_count = 0
        # Version of the model that began the response, empty before its first event.
        self.version = ""
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
            sink = BufferedSink(handler, chat)
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
            handler.request.body,
            body.get("model", ""),
            work,
            sink,
            handler.arrived,
            fingerprint(route, handler.tenant, handler.request.body),
            conversation_works(handler.tenant, body),
        )

    @property
    def deadline(self):
        """The request's deadline, set by its class, monotonic seconds."""
        return self.arrived + self.klass.deadline_seconds

    def decide_admission(self, now):
        """Decide whether the engine with the shortest wait could answer in time.

        A request without any engine is admitted here and ends as NO_UPSTREAM.

        :returns: a :class:`~mulberrydock.admission.Decision`.
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

    def accept_event(self, document, raw):
        """Pass one checked event to the sink."""
        if self.first_event_at is None:
            self.first_event_at = time.monotonic()
        self.event_count += 1
        self.sink.add_event(document, raw)

    async def run(self):
        """Try engines until the response is complete; return the result code.

        With NO_UPSTREAM or QUARANTINED (it has not run) and with UPSTREAM_FAILED (it
        may have run) nothing has been written, and the caller of this method answers.
        """
        code = ResultCode.CALLER_GONE
        try:
            code = await self._attempts()
        finally:
            self.daemon.crash_guard.record_request_end(
                self.fingerprint, code is ResultCode.OK, self.shared_works
            )
        return code

    async def _attempts(self):
        self.daemon.retry_budget.record_request(self.arrived)
        cause = "no engine could take the request"
        quarantined = False
        guard, works = self.daemon.crash_guard, (self.fingerprint, *self.shared_works)
        on_trial = await guard.claim_trial(works, time.monotonic())
        for attempt in range(MAX_ATTEMPTS):
            now = time.monotonic()
            quarantined = guard.is_quarantined(*works)
            if quarantined and (attempt or not on_trial):
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
                await guard.record_failure(
                    self.fingerprint, engine, call, error, self._suspects(now)
                )
                logger.info(
                    "attempt failed",
                    engine=engine.name,
                    request=self.request_id,
                    error=cause,
                )
        if self.event_count:
            self.sink.abort(cause)
            return ResultCode.STREAM_CUT
        if self.may_have_run:
            return ResultCode.UPSTREAM_FAILED
        if quarantined:
            return ResultCode.QUARANTINED
        return ResultCode.NO_UPSTREAM

    def _suspects(self, sent_at):
        """Return the shared works that may have crashed the engine of an attempt.

        What crashes an engine does so as the engine begins to answer; an attempt that
        goes on with a response shows its events as it goes on.
        """
        began_at = self.first_event_at
        if began_at is None or began_at < sent_at:
            return self.shared_works
        past_blame = time.monotonic() - began_at > CRASH_BLAME_SECONDS
        return () if past_blame else self.shared_works

    def _next_engine(self, now):
        engine = self._choose(now, version=self.version)
        if engine is None and self.tried:
            # Every engine was tried once. A failed connection says little about its
            # engine, so the remaining attempts may use any of them.
            self.tried.clear()
            engine = self._choose(now, version=self.version)
        if engine is not None:
            self.tried.add(engine.name)
        return engine

    def _choose(self, now, **restrictions):
        """Return an engine that wasn't tried, or None.

        :param restrictions: as for :meth:`~mulberrydock.routing.Router.choose`.
        """
        return self.daemon.engines.choose(
            self.model, self.tried, self.work, now, **restrictions
        )

    async def _attempt(self, engine, now):
        """Send to ``engine``; return True for a complete response, else False."""
        kv_source = await self._prefill(engine.report.version, now)
        now = time.monotonic()
        estimate = engine.wait_seconds(
            self.work, now, self.daemon.engines.policy.entries
        )
        streamed = not isinstance(self.sink, PassThroughSink)
        checker = _ResponseChecker(self, streamed)
        is_first_run = self.event_count == 0
        engine.record_send(self.work, now)
        engine.in_flight += 1
        try:
            await self._exchange(engine, checker, kv_source, estimate, streamed)
        finally:
            engine.in_flight -= 1
        if checker.status != 200:
            self.daemon.engines.record_failure(engine, time.monotonic())
            self.may_have_run |= not checker.not_executed
            return False
        checker.check_complete()
        if is_first_run and not kv_source:
            waited = self.first_event_at - now
            self.daemon.admission.observe(self.klass, estimate, waited)
        return True

    async def _exchange(self, engine, checker, kv_source, estimate, streamed):
        idle_timeout = self.daemon.settings.deployment.stream_idle_timeout_seconds
        headers = self._headers()
        if kv_source:
            headers[defaults.KV_SOURCE_HEADER] = kv_source
        if self.event_count:
            headers[defaults.RESUME_HEADER] = str(self.event_count)
        cut_at = self.arrived + LATE_CUT_FACTOR * self.klass.deadline_seconds
        seconds_left = max(idle_timeout, cut_at - time.monotonic())
        # Before the first token an engine may be silent, while the prompt is queued and
        # prefilled; after it, silence means a dead connection.
        first_byte_timeout = (
            idle_timeout + WAIT_TIMEOUT_FACTOR * estimate if streamed else seconds_left
        )
        await upstream.exchange(
            engine.address,
            "POST",
            f"/v1/{self.route}",
            headers,
            self._sent_content(streamed),
            checker.on_chunk,
            checker.on_headers,
            first_byte_timeout=first_byte_timeout,
            idle_timeout=idle_timeout,
            total_timeout=seconds_left,
        )

    def _sent_content(self, streamed):
        """Return the body to send to an engine.

        It is parsed anew each time: a parsed body may take 30 times its size.
        """
        return json.dumps(json.loads(self.content) | {"stream": streamed}).encode()

    def _headers(self):
        return {
            "Content-Type": "application/json",
            defaults.REQUEST_ID_HEADER: self.request_id,
            defaults.RANK_HEADER: str(self.klass.rank),
        }

    async def _prefill(self, version, now):
        """Prefill on a prefill engine; return the KV source, empty if not done.

        On any failure the decode engine prefills, which is always possible, so a
        prefill engine can't fail a request.

        :param version: that of the engine that decodes, which can't use the KV cache of
            another one.
        """
        if self.work.prompt_tokens < PREFILL_HANDOFF_TOKENS or self.event_count:
            return ""
        router = self.daemon.engines
        engine = self._choose(now, roles=(PREFILL_ROLE,), version=version)
        if engine is None:
            return ""
        headers = self._headers() | {defaults.STAGE_HEADER: PREFILL_ROLE}
        estimate = engine.wait_seconds(self.work, now, router.policy.entries)
        idle_timeout = self.daemon.settings.deployment.stream_idle_timeout_seconds
        chunks = []
        engine.record_send(self.work, now)
        engine.in_flight += 1
        try:
            response = await upstream.exchange(
                engine.address,
                "POST",
                f"/v1/{self.route}",
                headers,
                self._sent_content(False),
                chunks.append,
                first_byte_timeout=idle_timeout + WAIT_TIMEOUT_FACTOR * estimate,
                idle_timeout=idle_timeout,
                total_timeout=max(idle_timeout, self.deadline - now),
            )
            document = json.loads(b"".join(chunks))
        except (UpstreamError, ValueError):
            router.record_failure(engine, time.monotonic())
            return ""
        finally:
            engine.in_flight -= 1
        if response.status != 200:
            router.record_failure(engine, time.monotonic())
            return ""
        return f"{engine.address}/{document['kv_handle']}"
