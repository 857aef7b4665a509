"""Lets another instance take over from a silent one, which is kept until it has.

A sound instance may fall silent for a moment and go on, and the one that is to take
over may refuse the request or fail. So the request is sent a second time while the
first send is still in progress; the first of the two that makes progress goes on alone.
"""

import asyncio
import time

import attrs
from loguru import logger

from .exceptions import ResultCode, UpstreamError
from .moves import StreamMove


class TakenOver(Exception):
    """The request was answered through another instance, as ``code`` says."""

    def __init__(self, code):
        super().__init__(code.name)
        self.code = code


class SuccessorFailed(UpstreamError):
    """The instance that took over has failed; the silent one was given up before."""

    code = ResultCode.STREAM_CUT


@attrs.define(eq=False)
class Takeover:
    """The attempt of ``lifecycle`` to replace one silent instance.

    :param lifecycle: the :class:`~mulberrydock.serving.RequestLifecycle`.
    :param instance: the silent instance.
    :param listener: what receives its response.
    :param task: the exchange with it.
    :param give_up: called without arguments once the instance is given up.

    ``attempt`` is the task of the other attempt, ``has_begun`` is True once that has
    brought an event; the silent instance is given up then. ``is_ended`` is True once
    it goes on, or the other attempt has failed. ``former`` is the takeover in which the
    silent instance was to take over itself, None for the first one.
    """

    lifecycle: object
    instance: object
    listener: object
    task: object
    give_up: object
    attempt: object = None
    has_begun: bool = False
    is_ended: bool = False
    former: object = None

    async def run(self, plan):
        """Make the attempt of ``plan``; return if the silent instance goes on alone.

        :raises TakenOver: when the request was answered through another one.
        :raises SuccessorFailed: when that one has begun and failed.
        """
        lifecycle, started, code = self.lifecycle, time.monotonic(), None
        # The silent instance has the request.
        lifecycle.may_have_run = True
        move, version = lifecycle.move, lifecycle.version.attempted
        splitter = lifecycle.stream.splitter
        position = splitter.buffer, splitter.last_id, splitter.count
        self.former, lifecycle.takeover = lifecycle.takeover, self
        woke = self.listener.hold()
        lifecycle.move = StreamMove(lifecycle)
        self.attempt = asyncio.ensure_future(lifecycle.attempt(plan))
        outcome = "ended"
        try:
            code = await self._race(woke)
            if code is not None:
                self.begin()
            outcome = self._outcome(woke)
        finally:
            self.is_ended = True
            await self._end_attempt()
            self._log(plan, outcome, started)
            lifecycle.takeover = self.former
            if self.has_begun:
                move.close()
            else:
                lifecycle.move.close()
                lifecycle.move, lifecycle.version.attempted = move, version
                splitter.buffer, splitter.last_id, splitter.count = position
                self.listener.release()
        if code is not None:
            raise TakenOver(code)
        if self.has_begun:
            raise SuccessorFailed(
                f"the instance that replaced {self.instance.id} failed"
            )

    async def _race(self, woke):
        """Wait until one of both has made progress or the other attempt has failed.

        :returns: the :class:`ResultCode` if the other attempt has answered, else None.
        """
        awaits = {self.attempt, self.task, woke}
        while True:
            done, _ = await asyncio.wait(awaits, return_when=asyncio.FIRST_COMPLETED)
            if self.attempt in done:
                return self._result()
            if not self.has_begun and (woke in done or self._is_answered()):
                return None
            # The silent instance has failed, or was given up: only the other is left.
            awaits = {self.attempt}

    def _is_answered(self):
        done = self.task.done() and not self.task.cancelled()
        return done and self.task.exception() is None

    def _result(self):
        try:
            return self.attempt.result()
        except TakenOver as taken:
            return taken.code

    def _outcome(self, woke):
        if self.has_begun:
            return "taken over"
        return "went on" if woke.done() or self._is_answered() else "not taken over"

    def begin(self):
        """Give the silent instance up, as the other one has begun.

        :raises UpstreamError: when the silent instance goes on already.
        """
        if self.has_begun:
            return
        if self.is_ended:
            raise UpstreamError("the silent instance goes on", ResultCode.STREAM_CUT)
        if self.former is not None:
            self.former.begin()
        self.has_begun = True
        self.task.cancel()
        self.give_up()

    async def _end_attempt(self):
        self.attempt.cancel()
        await asyncio.gather(self.attempt, return_exceptions=True)

    def _log(self, plan, outcome, started):
        logger.info(
            "takeover",
            request=self.lifecycle.request.id,
            instance=self.instance.id,
            successor=plan.destination,
            after_event=self.lifecycle.stream.splitter.last_id,
            seconds=round(time.monotonic() - started, 3),
            outcome=outcome,
        )
