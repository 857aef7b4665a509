"""Responses whose connection ends in the middle of their head, at any byte."""

import asyncio
import json
import socket
import struct
import time

import attrs
import pytest
from move_fleet import ClientSink
from platform_fleet import (
    HOST,
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
)
from scripted_server import STARTED_AT_MS, ScriptedServer, Sender, request_id, response

from mulberrydock import upstream
from mulberrydock.connections import BufferedResponse, ConnectionPool
from mulberrydock.exceptions import UpstreamError
from mulberrydock.forward_attempt import ForwardedResponse
from mulberrydock.instances import InstanceRecord, Stage
from mulberrydock.platform import PlatformWire, wire
from mulberrydock.request import Prompt, Request, UpstreamCall
from mulberrydock.sends import ClientStream, StreamListener
from mulberrydock.sse import EventSplitter

REPORT = json.dumps({"stage": "decode", "busy": False, "sequence": 0})
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
#: What comes before the response: nothing, an informational head, and a late response
#: to an earlier request on the connection.
PREFIXES = {
    "alone": b"",
    "after 100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "after 103": b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
    "after a late one": response("late", **{wire.ATTEMPT_ID: "earlier"}),
}
FRAMINGS = {
    "length": b"Content-Length: %d\r\n" % len(EVENTS),
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "connection": b"",
}
PATHS = [RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH]


def whole(framing, name="r"):
    """Return the head and the body of a whole response to a request."""
    head = b"HTTP/1.1 200 OK\r\n"
    for header, value in {wire.ATTEMPT_ID: name, wire.SIGNATURE: "s"}.items():
        head += f"{header}: {value}\r\n".encode()
    head += FRAMINGS[framing] + b"Content-Type: text/event-stream\r\n\r\n"
    if framing == "chunks":
        return head, b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENTS), EVENTS)
    return head, EVENTS


def cuts(head):
    """Return the lengths at which a head is cut: some, and all near its end."""
    return sorted({*range(0, len(head) - 8, 9), *range(len(head) - 8, len(head))})


@attrs.define
class CuttingServer(ScriptedServer):
    """Sends ``data`` for each request and ends the connection, but answers reports.

    :param resets: whether it ends it with a reset, once what it sent was read.
    """

    data: bytes
    resets: bool = False
    requests: int = attrs.field(default=0, init=False)

    def connect(self):
        return None

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if not request_id(head) and head.startswith("GET /report"):
                    writer.write(response(REPORT))
                    continue
                self.requests += 1
                writer.write(self.data)
                await writer.drain()
                if self.resets:
                    await asyncio.sleep(0.005)
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class StatusSink(ClientSink):
    """Also keeps the status that the client got."""

    status = None

    def respond(self, status, headers, body):
        self.status = status
        super().respond(status, headers, body)

    def begin(self, status, headers):
        self.status = status
        super().begin(status, headers)


async def serve(server, path):
    """Serve one request for ``path`` before ``server``; return the client's sink."""
    address = await server.start()
    sender, sink = Sender(address, None), StatusSink()
    now = time.monotonic()
    app = InstanceRecord("a1", "app", address, "dc1", 4, False, Stage.NONE)
    sender.view.instances.put(app, now)
    request = Request(
        "r", "GET", f"{path}x", HOST, [], b"", now, now + 3, Prompt(10, 5)
    )
    request.headers.append((wire.ATTEMPT_ID, "r"))
    await sender.relay.serve(request, sink)
    for instance_id in ("e1", "a1"):
        sender.relay.forget(instance_id)
    server.server.close()
    return sink


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("prefix", PREFIXES)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_whole_response_is_passed_on(path, prefix, framing):
    server = CuttingServer(PREFIXES[prefix] + b"".join(whole(framing)))
    sink = asyncio.run(serve(server, path))
    assert (sink.status, sink.complete, sink.data) == (200, True, EVENTS)


# Guards against a 200 with an empty or short body, framed as whole, as an instance ends
# its connection in the middle of a head.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("prefix", PREFIXES)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
def test_response_cut_in_its_head_is_not_passed_on(path, prefix, framing, resets):
    async def scenario():
        head, _ = whole(framing)
        for cut in cuts(head):
            server = CuttingServer(PREFIXES[prefix] + head[:cut], resets)
            sink = await serve(server, path)
            assert server.requests >= 1
            assert (cut, sink.status, sink.complete) == (cut, 502, True)

    asyncio.run(scenario())


# Guards against a whole answer without a body, as an instance ends its connection right
# after a head: without a length nothing tells that from an answer that is cut there.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
def test_response_cut_after_its_head_is_not_passed_on(path, framing, resets):
    server = CuttingServer(whole(framing)[0], resets)
    sink = asyncio.run(serve(server, path))
    assert server.requests >= 1
    assert sink.status == 502


def make_stream():
    return ClientStream(PlatformWire(), StatusSink(), EventSplitter())


LISTENERS = {
    "calls": BufferedResponse,
    "streams": lambda: StreamListener(PlatformWire(), make_stream()),
    "peers": lambda: ForwardedResponse(PlatformWire(), make_stream(), lambda v: None),
}


# Guards against the same in a call of the system's own (prefill, move, report, order)
# and in what a peer answers: all are exchanges of a pool with one of these listeners.
@pytest.mark.parametrize("listener", LISTENERS)
@pytest.mark.parametrize("prefix", ["alone", "after 100"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
def test_exchange_fails_when_a_head_is_cut(listener, prefix, framing, resets):
    async def scenario():
        head, _ = whole(framing)
        call = UpstreamCall("POST", "/kv-move", {"Host": "e1", "Content-Length": "0"})
        for cut in cuts(head):
            server = CuttingServer(PREFIXES[prefix] + head[:cut], resets)
            pool = ConnectionPool(await server.start())
            exchange = pool.exchange(
                call.method, call.target, call.headers, b"", LISTENERS[listener]()
            )
            with pytest.raises(UpstreamError):
                await exchange
            assert server.requests == 1
            server.server.close()

    asyncio.run(scenario())


# Guards against a stale belief from a report or a move whose head was cut.
@pytest.mark.parametrize("target", ["/kv-move", "/report"])
def test_call_whose_head_is_cut_has_no_response(target):
    async def scenario():
        head = whole("length")[0]
        for cut in cuts(head):
            server = CuttingServer(head[:cut])
            sender = Sender(await server.start(), STARTED_AT_MS)
            call = UpstreamCall("POST", target, {"Host": "e1", "Content-Length": "0"})
            assert await sender.relay.call(sender.instance, call, 1.0) is None
            sender.relay.forget("e1")
            server.server.close()

    asyncio.run(scenario())


# Guards against the same at the entry daemon, which has exchanges of its own.
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize(
    "body, resets, is_whole",
    [
        (EVENTS, False, True),
        (b"", False, False),
        (b"", True, False),
        (b"i", True, False),
    ],
)
def test_entry_passes_no_cut_response_on(framing, body, resets, is_whole):
    async def scenario():
        head, data = whole(framing)
        server = CuttingServer(head + (data if is_whole else body), resets)
        address, chunks = await server.start(), []
        try:
            await upstream.exchange(address, "GET", "/", {}, b"", chunks.append)
            return b"".join(chunks)
        except UpstreamError:
            return None
        finally:
            server.server.close()

    assert asyncio.run(scenario()) == (EVENTS if is_whole else None)


# Guards against a client without an answer, as its instance's status is none.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", [b"000", b"099"])
def test_response_without_a_valid_status_has_failed(path, status):
    data = b"HTTP/1.1 " + status + b" Odd\r\nContent-Length: 2\r\n\r\nok"
    sink = asyncio.run(serve(CuttingServer(data), path))
    assert sink.status == 502
