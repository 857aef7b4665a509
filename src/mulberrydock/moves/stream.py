"""The stream of one request, across the engines that run it with its memory."""

import asyncio
import time

import attrs
from loguru import logger

from ..call_counter import CallCounter
from ..connections import ends_with_connection
from ..exceptions import ConnectionCut, ResultCode, UpstreamError
from ..request import Kind
from ..sends import StreamListener

#: Moves of a stream from one engine that may fail before it stays there.
MAX_MOVES = 3
#: Seconds within which the source's connection closes after it has stopped a run; then
#: this VM closes it.
STOP_GRACE_SECONDS = 0.1


class StreamMoved(UpstreamError):
    """A stream ended without its last event, as it goes on at another engine."""

    code = ResultCode.STREAM_CUT


@attrs.define(frozen=True)
class Step:
    """An engine at which a stream may go on, with the handle of its memory.

    ``source`` is the engine that ran it before.
    """

    instance: object
    handle: object
    source: object


@attrs.define(eq=False)
class StreamMove:
    """The moves of one request's stream.

    :param lifecycle: the :class:`~mulberrydock.serving.RequestLifecycle`.

    While an engine runs the stream, ``source`` is that engine, ``listener`` relays its
    events, ``task`` receives them, and ``events_before`` is the number of events of
    earlier engines. ``leave`` is the :class:`~mulberrydock.moves.mover.Leave` of the
    source, ``call`` the task of the move in progress. ``steps`` are where the stream
    may go on once it has ended there; ``stopped`` says that the source has stopped it,
    ``may_have_stopped`` that it was told to by a call that it didn't refuse,
    ``run_ended`` that it knows no such run, ``unanswered`` that it didn't answer the
    last call. ``attempts`` counts the moves from this source, ``refused_by`` names the
    engines that had no room. ``has_retry`` is True while the retry budget has granted a
    send that wasn't made yet.
    """

    lifecycle: object
    source: object = None
    listener: object = None
    task: object = None
    events_before: int = 0
    leave: object = None
    call: object = None
    steps: list = attrs.field(factory=list)
    stopped: bool = False
    may_have_stopped: bool = False
    run_ended: bool = False
    unanswered: bool = False
    closed: bool = False
    attempts: int = 0
    refused_by: set = attrs.field(factory=set)
    has_retry: bool = False
    logged_reason: str = ""

    @property
    def mover(self):
        """The :class:`~mulberrydock.moves.mover.Mover` of this VM."""
        return self.lifecycle.relay.mover

    @property
    def request(self):
        """The request whose stream it is."""
        return self.lifecycle.request

    @property
    def splitter(self):
        """The :class:`~mulberrydock.sse.EventSplitter` of the stream."""
        return self.lifecycle.stream.splitter

    @property
    def events(self):
        """The number of events that the source has made."""
        return self.splitter.count - self.events_before

    @property
    def is_running(self):
        """True while an engine runs the stream and the client has events of it."""
        listening = not self.closed and self.task is not None and not self.task.done()
        return listening and self.listener.first_progress_at is not None

    @property
    def is_version_known(self):
        """True when the source is known to be of the stream's version.

        One that may have restarted may be of any.
        """
        return self.lifecycle.version.fixed == self.source.record.stream_version

    @property
    def may_move(self):
        """True when a move of the stream may begin."""
        idle = self.call is None and not self.stopped and not self.run_ended
        return self.is_running and idle and self.attempts < MAX_MOVES

    def watch(self, instance, listener, exchange):
        """Return the coroutine ``exchange``, made ready for moves.

        It raises :class:`StreamMoved` when the stream goes on elsewhere.

        :param instance: the engine that it sends to.
        :param listener: the listener that it feeds.
        """
        streaming = self.lifecycle.route.kind is Kind.STREAMING
        if not streaming or not self.mover.applies_to(self.lifecycle.service):
            return exchange
        return self._watch(instance, listener, exchange)

    async def _watch(self, instance, listener, exchange):
        self.source, self.listener = instance, listener
        self.task = asyncio.current_task()
        self.events_before = self.splitter.count
        self.stopped = self.run_ended = self.may_have_stopped = False
        self.unanswered = False
        self.attempts = 0
        self.mover.add(self)
        try:
            await exchange
            if ends_with_connection(listener.headers):
                await self._check_unframed_end()
        except ConnectionCut as error:
            await self._wait_for_call()
            if not self._may_leave_source():
                raise
            raise StreamMoved(str(error)) from error
        except asyncio.CancelledError:
            if not self.stopped:
                raise
            raise StreamMoved("stopped for a move") from None
        finally:
            self.mover.remove(self)

    async def _wait_for_call(self):
        """Wait for the end of a call that may have stopped the run."""
        if self.call is not None:
            await asyncio.wait([self.call])

    def _may_leave_source(self):
        """Return whether the stream may go on elsewhere now.

        An engine may go on with a run whose connection was cut: it must have stopped
        the run, deny that there is one, or not answer any more.
        """
        over = self.stopped or self.run_ended or self.unanswered
        return bool(self.steps) and (over or self.lifecycle.route.retryable)

    async def _check_unframed_end(self):
        """Check that a stream whose end nothing marks wasn't stopped by a move.

        :raises ConnectionCut: when it was or may have been.
        """
        await self._wait_for_call()
        if self.may_have_stopped:
            raise ConnectionCut(f"{self.source.id} may have stopped the run")

    def record_stop(self, steps):
        """Record that the source has stopped the run, which goes on at ``steps``."""
        self.steps, self.stopped = steps, True
        loop = asyncio.get_running_loop()
        loop.call_later(STOP_GRACE_SECONDS, self.task.cancel)

    def record_stay(self, reason):
        """Log why the stream doesn't move for now, once for each reason."""
        if reason != self.logged_reason:
            self.logged_reason = reason
            logger.info(
                "stream stays",
                request=self.request.id,
                instance=self.source.id,
                events=self.splitter.last_id,
                reason=reason,
            )

    def close(self):
        """End the moves: the request has been answered, or its client has left."""
        self.closed = True
        self._release(self.steps)
        self.steps = []

    def _release(self, steps):
        if steps:
            self.mover.release(steps[0])

    async def go_on(self, plan):
        """Go on with a stream that was moved; return whether the client was answered.

        :param plan: the :class:`~mulberrydock.placement.Plan` of the first engine.
        """
        answered = False
        while self._may_leave_source() and not answered:
            steps, self.steps = self.steps, []
            answered = await self._try_steps(plan, steps)
        return answered

    async def _try_steps(self, plan, steps):
        """Send the request where its memory is, until an engine goes on with it."""
        listener, last_event_at = None, self.listener.last_progress_at
        try:
            for step in steps:
                now = time.monotonic()
                if not self._may_go_on(step, now):
                    continue
                listener = StreamListener(
                    self.lifecycle.wire,
                    self.lifecycle.stream,
                    share=self.lifecycle.response_share,
                )
                answered = await self._try_step(plan, step, listener, last_event_at)
                if answered or listener.has_begun:
                    return answered
            return False
        finally:
            if listener is None or not listener.has_begun:
                self._release(steps)

    async def _try_step(self, plan, step, listener, last_event_at):
        after_event = self.splitter.last_id
        self.has_retry = False
        # The prompt needs no prefill, and its wait says nothing about the estimates.
        plan = attrs.evolve(
            plan, target=step.instance, prefill=None, tokens=0, wait=0.0
        )
        # The run is the same one, so it takes none of the route's attempts. Another
        # engine's run that takes over from it takes one.
        counter = CallCounter(self.lifecycle.sends.made)
        self.lifecycle.sends.made += 1
        try:
            return await self.lifecycle.run_stream(plan, listener, step.handle, counter)
        finally:
            self._log(step, listener, after_event, last_event_at)

    def _may_go_on(self, step, now):
        """Return whether the stream may be sent to the engine of ``step``."""
        returns = step.instance is step.source
        if returns and not self.leave.permits_return(now):
            return False
        if not returns and step.instance.is_going:
            return False
        if self.lifecycle.is_quarantined(now):
            return False
        return self.reserve_retry(now)

    def reserve_retry(self, now):
        """Reserve the send to another engine from the retry budget, if it allows it."""
        budget = self.mover.fleet.budget(self.lifecycle.service)
        self.has_retry = self.has_retry or budget.allow(now)
        return self.has_retry

    def _log(self, step, listener, after_event, last_event_at):
        first = listener.first_progress_at
        pause = None if first is None else round(first - last_event_at, 4)
        outcome = "went on" if listener.has_begun else "not taken"
        if step.instance is step.source:
            outcome += " at the source"
        logger.info(
            "stream moved",
            request=self.request.id,
            source=step.source.id,
            destination=step.instance.id,
            after_event=after_event,
            outcome=outcome,
            pause=pause,
        )
        self.mover.count(self.lifecycle.service, outcome)
