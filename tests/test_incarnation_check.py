"""What a connection is asked before a stream is sent on it, by a scripted peer."""

import asyncio
import json
import time

import attrs
import pytest
from platform_fleet import HOST, config
from test_budget import TIMING

from mulberrydock import connections
from mulberrydock.connections import BufferedResponse
from mulberrydock.exceptions import ResultCode, UpstreamError
from mulberrydock.fleet_view import FleetView
from mulberrydock.incarnation_check import IncarnationCheck
from mulberrydock.instances import InstanceRecord, Stage
from mulberrydock.metrics import ServeMetrics
from mulberrydock.platform import PlatformWire, documents, wire
from mulberrydock.relay import Relay
from mulberrydock.request import Request, SendOptions

STARTED_AT_MS = 1_800_000_000_000
REPORT = {"stage": "decode", "busy": False, "sequence": 0}


def response(body, status="200 OK", **headers):
    """Return a response as bytes; underscores in header names become hyphens."""
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{name}: {value}" for name, value in fields.items()]
    head = [f"HTTP/1.1 {status}", *lines, f"Content-Length: {len(body)}"]
    return "\r\n".join([*head, "", body]).encode()


def report(started_at_ms=STARTED_AT_MS, **headers):
    born = {} if started_at_ms is None else {"born": started_at_ms}
    return response(json.dumps(REPORT | born), **headers)


@attrs.define
class Peer:
    """A server that answers report calls by a script and serves all else.

    :param script: what answers the report call on each new connection in turn: bytes,
        None to close the connection, or "" to stay silent. The last one is repeated.

    ``reports`` counts report calls, ``requests`` holds the ids of other requests.
    """

    script: list
    connections: int = 0
    reports: int = 0
    requests: list = attrs.field(factory=list)
    server: object = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def _serve(self, reader, writer):
        answer = self.script[min(self.connections, len(self.script) - 1)]
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                if not head.startswith("GET /report"):
                    request_id = head.partition(f"{wire.ATTEMPT_ID}: ")[2].split()[0]
                    self.requests.append(request_id)
                    writer.write(response("ok", **{wire.ATTEMPT_ID: request_id}))
                    continue
                self.reports += 1
                if answer is None:
                    break
                writer.write(answer if answer else b"")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


class Sender:
    """A relay that sends requests to a peer whose record it has read."""

    def __init__(self, address, started_at_ms=STARTED_AT_MS):
        self.view = FleetView("dc1", TIMING, lambda: 1, lambda instance_id: None)
        text = json.dumps(config(3))
        self.view.routes.accept(documents.read_config("op/config", text))
        self.relay = Relay(self.view, PlatformWire(), ServeMetrics())
        record = InstanceRecord(
            "e1", "llm", address, "dc1", 4, False, Stage.DECODE, started_at_ms
        )
        self.view.instances.put(record, time.monotonic())
        (self.instance,) = self.view.instances.serving("llm")

    async def send(self, request_id, is_required=True):
        """Send a request.

        :returns: its :class:`ResultCode`, and whether the incarnation was confirmed.
        """
        now = time.monotonic()
        request = Request(request_id, "GET", "/", HOST, [], b"", now, now + 5)
        request.headers.append((wire.ATTEMPT_ID, request_id))
        check = IncarnationCheck.from_send(
            self.relay, self.instance, request, is_required
        )
        options, code = SendOptions("e1", 5000), ResultCode.OK
        try:
            await self.relay.exchange(
                self.instance, request, options, BufferedResponse(), check
            )
        except UpstreamError as error:
            code = error.code
        return code, check is None or await check.result(1.0)


def run(script, scenario, started_at_ms=STARTED_AT_MS):
    """Run ``scenario(sender, peer)`` before a peer with that script."""

    async def go():
        peer = Peer(script)
        sender = Sender(await peer.start(), started_at_ms)
        try:
            return await scenario(sender, peer)
        finally:
            sender.relay.forget(sender.instance.id)
            peer.server.close()

    return asyncio.run(go())


@pytest.fixture(params=["near", "far"], autouse=True)
def distance(request, monkeypatch):
    """Let the peer be one that is asked first, or one that is asked meanwhile."""
    if request.param == "far":
        monkeypatch.setattr(connections, "CHECK_FIRST_SECONDS", -1.0)
    return request.param


CLOSING = report(Connection="close")
LATE = response("late", **{wire.ATTEMPT_ID: "another"})


# Guards against a stream that goes on at another process than the one in the record,
# and against one that ends although the right one answers.
@pytest.mark.parametrize(
    ("script", "confirmed", "known"),
    [
        ([report()], True, True),
        ([report(STARTED_AT_MS + 1)], False, False),
        ([report(STARTED_AT_MS - 1)], False, True),
        ([report(None)], False, True),
        ([response("{}")], False, True),
        ([response("x", "404 Not Found")], False, True),
        ([response("", "503 Unavailable")], False, True),
        ([response("", "421 Misdirected")], False, True),
        ([response("", "421 No", **{wire.INSTANCE_ID: "e2"})], False, False),
        ([CLOSING], True, True),
        ([None], False, True),
        ([""], False, True),
        ([LATE + report()], True, True),
        ([LATE + report(STARTED_AT_MS + 1)], False, False),
    ],
)
@pytest.mark.parametrize("is_required", [True, False])
def test_request_goes_on_only_at_the_known_incarnation(
    script, confirmed, known, is_required, distance
):
    async def scenario(sender, peer):
        code, result = await sender.send("r", is_required)
        # A near one that was found out gets no new request either.
        sent = confirmed or not is_required and (known or distance == "far")
        assert code is (ResultCode.OK if sent else ResultCode.NOT_RUN)
        assert peer.requests == (["r"] if sent else [])
        if sent and not is_required:
            assert result is confirmed
        assert sender.instance.terminated is not known

    run(script, scenario)


# Guards against a check that fails by one connection that the peer drops or leaves
# silent. A near peer is asked over the connection of the request, the first one.
@pytest.mark.parametrize("answer", [None, ""], ids=["cut", "silent"])
def test_check_is_repeated_on_a_new_connection(answer, distance):
    async def scenario(sender, peer):
        assert await sender.send("r", False) == (ResultCode.OK, True)

    unasked = [report()] if distance == "far" else []
    run([*unasked, answer, report()], scenario)


# Guards against a request for an engine that says in its report that it leaves.
def test_request_is_withheld_from_an_engine_that_reports_its_leave():
    async def scenario(sender, peer):
        code, _ = await sender.send("r")
        assert code is ResultCode.NOT_RUN and not peer.requests

    run([report(**{wire.SERVER_LEAVING: "1"})], scenario)


# Guards against reports, which are paid for, with each request and each connection.
@pytest.mark.parametrize(("started_at_ms", "asks"), [(STARTED_AT_MS, 1), (None, 0)])
@pytest.mark.parametrize("is_required", [True, False])
def test_one_report_confirms_all_connections_opened_before(
    started_at_ms, asks, is_required
):
    async def scenario(sender, peer):
        sends = [sender.send(f"r{number}", is_required) for number in range(8)]
        assert await asyncio.gather(*sends) == [(ResultCode.OK, True)] * 8
        assert peer.reports in range(asks, 2 * asks + 1)
        assert peer.connections <= 8 + peer.reports
        before = peer.reports
        for number in range(8, 12):
            code, confirmed = await sender.send(f"r{number}", is_required)
            assert code is ResultCode.OK and confirmed
        assert peer.reports == before

    run([report()], scenario, started_at_ms)


# Guards against a connection that is confirmed by an answer from before it was opened.
@pytest.mark.parametrize("is_required", [True, False])
def test_connection_opened_later_is_confirmed_anew(is_required):
    async def scenario(sender, peer):
        await sender.send("r1", is_required)
        sender.relay.connection_pool(sender.instance).close()
        peer.script = [report(STARTED_AT_MS + 1)]
        code, confirmed = await sender.send("r2", is_required)
        assert not confirmed or code is ResultCode.NOT_RUN
        assert sender.instance.terminated

    run([report()], scenario)


# Guards against a connection that stays open, or counts as open, after a refused check.
@pytest.mark.parametrize("answer", [report(STARTED_AT_MS - 1), CLOSING, None, ""])
def test_refused_connections_are_closed(answer):
    async def scenario(sender, peer):
        await sender.send("r")
        pool = sender.relay.connection_pool(sender.instance)
        assert pool.open == len(pool.idle) and pool.waiting_since == {}
        assert pool.asking is None

    run([answer], scenario)
