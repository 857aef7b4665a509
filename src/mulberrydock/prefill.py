"""One call to a prefill engine that reads a request's prompt and keeps its KV cache."""

import asyncio
import time

import attrs
from loguru import logger

from .connections import BufferedResponse
from .demand import Demand
from .estimates import PrefillSample
from .exceptions import CallRefused, ConnectionCut, ResultCode, UpstreamError
from .request import SendOptions

#: Seconds for a prefill answer beyond the estimate. A prompt that is given up
#: while it waits has to wait again elsewhere; an engine that is gone is noticed
#: by its connection first.
PREFILL_SECONDS = 1.0
#: Multiple of the estimated wait that an engine may take.
WAIT_MARGIN = 2.0


@attrs.define
class Prefill:
    """A prefill as ``plan`` says; :meth:`run` makes the call.

    :param relay: the :class:`~mulberrydock.relay.Relay` to call over.
    :param service: name of the pool's service.
    """

    relay: object
    request: object
    service: str
    plan: object

    @property
    def engine(self):
        """The engine that reads the prompt."""
        return self.plan.prefill

    @property
    def fleet(self):
        """What this VM believes of its fleet."""
        return self.relay.fleet

    async def run(self, left):
        """Return the :class:`~mulberrydock.request.KvHandle` of the prompt.

        :param left: seconds until the request's deadline.
        :raises UpstreamError: when the engine doesn't give one.
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
        work = self.fleet.loads.begin(self.engine.id, plan.tokens, plan.urgency)
        knowledge = self.fleet.estimates.pool(self.service)
        knowledge.demand.record(Demand(prefill_engine_work=plan.tokens), started)
        try:
            handle = await self._call(left)
        except UpstreamError as error:
            await self._failed(error)
            raise
        finally:
            work.end()
        self.fleet.suspicion.record_success(self.engine.id)
        self.fleet.estimates.record_prefill(self.engine.id, self.request.prompt)
        self._learn(started, time.monotonic())
        return handle

    async def _call(self, left):
        options = SendOptions(
            instance=self.engine.record.id,
            deadline_ms=int(left * 1000),
            priority=self.plan.urgency,
            prefill_only=True,
        )
        answer = BufferedResponse()
        limit = PREFILL_SECONDS + WAIT_MARGIN * self.plan.wait
        exchange = self.relay.exchange(self.engine, self.request, options, answer)
        try:
            await asyncio.wait_for(exchange, limit)
        except asyncio.TimeoutError as error:
            raise UpstreamError(f"no answer in {limit:.1f} s") from error
        handle = self._read_handle(answer)
        if self.engine.terminated:
            # It is over, or has started again under its id: a handle of that
            # number may then be another prompt's.
            raise UpstreamError("the engine is gone")
        return handle

    def _read_handle(self, answer):
        wire = self.relay.wire
        if answer.status == 200:
            return wire.read_handle(self.engine.address, answer.body)
        now = time.monotonic()
        # A refused prefill call counts as a repeat, the first as well.
        self.fleet.budget(self.service).spend(now)
        reason = f"prefill status {answer.status}"
        marks = wire.read_metadata(answer.headers)
        if answer.status == 421:
            self.fleet.record_misdirected(self.engine, marks.instance, now)
        elif marks.not_executed:
            self.fleet.suspicion.record_refusal(self.engine.id, now)
        else:
            raise UpstreamError(reason)
        raise CallRefused(reason)

    async def _failed(self, error):
        if not isinstance(error, CallRefused):
            unreachable = error.code == ResultCode.NOT_RUN
            self.fleet.suspicion.record_failure(
                self.engine.id, time.monotonic(), unreachable
            )
        logger.warning(
            "prefill failed",
            request=self.request.id,
            fingerprint=self.request.fingerprint,
            instance=self.engine.id,
            error=str(error),
        )
        if isinstance(error, ConnectionCut) and not self.plan.queued:
            # A prompt that waits behind others has crashed nothing.
            await self.relay.examine(self.request, self.engine)

    def _learn(self, started, now):
        """A prompt was read: log how long it took, and learn from it."""
        plan, seconds = self.plan, now - started
        logger.info(
            "prefilled",
            request=self.request.id,
            instance=self.engine.id,
            seconds=round(seconds, 3),
        )
        if plan.queued:
            # What waited says nothing of the engine's speed.
            return
        tokens = self.request.prompt.tokens - plan.cached
        sample = PrefillSample(self.service, tokens, plan.cached, seconds)
        self.fleet.estimates.record_sample(sample, now)
