"""Ends of responses that nothing marks but the end of their connection."""

import json
import threading

import attrs
import pytest
from platform_fleet import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    PlatformFleet,
    config,
    wait_until,
)
from scripted_server import STARTED_AT_MS, ScriptedServer, response, run_before

from mulberrydock.standin.platform_engine import Fault

REPORT = {"stage": "decode", "busy": False, "sequence": 0}


def report(**fields):
    return response(json.dumps(REPORT | fields))


@attrs.define
class Server(ScriptedServer):
    """Gives the same answer to each call; None closes, b"" stays silent."""

    answer: object

    def connect(self):
        return lambda head: self.answer


# Guards against a response that passes as whole although its instance has crashed: its
# listening socket accepts a connection after that, or another process has its address.
@pytest.mark.parametrize(
    "answer, is_alive",
    [
        (report(born=STARTED_AT_MS), True),
        (report(), True),
        (response("", "400 Bad Request"), True),
        (response("", "503 Service Unavailable"), True),
        (report(born=STARTED_AT_MS + 1), False),
        (response("", "421 Misdirected Request"), False),
        (None, False),
        (b"", False),
        (b"HTTP/1.1 200 OK\r\nContent-Le", False),
    ],
)
def test_instance_is_alive_only_if_it_answers_itself(answer, is_alive):
    async def scenario(sender, server):
        return await sender.relay.is_alive(sender.instance)

    assert run_before(Server(answer), scenario, STARTED_AT_MS) is is_alive


@pytest.fixture
def fleet(tmp_path):
    """A ready daemon before one instance of each kind."""
    running = PlatformFleet(tmp_path)
    running.write("op/config", config(3))
    running.add_instance("d1", "llm", "decode")
    running.add_instance("a1", "app")
    running.start()
    try:
        running.wait_ready()
        yield running
    finally:
        running.stop()


# Guards against half of a response that passes as whole, as all instances of its
# service have crashed.
@pytest.mark.parametrize(
    "prefix", [RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH]
)
def test_response_that_the_last_instance_cuts_is_not_whole(fleet, prefix):
    for service in ("llm", "app"):
        fleet.fail_next(service, Fault.UNFRAMED_CRASH)
    result = fleet.request(prefix, "r")
    assert result.status != 200 or not result.complete


# Guards against half of a stream that passes as whole, as its engine ends while it
# leaves, with or without an announcement.
@pytest.mark.parametrize("announced", [True, False])
@pytest.mark.parametrize("prefix", [RESUMABLE_PATH, STREAM_PATH])
def test_stream_that_a_leaving_engine_cuts_is_not_whole(fleet, prefix, announced):
    engine = fleet.engines["d1"]
    engine.event_interval_seconds = 0.4
    fleet.fail_next("llm", Fault.UNFRAMED_CRASH)
    results = []
    client = threading.Thread(target=lambda: results.append(fleet.request(prefix, "r")))
    client.start()
    wait_until(lambda: engine.runs)
    if announced:
        fleet.write("servers/d1", engine.store_document("draining"))
    else:
        fleet.remove("servers/d1")
    client.join()
    assert not results[0].complete


@pytest.mark.parametrize(
    "prefix", [RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH]
)
def test_whole_response_without_a_length_is_passed_on(fleet, prefix):
    for service in ("llm", "app"):
        fleet.fail_next(service, Fault.UNFRAMED)
    result = fleet.request(prefix, "r")
    assert (result.status, result.complete) == (200, True)
