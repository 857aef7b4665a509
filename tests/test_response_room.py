"""Memory for the responses of instances that are held until their ends."""

import asyncio

import pytest
from test_endless_responses import Sink
from tornado.httputil import HTTPHeaders

from mulberrydock.connections import BufferedResponse, HeldChunks
from mulberrydock.exceptions import UpstreamError
from mulberrydock.platform import PlatformWire, wire
from mulberrydock.response_room import (
    SMALL_RESPONSE_BYTES,
    ResponseRoom,
    ResponseShare,
)
from mulberrydock.sends import ClientStream, StreamListener
from mulberrydock.sse import MAX_EVENT_BYTES, EventSplitter

LARGE = SMALL_RESPONSE_BYTES + 1


async def waits(awaitable):
    """Return whether reading is delayed at present."""
    if awaitable is None:
        return False
    task = asyncio.ensure_future(awaitable)
    await asyncio.sleep(0)
    if task.done():
        return False
    task.cancel()
    return True


@pytest.mark.parametrize(
    "others, count, delayed",
    [
        ([], 900_000, False),
        # The first large one is read to its end, however much the others hold.
        ([], 2_000_000, False),
        ([900_000], LARGE, False),
        ([900_000, 900_000], LARGE, True),
        # A small one never waits.
        ([900_000, 900_000], 800, False),
        ([SMALL_RESPONSE_BYTES] * 20, LARGE, False),
    ],
)
def test_large_response_waits_for_room(others, count, delayed):
    async def run():
        room = ResponseRoom(1_000_000)
        shares = [ResponseShare(room) for _ in others]
        added = [share.add(other) for share, other in zip(shares, others)]
        result = await waits(ResponseShare(room).add(count))
        for awaitable in filter(None, added):
            awaitable.close()
        return result

    assert asyncio.run(run()) is delayed


# Guards against responses that wait for each other for good.
def test_waiting_responses_go_on_one_after_the_other():
    async def run():
        room, ended = ResponseRoom(1_000_000), []

        async def read(name):
            share = ResponseShare(room)
            for _ in range(20):
                awaitable = share.add(LARGE)
                if awaitable is not None:
                    await awaitable
                await asyncio.sleep(0)
            share.release()
            ended.append(name)

        await asyncio.wait_for(asyncio.gather(*map(read, range(10))), 10)
        return room, ended

    room, ended = asyncio.run(run())
    assert sorted(ended) == list(range(10))
    assert (room.held, room.large, room.waiting) == (0, {}, set())


# Guards against the bytes of responses that stay in memory after they were passed on.
def test_released_responses_hold_no_bytes():
    share = ResponseShare(ResponseRoom(1_000_000))
    response = BufferedResponse(chunks=HeldChunks(share=share))
    assert response.on_data(b"x" * 500) is None
    assert (response.body, share.room.held) == (b"x" * 500, 500)
    share.release()
    share.release()
    assert (response.chunks.chunks, share.room.held) == ([], 0)


def signed_stream(share):
    """Return the listener of a signed stream that has begun."""
    stream = ClientStream(PlatformWire(), Sink(), EventSplitter())
    listener = StreamListener(PlatformWire(), stream, share=share)
    listener.on_headers(200, HTTPHeaders({wire.SIGNATURE: "s"}))
    return listener


async def read_event(listener):
    """Feed a stream an event that doesn't end, until it is refused."""
    while True:
        written = listener.on_data(b"x" * LARGE)
        if written is not None:
            await written
        await asyncio.sleep(0)


# Guards against a VM that runs out of memory as it holds an event without an end for
# each of many streams.
def test_events_without_an_end_share_the_room():
    async def run():
        room, most = ResponseRoom(10_000_000), 0
        shares = [ResponseShare(room) for _ in range(100)]
        listeners = [signed_stream(share) for share in shares]
        tasks = [asyncio.ensure_future(read_event(each)) for each in listeners]
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0)
            held = sum(len(each.stream.splitter.buffer) for each in listeners)
            most = max(most, held)
            for share, task in zip(shares, tasks):
                if task.done():
                    # The end of its request.
                    share.release()
        return room, most, [task.exception() for task in tasks]

    room, most, errors = asyncio.run(asyncio.wait_for(run(), 30))
    assert all(isinstance(error, UpstreamError) for error in errors)
    # Each learns of the limit at its next read; one of them is always read.
    assert most <= room.limit + 100 * LARGE + MAX_EVENT_BYTES
    assert (room.held, room.large, room.waiting) == (0, {}, set())


def test_event_that_ends_frees_its_bytes():
    room = ResponseRoom(1_000_000)
    share = ResponseShare(room)
    listener = signed_stream(share)
    assert listener.on_data(b"data: " + b"x" * LARGE) is None
    assert (room.held, list(room.large)) == (LARGE + 6, [share])
    listener.on_data(b"\n\ndata: y")
    assert (room.held, room.large) == (7, {})
    listener.on_data(b"\n\n")
    assert room.held == 0


# Guards against a count that stays after another engine has begun the event anew.
def test_event_of_a_former_engine_is_not_counted():
    room = ResponseRoom(1_000_000)
    listener = signed_stream(ResponseShare(room))
    listener.on_data(b"x" * LARGE)
    assert room.held == LARGE
    StreamListener(listener.wire, listener.stream, share=listener.share)
    assert (room.held, room.large) == (0, {})
