"""Prefills a prompt on a prefill engine, which holds its KV cache for decoding."""

import time

import attrs
from loguru import logger

from .attempt_time import first_event_seconds
from .connections import (
    CHECK_TIMEOUT_SECONDS,
    MAX_CALL_BYTES,
    BufferedResponse,
    HeldChunks,
)
from .demand import Demand
from .estimates import PrefillSample
from .exceptions import (
    CallRefused,
    CallWithheld,
    ConnectionCut,
    ResultCode,
    UpstreamError,
)
from .incarnation_check import IncarnationCheck
from .request import SendOptions
from .response_room import ResponseShare
from .sends import ProgressTimeouts, run_exchange

#: Number of engines among which the caller's time is divided: this one and another. A
#: prompt that is abandoned in an engine's queue has to queue again elsewhere.
PREFILL_ATTEMPTS = 2


@attrs.define
class PrefillCall:
    """A prefill call according to ``plan``; :meth:`run` makes it.

    :param relay: the :class:`~mulberrydock.relay.Relay` that sends the call.
    :param service: name of the pool's service.

    ``accepted`` is True once the engine has prefilled the prompt.
    """

    relay: object
    request: object
    service: str
    plan: object
    accepted: bool = attrs.field(default=False, init=False)

    @property
    def engine(self):
        """The engine that prefills the prompt."""
        return self.plan.prefill

    @property
    def fleet(self):
        """The :class:`~mulberrydock.fleet_view.FleetView` of this VM."""
        return self.relay.fleet

    async def run(self, caller):
        """Return the :class:`~mulberrydock.request.KvHandle` of the prompt.

        :param caller: the :class:`~mulberrydock.room.admission.CallerTime`.
        :raises UpstreamError: when the engine returns none.
        """
        plan, started = self.plan, time.monotonic()
        logger.info(
            "prefill",
            request=self.request.id,
            instance=self.engine.id,
            tokens=plan.tokens,
            cached=plan.cached,
            wait=round(plan.wait, 3),
            urgency=plan.urgency,
        )
        in_flight_send = self.fleet.loads.begin(
            self.engine.id, plan.tokens, plan.urgency
        )
        estimates = self.fleet.estimates.pool(self.service)
        estimates.demand.record(Demand(prefill_engine_work=plan.tokens), started)
        try:
            handle = await self._call(caller)
        except UpstreamError as error:
            await self._record_failure(error)
            raise
        finally:
            in_flight_send.end()
        self.fleet.suspicion.record_success(self.engine.id)
        self.fleet.estimates.record_prefill(self.engine.id, self.request.prompt)
        self._record_prefill(started, time.monotonic())
        return handle

    async def _call(self, caller):
        # Each request may make such a call, so that their responses need a limit in
        # total.
        share = ResponseShare(self.relay.response_room)
        response = BufferedResponse(chunks=HeldChunks(MAX_CALL_BYTES, share))
        try:
            return await self._exchange(caller, response)
        finally:
            share.release()

    async def _exchange(self, caller, response):
        options = SendOptions(
            instance=self.engine.record.id,
            deadline_ms=int(caller.left * 1000),
            priority=self.plan.urgency,
            prefill_only=True,
        )
        timeout = first_event_seconds(caller.patience, self.plan.wait, PREFILL_ATTEMPTS)
        check = IncarnationCheck.from_send(self.relay, self.engine, self.request)
        exchange = self.relay.exchange(
            self.engine, self.request, options, response, check
        )
        timeouts = ProgressTimeouts(
            timeout,
            timeout,
            may_abandon=lambda: True,
            catch_up_seconds=self.fleet.catch_up_seconds,
        )
        await run_exchange(exchange, response, timeouts)
        if check is not None:
            # One that has restarted is terminated for this VM from then on.
            await check.result(CHECK_TIMEOUT_SECONDS)
        handle = self._read_handle(response)
        if self.engine.terminated:
            # The engine terminated, or restarted under its id: its next incarnation may
            # have given the same handle id to another prompt.
            raise UpstreamError("the engine terminated during the prefill")
        return handle

    def _read_handle(self, response):
        wire = self.relay.wire
        if response.status == 200:
            self.accepted = True
            return wire.read_handle(self.engine.address, response.body)
        now = time.monotonic()
        reason = f"prefill status {response.status}"
        metadata = wire.read_metadata(response.headers)
        if response.status == 421:
            self.fleet.record_misdirected(self.engine, metadata.instance, now)
        elif metadata.not_executed:
            self.fleet.suspicion.record_refusal(self.engine.id, now)
        else:
            raise UpstreamError(reason)
        raise CallRefused(reason)

    async def _record_failure(self, error):
        """Record a failed prefill, and find out whether the engine crashed under it."""
        if not isinstance(error, CallRefused | CallWithheld):
            unreachable = error.code == ResultCode.NOT_RUN
            self.fleet.suspicion.record_failure(
                self.engine.id, time.monotonic(), unreachable
            )
        logger.warning(
            "prefill failed",
            request=self.request.id,
            fingerprint=self.request.fingerprint,
            parts=self.request.prompt.shared_ids,
            instance=self.engine.id,
            error=str(error),
        )
        await self.relay.check_link(self.engine, error)
        if isinstance(error, ConnectionCut) and not self.plan.queued_work:
            # A prompt still in the engine's queue can't have crashed it.
            await self.relay.probe_after_cut(
                self.request, self.engine, with_parts=False
            )

    def _record_prefill(self, started, now):
        """Log a finished prefill and add its duration to the cost estimate."""
        plan, seconds = self.plan, now - started
        logger.info(
            "prefilled",
            request=self.request.id,
            instance=self.engine.id,
            seconds=round(seconds, 3),
        )
        if plan.queued_work:
            # The time of a queued prompt includes its wait in the queue, so it is no
            # sample of the prefill cost.
            return
        if not self.fleet.is_measurable(started, now):
            return
        tokens = self.request.prompt.tokens - plan.cached
        sample = PrefillSample(self.service, tokens, plan.cached, seconds)
        self.fleet.estimates.record_sample(sample, now)
