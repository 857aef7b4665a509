"""What the clients of a VM get in the last moment of its stop.

The daemon is a real process; the store and the instances are stand-ins.
"""

import asyncio
import http.client
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from link_fleet import forward
from platform_fleet import (
    HOST,
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    wait_until,
)
from stop_fleet import (
    VM,
    begin_stop,
    forward_key,
    forwarded_request,
    request,
    runs,
    started_fleet,
)

from mulberrydock.exceptions import ResultCode
from mulberrydock.forward_attempt import NOT_SERVED_CODES
from mulberrydock.forward_messages import FORWARD_PATH, ForwardOutcome
from mulberrydock.platform import wire
from mulberrydock.standin.platform_engine import Fault

PATHS = (RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH)
GRACE = 2.0
#: Token counts of a prompt that a prefill engine prefills.
LONG_PROMPT = {wire.TOKEN_COUNTS: "30000,10"}


@pytest.fixture
def fleet(tmp_path):
    with started_fleet(tmp_path, GRACE) as running:
        yield running


def stop_calmly(fleet):
    begin_stop(fleet)


def stop_twice(fleet):
    """Send a second SIGTERM while the VM stops."""
    begin_stop(fleet)
    time.sleep(GRACE / 4)
    fleet.daemons[VM].send_signal(signal.SIGTERM)


def stop_paused(fleet):
    """Let the process stand still until its grace period is over."""
    begin_stop(fleet)
    time.sleep(GRACE / 4)
    fleet.daemons[VM].send_signal(signal.SIGSTOP)
    time.sleep(GRACE)
    fleet.daemons[VM].send_signal(signal.SIGCONT)


STOPS = [stop_calmly, stop_twice, stop_paused]


# Guards against a request whose connection is closed without an answer as its VM ends:
# the client can't know whether it may be sent again.
@pytest.mark.parametrize("stop", STOPS)
@pytest.mark.parametrize("path", PATHS)
def test_sent_request_gets_an_answer_at_the_end(fleet, path, stop):
    fleet.fail_next(
        "llm" if path in (RESUMABLE_PATH, STREAM_PATH) else "app", Fault.HANG
    )
    with ThreadPoolExecutor() as pool:
        hanging = pool.submit(request, fleet, path, "hanging")
        wait_until(lambda: runs(fleet, "hanging"))
        stop(fleet)
        assert hanging.result().status == 504
    assert fleet.daemons[VM].wait(10) == 0


# Guards against a promise that is missing for a request that no instance has run.
@pytest.mark.parametrize("stop", STOPS)
@pytest.mark.parametrize("path", [RESUMABLE_PATH, STREAM_PATH])
def test_prefilled_request_gets_a_promise_at_the_end(fleet, path, stop):
    fleet.add_instance("p1", "llm", "prefill", prefill_gate=asyncio.Event())
    fleet.wait_ready(VM, ["p1"])
    with ThreadPoolExecutor() as pool:
        waiting = pool.submit(request, fleet, path, "waiting", **LONG_PROMPT)
        wait_until(lambda: "waiting" in fleet.engines["p1"].prefills)
        stop(fleet)
        response = waiting.result()
    assert (response.status, response.getheader("Retry-After")) == (503, "0.0")
    assert not runs(fleet, "waiting")
    assert fleet.daemons[VM].wait(10) == 0


# Guards against a peer that can't know what has become of the request that it has
# forwarded to a VM that ends.
@pytest.mark.parametrize("stop", STOPS)
@pytest.mark.parametrize("path", PATHS)
def test_forwarded_request_gets_its_outcome_at_the_end(fleet, path, stop):
    fleet.fail_next(
        "llm" if path in (RESUMABLE_PATH, STREAM_PATH) else "app", Fault.HANG
    )
    key = forward_key(fleet)
    with ThreadPoolExecutor() as pool:
        forwarded = pool.submit(
            forward, fleet, VM, forwarded_request(path, "hanging"), key
        )
        wait_until(lambda: runs(fleet, "hanging"))
        stop(fleet)
        _, response = forwarded.result()
    outcome = ForwardOutcome.from_headers(response.headers)
    assert (outcome.code, outcome.sends) == (ResultCode.OUTCOME_UNKNOWN, 1)
    assert fleet.daemons[VM].wait(10) == 0


def send_half(connection, target, fields):
    """Send a request without the end of its body."""
    connection.putrequest("POST", target, skip_host="Host" in fields)
    for name, value in {**fields, "Content-Length": "1000"}.items():
        connection.putheader(name, value)
    connection.endheaders(b"half")


# Guards against a client that still sends its body when its VM ends, and isn't told
# that the request can go elsewhere.
@pytest.mark.parametrize("stop", STOPS)
@pytest.mark.parametrize("path", PATHS)
def test_unfinished_request_gets_a_promise_at_the_end(fleet, path, stop):
    connection = fleet.connect(VM)
    fields = {"Host": HOST, wire.ATTEMPT_ID: "half", wire.DEADLINE: "20000"}
    send_half(connection, f"{path}x", fields)
    stop(fleet)
    response = connection.getresponse()
    assert (response.status, response.getheader("Retry-After")) == (503, "0.0")
    assert not runs(fleet, "half")
    assert fleet.daemons[VM].wait(10) == 0


# Guards against a peer that takes a request for one that may have run, although the VM
# that it forwards it to has refused to read it.
def test_unfinished_forwarded_request_gets_its_outcome_at_the_end(fleet):
    port = fleet.settings[VM]["peer"]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    send_half(connection, FORWARD_PATH, {})
    stop_calmly(fleet)
    outcome = ForwardOutcome.from_headers(connection.getresponse().headers)
    assert outcome.code in NOT_SERVED_CODES
