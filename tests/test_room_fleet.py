"""Requests for room at a daemon whose decode engine has no free place.

The engine and the store are stand-ins, the daemon is a real process.
"""

import contextlib

import pytest
from platform_fleet import (
    RESUMABLE_PATH,
    PlatformFleet,
    config,
    event_ids,
    send,
    wait_until,
)

#: Places of the only decode engine.
PLACES = 4
#: Seconds between two of the four events of a stream.
EVENT_INTERVAL_SECONDS = 0.5
#: Milliseconds that a client gives its first attempt, the route's timeout, and those
#: that are left when it comes back.
FIRST_LIMIT, LEFT_AFTER_RETURN = "4000", "2900"
#: A team whose priority competes with those of others, and the key of its requests.
TEAM = {"name": "team", "api_keys": ["key"], "priority": 1}
KEY = {"Authorization": "Bearer key"}


@pytest.fixture(params=[True])
def fleet(request, tmp_path):
    """A daemon with one engine; the parameter says whether it has a team."""
    fleet = PlatformFleet(tmp_path)
    document = config(1)
    if request.param:
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


def fill(fleet, stack):
    """Send two requests more than the engine has places."""
    for n in range(PLACES + 2):
        connection = stack.enter_context(contextlib.closing(fleet.connect()))
        headers = {"X_Mulberrydock_Deadline_Ms": LEFT_AFTER_RETURN} | KEY
        send(connection, RESUMABLE_PATH, f"busy-{n}", **headers)
    wait_until(lambda: len(fleet.engines["d1"].runs) == PLACES + 3)


@pytest.mark.parametrize("fleet", [False], indirect=True)
def test_without_priorities_of_teams_the_queue_for_places_decides_nothing(fleet):
    """Guards against a pool of equal callers in which all wait until all are late, or
    the most urgent are refused."""
    fleet.request(RESUMABLE_PATH, "first")
    with contextlib.ExitStack() as stack:
        fill(fleet, stack)
        answered = fleet.request(
            RESUMABLE_PATH, "new", X_Mulberrydock_Deadline_Ms=FIRST_LIMIT
        )
    assert event_ids(answered.content) == [1, 2, 3, 4]
    assert not fleet.log_records("room refused")


def test_request_beyond_the_places_is_refused_once_and_then_served(fleet):
    """Guards against a stream that waits at a full engine until it is late, and against
    one that is refused again when it comes back as it was told to."""
    # The daemon learns for how long a stream holds its place.
    fleet.request(RESUMABLE_PATH, "first", **KEY)
    with contextlib.ExitStack() as stack:
        fill(fleet, stack)
        refused = fleet.request(
            RESUMABLE_PATH, "new", X_Mulberrydock_Deadline_Ms=FIRST_LIMIT, **KEY
        )
        assert refused.status == 503
        assert 1.0 <= float(refused.headers["Retry-After"]) <= int(FIRST_LIMIT) / 3000
        returned = fleet.request(
            RESUMABLE_PATH, "back", X_Mulberrydock_Deadline_Ms=LEFT_AFTER_RETURN, **KEY
        )
    assert event_ids(returned.content) == [1, 2, 3, 4]
    (record,) = fleet.log_records("room refused")
    assert record["request"] == "new" and not record["returned"]
    assert record["total"] == PLACES and record["streams"] == PLACES + 2
