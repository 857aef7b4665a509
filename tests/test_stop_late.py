"""A stopping VM gets requests that it can't finish, or can only just finish.

The daemon is a real process; the store and the instances are stand-ins.
"""

import asyncio
import base64
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
    PlatformFleet,
    config,
    event_ids,
    route,
    wait_until,
)

from mulberrydock import defaults, records
from mulberrydock.exceptions import ResultCode
from mulberrydock.forward_messages import ForwardOutcome
from mulberrydock.platform import wire
from mulberrydock.request import Request
from mulberrydock.standin.platform_engine import Fault

VM = "entry-1"
PATHS = (RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH)
#: Grace period of the stops, in seconds. Most of a response of :data:`LONG_SECONDS`
#: lies within it, the whole of one that begins :data:`LATE_SECONDS` after the signal
#: doesn't.
GRACE = 4.0
LONG_SECONDS = 3.2
LATE_SECONDS = 0.6
#: Time limits of clients in milliseconds: one beyond the grace period, one within it.
LONG_LIMIT = "20000"
SHORT_LIMIT = "1500"


@pytest.fixture
def fleet(tmp_path):
    """A ready VM, one decode engine and one plain instance."""
    fleet = PlatformFleet(tmp_path)
    options = {"timeout_ms": 20000, "target_latency_ms": 5000}
    routes = [
        route(RESUMABLE_PATH, "streaming", "llm", resumable=True, **options),
        route(STREAM_PATH, "streaming", "llm", max_attempts=1, **options),
        route(IDEMPOTENT_PATH, "idempotent", "app", **options),
        route(NON_IDEMPOTENT_PATH, "non_idempotent", "app", **options),
    ]
    fleet.write("op/config", config(3, routes))
    fleet.add_instance("d1", "llm", "decode")
    fleet.add_instance("a1", "app")
    fleet.start(VM, grace=GRACE)
    fleet.wait_ready(VM)
    yield fleet
    fleet.stop()


def set_duration(fleet, seconds):
    """Let each response of either service take so many seconds."""
    for engine in fleet.engines.values():
        engine.event_interval_seconds = seconds / engine.events
        engine.response_seconds = seconds


def begin_stop(fleet):
    """Send SIGTERM; return once the VM has seen it."""
    fleet.daemons[VM].send_signal(signal.SIGTERM)
    wait_until(lambda: fleet.log_records("draining", VM))


def observe(fleet, path):
    """Let the VM see four responses of a service."""
    with ThreadPoolExecutor() as pool:
        ids = [f"before-{turn}" for turn in range(4)]
        for response in pool.map(lambda id: request(fleet, path, id), ids):
            assert response.status == 200


def request(fleet, path, request_id, connection=None, limit=LONG_LIMIT, **headers):
    """Send one request with a time limit in milliseconds; return the response."""
    headers[wire.DEADLINE] = limit
    return fleet.request(path, request_id, connection, VM, **headers)


def runs(fleet, request_id):
    """Return the runs of a request at all instances."""
    return [
        run
        for engine in fleet.engines.values()
        for run in engine.runs
        if run.id == request_id
    ]


def is_left_to_others(fleet, response, request_id):
    """Return whether a request was refused, true to its promise, for another VM."""
    refused = response.status == 503 and float(response.getheader("Retry-After")) == 0
    return refused and not runs(fleet, request_id)


# Guards against requests that a stopping VM takes although what it has seen of their
# service tells that they can't end in its grace period: they are cut at its end.
@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize(
    ("path", "headers"),
    [*((path, {}) for path in PATHS), (RESUMABLE_PATH, {wire.LAST_EVENT_ID: "1"})],
)
def test_request_that_would_outlast_the_grace_period_is_refused(
    fleet, path, headers, kept
):
    set_duration(fleet, LONG_SECONDS)
    connection = fleet.connect(VM) if kept else None
    assert request(fleet, path, "before", connection).status == 200
    begin_stop(fleet)
    time.sleep(LATE_SECONDS)
    response = request(fleet, path, "late", connection, **headers)
    assert is_left_to_others(fleet, response, "late")
    assert fleet.daemons[VM].wait(10) == 0


# Guards against requests that a stopping VM takes without knowing that they can end in
# its grace period.
@pytest.mark.parametrize("path", PATHS)
def test_time_limit_decides_while_nothing_is_known_of_the_service(fleet, path):
    begin_stop(fleet)
    response = request(fleet, path, "long")
    assert is_left_to_others(fleet, response, "long")
    response = request(fleet, path, "short", limit=SHORT_LIMIT)
    assert response.status == 200 and response.complete


# Guards against a stopping VM that refuses what it can finish.
@pytest.mark.parametrize("path", PATHS)
def test_request_that_ends_in_the_grace_period_is_served(fleet, path):
    set_duration(fleet, 0.2)
    assert request(fleet, path, "before").status == 200
    begin_stop(fleet)
    response = request(fleet, path, "late")
    assert response.status == 200 and response.complete
    if path in (RESUMABLE_PATH, STREAM_PATH):
        assert event_ids(response.content) == [1, 2, 3, 4]


# Guards against a repeat that a stopping VM sends so late that it is cut, where the
# client could have gone to another VM with what is known.
def test_failed_request_is_not_repeated_too_late_in_the_grace_period(fleet):
    fleet.add_instance("a2", "app")
    fleet.wait_ready(VM, ["a2"])
    set_duration(fleet, 1.8)
    observe(fleet, IDEMPOTENT_PATH)
    fleet.fail_next("app", Fault.ERROR)
    begin_stop(fleet)
    response = request(fleet, IDEMPOTENT_PATH, "failing")
    assert (response.status, len(runs(fleet, "failing"))) == (500, 1)


# Guards against a stream that begins at its decode engine only when a long prefill has
# left it too little of the grace period, and is cut.
@pytest.mark.parametrize("path", [RESUMABLE_PATH, STREAM_PATH])
def test_stream_is_not_begun_too_late_after_its_prefill(fleet, path):
    gate = asyncio.Event()
    fleet.add_instance("p1", "llm", "prefill", prefill_gate=gate)
    fleet.wait_ready(VM, ["p1"])
    set_duration(fleet, 1.8)
    observe(fleet, path)
    with ThreadPoolExecutor() as pool:
        long = {wire.TOKEN_COUNTS: "30000,10"}
        late = pool.submit(request, fleet, path, "late", **long)
        wait_until(lambda: "late" in fleet.engines["p1"].prefills)
        begin_stop(fleet)
        time.sleep(2.0)
        fleet.call_on_loop(gate.set)
        assert is_left_to_others(fleet, late.result(), "late")
    assert wait_until(lambda: fleet.engines["p1"].released_handles)


def forward_key(fleet):
    """Return the key that signs requests forwarded to the VM."""
    item = fleet.store.items[f"{defaults.ENTRY_PREFIX}{VM}"]
    text = base64.b64decode(item.value).decode()
    return records.decode(records.EntryRecord, text).forwardKey


# Guards against a forwarded request that a stopping VM takes and cuts, although its
# sender could have chosen another peer.
@pytest.mark.parametrize("path", PATHS)
def test_forwarded_request_that_would_outlast_the_grace_period_goes_back(fleet, path):
    set_duration(fleet, LONG_SECONDS)
    assert request(fleet, path, "before").status == 200
    key = forward_key(fleet)
    begin_stop(fleet)
    time.sleep(LATE_SECONDS)
    late = Request("late", "POST", f"{path}x", HOST, [], b"", 0.0, 20.0)
    _, response = forward(fleet, VM, late, key)
    assert response.status == 503 and not runs(fleet, "late")
    outcome = ForwardOutcome.from_headers(response.headers)
    assert (outcome.code, outcome.sends) == (ResultCode.DRAINING, 0)
