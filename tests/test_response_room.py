"""Memory for the responses of instances that are held until their ends."""

import asyncio

import pytest

from mulberrydock.connections import BufferedResponse, HeldChunks
from mulberrydock.response_room import (
    SMALL_RESPONSE_BYTES,
    ResponseRoom,
    ResponseShare,
)

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
