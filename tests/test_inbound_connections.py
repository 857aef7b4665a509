"""What all inbound connections of a process may hold, and which are closed for room."""

import asyncio
import resource

import attrs
import pytest
import tornado.httputil
from inbound_table import BOUNDS, LIMITS, Table

from mulberrydock.inbound import (
    CloseReason,
    ConnectionLimits,
    RequestBounds,
)
from mulberrydock.inbound.bounded_request import BoundedRequest
from mulberrydock.inbound.connection import CONNECTION_BYTES, Phase
from mulberrydock.inbound.connections import SMALL_REQUEST_BYTES
from mulberrydock.inbound.turns import (
    FIRST_TURN_BYTES,
    HEAD_TURN_BYTES,
    TURN_BYTES,
)

START_LINE = tornado.httputil.RequestStartLine("POST", "/x?a=1&b=2", "HTTP/1.1")


def closed(connections):
    """Return the indices of the connections that are closed."""
    return [i for i, connection in enumerate(connections) if connection.closed]


@pytest.mark.parametrize(
    "rows, expected",
    [
        # The largest of the same age.
        ([(Phase.BODY, 600_000, 1), (Phase.BODY, 500_000, 1)], [0]),
        # The oldest of the same size.
        ([(Phase.BODY, 520_000, 1), (Phase.BODY, 520_000, 9)], [1]),
        # A body that has just arrived outlives a smaller one that has waited.
        ([(Phase.BODY, 900_000, 0), (Phase.BODY, 120_000, 9)], [1]),
        # A whole request is kept, whatever it holds.
        ([(Phase.WHOLE, 499_000, 9), (Phase.BODY, 499_000, 0)], [1]),
        # Idle connections hold little each.
        ([(Phase.IDLE, 0, 14), (Phase.HEAD, 990_000, 0.5)], [1]),
        ([(Phase.BODY, 400_000, 1), (Phase.BODY, 400_000, 1)], []),
    ],
)
def test_costliest_connections_are_closed_for_memory(rows, expected):
    table = Table()
    connections = [table.connect(*row) for row in rows]
    streams = [c.stream for c in connections]
    table.make_room(table.now)
    assert closed(connections) == expected
    assert [s.closed for s in streams] == [c.closed for c in connections]
    assert set(table.reasons) <= {CloseReason.MEMORY}
    assert table.held == sum(c.held for c in connections if not c.closed)


# Guards against a total that stays too high, or too low, after connections have ended.
def test_closed_connections_hold_nothing():
    table = Table()
    connections = [table.connect(Phase.WHOLE, 10_000), table.connect(Phase.BODY, 9)]
    for connection in connections:
        connection.unsent += 50
        table.recount(connection)
        table.remove(connection)
        table.remove(connection)
    assert (table.held, table.whole, table.waiting, len(table.open)) == (0, 0, 0, 0)
    assert not table.closable


def test_oldest_connection_without_a_whole_request_is_closed_for_a_new_one():
    table = Table()
    ages = [(Phase.WHOLE, 9), (Phase.IDLE, 5), (Phase.HEAD, 8), (Phase.IDLE, 1)]
    ages.sort(key=lambda row: -row[1])
    connections = [table.connect(phase, 10, age) for phase, age in ages]
    table.connect()
    assert closed(connections) == [1]
    assert table.reasons == [CloseReason.CONNECTIONS]


# Guards against a new connection for which a request that may run is cut.
def test_no_connection_is_accepted_while_all_wait_for_responses():
    table = Table(attrs.evolve(LIMITS, waiting=4))
    connections = [table.connect(Phase.WHOLE, 10) for _ in range(4)]
    assert table.add(table.bounds, table.now) is None
    assert closed(connections) == []


# Guards against large whole requests that leave no room for small ones.
@pytest.mark.parametrize(
    "size, count, admitted",
    [
        (400_000, 1, True),
        (400_000, 2, False),
        (SMALL_REQUEST_BYTES, 8, False),
    ],
)
def test_whole_requests_hold_a_share(size, count, admitted):
    table = Table(attrs.evolve(LIMITS, connections=20, waiting=7))
    for _ in range(count - 1):
        table.connect(Phase.WHOLE, size)
    last, small = table.connect(Phase.BODY, size), table.connect(Phase.BODY, 2_000)
    assert table.admit_whole(last, table.now) is admitted
    assert table.admit_whole(small, table.now) is (table.waiting < 7 or count < 8)


# Guards against pages that fail while many requests wait.
def test_request_that_is_answered_at_once_needs_no_place():
    table = Table()
    for _ in range(LIMITS.waiting):
        table.connect(Phase.WHOLE, 10)
    table.bounds = RequestBounds(BOUNDS, answered_at_once=True)
    assert table.admit_whole(table.connect(), table.now)


@pytest.mark.parametrize(
    "phase, seconds, reason",
    [
        (Phase.IDLE, 15, CloseReason.IDLE),
        (Phase.HEAD, 3, CloseReason.HEAD_TIMEOUT),
        (Phase.BODY, 60, CloseReason.BODY_TIMEOUT),
        (Phase.REFUSED, 2, CloseReason.REFUSED),
    ],
)
def test_phase_that_lasts_too_long_ends_its_connection(phase, seconds, reason):
    table = Table()
    connection = table.connect()
    connection.enter(phase, table.now, seconds)
    for late in (-0.01, 0.0):
        table.sweep(table.now + seconds + late)
        assert not connection.closed
    table.sweep(table.now + seconds + 0.25)
    assert connection.closed and table.reasons == [reason]


# Guards against clients that are cut off since this process has stood still.
def test_request_that_goes_on_after_a_standstill_is_read():
    table = Table()
    connection = table.connect()
    connection.enter(Phase.HEAD, table.now, 3)
    table.sweep(table.now + 5)
    connection.enter(Phase.BODY, table.now + 5, 60)
    table.sweep(table.now + 5.25)
    assert not connection.closed


# Guards against bytes of a next request that came early and that nobody counts.
@pytest.mark.parametrize("buffered, phase", [(0, Phase.IDLE), (700, Phase.HEAD)])
def test_next_request_begins_with_what_has_arrived(buffered, phase):
    table = Table()
    connection = table.connect(Phase.WHOLE, 9_000)
    connection.stream.buffered = buffered
    connection.begin_request(table.now)
    assert (connection.phase, connection.received) == (phase, buffered)
    assert table.held == CONNECTION_BYTES + buffered
    assert (table.whole, table.waiting) == (0, 0)


def read_in_turns(table, wanted):
    """Let connections read what they may, turn by turn.

    :param wanted: the bytes that wait for each connection.
    :returns: for each turn, what each connection has read in it.
    """

    async def run():
        rows = []
        while any(wanted.values()):
            row = {}
            for connection in wanted:
                while count := min(connection.read_allowance(), wanted[connection]):
                    connection.add_received(count)
                    wanted[connection] -= count
                    row[connection] = row.get(connection, 0) + count
            rows.append(row)
            await asyncio.sleep(0)
        return rows

    return asyncio.run(run())


# Guards against a turn in which more is read than can be freed before the next.
def test_reading_stops_for_the_rest_of_a_turn():
    table = Table(attrs.evolve(LIMITS, held_bytes=10 * TURN_BYTES))
    connections = [table.connect(Phase.BODY) for _ in range(2)]
    rows = read_in_turns(table, dict.fromkeys(connections, TURN_BYTES))
    assert [sum(row.values()) for row in rows] == [TURN_BYTES, TURN_BYTES]


# Guards against ordinary requests that wait until all large heads have been parsed.
def test_small_head_does_not_wait_for_large_ones():
    limits = ConnectionLimits(1_000, 500, 10 * TURN_BYTES, TURN_BYTES)
    table = Table(limits)
    wanted = {table.connect(): 16_000 for _ in range(500)}
    small = table.connect()
    rows = read_in_turns(table, wanted | {small: 600})
    (turn,) = [number for number, row in enumerate(rows) if small in row]
    finished = sum(
        sum(row.get(connection, 0) for row in rows[: turn + 1]) == 16_000
        for connection in wanted
    )
    assert turn < len(rows) / 4 and finished < len(wanted) / 10
    assert max(sum(row.values()) for row in rows) <= HEAD_TURN_BYTES + FIRST_TURN_BYTES


# Guards against a refusal of what only the former or only the new version allows.
@pytest.mark.parametrize(
    "after, limit", [(0.0, 5_000), (3.9, 5_000), (4.0, 2_000), (99.0, 2_000)]
)
def test_former_limits_hold_for_a_while(after, limit):
    bounds = RequestBounds(BOUNDS)
    bounds.replace(attrs.evolve(BOUNDS, max_body_bytes=2_000), 10.0, 4.0)
    assert bounds.max_body_bytes(10.0 + after) == limit
    bounds.replace(bounds.limits, 200.0, 4.0)
    assert bounds.max_body_bytes(200.0) == 2_000


@attrs.define
class FakeHttp:
    """An HTTP connection that records the responses."""

    statuses: list = attrs.field(factory=list)
    headers: list = attrs.field(factory=list)
    ended: str = ""
    max_body_size: int = 0

    def set_max_body_size(self, size):
        self.max_body_size = size

    def write_headers(self, start_line, headers):
        self.statuses.append(start_line.code)
        self.headers.append(headers)

    def finish(self):
        self.ended = "finished"

    def close(self):
        self.ended = "closed"


@attrs.define
class FakeDelegate(tornado.httputil.HTTPMessageDelegate):
    """A server that records what it receives."""

    events: list = attrs.field(factory=list)

    def headers_received(self, start_line, headers):
        self.events.append("head")

    def data_received(self, chunk):
        self.events.append(len(chunk))

    def finish(self):
        self.events.append("end")

    def on_connection_close(self):
        self.events.append("closed")


@pytest.mark.parametrize(
    "fields, chunks, status, events",
    [
        ({"Content-Length": "5000"}, [5_000], None, ["head", 5_000, "end"]),
        ({"Content-Length": "5001"}, [5_000, 1], 413, []),
        ({"Transfer-Encoding": "chunked"}, [1, 4_999], None, ["head", 1, 4_999, "end"]),
        ({}, [5_000, 1, 7], 413, ["head", 5_000, "closed"]),
        ({"X-Large": "x" * 1_000}, [], 431, []),
        ({"Content-Length": "none"}, [], None, ["head", "end"]),
        ({"Content-Length": "9" * 900}, [], 413, []),
    ],
)
def test_request_is_served_inside_its_bounds_only(fields, chunks, status, events):
    table = Table()
    connection, http, delegate = table.connect(), FakeHttp(), FakeDelegate()
    statuses = []
    request = BoundedRequest(connection, http, delegate, statuses.append)
    headers = tornado.httputil.HTTPHeaders(fields | {"Expect": "100-continue"})
    connection.received = 1_000
    request.headers_received(START_LINE, headers)
    for chunk in chunks:
        request.data_received(b"x" * chunk)
    request.finish()
    assert delegate.events == events
    assert http.statuses == statuses == ([status] if status else [])
    assert http.ended == ("closed" if status else "")
    assert ("Expect" in headers) is (status is None)
    if status:
        assert connection.received == 0
        assert http.headers[0]["Connection"] == "close"


# Guards against a body that the new version allows and that is refused on the way.
def test_limit_may_rise_while_a_body_arrives():
    table = Table()
    delegate = FakeDelegate()
    request = BoundedRequest(table.connect(), FakeHttp(), delegate, lambda status: None)
    request.headers_received(START_LINE, tornado.httputil.HTTPHeaders())
    table.bounds.replace(attrs.evolve(BOUNDS, max_body_bytes=9_000), table.now, 4.0)
    request.data_received(b"x" * 9_000)
    assert delegate.events == ["head", 9_000]


# Guards against a request that is refused for room, but served later.
def test_request_without_room_is_refused_as_not_run():
    table = Table()
    for _ in range(2):
        table.connect(Phase.WHOLE, 10)
    http, delegate = FakeHttp(), FakeDelegate()
    request = BoundedRequest(table.connect(), http, delegate, lambda status: None)
    request.headers_received(START_LINE, tornado.httputil.HTTPHeaders())
    request.finish()
    assert (http.statuses, http.ended) == ([503], "finished")
    assert "Retry-After" in http.headers[0]
    assert delegate.events == ["head", "closed"]


@pytest.mark.parametrize(
    "allowed, soft, connections",
    [
        (4_100, 20_000, 2_092),
        (4_100, 300, 157),
        (4_100, -1, 2_092),
        (8_192, 1_024, 576),
    ],
)
def test_limits_follow_the_machine(monkeypatch, allowed, soft, connections):
    monkeypatch.setattr(resource, "getrlimit", lambda which: (soft, soft))
    limits = ConnectionLimits.from_machine(300, allowed)
    assert limits == ConnectionLimits(
        connections=connections,
        waiting=connections // 2,
        held_bytes=60_000_000,
        whole_bytes=30_000_000,
    )


# Guards against a request that runs although its connection has been closed for room:
# its client sends it again.
@pytest.mark.parametrize("closed_after", ["connect", "head", "body"])
def test_request_of_a_closed_connection_is_not_served(closed_after):
    table = Table()
    connection, delegate = table.connect(), FakeDelegate()
    request = BoundedRequest(connection, FakeHttp(), delegate, lambda status: None)
    steps = {
        "connect": lambda: None,
        "head": lambda: request.headers_received(
            START_LINE, tornado.httputil.HTTPHeaders()
        ),
        "body": lambda: request.data_received(b"x"),
        "end": request.finish,
    }
    for name, step in steps.items():
        step()
        if name == closed_after:
            table.close(connection, CloseReason.MEMORY)
    assert "end" not in delegate.events
    assert ("closed" in delegate.events) is (closed_after != "connect")
    assert (table.held, table.waiting, len(table.open)) == (0, 0, 0)
    assert not table.closable
