"""The life of one request: choose, send, relay, resume, final answer.

Status promises: 429 and 503 say that the request has not run and never will;
after a send that may have run, a non-idempotent request ends with 502 or 504.
"""

import asyncio
import time

import attrs
from loguru import logger

from . import refusal
from .connections import BufferedResponse
from .demand import Demand
from .exceptions import ConnectionCut, ResultCode, UpstreamError
from .placement import PRIORITY_MAX
from .prefill import WAIT_MARGIN, Prefill
from .request import Kind, SendOptions
from .sends import ClientStream, Patience, StreamListener, watch
from .sse import EventSplitter

#: Seconds without a sign of an engine, beyond the estimate, before its first
#: event. Clients give a stream up after 2.4 s of silence, so a second engine
#: must have answered by then.
FIRST_EVENT_SECONDS = 0.9
#: Seconds between two events of a stream after which the engine may be left.
EVENT_GAP_SECONDS = 0.7
#: Seconds for a plain service's answer to a repeatable call: ten times its
#: usual work.
PLAIN_ANSWER_SECONDS = 0.45
#: Seconds after its first event from which a stream isn't blamed for its engine's
#: crash: what crashes an engine does so as it begins.
HARMLESS_SECONDS = 0.25


def _ran_on(listener, now):
    """True when an instance has gone on for long after it began to answer."""
    return listener.begun_at is not None and now - listener.begun_at > HARMLESS_SECONDS


@attrs.define
class Calls:
    """How many calls of one kind a request has made, and how many of them an
    instance may have got."""

    made: int = 0
    reached: int = 0

    def begin(self):
        """Count a call in that is being made."""
        self.made += 1
        self.reached += 1

    def not_sent(self):
        """The call found nobody listening; return the calls that the retry budget
        had granted for it."""
        self.reached -= 1
        return int(self.reached > 0)


class Serving:
    """One request on its way; :meth:`run` answers it through ``sink``.

    ``sends`` and ``prefills`` are the :class:`Calls` to instances, ``granted`` how many
    the retry budget allowed ahead of their making, ``tried`` holds the instances asked
    so far. ``answer`` is an instance's failure that may be passed on if nothing
    better comes, ``cause`` why the last attempt failed. ``served`` is set once an
    instance has answered the request with success.
    """

    def __init__(self, relay, request, route, service, sink):
        self.relay = relay
        self.fleet = relay.fleet
        self.wire = relay.wire
        self.request = request
        self.route = route
        self.service = service
        self.sink = sink
        self.deadline = min(request.deadline, request.arrived + route.timeout)
        self.stream = ClientStream(
            relay.wire, sink, EventSplitter(request.last_event_id)
        )
        self.sends = Calls()
        self.prefills = Calls()
        self.granted = 0
        self.planned_at = request.arrived
        self.tried = set()
        self.may_have_run = False
        self.served = False
        self.answer = None
        self.cause = "no instance serves the route"

    async def run(self):
        """Answer the request; return the :class:`ResultCode` of the outcome."""
        self.fleet.budget(self.service).record_request(self.request.arrived)
        if self.request.prompt.tokens:
            self.fleet.record_demand(
                self.request.prompt, self.route, self.service, self.request.arrived
            )
        loop = asyncio.get_running_loop()
        left = self._left(time.monotonic())
        try:
            async with asyncio.timeout_at(loop.time() + left):
                return await self._attempts()
        except TimeoutError:
            return self._expire()

    def _left(self, now):
        """Return the seconds until the request's deadline."""
        return self.deadline - now

    def _refusal(self, plan, now):
        """Return the :class:`~mulberrydock.refusal.Refusal` of a request whose first
        attempt would be in vain, None to make it."""
        if self.sends.made or self.prefills.made:
            return None
        most_urgent = self.fleet.is_most_urgent(self.route, self.service)
        left = self._left(now)
        return refusal.refuse(plan, self.route.client_idle_timeout, most_urgent, left)

    async def _attempts(self):
        attempt = self._stream if self.route.kind is Kind.STREAMING else self._call
        while True:
            plan = self._next(time.monotonic())
            if plan is None:
                return self._give_up()
            refused = self._refusal(plan, time.monotonic())
            if refused is not None:
                return self._shed(refused)
            if await attempt(plan):
                return ResultCode.OK
            if self.may_have_run and not self.route.repeatable:
                return self._give_up()

    def _next(self, now):
        """Return the plan of the next attempt, None when there is no other."""
        if self._quarantined(now):
            return None
        if self.sends.reached > self.route.max_attempts:
            return None
        if self.may_have_run and self.sends.reached >= self.route.max_attempts:
            return None
        plan = self.fleet.plan(self.request, self.route, self.service, self.tried, now)
        self.planned_at = now
        if plan is None and self.fleet.is_rate_limited(self.service, now):
            self.cause = "the instances take no more requests for now"
        if plan is None or not self.grant(plan, now):
            return None
        return plan

    def _quarantined(self, now):
        """True when instances crash under this request's work: asked before every
        call, as another VM may have seen the last crash a moment ago."""
        quarantine, work = self.fleet.quarantine, self.request.fingerprint
        if not quarantine.is_quarantined(work, now):
            return False
        self.cause = f"{quarantine.count(work)} instances crashed under it"
        return True

    def grant(self, plan, now):
        """Ask the retry budget for the calls that ``plan`` repeats."""
        # A request's first prefill call and its first send are free. What found nobody
        # listening was no call: when engines are lost, their requests would spend the
        # budget on looking for another one, and be refused when they found it.
        calls = int(self.sends.reached > 0)
        calls += int(plan.prefill is not None and self.prefills.reached > 0)
        granted = min(calls, self.granted)
        calls -= granted
        if calls and not self.fleet.budget(self.service).allow(now, calls):
            self.cause += "; retry budget spent"
            return False
        self.granted -= granted
        return True

    def _may_leave(self):
        """True when a silent instance may be left: another one takes over.

        The budget's grant is kept for that attempt, so that the answer given
        up here isn't lost for want of it.
        """
        now = time.monotonic()
        plan = self._next(now)
        if plan is None:
            return False
        self.granted = 2 if plan.prefill is not None else 1
        return True

    def _patience(self, first, gap):
        """Return the patience with the next send, None without an end.

        Only a request that may be repeated, and has an attempt left, can go
        elsewhere at all.
        """
        if (
            not self.route.repeatable
            or self.sends.reached + 1 >= self.route.max_attempts
        ):
            return None
        return Patience(first, gap, self._may_leave)

    async def _call(self, plan):
        """One send of a plain call; True when the client was answered."""
        answer = BufferedResponse()
        patience = self._patience(PLAIN_ANSWER_SECONDS, PLAIN_ANSWER_SECONDS)
        work = self.fleet.loads.begin(plan.target.id, 0)
        if not await self._send(plan, answer, work, patience):
            return False
        return self._take_whole(plan, answer, self.wire.read_metadata(answer.headers))

    async def _stream(self, plan):
        """One run of a streamed request; True when the client was answered."""
        handle, prefill = None, plan.prefill
        if prefill is not None:
            handle = await self._prefill(plan)
            if handle is None:
                # Another prefill engine may be free, or a decode engine
                # quicker by now.
                return False
            # The prefill may have waited for seconds: the decode engine that
            # was best before may be leaving or busy now, and one that leaves
            # must get nothing new a moment after its notice.
            now = time.monotonic()
            plan = self.fleet.decode_plan(
                self.request, self.service, plan, self.tried, now
            )
        taken = False
        try:
            if plan is None or self._quarantined(time.monotonic()):
                return False
            tokens = plan.tokens if handle is None else 0
            urgency = min(PRIORITY_MAX, self.route.priority)
            work = self.fleet.loads.begin(plan.target.id, tokens, urgency)
            knowledge = self.fleet.estimates.pool(self.service)
            knowledge.demand.record(Demand(decode_engine_work=tokens), time.monotonic())
            listener = StreamListener(self.wire, self.stream, work)
            patience = self._patience(
                FIRST_EVENT_SECONDS + WAIT_MARGIN * plan.wait, EVENT_GAP_SECONDS
            )
            whole = await self._send(plan, listener, work, patience, handle)
            taken = listener.marks is not None and listener.good
        finally:
            # A handle that no run takes fills its engine's memory in vain.
            if handle is not None and not taken:
                self.relay.release(prefill, handle)
        if whole and listener.good:
            self.fleet.estimates.record_prefill(plan.target.id, self.request.prompt)
            self._note_stream(plan, time.monotonic())
            self.served = True
            self.sink.finish()
            return True
        return whole and self._take_whole(plan, listener, listener.marks)

    def _note_stream(self, plan, now):
        """A stream ended whole: learn from it, and measure the estimate."""
        if not self.stream.begun:
            return
        knowledge = self.fleet.estimates.pool(self.service)
        knowledge.record_stream(now - self.stream.begun_at)
        metrics = self.relay.metrics
        metrics.token_seconds.labels(self.service).set(knowledge.cost_model.cost.token)
        if plan.wait > 0:
            ratio = (self.stream.begun_at - self.planned_at) / plan.wait
            metrics.wait_ratio.labels(self.service).observe(ratio)

    def _take_whole(self, plan, answer, marks):
        """Take an instance's whole answer; True when it went to the client."""
        if not self._ran(plan.target, marks, answer.status):
            return False
        self.answer = answer
        failed = answer.status >= 500
        if self.stream.begun or (failed and self.route.repeatable):
            self.cause = f"status {answer.status}"
            return False
        self.served = answer.status < 400
        self._respond(answer)
        return True

    def _ran(self, instance, marks, status):
        """Note what an answer shows; False when it must not be passed on."""
        now = time.monotonic()
        if status == 421:
            self.fleet.record_misdirected(instance, marks.instance, now)
            self.cause = f"{instance.id} is not at its address or in its stage"
            return False
        if marks.not_executed:
            self.fleet.suspicion.record_no_slot(instance.id, now)
            self.cause = f"{instance.id} refused"
            return False
        self.may_have_run = True
        if not marks.signed:
            # Not an answer of the instance's own.
            self.cause = f"unsigned answer {status}"
            self.fleet.suspicion.record_failure(instance.id, now)
            return False
        if status < 500:
            self.fleet.suspicion.record_success(instance.id)
        return True

    async def _send(self, plan, listener, work, patience, handle=None):
        """Send once; False when no whole answer came."""
        target = plan.target
        now = time.monotonic()
        self.sends.begin()
        self.tried.add(target.id)
        options = SendOptions(
            instance=target.record.id,
            deadline_ms=int(self._left(now) * 1000),
            priority=min(PRIORITY_MAX, self.route.priority),
            last_event_id=self.stream.splitter.last_id,
            kv_source=handle,
        )
        logger.info(
            "send",
            request=self.request.id,
            instance=target.id,
            attempt=self.sends.made,
            prefilled=handle is not None,
            wait=round(plan.wait, 3),
            config=self.fleet.routes.version,
        )
        self.relay.metrics.sends.labels(target.record.service).inc()
        exchange = self.relay.exchange(target, self.request, options, listener)
        try:
            await watch(exchange, listener, patience)
        except UpstreamError as error:
            await self._failed(target, error, listener)
            return False
        finally:
            work.end()
        return True

    async def _failed(self, instance, error, listener):
        not_sent = error.code == ResultCode.NOT_RUN
        if not_sent:
            self.granted += self.sends.not_sent()
        else:
            self.may_have_run = True
        self.cause = f"{instance.id}: {error}"
        suspected = self.fleet.suspicion.record_failure(
            instance.id, time.monotonic(), unreachable=not_sent
        )
        logger.warning(
            "attempt failed",
            request=self.request.id,
            fingerprint=self.request.fingerprint,
            instance=instance.id,
            error=str(error),
            suspected=suspected,
        )
        if not_sent or _ran_on(listener, time.monotonic()):
            return
        if isinstance(error, ConnectionCut):
            await self.relay.examine(self.request, instance)
        else:
            self.fleet.quarantine.record_cut(
                self.request.fingerprint, instance.id, time.monotonic()
            )

    async def _prefill(self, plan):
        """Prefill apart; return the handle, None when the engine gave none."""
        self.prefills.begin()
        self.tried.add(plan.prefill.id)
        call = Prefill(self.relay, self.request, self.service, plan)
        try:
            return await call.run(self._left(time.monotonic()))
        except UpstreamError as error:
            if error.code == ResultCode.NOT_RUN:
                self.granted += self.prefills.not_sent()
            self.cause = f"prefill at {plan.prefill.id}: {error}"
            return None

    def _respond(self, answer):
        headers = self.wire.response_headers(answer.headers)
        self.sink.respond(answer.status, headers, answer.body)

    def _give_up(self):
        """Final answer when no attempt is left."""
        if self.stream.begun:
            self.sink.abort()
            return ResultCode.STREAM_CUT
        if self.answer is not None:
            self._respond(self.answer)
            return ResultCode.UPSTREAM_FAILED
        if self.may_have_run:
            self.relay.reject(self.request, self.sink, 502, self.cause)
            return ResultCode.UPSTREAM_FAILED
        now = time.monotonic()
        if self._quarantined(now):
            retry_after = refusal.QUARANTINE_RETRY_SECONDS
            self.relay.reject(self.request, self.sink, 503, self.cause, retry_after)
            return ResultCode.QUARANTINED
        retry_after = refusal.retry_after(bool(self.tried), self._left(now))
        self.relay.reject(self.request, self.sink, 503, self.cause, retry_after)
        return ResultCode.NO_UPSTREAM

    def _shed(self, refused):
        """Final answer to a request that is refused before its first attempt."""
        self.cause = refused.reason
        self.relay.reject(
            self.request, self.sink, 503, refused.reason, refused.retry_after
        )
        return ResultCode.SHED

    def _expire(self):
        """Final answer at the deadline, while an attempt was under way."""
        if self.stream.begun:
            self.sink.abort()
            return ResultCode.STREAM_CUT
        if self.sends.reached:
            self.relay.reject(self.request, self.sink, 504, "deadline")
            return ResultCode.OUTCOME_UNKNOWN
        retry_after = refusal.RETRY_AFTER_SECONDS
        self.relay.reject(self.request, self.sink, 503, "deadline", retry_after)
        return ResultCode.SHED
