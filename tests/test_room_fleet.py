"""Requests for room at a daemon whose decode engine has no free place.

The engine and the store are stand-ins, the daemon is a real process.
"""

import concurrent.futures
import contextlib
import signal
import time

import pytest
from platform_fleet import (
    RESUMABLE_PATH,
    STREAM_PATH,
    PlatformFleet,
    config,
    event_ids,
    route,
    send,
    wait_until,
)

from mulberrydock.pauses import MIN_GAP_SECONDS

#: Places of the only decode engine.
PLACES = 4
#: Seconds between two of the four events of a stream.
EVENT_INTERVAL_SECONDS = 0.5
#: Milliseconds that a client has that doesn't hurry, as its route's timeout.
AMPLE = "20000"
#: A team whose priority competes with those of others, and the key of its requests.
TEAM = {"name": "team", "api_keys": ["key"], "priority": 1}
KEY = {"Authorization": "Bearer key"}


@pytest.fixture(params=[True, False], ids=["team", "no-team"])
def fleet(request, tmp_path):
    """A daemon with one engine; the parameter says whether it has a team."""
    with started_fleet(tmp_path, request.param) as fleet:
        # The daemon learns for how long a stream holds its place.
        fleet.request(RESUMABLE_PATH, "first", **KEY)
        yield fleet


@contextlib.contextmanager
def started_fleet(directory, has_team):
    """Start a daemon with one engine, before its first request."""
    fleet = PlatformFleet(directory)
    options = {"resumable": True, "timeout_ms": int(AMPLE)}
    document = config(
        1,
        [
            route(RESUMABLE_PATH, "streaming", "llm", target_gap_ms=300, **options),
            route(STREAM_PATH, "streaming", "llm", target_gap_ms=2000, **options),
        ],
    )
    if has_team:
        document["tenants"] = [TEAM]
    try:
        fleet.write("op/config", document)
        fleet.add_instance(
            "d1", "llm", "decode", event_interval_seconds=EVENT_INTERVAL_SECONDS
        )
        fleet.start()
        fleet.wait_ready()
        yield fleet
    finally:
        fleet.stop()


def fill(fleet, stack, waiting):
    """Send so many requests more than the engine has places, of patient clients."""
    for n in range(PLACES + waiting):
        connection = stack.enter_context(contextlib.closing(fleet.connect()))
        headers = {"X_Mulberrydock_Deadline_Ms": AMPLE} | KEY
        send(connection, STREAM_PATH, f"busy-{n}", **headers)
    wait_until(lambda: len(fleet.engines["d1"].runs) == PLACES + waiting + 1)


def ask(fleet, request_id, limit):
    return fleet.request(
        RESUMABLE_PATH, request_id, X_Mulberrydock_Deadline_Ms=limit, **KEY
    )


def test_request_is_refused_only_if_its_time_is_shorter_than_its_wait(fleet):
    """Guards against a caller with much time that is refused for places while one with
    less time for the same work is let in, and against one whose short time ends while
    it waits."""
    with contextlib.ExitStack() as stack:
        fill(fleet, stack, waiting=2)
        short = [
            (limit, ask(fleet, f"{name}-{limit}", limit))
            for limit in ("900", "600")
            # A retry with the same time left is treated as the first try is.
            for name in ("new", "again")
        ]
        ample = ask(fleet, "new-ample", "6000")
    for limit, refused in short:
        assert refused.status == 503
        # It isn't invited to come back for a second refusal.
        assert float(refused.headers["Retry-After"]) >= int(limit) / 1000 - 0.1
    assert event_ids(ample.content) == [1, 2, 3, 4]
    refusals = fleet.log_records("room refused")
    asked = ["new-900", "again-900", "new-600", "again-600"]
    assert [record["request"] for record in refusals] == asked


def test_refused_request_is_served_when_it_returns_as_it_was_told(fleet):
    """Guards against a stream that waits at a full engine until its caller gives up,
    and against a time of return at which there is no room either."""
    with contextlib.ExitStack() as stack:
        fill(fleet, stack, waiting=8)
        refused = ask(fleet, "new", AMPLE)
        assert refused.status == 503
        seconds = float(refused.headers["Retry-After"])
        assert seconds < int(AMPLE) / 1000
        time.sleep(seconds)
        returned = ask(fleet, "back", str(int(AMPLE) - int(seconds * 1000)))
    assert event_ids(returned.content) == [1, 2, 3, 4]
    (record,) = fleet.log_records("room refused")
    assert record["request"] == "new"
    assert record["total"] == PLACES and record["streams"] == PLACES + 8


# Guards against a VM that refuses what it has room for, as it stood still for a moment
# during the only stream that it has seen, and so knows of no stream's time.
def test_vm_that_stood_still_during_its_only_stream_knows_its_time(tmp_path):
    with started_fleet(tmp_path, False) as fleet, contextlib.ExitStack() as stack:
        with concurrent.futures.ThreadPoolExecutor() as pool:
            first = pool.submit(fleet.request, RESUMABLE_PATH, "first", **KEY)
            wait_until(lambda: fleet.engines["d1"].runs)
            fleet.daemons["entry-1"].send_signal(signal.SIGSTOP)
            time.sleep(2 * MIN_GAP_SECONDS)
            fleet.daemons["entry-1"].send_signal(signal.SIGCONT)
            assert first.result().complete
        assert fleet.log_records("process stood still")
        fill(fleet, stack, waiting=8)
        assert not fleet.log_records("room refused")
