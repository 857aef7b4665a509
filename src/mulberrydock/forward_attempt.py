"""One attempt at a request that goes through a peer."""

import time

import attrs
from loguru import logger

from . import forward_messages
from .exceptions import ResultCode, UpstreamError
from .forward_messages import ForwardedRequest, ForwardOutcome, PriorCalls
from .sends import ProgressTimeouts, StreamListener, run_exchange

#: Seconds, beyond those that the peer may take, after which a peer without progress is
#: abandoned: one round trip, and a busy VM.
FORWARD_MARGIN_SECONDS = 0.3
#: Outcomes in which the peer has sent nothing to an instance that may have executed it.
NOT_SERVED_CODES = (
    ResultCode.NO_UPSTREAM,
    ResultCode.NOT_READY,
    ResultCode.DRAINING,
    ResultCode.BAD_REQUEST,
)
#: Outcomes that no other VM would change.
FINAL_REFUSAL_CODES = (
    ResultCode.SHED,
    ResultCode.QUARANTINED,
    ResultCode.UNKNOWN_VERSION,
)


class ForwardedResponse(StreamListener):
    """Relays the response of a peer.

    ``outcome`` is what the peer has stated, None before. A response that has it in its
    headers ``is_whole``, not a stream.

    :param on_version: called with the version of the instance that begins a stream.
    :param share: as of :class:`~mulberrydock.sends.StreamListener`.
    """

    outcome: ForwardOutcome | None = None
    is_whole = False

    def __init__(self, wire, stream, on_version, share=None):
        super().__init__(wire, stream, share=share)
        self.on_version = on_version

    def on_headers(self, status, headers):
        super().on_headers(status, headers)
        self.outcome = ForwardOutcome.from_headers(headers)
        self.is_whole = self.outcome is not None
        for name, _ in self.outcome.headers() if self.outcome else ():
            del headers[name]
        if forward_messages.VERSION_HEADER in headers:
            self.on_version(headers.pop(forward_messages.VERSION_HEADER))

    @property
    def is_signed_stream(self):
        return super().is_signed_stream and not self.is_whole

    def pass_on(self, events):
        """Pass events on, without the comment that ends an incomplete stream."""
        events, self.outcome = forward_messages.split_comment(events)
        return super().pass_on(events) if events else None


@attrs.define(frozen=True)
class PeerTimeouts(ProgressTimeouts):
    """Also abandons a peer whose messages stop.

    ``silent_at`` returns when the peer counts as unreachable, None if unknown.
    """

    silent_at: object = None

    def expires_at(self, started, last_progress_at):
        expires_at = super().expires_at(started, last_progress_at)
        silent_at = self.silent_at()
        return expires_at if silent_at is None else min(expires_at, silent_at)


class ForwardAttempt:
    """An attempt of ``lifecycle`` through the peer of ``plan``; :meth:`run` makes it.

    :param lifecycle: the :class:`~mulberrydock.serving.RequestLifecycle`.
    :param plan: the :class:`~mulberrydock.forwarding.ForwardPlan`.
    """

    def __init__(self, lifecycle, plan):
        self.lifecycle = lifecycle
        self.plan = plan
        self.forwarding = lifecycle.relay.forwarding

    async def run(self):
        """Make the attempt.

        :returns: the :class:`ResultCode` if the client was answered, else None.
        """
        lifecycle, plan = self.lifecycle, self.plan
        now = time.monotonic()
        timeouts = self._timeouts(now)
        data = self._encode(now)
        lifecycle.sends.record_call()
        lifecycle.forwards += 1
        lifecycle.version.attempted = ""
        logger.info(
            "forward",
            request=lifecycle.request.id,
            peer=plan.name,
            attempt=lifecycle.forwards,
            service=lifecycle.service,
        )
        lifecycle.relay.metrics.forwards.labels(lifecycle.service).inc()
        listener = ForwardedResponse(
            lifecycle.wire,
            lifecycle.stream,
            self._record_version,
            lifecycle.response_share,
        )
        try:
            exchange = self.forwarding.exchange(plan, data, listener)
            await run_exchange(exchange, listener, timeouts)
        except UpstreamError as error:
            self._record_failure(error)
            return None
        finally:
            lifecycle.begin.take_back()
        return self._deliver(listener)

    def _record_version(self, version):
        self.lifecycle.version.attempted = version

    def _encode(self, now):
        lifecycle = self.lifecycle
        request = attrs.evolve(
            lifecycle.request,
            deadline=lifecycle.deadline,
            last_event_id=lifecycle.stream.splitter.last_id,
        )
        # The retry that was granted for this attempt is the peer's to use.
        lifecycle.retries.keep(self.plan)
        prior = PriorCalls.from_lifecycle(lifecycle)
        forwarded = ForwardedRequest(
            request,
            lifecycle.route.priority,
            prior,
            self.forwarding.name,
            lifecycle.service,
        )
        return forward_messages.encode(forwarded, now)

    def _timeouts(self, now):
        """Return the :class:`PeerTimeouts`, None for no timeout."""
        lifecycle = self.lifecycle
        attempts_left = lifecycle.route.max_attempts - lifecycle.sends.maybe_received
        timeouts = lifecycle.attempt_timeouts(lifecycle.estimate_wait(now))
        if timeouts is None:
            return None
        # The peer may abandon instances too.
        first = timeouts.first_event_seconds * attempts_left + FORWARD_MARGIN_SECONDS
        return PeerTimeouts(
            first,
            timeouts.event_gap_seconds + first,
            timeouts.may_abandon,
            catch_up_seconds=timeouts.catch_up_seconds,
            silent_at=lambda: self.forwarding.silent_at(self.plan.name),
        )

    def _record_failure(self, error):
        """Record that the peer gave no whole response."""
        lifecycle = self.lifecycle
        if error.code == ResultCode.NOT_RUN:
            lifecycle.retries.record_not_sent(lifecycle.sends)
        else:
            lifecycle.may_have_run = True
        self._refused(str(error))

    def _refused(self, reason):
        """Let neither this request nor others be forwarded to the peer for now."""
        lifecycle, plan = self.lifecycle, self.plan
        self.forwarding.avoid(plan.name, lifecycle.service, time.monotonic())
        self._not_again(f"{plan.name}: {reason}")

    def _not_again(self, cause):
        """Don't forward this request to the peer again; others may be."""
        lifecycle, plan = self.lifecycle, self.plan
        lifecycle.cause = cause
        lifecycle.refused_by.add(plan.name)
        logger.warning(
            "forward failed",
            request=lifecycle.request.id,
            peer=plan.name,
            reason=cause,
        )

    def _deliver(self, response):
        """Pass the peer's whole response on unless another attempt may do better."""
        lifecycle, outcome = self.lifecycle, response.outcome
        if outcome is None:
            if response.is_signed_stream:
                lifecycle.served = True
                lifecycle.began_at = response.first_progress_at
                lifecycle.stream.finish(response.status, response.headers)
                return ResultCode.OK
            lifecycle.may_have_run = True
            self._refused(f"status {response.status} without an outcome")
            return None
        self._count_calls(outcome)
        lifecycle.cause = f"{self.plan.name}: {outcome.code.name} {outcome.cause}"
        if outcome.code in NOT_SERVED_CODES:
            self._refused(outcome.cause or outcome.code.name)
            return None
        if outcome.code in FINAL_REFUSAL_CODES:
            return self._refuse(response)
        lifecycle.may_have_run = True
        if not outcome.has_calls:
            # Its retry budget is spent, for one: it would answer the same again.
            self._not_again(lifecycle.cause)
        passed_on = (
            response.metadata.signed
            and not response.is_signed_stream
            and lifecycle.pass_on(response)
        )
        return ResultCode.OK if passed_on else None

    def _count_calls(self, outcome):
        """Count the calls that the peer made instead of the one to the peer."""
        lifecycle = self.lifecycle
        # This attempt itself is one of the arrivals.
        was_retry = lifecycle.retries.arrivals > 1
        lifecycle.sends.maybe_received += outcome.sends - 1
        lifecycle.sends.rejected += outcome.rejected
        lifecycle.prefills.maybe_received += outcome.prefills
        if not outcome.has_calls:
            lifecycle.retries.reserved += int(was_retry)

    def _refuse(self, response):
        """Pass a refusal on; it states that the request has not run."""
        lifecycle = self.lifecycle
        if lifecycle.may_have_run:
            return None
        code = response.outcome.code
        lifecycle.relay.reject(
            lifecycle.request,
            lifecycle.sink,
            response.status,
            lifecycle.cause,
            response.metadata.retry_after,
        )
        return code
