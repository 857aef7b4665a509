"""Carries out the steps of a stop; each ends in its time, whatever it waits for."""

import asyncio
import time
import typing as t

import attrs
from loguru import logger

from .plan import Step, StopPlan

#: Seconds between two log lines that say what the stop waits for.
LOG_INTERVAL_SECONDS = 1.0
#: Seconds between two checks for responses that clients haven't read yet.
UNSENT_CHECK_SECONDS = 0.02
#: Requests and calls that one log line names.
MAX_NAMES = 10


@attrs.define
class Stop:
    """The stop of one VM; :meth:`run` carries it out.

    :param fronts: the servers of requests; each has ``tasks``, ``refusing`` and
        ``unsent()``.
    :param requests: the :class:`~mulberrydock.stopping.requests.RequestsInProgress`.
    :param store_calls: returns the store calls in progress, as text.
    :param leave: coroutine function that tells the store and the peers.
    :param refuse: called when later requests are to be refused, and those that haven't
        arrived as a whole; once more before the end.
    :param record: coroutine function that writes what the last requests showed.
    :param background: the set of tasks that requests have left behind.
    :param unfinished: counter of the requests that the stop ended.
    """

    plan: StopPlan
    fronts: tuple
    requests: object
    store_calls: t.Callable
    leave: t.Callable
    refuse: t.Callable
    record: t.Callable
    background: set
    unfinished: object
    clock: t.Callable = time.monotonic
    step: Step = Step.ACCEPT

    async def run(self, tasks):
        """Stop; ``tasks`` are the daemon's own by name, which end last."""
        reporter = asyncio.ensure_future(self._report())
        leaving = asyncio.ensure_future(self.leave())
        await asyncio.sleep(self.plan.left(Step.ACCEPT, self.clock()))
        await self._finish()
        await self._answer()
        self.step = Step.RECORD
        last = [asyncio.ensure_future(self.record()), *self.background]
        await self._bounded(last)
        await self._close([*tasks, *last, leaving, reporter])

    def _tasks(self):
        """Return the tasks of the requests in progress, forwarded ones included."""
        return set().union(*(front.tasks for front in self.fronts))

    def _unsent(self):
        """Return how many clients haven't got the whole of a response yet."""
        return sum(front.unsent() for front in self.fronts)

    async def _finish(self):
        """Refuse later requests, and wait for those in progress."""
        self.step = Step.FINISH
        refusing_since = self.clock()
        self.refuse()
        logger.info("refusing new requests", in_flight=len(self._tasks()))
        await asyncio.sleep(self.plan.refuse_left(refusing_since, self.clock()))
        await self._wait_for_requests()

    def _left(self):
        """Return the seconds that the present step may still last."""
        return self.plan.left(self.step, self.clock())

    async def _wait_for_requests(self):
        tasks, left = self._tasks(), self._left()
        if tasks and left:
            await asyncio.wait(tasks, timeout=left)
        while self._unsent() and self._left():
            await asyncio.sleep(UNSENT_CHECK_SECONDS)

    async def _answer(self):
        """Give the requests that can't be finished their final responses."""
        self.step = Step.ANSWER
        ids = self.requests.ids()
        if ids:
            logger.warning(
                "stop ends requests", requests=ids[:MAX_NAMES], request_count=len(ids)
            )
            self.unfinished.inc(self.requests.end_all())
            await self._wait_for_requests()
            self.requests.answer_rest(self.clock())
        self.refuse()
        logger.info("drained", in_flight=len(self._tasks()), unsent=self._unsent())

    async def _bounded(self, tasks):
        """Await ``tasks`` until the step is over; log which failed or didn't end."""
        done, pending = await asyncio.wait(tasks, timeout=self._left())
        for task in done:
            if not task.cancelled() and task.exception() is not None:
                error = repr(task.exception())
                logger.error("stop step failed", step=self.step.value, error=error)
        if pending:
            logger.warning(
                "stop step not finished",
                step=self.step.value,
                tasks=[task.get_coro().__qualname__ for task in pending][:MAX_NAMES],
                store_calls=self.store_calls()[:MAX_NAMES],
            )

    async def _close(self, tasks):
        self.step = Step.CLOSE
        for task in tasks:
            task.cancel()
        await self._bounded(tasks)

    async def _report(self):
        """Log what the stop waits for, until cancelled."""
        while True:
            self._log_waits()
            await asyncio.sleep(LOG_INTERVAL_SECONDS)

    def _log_waits(self):
        ids, calls = self.requests.ids(), self.store_calls()
        unsent, background = self._unsent(), len(self.background)
        if not (ids or calls or unsent or background):
            return
        logger.info(
            "stop waits",
            step=self.step.value,
            seconds_left=round(self._left(), 2),
            requests=ids[:MAX_NAMES],
            request_count=len(ids),
            unsent=unsent,
            background=background,
            store_calls=calls[:MAX_NAMES],
        )
