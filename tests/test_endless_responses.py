"""Servers in trouble whose bytes don't end, in a head or in a body."""

import asyncio

import attrs
import pytest
from platform_fleet import HOST
from scripted_server import Sender, request_id
from tornado.httputil import HTTPHeaders

from mulberrydock.connections import (
    MAX_BODY_BYTES,
    MAX_HELD_BYTES,
    BufferedResponse,
)
from mulberrydock.exceptions import ResultCode, UpstreamError
from mulberrydock.platform import PlatformStore, PlatformWire, wire
from mulberrydock.request import Prompt, Request, SendOptions, UpstreamCall
from mulberrydock.sends import ClientStream, StreamListener
from mulberrydock.sse import MAX_EVENT_BYTES, EventSplitter

#: Bytes of one write of the server.
BLOCK = 64 * 1024
#: Bytes that the sockets of both sides, and one read, hold beyond what a caller keeps.
SOCKET_BYTES = 16 * 1024 * 1024
#: Bytes after which the server gives up: the caller reads on without end.
MAX_SENT_BYTES = 200 * 1024 * 1024
#: Seconds after which a test fails instead of waiting on.
HANG_SECONDS = 60.0

SIGNED = f"HTTP/1.1 200 OK\r\n{wire.SIGNATURE}: s\r\n"
NAMED = SIGNED + f"{wire.ATTEMPT_ID}: {{id}}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n" % BLOCK + b"x" * BLOCK + b"\r\n"

#: Head and what follows without end.
ENDLESS = {
    "no-head": ("", b"x" * BLOCK),
    "no-status-line": ("x" * 10, b"\r\nx: y" * (BLOCK // 6)),
    "header-fields": ("HTTP/1.1 200 OK\r\n", b"A: b\r\n" * (BLOCK // 6)),
    "one-header-field": ("HTTP/1.1 200 OK\r\nA: ", b"x" * BLOCK),
    "informational-heads": ("", b"HTTP/1.1 100 Continue\r\n\r\n" * (BLOCK // 25)),
    "body-without-length": (NAMED + "\r\n", b"x" * BLOCK),
    "body-in-chunks": (NAMED + CHUNKED, CHUNK),
    "one-chunk": (NAMED + CHUNKED + "fffffffff\r\n", b"x" * BLOCK),
    "chunk-size": (NAMED + CHUNKED, b"0" * BLOCK),
    "chunk-extension": (NAMED + CHUNKED + "2;", b"x" * BLOCK),
    "trailers": (NAMED + CHUNKED + "2\r\nok\r\n0\r\n", b"A: b\r\n" * (BLOCK // 6)),
    "length-of-a-terabyte": (
        NAMED + "Content-Length: 1000000000000\r\n\r\n",
        b"x" * BLOCK,
    ),
    "body-of-another-request": (
        SIGNED + f"{wire.ATTEMPT_ID}: other\r\n\r\n",
        b"x" * BLOCK,
    ),
    "body-of-a-failure": ("HTTP/1.1 500 Oops\r\n\r\n", b"x" * BLOCK),
}


@attrs.define
class EndlessServer:
    """Answers each request with bytes that don't end; counts them."""

    head: str
    block: bytes
    sent: int = 0
    open: int = 0
    server: object = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        self.open += 1
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            writer.write(self.head.replace("{id}", request_id(head)).encode())
            while self.sent < MAX_SENT_BYTES:
                writer.write(self.block)
                await writer.drain()
                self.sent += len(self.block)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            writer.transport.abort()


class Sink:
    def begin(self, status, headers):
        """Ignored."""

    def write(self, events):
        """Ignored."""


def request():
    call = Request("r", "POST", "/", HOST, [], b"", 0.0, 5.0, Prompt(10, 1))
    call.headers.append((wire.ATTEMPT_ID, "r"))
    return call


async def plain(sender):
    return await sender.send("r", is_required=False)


async def stream(sender):
    listener = StreamListener(
        sender.relay.wire, ClientStream(sender.relay.wire, Sink(), EventSplitter())
    )
    await sender.relay.exchange(
        sender.instance, request(), SendOptions("e1", 5000), listener
    )
    listener.check()


async def call(sender):
    response = await sender.relay.call(
        sender.instance, UpstreamCall("GET", "/report", {}), HANG_SECONDS
    )
    assert response is None
    raise UpstreamError("no response")


async def store(sender):
    result = await PlatformStore(sender.instance.address, HANG_SECONDS).get("key")
    assert result.is_error()
    raise UpstreamError("no response")


async def ends_within_bounds(server, send):
    """Check that a caller gives an endless response up, and closes its connection."""
    sender = Sender(await server.start(), None)
    try:
        async with asyncio.timeout(HANG_SECONDS):
            try:
                result = await send(sender)
            except UpstreamError:
                pass
            else:
                assert send is plain and result[0].value >= 300
            while server.open:
                await asyncio.sleep(0.01)
    finally:
        sender.relay.forget(sender.instance.id)
        server.server.close()
    assert server.sent <= MAX_BODY_BYTES + SOCKET_BYTES


# Guards against a VM that reads such bytes until its memory or its time is used up.
@pytest.mark.parametrize("send", [plain, stream, call, store])
@pytest.mark.parametrize("kind", ENDLESS)
def test_endless_response_is_given_up(kind, send):
    asyncio.run(ends_within_bounds(EndlessServer(*ENDLESS[kind]), send))


# Guards against bytes that are read as the next response on a kept connection, or kept
# without end while it is idle.
def test_bytes_after_a_whole_response_are_given_up():
    async def run():
        head = NAMED + "Content-Length: 2\r\n\r\nok"
        server = EndlessServer(head, b"x" * BLOCK)
        sender = Sender(await server.start(), None)
        async with asyncio.timeout(HANG_SECONDS):
            for _ in range(3):
                code, _ = await plain(sender)
                assert code is ResultCode.OK
            sender.relay.forget(sender.instance.id)
            while server.open:
                await asyncio.sleep(0.01)
        server.server.close()
        return server.sent

    assert asyncio.run(run()) <= 3 * SOCKET_BYTES


def failure():
    listener = StreamListener(
        PlatformWire(), ClientStream(None, Sink(), EventSplitter())
    )
    listener.on_headers(500, HTTPHeaders())
    return listener


# Guards against the whole memory of a VM for the responses of one instance.
@pytest.mark.parametrize("listener", [BufferedResponse, failure])
def test_response_that_is_held_is_bounded(listener):
    listener, fed = listener(), 0
    with pytest.raises(UpstreamError):
        while fed < 4 * MAX_HELD_BYTES:
            listener.on_data(b"x" * BLOCK)
            assert len(listener.body) <= MAX_HELD_BYTES
            fed += BLOCK
    assert listener.body == b""


# Guards against an event that grows until the memory is used up, and against time that
# grows with the square of its length.
@pytest.mark.parametrize(
    "block", [b"x" * BLOCK, b"data: x\n" * (BLOCK // 8), b"id: 1\nid: 1" * 100]
)
def test_event_without_an_end_is_given_up(block):
    splitter, fed = EventSplitter(), 0
    with pytest.raises(UpstreamError):
        while fed < 4 * MAX_EVENT_BYTES:
            splitter.feed(block)
            fed += len(block)
    assert len(splitter.buffer) <= MAX_EVENT_BYTES


def test_long_event_is_passed_on_whole():
    splitter = EventSplitter()
    event = b"id: 1\ndata: " + b"x" * (MAX_EVENT_BYTES - 20) + b"\n\n"
    parts = [event[n : n + BLOCK] for n in range(0, len(event), BLOCK)]
    assert b"".join(splitter.feed(part) for part in parts) == event
