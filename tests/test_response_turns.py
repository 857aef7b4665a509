"""How the turns of the event loop are divided among the responses that are read."""

import asyncio
import collections
import re
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from mulberrydock.connections import (
    HEAD_END,
    READ_CHUNK_BYTES,
    BufferedResponse,
    ConnectionPool,
)
from mulberrydock.response_turns import (
    FREE_BYTES,
    FREE_PARTS,
    MAX_BYTES,
    MAX_PARTS,
    TURN_SECONDS,
    WOKEN_PARTS,
    ResponseTurns,
    TurnUse,
)

LONG = TURN_SECONDS * 1.01
#: Connections that are read at once, and the bytes of each response.
CONNECTIONS = 40
BODY_BYTES = 8 * READ_CHUNK_BYTES
#: Seconds that a part of a response takes to process.
PART_SECONDS = 0.002
HANG_SECONDS = 60.0


def admitted(turns, use, sizes, now):
    """Return whether each of the parts of those sizes is admitted."""
    return [turns.admit(use, size, now) for size in sizes]


@pytest.mark.parametrize(
    "sizes, seconds, expected",
    [
        # Time is left.
        ([READ_CHUNK_BYTES] * 4, 0.0, [True] * 4),
        # None is left, but parts of small responses go on.
        ([5] * (FREE_PARTS + 1), LONG, [True] * FREE_PARTS + [False]),
        ([FREE_BYTES, 1], LONG, [True, False]),
        ([FREE_BYTES + 1], LONG, [False]),
        # One response doesn't take the time of all.
        ([1] * (MAX_PARTS + 1), 0.0, [True] * MAX_PARTS + [False]),
        ([MAX_BYTES, 1], 0.0, [True, False]),
        ([2 * MAX_BYTES, 1], 0.0, [True, False]),
    ],
)
def test_part_is_admitted_by_its_size_and_the_time_left(sizes, seconds, expected):
    async def run():
        turns = ResponseTurns()
        assert turns.admit(TurnUse(), MAX_BYTES, 10.0)
        return admitted(turns, TurnUse(), sizes, 10.0 + seconds)

    assert asyncio.run(run()) == expected


def test_next_turn_admits_again():
    async def run():
        turns, use = ResponseTurns(), TurnUse()
        results = admitted(turns, use, [MAX_BYTES, 1], 10.0)
        await asyncio.sleep(0)
        return results + admitted(turns, use, [MAX_BYTES], 20.0)

    assert asyncio.run(run()) == [True, False, True]


# Guards against parts that wait for good, or behind those that came later: each takes a
# turn's time, and some of those that wait are given up.
def test_waiting_parts_are_processed_in_order():
    count, now, order = 3 * WOKEN_PARTS, 0.0, []

    async def process(turns, number):
        nonlocal now
        await turns.wait(TurnUse(), MAX_BYTES, lambda: now)
        order.append(number)
        now += LONG

    async def run():
        turns = ResponseTurns()
        tasks = [asyncio.ensure_future(process(turns, n)) for n in range(count)]
        await asyncio.sleep(0)
        for task in tasks[::2]:
            task.cancel()
        await asyncio.wait(tasks, timeout=HANG_SECONDS)
        await asyncio.sleep(0)
        return turns.waiting

    assert asyncio.run(run()) == []
    assert order == list(range(1, count, 2))


class SlowListener(BufferedResponse):
    """Takes its time for each part; counts the parts of each turn of the loop."""

    def on_data(self, chunk):
        self.counts[self.loop_turn()] += 1
        time.sleep(PART_SECONDS)


async def read_many(counts):
    """Read many responses at once, and count the parts that one turn processes."""
    turn = 0

    async def count_turns():
        nonlocal turn
        while True:
            await asyncio.sleep(0)
            turn += 1

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
        writer.write(b"x" * BODY_BYTES)
        await reader.read()
        writer.close()

    async def read(pool):
        listener = SlowListener()
        listener.counts, listener.loop_turn = counts, lambda: turn
        await pool.exchange("GET", "/", HTTPHeaders(), b"", listener)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    pool = ConnectionPool(f"{host}:{port}")
    counter = asyncio.ensure_future(count_turns())
    async with asyncio.timeout(HANG_SECONDS):
        await asyncio.gather(*[read(pool) for _ in range(CONNECTIONS)])
    counter.cancel()
    pool.close()
    server.close()


# Guards against requests that wait behind the responses of many other connections, all
# of which are processed in each turn of the event loop.
def test_turn_ends_whatever_has_arrived_on_many_connections():
    counts = collections.Counter()
    asyncio.run(read_many(counts))
    assert sum(counts.values()) >= CONNECTIONS
    # The loop's own turn may be part of two.
    assert max(counts.values()) <= 2 * (TURN_SECONDS / PART_SECONDS + 1)


# Guards against heads that end elsewhere than tornado parses them.
@given(st.text("\r\na", max_size=12))
def test_head_ends_where_tornado_ends_it(text):
    head = text.encode()
    ends = [re.search(regex, head) for regex in (HEAD_END, rb"\r?\n\r?\n")]
    assert len({match and match.end() for match in ends}) == 1
