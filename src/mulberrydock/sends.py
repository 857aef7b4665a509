"""One send to an instance: progress watched, its stream relayed as it comes."""

import asyncio
import time
import typing as t

import attrs

from .connections import Listener
from .exceptions import ResultCode, UpstreamError


@attrs.define(frozen=True)
class Patience:
    """How long an instance may show no progress before it is left.

    ``first`` and ``gap`` are seconds to the first sign and between two later
    ones. ``may_leave`` is asked when they are over and says whether another
    instance takes the request: silence alone is no reason to end an answer
    that may still come.
    """

    first: float
    gap: float
    may_leave: t.Callable

    def edge(self, started, progress_at):
        """Return when the silence that began last has lasted too long."""
        if progress_at is None:
            return started + self.first
        return progress_at + self.gap


async def watch(exchange, listener, patience=None):
    """Run ``exchange`` to its end, or leave a silent instance.

    :raises UpstreamError: as the exchange does, or STREAM_CUT when the
        instance was left or its answer turned out wrong.
    """
    task = asyncio.ensure_future(exchange)
    started = time.monotonic()
    try:
        while not task.done():
            await asyncio.wait([task], timeout=_wait(patience, started, listener))
            if not task.done() and patience is not None:
                patience = _leave(patience, started, listener)
        task.result()
        listener.check()
    finally:
        # Also when this request is cancelled: closing the connection tells
        # the instance to stop its work.
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def _wait(patience, started, listener):
    if patience is None:
        return None
    edge = patience.edge(started, listener.progress_at)
    return max(0.0, edge - time.monotonic())


def _leave(patience, started, listener):
    """Return the patience from now on: None when there is nowhere to go."""
    if time.monotonic() < patience.edge(started, listener.progress_at):
        return patience
    if patience.may_leave():
        raise UpstreamError("no progress", ResultCode.STREAM_CUT)
    return None


class StreamListener(Listener):
    """Relays one engine's stream to the client, whole events only.

    :param stream: the client's :class:`ClientStream`.
    :param work: the send as counted in the load book.
    """

    def __init__(self, wire, stream, work):
        self.wire = wire
        self.stream = stream
        self.work = work
        self.status = 0
        self.headers = None
        self.marks = None
        self.chunks = []
        self.error = None
        # What a former engine began of an event is void.
        stream.splitter.buffer = b""

    def on_headers(self, status, headers):
        self.status = status
        self.headers = headers
        self.marks = self.wire.read_metadata(headers)

    @property
    def good(self):
        """True when the answer is a signed stream."""
        return self.status == 200 and self.marks.signed

    @property
    def body(self):
        """The body of an answer that is no stream."""
        return b"".join(self.chunks)

    def on_data(self, chunk):
        if not self.good:
            self.chunks.append(chunk)
            return None
        try:
            events = self.stream.splitter.feed(chunk)
        except UpstreamError as error:
            # Tornado logs an exception raised here and drops its type.
            self.error = error
            raise
        if not events:
            return None
        self.progress_at = time.monotonic()
        if self.begun_at is None:
            self.begun_at = self.progress_at
            self.work.mark_prefilled()
        return self.stream.write(self.status, self.headers, events)

    def check(self):
        if self.error is not None:
            raise self.error
        if self.good and not self.stream.splitter.clean:
            raise UpstreamError("ended inside an event", ResultCode.STREAM_CUT)


@attrs.define
class ClientStream:
    """The client's side of a streamed answer, over all engines' runs.

    The headers are those of the first engine that made an event.
    ``begun_at`` is when the first event was passed on, monotonic seconds.
    """

    wire: object
    sink: object
    splitter: object
    begun_at: float | None = None

    @property
    def begun(self):
        """True once the client has got an event."""
        return self.begun_at is not None

    def write(self, status, headers, events):
        """Pass whole events on, with the headers before the first."""
        if not self.begun:
            self.begun_at = time.monotonic()
            self.sink.begin(status, self.wire.response_headers(headers))
        return self.sink.write(events)
