"""A VM is stopped while the store, its instances or its clients keep it waiting.

The daemon is a real process; the store and the instances are stand-ins.
"""

import signal
import threading
import time

import pytest
from platform_fleet import (
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

from mulberrydock.platform import wire
from mulberrydock.standin.platform_engine import Fault

VM = "entry-1"
#: A body that crashes the engine that runs it.
CRASHING_BODY = b"crash"
#: Seconds between two events of a stream that outlasts every grace period here.
SLOW_EVENT_SECONDS = 4.0


def started_fleet(tmp_path, grace):
    """Return a fleet with a ready VM that has ``grace`` seconds to stop."""
    fleet = PlatformFleet(tmp_path)
    long = [
        route(RESUMABLE_PATH, "streaming", "llm", resumable=True, timeout_ms=20000),
        route(STREAM_PATH, "streaming", "llm", max_attempts=1, timeout_ms=20000),
        route(IDEMPOTENT_PATH, "idempotent", "app", max_attempts=1, timeout_ms=20000),
        route(NON_IDEMPOTENT_PATH, "non_idempotent", "app", timeout_ms=20000),
    ]
    fleet.write("op/config", config(3, long))
    fleet.add_instance(
        "d1",
        "llm",
        "decode",
        started_at_ms=1,
        crash_marker=CRASHING_BODY,
        on_restart=lambda engine: fleet.store.write(
            "servers/d1", engine.store_document()
        ),
    )
    fleet.add_instance("a1", "app")
    fleet.start(VM, grace=grace)
    fleet.wait_ready(VM, ["d1@1", "a1"])
    return fleet


@pytest.fixture
def start(tmp_path):
    """Return a function that starts a fleet, given the seconds of the grace period."""
    fleets = []

    def start(grace):
        fleets.append(started_fleet(tmp_path, grace))
        return fleets[-1]

    yield start
    for fleet in fleets:
        fleet.stop()


def stop(fleet, grace):
    """Stop the VM; return whether it ended by itself within the grace period."""
    process = fleet.daemons[VM]
    process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + grace
    while process.poll() is None and time.monotonic() < deadline:
        time.sleep(0.01)
    return process.poll() == 0


def set_store(fleet, state):
    """Let the store be ``silent``, ``refusing`` or, with neither, as it was."""
    for attribute in ("silent", "refusing"):
        setattr(fleet.store, attribute, state == attribute)


class Request(threading.Thread):
    """One request, sent in a thread; ``response`` is None until it has ended.

    ``error`` is what ended it without a response.
    """

    def __init__(self, fleet, path, request_id):
        super().__init__(daemon=True)
        self.fleet, self.path, self.request_id = fleet, path, request_id
        self.response = self.error = None

    def run(self):
        connection = self.fleet.connect(VM)
        # No part of its prompt is that of a request that crashed an engine.
        headers = {wire.DEADLINE: "20000", wire.PROMPT_PREFIX: "cc:50,cc:50"}
        try:
            self.response = self.fleet.request(
                self.path, self.request_id, connection, **headers
            )
        except OSError as error:
            self.error = error


def in_progress(fleet, path, request_id):
    """Send a request and return it once an instance runs it."""
    request = Request(fleet, path, request_id)
    request.start()
    runs = [engine.runs for engine in fleet.engines.values()]
    wait_until(lambda: any(run.id == request_id for rows in runs for run in rows))
    return request


def crash_unwritten(fleet, state):
    """Let the VM know of a crash that the store, which is in ``state``, doesn't take.

    A crash is written a second after it was found; on a busy machine that may be before
    the store is in its state, so further crashes follow.
    """
    for turn in range(5):
        fleet.request(STREAM_PATH, f"crash-{turn}", body=CRASHING_BODY + b"%d" % turn)
        wait_until(lambda: len(fleet.log_records("instance crashed", VM)) > turn)
        set_store(fleet, state)
        try:
            wait_until(lambda: fleet.log_records("crashes not written", VM), 3.0)
            return
        except AssertionError:
            set_store(fleet, "")
            wait_until(lambda: len(fleet.log_records("instance seen", VM)) > turn + 2)
    raise AssertionError("every crash was written")


# Guards against a VM that is killed as it waits for the store with its last writes:
# crashes under a request are known, the store doesn't take them, and a request lasts.
@pytest.mark.parametrize("grace", [1.0, 2.0, 4.0])
@pytest.mark.parametrize("state", ["silent", "refusing"])
def test_stop_ends_although_the_store_takes_no_writes(start, state, grace):
    fleet = start(grace)
    crash_unwritten(fleet, state)
    fleet.fail_next("app", Fault.HANG)
    in_progress(fleet, NON_IDEMPOTENT_PATH, "hanging")
    assert stop(fleet, grace)
    assert fleet.log_records("stopped")


# Guards against a VM that is killed under requests whose instances don't answer: their
# clients would see a closed connection although their VM knew the end of its time.
@pytest.mark.parametrize("grace", [1.0, 2.0])
@pytest.mark.parametrize("path", [IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH, STREAM_PATH])
def test_request_that_outlasts_the_grace_period_is_answered(start, path, grace):
    fleet = start(grace)
    service = "llm" if path == STREAM_PATH else "app"
    fleet.fail_next(service, Fault.HANG)
    request = in_progress(fleet, path, "hanging")
    assert stop(fleet, grace)
    request.join(5.0)
    # It was sent, so it may have run: no promise is made.
    assert request.error is None
    assert request.response.status == 504
    (ended,) = fleet.log_records("answered", VM)
    assert (ended["request"], ended["cause"]) == ("hanging", "the VM stops")


# Guards against a VM that is killed with its streams, and against one that ends a
# stream that could still be finished.
@pytest.mark.parametrize(
    ("seconds", "grace", "complete"),
    [(SLOW_EVENT_SECONDS, 2.0, False), (0.3, 2.0, True)],
)
@pytest.mark.parametrize("path", [RESUMABLE_PATH, STREAM_PATH])
def test_stream_in_progress_ends_before_the_vm(start, path, seconds, grace, complete):
    fleet = start(grace)
    fleet.engines["d1"].event_interval_seconds = seconds
    request = in_progress(fleet, path, "stream")
    assert stop(fleet, grace)
    request.join(5.0)
    assert request.response.complete is complete
    if complete:
        assert event_ids(request.response.content) == [1, 2, 3, 4]


# Guards against an operator who can't see what a stopping VM still waits for.
def test_log_names_what_a_stopping_vm_waits_for(start):
    fleet = start(3.0)
    fleet.engines["d1"].event_interval_seconds = SLOW_EVENT_SECONDS
    request = in_progress(fleet, STREAM_PATH, "slow")
    set_store(fleet, "silent")
    assert stop(fleet, 3.0)
    request.join(5.0)
    lines = fleet.log_records("stop waits", VM)
    assert {line["step"] for line in lines} >= {"accept", "finish"}
    assert all(line["requests"] == ["slow"] for line in lines)
    assert any(line["store_calls"] for line in lines)
    assert all(line["seconds_left"] >= 0 for line in lines)
