"""One send to an instance: progress timeouts, and the relay of its event stream."""

import asyncio
import time
import typing as t

import attrs

from .connections import HeldChunks, ResponseListener, ends_with_connection
from .exceptions import ConnectionCut, ResultCode, UpstreamError

#: Seconds for which the first event of a stream waits for the check of its engine. The
#: check takes one or two round trips and an engine longer for the event, so that only
#: checks that fail take this long.
CHECK_WAIT_SECONDS = 0.1


@attrs.define(frozen=True)
class ProgressTimeouts:
    """How long an instance may make no progress before its response is abandoned.

    ``first_event_seconds`` is the time to the first event, ``event_gap_seconds`` that
    between two events; a buffered response reports no events, so for it the former is
    the time to its end. ``may_abandon`` is called on a timeout and returns whether
    another instance takes the request over: silence alone is no reason to end a
    response that may still come. ``take_over`` is asked first if it is set, with the
    listener and the task of the exchange: it lets another instance take over while
    this one may still go on. It returns whether there was one, None if the instance is
    to be abandoned instead. ``catch_up_seconds`` returns for how long, from a time on,
    something that came while this process stood still may lie unread.
    """

    first_event_seconds: float
    event_gap_seconds: float
    may_abandon: t.Callable
    take_over: t.Callable | None = None
    catch_up_seconds: t.Callable = lambda now: 0.0

    def expires_at(self, started, last_progress_at):
        """Return when the present silence becomes a timeout, monotonic seconds."""
        if last_progress_at is None:
            return started + self.first_event_seconds
        return last_progress_at + self.event_gap_seconds

    def seconds_left(self, started, last_progress_at, now):
        """Return the seconds until the present silence becomes a timeout.

        It doesn't while something may lie unread.
        """
        left = self.expires_at(started, last_progress_at) - now
        return left if left > 0 else self.catch_up_seconds(now)


async def run_exchange(exchange, listener, timeouts=None):
    """Run ``exchange`` to its end, or abandon an instance that makes no progress.

    :param timeouts: the :class:`ProgressTimeouts`, None for no timeout.
    :raises UpstreamError: as the exchange does, or STREAM_CUT when the instance was
        abandoned or its response turned out wrong.
    """
    task = asyncio.ensure_future(exchange)
    started = time.monotonic()
    try:
        while not task.done():
            await asyncio.wait(
                [task], timeout=_wait_seconds(timeouts, started, listener)
            )
            if not task.done() and timeouts is not None:
                timeouts = await _check_progress(timeouts, started, listener, task)
        task.result()
        listener.check()
    finally:
        # Also on cancellation of the request: closing the connection tells the instance
        # to stop its work.
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def _wait_seconds(timeouts, started, listener):
    if timeouts is None:
        return None
    return timeouts.seconds_left(started, listener.last_progress_at, time.monotonic())


async def _check_progress(timeouts, started, listener, task):
    """Let another instance take over after a timeout if there is one.

    :returns: the timeouts from now on, None when there is no other instance.
    """
    if _wait_seconds(timeouts, started, listener) > 0:
        return timeouts
    if timeouts.take_over is not None:
        was_tried = await timeouts.take_over(listener, task)
        if was_tried is not None:
            return timeouts if was_tried else None
    if timeouts.may_abandon():
        raise UpstreamError(
            f"no progress within {timeouts.first_event_seconds:.2f} s to the first "
            f"event or {timeouts.event_gap_seconds:.2f} s between events",
            ResultCode.STREAM_CUT,
        )
    return None


class StreamListener(ResponseListener):
    """Relays one engine's stream to the client, in whole events only.

    :param stream: the client's :class:`ClientStream`.
    :param on_first_event: called without arguments when the first event arrives.
    :param share: the :class:`~mulberrydock.response_room.ResponseShare` of the request.

    An owner may set ``incarnation_check``, the
    :class:`~mulberrydock.incarnation_check.IncarnationCheck` of the engine, on whose
    result the first event waits, and ``on_unknown``, called if it isn't confirmed.
    """

    incarnation_check = None
    released = None
    woke = None

    def __init__(self, wire, stream, on_first_event=lambda: None, share=None):
        self.wire = wire
        self.stream = stream
        self.on_first_event = on_first_event
        self.status = 0
        self.headers = None
        self.metadata = None
        self.share = share
        self.chunks = HeldChunks(share=share)
        # Drop the part of an event that a previous engine has sent.
        stream.splitter.buffer = bytearray()
        self._hold_event()

    def on_headers(self, status, headers):
        self.status = status
        self.headers = headers
        self.metadata = self.wire.read_metadata(headers)

    @property
    def is_signed_stream(self):
        """True when the response is a signed stream."""
        return self.status == 200 and self.metadata.signed

    @property
    def has_begun(self):
        """True once a signed stream has begun."""
        return self.metadata is not None and self.is_signed_stream

    @property
    def body(self):
        """The body of a response that isn't a stream."""
        return self.chunks.join()

    def hold(self):
        loop = asyncio.get_running_loop()
        self.released, self.woke = loop.create_future(), loop.create_future()
        return self.woke

    def release(self):
        released, self.released = self.released, None
        # The exchange that waits for it may have been cancelled.
        if not released.done():
            released.set_result(None)

    async def _relay_released(self, chunk):
        if not self.woke.done():
            self.woke.set_result(None)
        await self.released
        written = self.on_data(chunk)
        if written is not None:
            await written

    def on_data(self, chunk):
        if self.released is not None:
            return self._relay_released(chunk)
        if not self.is_signed_stream:
            return self.chunks.append(chunk)
        if self.first_progress_at is None and self.incarnation_check is not None:
            return self._relay_checked(chunk)
        return self._relay(chunk)

    async def _relay_checked(self, chunk):
        """Relay the first bytes once it is known which incarnation sent them."""
        if not await self.incarnation_check.result(CHECK_WAIT_SECONDS):
            self.on_unknown()
        written = self._relay(chunk)
        if written is not None:
            await written

    def _relay(self, chunk):
        """Pass on the events that ``chunk`` completes."""
        events = self.stream.splitter.feed(chunk)
        written = self.pass_on(events) if events else None
        return self._await_room(written) if self._hold_event() else written

    def _hold_event(self):
        """Count the event that hasn't ended yet; return whether it waits for room."""
        if self.share is None:
            return False
        self.share.hold_event(len(self.stream.splitter.buffer))
        return self.share.room.must_wait(self.share)

    async def _await_room(self, written):
        if written is not None:
            await written
        await self.share.wait()

    def pass_on(self, events):
        """Pass whole events on to the client."""
        self.last_progress_at = time.monotonic()
        if self.first_progress_at is None:
            self.first_progress_at = self.last_progress_at
            self.stream.on_progress()
            self.on_first_event()
        return self.stream.write(self.status, self.headers, events)

    def check(self):
        if not self.is_signed_stream:
            return
        if not self.stream.splitter.clean:
            raise UpstreamError(
                f"stream ended inside an event, after event "
                f"{self.stream.splitter.last_id}",
                ResultCode.STREAM_CUT,
            )
        if self.first_progress_at is None and ends_with_connection(self.headers):
            raise ConnectionCut("stream ended before its first event")


@attrs.define
class ClientStream:
    """The client's side of a streamed response, across the runs of several engines.

    The headers are those of the first engine that sent an event. ``on_begin`` is called
    without arguments at the first event; ``first_event_at`` is when that was passed on,
    monotonic seconds. ``on_progress`` is called without arguments before the first
    event of each run is passed on, and before the end. ``is_finished`` is True once the
    response has ended.
    """

    wire: object
    sink: object
    splitter: object
    on_begin: t.Callable = lambda: None
    first_event_at: float | None = None
    on_progress: t.Callable = lambda: None
    is_finished: bool = False

    @property
    def has_started(self):
        """True once the client has received an event."""
        return self.first_event_at is not None

    def write(self, status, headers, events):
        """Pass whole events on, preceded by the headers on the first call."""
        if not self.has_started:
            self.first_event_at = time.monotonic()
            self.on_begin()
            self.sink.begin(status, self.wire.response_headers(headers))
        return self.sink.write(events)

    def finish(self, status, headers):
        """End the response as complete; one without an event begins only now."""
        self.on_progress()
        if not self.has_started:
            self.sink.begin(status, self.wire.response_headers(headers))
        self.is_finished = True
        self.sink.finish()
