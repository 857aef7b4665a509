"""Serves one request: choose, send, relay, resume, give the final response.

Status codes are guarantees: 429 and 503 state that the request has not run and never
will; after a send that may have run, a non-idempotent request ends with 502 or 504.
"""

import asyncio
import functools
import time

import attrs
from loguru import logger

from . import attempt_time, final_response
from .connections import BufferedResponse, HeldChunks, ends_with_connection
from .crash_evidence import CRASH_BLAME_SECONDS
from .demand import Demand
from .exceptions import CallWithheld, ConnectionCut, ResultCode, UpstreamError
from .forward_attempt import ForwardAttempt
from .forward_messages import ForwardOutcome, PriorCalls
from .forwarding import ForwardPlan
from .incarnation_check import IncarnationCheck
from .instances import Stage
from .moves import StreamMove, StreamMoved
from .prefill import PrefillCall
from .request import Kind, SendOptions, served_until
from .request_begin import RequestBegin
from .request_quarantine import RequestQuarantine
from .request_retries import RequestRetries
from .request_room import ask_for_room, caller_time, can_end
from .response_room import ResponseShare
from .sends import ClientStream, ProgressTimeouts, StreamListener, run_exchange
from .sse import EventSplitter
from .stream_version import StreamVersion
from .takeover import SuccessorFailed, TakenOver, Takeover
from .version_history import is_stated

#: Why a stopping VM leaves a request to the others.
TOO_LATE_CAUSE = "the VM stops before the request could end"


def _ran_past_blame(listener, now):
    """Return whether a response ran for longer than ``CRASH_BLAME_SECONDS``."""
    return (
        listener.first_progress_at is not None
        and now - listener.first_progress_at > CRASH_BLAME_SECONDS
    )


class RequestLifecycle:
    """Serves one request; :meth:`run` answers it through ``sink``.

    ``retries`` are its :class:`RequestRetries`, ``tried`` the ids of the instances
    called so far.
    ``error_response`` is an instance's failure that is passed on if no attempt gives
    better, ``cause`` says why the last attempt failed. ``begin`` is its
    :class:`RequestBegin`, ``quarantine`` its :class:`RequestQuarantine`, ``version``
    its :class:`StreamVersion`, ``move`` its :class:`~mulberrydock.moves.StreamMove`.
    ``takeover`` is the :class:`~mulberrydock.takeover.Takeover` in progress, if any.
    ``served`` is True once an instance has answered with success, ``began_at`` when it
    began to write its answer, None if unknown.
    ``is_answered`` is True once the client was sent an instance's whole response, or
    the final response at the stop of this VM. ``task`` is the task that serves it.
    ``is_stopped`` is True once the stop of this VM ends it before its deadline,
    ``is_left_to_others`` once an attempt is left out as it couldn't end before that.
    ``forwards`` counts the attempts through peers, ``refused_by`` names the peers that
    didn't take the request.

    :param prior: the :class:`~mulberrydock.forward_messages.PriorCalls` of a request
        that a peer has forwarded, None for a client's.
    """

    def __init__(self, relay, request, route, service, sink, prior=None):
        self.relay = relay
        self.fleet = relay.fleet
        self.wire = relay.wire
        self.request = request
        self.route = route
        self.service = service
        self.sink = sink
        self.deadline = served_until(request, route)
        self.stream = ClientStream(
            relay.wire,
            sink,
            EventSplitter(request.last_event_id),
            lambda: self._record_first_event(time.monotonic()),
        )
        self.is_forwarded = prior is not None
        self.prior = prior or PriorCalls()
        self.retries = RequestRetries.from_prior(
            self.fleet, request, service, self.prior
        )
        self.planned_at = request.arrived
        self.tried = set()
        self.forwards = 0
        self.refused_by = set()
        self.may_have_run = self.prior.may_have_run
        self.version = StreamVersion(
            relay, request, route, service, self.is_forwarded, self.prior.version
        )
        self.begin = RequestBegin(relay, request, self.prior.begun)
        self.quarantine = RequestQuarantine(relay, request)
        self.move = StreamMove(self)
        self.takeover = None
        self.stream.on_progress = self._end_takeover
        self.served = False
        self.is_answered = False
        self.task = None
        self.is_stopped = False
        self.is_left_to_others = False
        self.began_at = None
        self.error_response = None
        self.response_share = ResponseShare(relay.response_room)
        self.cause = "no instance serves the route"

    @property
    def sends(self):
        """The :class:`~mulberrydock.call_counter.CallCounter` of its sends."""
        return self.retries.sends

    @property
    def prefills(self):
        """That of its prefill calls."""
        return self.retries.prefills

    @property
    def has_sent(self):
        """True once an instance may have received a send of this VM."""
        return self.sends.maybe_received > self.prior.sends

    async def run(self):
        """Answer the request.

        :returns: the :class:`ResultCode` of the outcome.
        """
        self.task = asyncio.current_task()
        if not self.is_forwarded:
            self._record_arrival()
        loop = asyncio.get_running_loop()
        seconds_left = self.seconds_left(time.monotonic())
        try:
            async with asyncio.timeout_at(loop.time() + seconds_left) as limit:
                self.time_limit = limit
                now = time.monotonic()
                if not self._can_end(now):
                    return final_response.give_up(self, now)
                if self.version.is_taken_up and not self.version.fixed:
                    search = await self.version.find()
                    if not self.version.fixed:
                        now = time.monotonic()
                        return final_response.refuse_unknown_version(self, search, now)
                if self._lacks_instances() and not await self.relay.refresh_view():
                    if not self.may_have_run:
                        return final_response.refuse_unread_version(self)
                self.route = self.version.ranked_route()
                if not self.is_forwarded:
                    await self.quarantine.claim_trial(time.monotonic())
                return await self._attempts()
        except TimeoutError:
            if self.is_answered or self.stream.is_finished:
                # Another instance has taken over and answered in the same moment.
                return ResultCode.OK
            return final_response.expire(self, time.monotonic())
        finally:
            self.begin.record_plain(self.sends)
            self.move.close()

    def _lacks_instances(self):
        """Return whether this VM knows no instance of the version of its stream.

        Its peers may have read of them earlier.
        """
        version = self.version.fixed
        if not version or not is_stated(version):
            return False
        return not any(
            instance.record.stream_version == version
            and instance.record.stage is not Stage.PREFILL
            for instance in self.fleet.instances.serving(self.service)
        )

    def answer_at_stop(self, now):
        """Give the final response at once, as the process ends before this task would.

        The task makes no further call.
        """
        if self.is_answered or self.sink.done:
            return
        code = final_response.expire(self, now)
        self.is_answered = True
        if self.is_forwarded:
            self.sink.complete(ForwardOutcome.from_lifecycle(self, code))
        self.task.cancel()
        logger.warning(
            "request answered at the end of the process",
            request=self.request.id,
            code=code.name,
        )

    def _record_arrival(self):
        """Record a client's request; a forwarded one was recorded by its sender."""
        arrived = self.request.arrived
        self.fleet.budget(self.service).record_request(arrived)
        if self.request.prompt.tokens:
            self.fleet.record_demand(
                self.request.prompt, self.route, self.service, arrived
            )

    def _record_first_event(self, now):
        """Record that the first event is about to be passed on to the client."""
        self.begin.record(now)
        self.version.record_first_event(self.sink, now)

    def seconds_left(self, now):
        """Return the seconds until the request's deadline."""
        return self.deadline - now

    async def _attempts(self):
        while True:
            plan = self._next_plan(time.monotonic())
            if plan is None:
                return final_response.give_up(self, time.monotonic())
            try:
                code = await self.attempt(plan)
            except TakenOver as taken:
                code = taken.code
            if code is not None:
                return code
            if self.may_have_run and not self.route.retryable:
                return final_response.give_up(self, time.monotonic())

    async def attempt(self, plan):
        """Make one attempt.

        :returns: the :class:`ResultCode` if the client was answered, else None.
        """
        if isinstance(plan, ForwardPlan):
            return await ForwardAttempt(self, plan).run()
        refused = ask_for_room(self, plan, time.monotonic())
        if refused is not None:
            return final_response.shed(self, refused)
        if self.route.kind is Kind.STREAMING:
            answered = await self._attempt_stream(plan)
        else:
            answered = await self._attempt_plain(plan)
        return ResultCode.OK if answered else None

    def _next_plan(self, now):
        """Return the plan of the next attempt, None when there is no other."""
        if self.is_quarantined(now):
            return None
        if self.sends.maybe_received > self.route.max_attempts:
            return None
        if self.may_have_run and self.sends.maybe_received >= self.route.max_attempts:
            return None
        plan = self._plan(now)
        self._record_outage(plan, now)
        self.planned_at = now
        if plan is None or not self._can_end(now, plan):
            return None
        if not self.retries.reserve(plan, now):
            self.cause += "; retry budget spent"
            return None
        return plan

    def _can_end(self, now, plan=None, seconds=None):
        """Return whether the stop of this VM leaves time for an attempt.

        The parameters are those of :func:`~mulberrydock.request_room.can_end`.
        """
        if can_end(self, now, plan, seconds):
            return True
        self.is_left_to_others, self.cause = True, TOO_LATE_CAUSE
        return False

    def _record_outage(self, plan, now):
        """Record whether any request could be sent to the service now.

        Nothing is known of that where an attempt finds no instance for a reason of its
        own: those it was sent to, its version, or a pause.
        """
        if plan is not None:
            self.fleet.outages.record(self.service, False, now)
        elif not (
            self.tried
            or self.refused_by
            or self.version.fixed
            or self.fleet.is_held_back(self.service, now)
        ):
            self.fleet.outages.record(self.service, True, now)

    def _plan(self, now):
        """Return the plan of an attempt, through a peer if the links are lost."""
        if self.fleet.links.is_lost(self.service):
            plan = None if self.is_forwarded else self._forward_plan(now)
            if plan is not None or not self.fleet.links.can_run(self.service):
                self.cause = self.cause if plan else "no VM has links to the instances"
                return plan
        plan = self._local_plan(now)
        if plan is None and self.version.fixed and not self.tried:
            self.cause = f"no instance of version {self.version.fixed} can be used"
        if plan is None and self.fleet.is_held_back(self.service, now):
            self.cause = "the instances take no more requests for now"
        return plan

    def _local_plan(self, now):
        return self.fleet.plan(
            self.request, self.route, self.service, self.tried, now, self.version.fixed
        )

    def _forward_plan(self, now):
        forwarding = self.relay.forwarding
        if forwarding is None:
            return None
        return forwarding.choose(self.service, self.request.id, self.refused_by, now)

    def estimate_wait(self, now):
        """Return the estimate of seconds to the first event at any instance."""
        plan = self._local_plan(now)
        return plan.wait if plan else 0.0

    def is_quarantined(self, now):
        """Return whether the request's work must not be sent because of crashes.

        Checked before every call: another VM may have reported the last crash since.
        """
        was_sent = self.sends.maybe_received > 0
        cause = self.quarantine.refusal_cause(was_sent, now)
        self.cause = cause or self.cause
        return bool(cause)

    def _may_abandon(self):
        """Return whether a silent instance may be abandoned, as another one takes over.

        The retries reserved here stay reserved for the next attempt, so that no
        response is abandoned whose replacement the retry budget doesn't allow.
        """
        now = time.monotonic()
        plan = self._next_plan(now)
        if plan is None:
            return False
        self.retries.keep(plan)
        return True

    async def _take_over(self, instance, give_up, listener, task):
        """Let another instance take a silent one's request over, if there is one.

        :param give_up: called once the silent one is given up.
        :returns: whether there was one; None for a stream without an event, whose
            instance is abandoned: its prompt may wait in a queue, and to keep it there
            would double the load.
        """
        is_stream = self.route.kind is Kind.STREAMING
        if is_stream and not self.stream.has_started:
            return None
        plan = self._next_plan(time.monotonic())
        if plan is not None:
            await Takeover(self, instance, listener, task, give_up).run(plan)
        return plan is not None

    def _give_up(self, instance, listener, in_flight_send):
        """Record that an instance was given up, as another one has taken over."""
        now = time.monotonic()
        in_flight_send.end()
        self.fleet.suspicion.record_failure(instance.id, now, unreachable=False)
        if _ran_past_blame(listener, now):
            self.quarantine.record_sound(listener.first_progress_at, now)
        else:
            self.relay.record_cut(self.request, instance, now)

    def _end_takeover(self):
        if self.takeover is not None:
            self.takeover.begin()

    def attempt_timeouts(self, wait):
        """Return the :class:`ProgressTimeouts` of the next attempt, None for none.

        Only a retryable request with an attempt left can be sent to another instance.

        :param wait: the estimate of seconds to the first event.
        """
        attempts = self.route.max_attempts - self.sends.maybe_received
        if not self.route.retryable or attempts < 2:
            return None
        now = time.monotonic()
        left = self.seconds_left(now)
        if self.route.kind is Kind.STREAMING:
            patience = caller_time(self, now).patience
            first = attempt_time.first_event_seconds(patience, wait, attempts)
            idle_timeout = self.route.client_idle_timeout
            gap = attempt_time.event_gap_seconds(idle_timeout, left, attempts)
        else:
            usual = self.fleet.held_seconds(self.service, self.route, now)
            first = gap = attempt_time.response_seconds(left, usual, attempts)
        return ProgressTimeouts(
            first,
            gap,
            self._may_abandon,
            catch_up_seconds=self.fleet.catch_up_seconds,
        )

    async def _attempt_plain(self, plan):
        """Send a plain request once; return whether the client was answered."""
        response = BufferedResponse(chunks=HeldChunks(share=self.response_share))
        timeouts = self.attempt_timeouts(plan.wait)
        in_flight_send = self.fleet.loads.begin(plan.target.id, 0)
        sent_at = time.monotonic()
        self.begin.expect(self.sends, sent_at)
        if not await self._send(plan, response, in_flight_send, timeouts, self.sends):
            return False
        self._record_plain(plan, response, sent_at, time.monotonic())
        metadata = self.wire.read_metadata(response.headers)
        return self._deliver_buffered(plan, response, metadata, self.sends)

    def _record_plain(self, plan, response, sent_at, now):
        """Record for how long a plain response held its place.

        One that may have waited for it is no sample.
        """
        places = plan.places
        if not self._is_sample(sent_at, now):
            return
        if response.status < 300 and places.streams < places.total:
            place_use = self.fleet.estimates.pool(self.service).place_use
            place_use.record_end(self.route.urgency, now - sent_at, now)

    async def _attempt_stream(self, plan):
        """Run a streamed request once; return whether the client was answered."""
        handle, prefill = None, plan.prefill
        if prefill is not None:
            handle = await self._prefill(plan)
            if handle is None:
                # Plan again: another prefill engine may be free, or a decode engine
                # faster by now.
                return False
            # The prefill may have taken seconds: the decode engine of the plan may be
            # busy or leaving by now, and an engine that is leaving must get no new work
            # from a moment after its notice.
            now = time.monotonic()
            stream_seconds = self.fleet.held_seconds(self.service, self.route, now)
            has_time = self._can_end(now, seconds=stream_seconds)
            plan = self.fleet.decode_plan(
                self.request, self.service, plan, self.tried, now
            )
            plan = plan if has_time else None
        listener = StreamListener(self.wire, self.stream, share=self.response_share)
        try:
            if plan is None or self.is_quarantined(time.monotonic()):
                return False
            if await self.run_stream(plan, listener, handle):
                return True
        finally:
            # The KV cache of an unused handle would occupy its engine's memory.
            if handle is not None and not listener.has_begun:
                self.relay.release_handle(prefill, handle)
        return await self.move.go_on(plan)

    async def run_stream(self, plan, listener, handle, counter=None):
        """Send a streamed request once; return whether the client was answered.

        :param handle: that of the KV cache to go on from, None without one.
        :param counter: what counts it, None for :attr:`sends`.
        """
        tokens = plan.tokens if handle is None else 0
        urgency = self.route.urgency
        in_flight_send = self.fleet.loads.begin(plan.target.id, tokens, urgency)
        listener.on_first_event = in_flight_send.mark_prefilled
        estimates = self.fleet.estimates.pool(self.service)
        estimates.demand.record(Demand(decode_engine_work=tokens), time.monotonic())
        timeouts = self.attempt_timeouts(plan.wait)
        counter = counter or self.sends
        complete = await self._send(
            plan, listener, in_flight_send, timeouts, counter, handle
        )
        if complete and listener.is_signed_stream:
            self.fleet.estimates.record_prefill(plan.target.id, self.request.prompt)
            self._record_stream(plan, time.monotonic())
            self.served, self.began_at = True, listener.first_progress_at
            self.stream.finish(listener.status, listener.headers)
            return True
        metadata = listener.metadata
        return complete and self._deliver_buffered(plan, listener, metadata, counter)

    def _is_sample(self, since, now):
        """Return whether what took from ``since`` to ``now`` shows the service's time.

        While no time is known, one that a pause of this process has made longer is
        closer than what is assumed without any.
        """
        if not self.fleet.held_seconds(self.service, self.route, now):
            return True
        return self.fleet.is_measurable(since, now)

    def _record_stream(self, plan, now):
        """Record a complete stream in the service's estimates and metrics."""
        if not self.stream.has_started:
            return
        if not self._is_sample(self.stream.first_event_at, now):
            return
        estimates = self.fleet.estimates.pool(self.service)
        estimates.record_stream(now - self.stream.first_event_at)
        estimates.place_use.record_end(
            self.route.urgency, now - self.stream.first_event_at, now
        )
        metrics = self.relay.metrics
        metrics.token_seconds.labels(self.service).set(estimates.cost_model.cost.token)
        if plan.wait > 0:
            ratio = (self.stream.first_event_at - self.planned_at) / plan.wait
            metrics.wait_ratio.labels(self.service).observe(ratio)

    def _deliver_buffered(self, plan, response, metadata, counter):
        """Pass an instance's response on unless another attempt may do better.

        :param counter: what counts the send.
        :returns: True when it went to the client.
        """
        status = response.status
        recorded = self._record_response(plan.target, metadata, status, counter)
        return recorded and self.pass_on(response)

    def pass_on(self, response):
        """Pass an instance's whole response on unless another attempt may do better.

        :returns: True when it went to the client.
        """
        self.error_response = response
        failed = response.status >= 500
        if self.stream.has_started or (failed and self.route.retryable):
            self.cause = f"status {response.status}"
            return False
        self.served = response.status < 400
        self.respond(response)
        return True

    def _record_response(self, instance, metadata, status, counter):
        """Record what a response shows of its instance.

        :param counter: what counts the send.
        :returns: False when the response must not be passed on.
        """
        now = time.monotonic()
        if status == 421:
            counter.rejected += 1
            self.fleet.record_misdirected(instance, metadata.instance, now)
            self.cause = f"{instance.id} is not at its address or in its stage"
            return False
        if metadata.not_executed:
            counter.rejected += 1
            self.fleet.suspicion.record_no_slot(instance.id, now)
            self.cause = f"{instance.id} refused"
            return False
        self.may_have_run = True
        if not metadata.signed:
            # An unsigned response is not the instance's own.
            self.cause = f"unsigned answer {status}"
            self.fleet.suspicion.record_failure(instance.id, now)
            return False
        if status < 500:
            self.fleet.suspicion.record_success(instance.id)
        return True

    async def _send(
        self, plan, listener, in_flight_send, timeouts, counter, handle=None
    ):
        """Send once to the plan's target; return whether a complete response came.

        :param counter: what counts the send.
        """
        target = plan.target
        now = time.monotonic()
        counter.record_call()
        self.tried.add(target.id)
        self.version.attempted = target.record.stream_version
        options = SendOptions(
            instance=target.record.id,
            deadline_ms=int(self.seconds_left(now) * 1000),
            priority=self.route.urgency,
            last_event_id=self.stream.splitter.last_id,
            kv_source=handle,
        )
        logger.info(
            "send",
            request=self.request.id,
            instance=target.id,
            attempt=counter.made,
            version=target.record.version,
            after_event=options.last_event_id,
            prefilled=handle is not None,
            wait=round(plan.wait, 3),
            config=self.fleet.routes.version,
            data_centre=target.record.data_centre,
        )
        self.relay.count_send(target.record)
        check = self._incarnation_check(target, handle)
        if check is not None:
            listener.incarnation_check = check
            listener.on_unknown = self.version.record_unknown
        exchange = self.relay.exchange(target, self.request, options, listener, check)
        exchange = self.move.watch(target, listener, exchange)
        if timeouts is not None:
            give_up = functools.partial(self._give_up, target, listener, in_flight_send)
            take_over = functools.partial(self._take_over, target, give_up)
            timeouts = attrs.evolve(timeouts, take_over=take_over)
        try:
            await run_exchange(exchange, listener, timeouts)
            await self._check_end(target, listener.headers)
        except (StreamMoved, SuccessorFailed):
            self.may_have_run = True
            return False
        except UpstreamError as error:
            await self._record_failure(target, error, listener, counter)
            return False
        finally:
            in_flight_send.end()
        return True

    def _incarnation_check(self, instance, handle):
        """Return the :class:`IncarnationCheck` of a send, None if it needs none.

        An engine that gets back what it has stopped needs none: one that has restarted
        lacks the memory and refuses.
        """
        is_return = handle is not None and handle.address == instance.address
        if self.route.kind is not Kind.STREAMING or is_return:
            return None
        # A stream that has begun may go on at its version only.
        is_required = bool(self.version.fixed)
        return IncarnationCheck.from_send(
            self.relay, instance, self.request, is_required
        )

    async def _check_end(self, instance, headers):
        """Check that a response whose end nothing marks wasn't cut off.

        The end of its instance closes the connection in the same way, also that of one
        that leaves.

        :raises ConnectionCut: when nothing shows that the instance lives.
        """
        if ends_with_connection(headers) and not await self.relay.is_alive(instance):
            raise ConnectionCut(f"{instance.id} may have ended before its response")

    async def _record_failure(self, instance, error, listener, counter):
        """Record a failed send, and find out whether the instance crashed under it."""
        not_sent = error.code == ResultCode.NOT_RUN
        if not_sent:
            self.retries.record_not_sent(counter)
        else:
            self.may_have_run = True
        self.cause = f"{instance.id}: {error}"
        suspected = False
        if not isinstance(error, CallWithheld):
            suspected = self.fleet.suspicion.record_failure(
                instance.id, time.monotonic(), unreachable=not_sent
            )
        logger.warning(
            "attempt failed",
            request=self.request.id,
            fingerprint=self.request.fingerprint,
            parts=self.request.prompt.shared_ids,
            instance=instance.id,
            error=str(error),
            suspected=suspected,
        )
        await self.relay.check_link(instance, error)
        now = time.monotonic()
        if _ran_past_blame(listener, now):
            self.quarantine.record_sound(listener.first_progress_at, now)
        elif isinstance(error, ConnectionCut):
            await self.relay.probe_after_cut(self.request, instance)
        elif not not_sent:
            self.relay.record_cut(self.request, instance, now)

    async def _prefill(self, plan):
        """Prefill on the plan's prefill engine; return the handle, None on failure."""
        self.prefills.record_call()
        self.tried.add(plan.prefill.id)
        call = PrefillCall(self.relay, self.request, self.service, plan)
        try:
            return await call.run(caller_time(self, time.monotonic()))
        except UpstreamError as error:
            if error.code == ResultCode.NOT_RUN:
                self.retries.record_not_sent(self.prefills)
            self.cause = f"prefill at {plan.prefill.id}: {error}"
            return None
        finally:
            if call.accepted:
                self.retries.record_accepted_prefill()

    def respond(self, response):
        """Send an instance's whole response to the client."""
        self._end_takeover()
        self.is_answered = True
        headers = self.wire.response_headers(response.headers)
        self.sink.respond(response.status, headers, response.body)
