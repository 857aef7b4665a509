"""Why a connection to an instance is made instead of an idle one being reused."""

import asyncio

import pytest

from mulberrydock.connect_reason import ConnectReason
from mulberrydock.connections import (
    MAX_IDLE_CONNECTIONS,
    BufferedResponse,
    ConnectionPool,
)
from mulberrydock.exceptions import UpstreamError

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Peer:
    """A server that answers each request, and closes or cuts connections if told to."""

    def __init__(self):
        self.writers = []
        self.cut = False

    async def start(self):
        """Listen; return the address."""
        self.server = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def answer(self, reader, writer):
        self.writers.append(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.02)
                if self.cut:
                    return
                writer.write(ANSWER)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def exchange(pool, seconds=5.0):
    """Make one exchange after which the connection may idle for ``seconds``."""
    response = BufferedResponse()
    headers = {"Host": pool.address}
    try:
        await pool.exchange(
            "GET", "/", headers, b"", response, keep_alive=lambda headers: seconds
        )
    except UpstreamError:
        return


async def disturb(case, pool, peer):
    """Make what precedes the next connection."""
    if case == "first":
        return
    if case == "probe":
        await pool.probe(0.0)
        pool.close()
        return
    if case == "broken":
        peer.cut = True
    await exchange(pool, {"expired": 1.05, "ended": 0.0}.get(case, 5.0))
    peer.cut = False
    if case == "expired":
        await asyncio.sleep(0.1)
    if case == "closed":
        peer.writers[0].close()
        await asyncio.sleep(0.05)
    if case == "surplus":
        pool.close()
        calls = [exchange(pool) for _ in range(MAX_IDLE_CONNECTIONS + 1)]
        await asyncio.gather(*calls)
        pool.close()


@pytest.mark.parametrize(
    ("case", "reason"),
    [
        ("first", ConnectReason.FIRST),
        ("expired", ConnectReason.EXPIRED),
        ("closed", ConnectReason.CLOSED),
        ("ended", ConnectReason.ENDED),
        ("broken", ConnectReason.BROKEN),
        ("surplus", ConnectReason.SURPLUS),
        ("probe", ConnectReason.FIRST),
    ],
)
def test_reason_of_a_new_connection(case, reason):
    """Guards against new connections, which are paid for, that no operator can trace to
    the engines' idle time, their cap or their faults."""

    async def go():
        peer, reasons = Peer(), []
        pool = ConnectionPool(await peer.start())
        await disturb(case, pool, peer)
        pool.on_new = reasons.append
        await exchange(pool)
        return reasons

    assert asyncio.run(go()) == [reason]


def test_requests_at_the_same_time_need_a_connection_each():
    """Guards against a burst that is counted as the engines' closes."""

    async def go():
        peer, reasons = Peer(), []
        pool = ConnectionPool(await peer.start())
        pool.on_new = reasons.append
        await asyncio.gather(*(exchange(pool) for _ in range(3)))
        await exchange(pool)
        return reasons

    assert asyncio.run(go()) == [ConnectReason.FIRST] + [ConnectReason.BUSY] * 2
