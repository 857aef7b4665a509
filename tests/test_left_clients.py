"""Clients that have left while a VM stood still, with their requests in its sockets."""

import signal
import time

import pytest
from platform_fleet import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    PlatformFleet,
    config,
    send,
    wait_until,
)

PATHS = (RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH)
REQUESTS = 5
#: Seconds after a client's request until it leaves.
STAY_SECONDS = 0.05


@pytest.fixture
def fleet(tmp_path):
    running = PlatformFleet(tmp_path)
    try:
        running.write("op/config", config(3))
        running.add_instance("d1", "llm", "decode")
        running.add_instance("a1", "app")
        running.start()
        running.wait_ready()
        yield running
    finally:
        running.stop()


# Guards against requests that a VM sends to instances as it wakes, although their
# clients have left: these have retried elsewhere.
@pytest.mark.parametrize("path", PATHS)
def test_request_of_a_client_that_left_during_a_pause_is_not_sent(fleet, path):
    process = fleet.daemons["entry-1"]
    process.send_signal(signal.SIGSTOP)
    for number in range(REQUESTS):
        connection = fleet.connect()
        send(connection, path, f"left-{number}")
        time.sleep(STAY_SECONDS)
        connection.close()
    staying = fleet.connect()
    send(staying, path, "stays")
    process.send_signal(signal.SIGCONT)
    assert staying.getresponse().status == 200
    event = "client left before its request was read"
    wait_until(lambda: len(fleet.log_records(event)) == REQUESTS)
    ran = {run.id for engine in fleet.engines.values() for run in engine.runs}
    assert ran == {"stays"}
