"""Streams of clients that know no chunks, so that nothing marks the end but a close."""

import signal
import socket
import types

import pytest
from platform_fleet import (
    HOST,
    IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    PlatformFleet,
    config,
    event_ids,
    wait_until,
)

from mulberrydock.platform import wire
from mulberrydock.standin.platform_engine import Fault
from mulberrydock.unframed_sink import UnframedSink

EVENTS = 8
ALL = list(range(1, EVENTS + 1))
#: Seconds between two events, and without a byte after which a response is overdue.
EVENT_INTERVAL_SECONDS = 0.05
TIMEOUT_SECONDS = 4.0
BOTH_PATHS = pytest.mark.parametrize("path", [RESUMABLE_PATH, STREAM_PATH])
#: Headers of an HTTP/1.0 client that closes its connection and of one that keeps it.
BOTH_KINDS = pytest.mark.parametrize("headers", [{}, {"Connection": "keep-alive"}])


@pytest.fixture
def fleet(tmp_path):
    running = PlatformFleet(tmp_path)
    try:
        running.write("op/config", config(3))
        running.add_instance(
            "d1",
            "llm",
            "decode",
            events=EVENTS,
            event_interval_seconds=EVENT_INTERVAL_SECONDS,
        )
        running.add_instance("a1", "app")
        running.start()
        running.wait_ready()
        yield running
    finally:
        running.stop()


class Response:
    """What arrives for an HTTP/1.0 request, read up to the event ``until``.

    ``is_whole`` is True once the connection was closed without a reset.
    """

    def __init__(self, fleet, path, headers, until=None):
        fields = {
            "Host": HOST,
            wire.ATTEMPT_ID: "r",
            wire.DEADLINE: "2000",
            wire.TOKEN_COUNTS: "100,10",
            "Content-Length": "6",
        } | headers
        lines = [f"POST {path}x HTTP/1.0", *(f"{k}: {v}" for k, v in fields.items())]
        address = ("127.0.0.1", fleet.settings["entry-1"]["front"])
        self.socket = socket.create_connection(address, TIMEOUT_SECONDS)
        self.socket.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + b"prompt")
        self.data, self.is_whole = b"", False
        self.read(until)

    def read(self, until=None):
        while until is None or until not in event_ids(self.data):
            try:
                data = self.socket.recv(65536)
            except ConnectionResetError:
                return
            if not data:
                self.is_whole = True
                return
            self.data += data


# Guards against a cut stream that a client takes for a whole one, as both end with
# their connection.
@BOTH_KINDS
@BOTH_PATHS
@pytest.mark.parametrize("fault", [Fault.CUT, Fault.CUT_MID_EVENT, Fault.STALL])
def test_cut_stream_ends_with_a_reset(fleet, path, headers, fault):
    fleet.fail_next("llm", fault)
    response = Response(fleet, path, headers)
    assert event_ids(response.data) == [1, 2] and not response.is_whole


# Guards against a stream whose VM is killed and that its client takes for a whole one.
@BOTH_PATHS
def test_stream_of_a_killed_vm_ends_with_a_reset(fleet, path):
    response = Response(fleet, path, {}, until=2)
    fleet.daemons["entry-1"].send_signal(signal.SIGKILL)
    response.read()
    assert not response.is_whole


# Guards against a whole stream that never ends, or that ends like a cut one.
@BOTH_KINDS
@BOTH_PATHS
def test_whole_stream_ends_with_its_connection(fleet, path, headers):
    response = Response(fleet, path, headers)
    assert event_ids(response.data) == ALL and response.is_whole


# Guards against a response with a length that ends like a cut stream.
@BOTH_KINDS
def test_whole_response_is_no_stream(fleet, headers):
    response = Response(fleet, IDEMPOTENT_PATH, headers | {"Connection": "close"})
    assert response.data.endswith(b"a1 answers r") and response.is_whole


# Guards against work for a client that has left, and against an end for it that fails.
@BOTH_PATHS
def test_stream_of_a_client_that_left_is_dropped(fleet, path):
    Response(fleet, path, {}, until=2).socket.close()
    (run,) = fleet.engines["d1"].runs
    wait_until(lambda: run.ended)
    assert run.ended == "cancelled" and "Traceback" not in fleet.log()


# Guards against an end of a response that fails as its client has just left.
def test_response_whose_client_has_left_is_ended():
    ours, theirs = socket.socketpair()
    theirs.close()
    stream = types.SimpleNamespace(closed=lambda: True, socket=ours)
    connection = types.SimpleNamespace(
        stream=stream, write_headers=lambda start, fields: None
    )
    sink = UnframedSink(connection, lambda: False)
    sink.begin(200, [])
    sink.finish()
    assert sink.done
    ours.close()
