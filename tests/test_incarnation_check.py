"""What a connection is asked before a stream is sent on it, by a scripted peer."""

import asyncio
import json
import math

import attrs
import pytest
from scripted_server import (
    STARTED_AT_MS,
    ScriptedServer,
    request_id,
    response,
    run_before,
)

from mulberrydock import connections
from mulberrydock.exceptions import ResultCode
from mulberrydock.platform import wire

REPORT = {"stage": "decode", "busy": False, "sequence": 0}


def report(started_at_ms=STARTED_AT_MS, **headers):
    born = {} if started_at_ms is None else {"born": started_at_ms}
    return response(json.dumps(REPORT | born), **headers)


@attrs.define
class Peer(ScriptedServer):
    """Answers report calls by a script and serves all else.

    :param script: what answers the report call on each new connection in turn: bytes,
        None to close the connection, or "" to stay silent. The last one is repeated.

    ``reports`` counts report calls, ``requests`` holds the ids of other requests.
    """

    script: list
    reports: int = 0
    requests: list = attrs.field(factory=list)

    def connect(self):
        scripted = self.script[min(self.connections, len(self.script) - 1)]

        def answer(head):
            if head.startswith("GET /report"):
                self.reports += 1
                return b"" if scripted == "" else scripted
            self.requests.append(request_id(head))
            return response("ok", **{wire.ATTEMPT_ID: self.requests[-1]})

        return answer


def run(script, scenario, started_at_ms=STARTED_AT_MS):
    """Run ``scenario(sender, peer)`` before a peer with that script."""
    run_before(Peer(script), scenario, started_at_ms)


@pytest.fixture(params=["near", "far"], autouse=True)
def distance(request, monkeypatch):
    """Let the peer be one that is asked first, or one that is asked meanwhile."""
    # However long a busy machine takes to open a connection.
    seconds = math.inf if request.param == "near" else -1.0
    monkeypatch.setattr(connections, "CHECK_FIRST_SECONDS", seconds)
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
