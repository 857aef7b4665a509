"""Calls to the platform's store over a slow link: which ones have failed."""

import asyncio
import base64
import json

import pytest

from mulberrydock.platform import PlatformStore
from mulberrydock.platform import store as store_module

#: Timeout of the store client in these tests, and the pause between two parts of a
#: response that arrives slowly.
TIMEOUT_SECONDS = 0.4
PAUSE_SECONDS = 0.1
PARTS = 8


class SlowStore:
    """Answers each call in parts, with a pause between them.

    :param stall_after: number of parts after which nothing more is sent.
    """

    def __init__(self, stall_after=PARTS):
        self.stall_after = stall_after

    async def start(self):
        """Listen; return the address."""
        self.server = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def answer(self, reader, writer):
        try:
            await self.send(reader, writer)
        finally:
            writer.close()

    async def send(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        value = base64.b64encode(b"x" * 4000).decode()
        row = {"key": "op/config", "value": value, "revision": 3, "lease": 0}
        document = {"items": [row], "events": [row], "store_revision": 3}
        body = json.dumps(document | row).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        raw = head + body
        size = len(raw) // PARTS + 1
        for part in range(PARTS):
            if part == self.stall_after:
                await asyncio.sleep(3600)
            writer.write(raw[part * size : (part + 1) * size])
            await writer.drain()
            await asyncio.sleep(PAUSE_SECONDS)


def call(stall_after, method, *args):
    """Call a method of the store's client on a :class:`SlowStore`."""

    async def go():
        address = await SlowStore(stall_after).start()
        return await getattr(PlatformStore(address, TIMEOUT_SECONDS), method)(*args)

    return asyncio.run(go())


@pytest.mark.parametrize(
    ("method", "args"),
    [("range", ("",)), ("get", ("op/config",)), ("watch", ("", 2, 0.0))],
)
def test_response_that_takes_longer_than_the_timeout_is_read(method, args):
    """Guards against a VM on a slow link that never has a configuration: one of 1,400
    routes takes longer to arrive than a call may stay silent, so no read ended."""
    assert PAUSE_SECONDS * PARTS > TIMEOUT_SECONDS
    result = call(PARTS, method, *args)
    assert result.is_ok(), result.error


@pytest.mark.parametrize("stall_after", [0, 1, 5])
def test_response_that_stops_arriving_has_failed(stall_after):
    """Guards against a call that waits for ever on a connection that is silent."""
    assert call(stall_after, "range", "").is_error()


def test_response_that_arrives_for_too_long_has_failed(monkeypatch):
    """Guards against a store that sends a byte now and then for ever."""
    monkeypatch.setattr(store_module, "MAX_CALL_SECONDS", 0.0)
    assert call(PARTS, "range", "").is_error()
