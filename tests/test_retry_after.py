"""An engine refuses requests and asks each VM for a pause.

The daemons are real processes; the store and the engines are stand-ins.
"""

import time

import pytest
from platform_fleet import IDEMPOTENT_PATH
from stated_fleet import (
    KINDS,
    VMS,
    busiest,
    send_round,
    send_until_arrival,
    started_fleet,
)

from mulberrydock.refusal import RETRY_SPREAD
from mulberrydock.standin.platform_engine import Fault

#: The pause that the engine asks for.
PAUSE_SECONDS = 3.0
#: From the refusal until the pause is in force, and requests that may reach the engine
#: from one VM in the rest of it.
NOTICE_SECONDS = 0.5
ALLOWED_REQUESTS = 2
#: Duration of the load, longer than two pauses.
LOAD_SECONDS = 7.0


@pytest.fixture
def fleet(tmp_path):
    with started_fleet(tmp_path) as running:
        yield running


def send_load(fleet, seconds):
    """Send requests of each kind by both daemons; return the set of their statuses."""
    statuses, number, end = set(), 0, time.monotonic() + seconds
    while time.monotonic() < end:
        number += 1
        for name in VMS:
            statuses.update(send_round(fleet, number, name))
    return statuses


def max_in_a_pause(engine, name):
    """Return the most requests of one VM that arrived within a pause after a refusal.

    Every arrival is refused and so begins a pause.
    """
    times = [
        at
        for request_id, at in zip(engine.arrived_ids, engine.arrival_times)
        if request_id.startswith(f"{name}/")
    ]
    return max(
        (
            sum(start + NOTICE_SECONDS < at < start + PAUSE_SECONDS for at in times)
            for start in times
        ),
        default=0,
    )


# Guards against a VM that sends to an overloaded engine again before the time that the
# engine asked for is over: the engine has to refuse each of these requests.
@pytest.mark.parametrize("kind", KINDS)
def test_engine_that_asks_for_a_pause_gets_no_requests_in_it(fleet, kind):
    engine = busiest(fleet, kind)
    engine.retry_after, engine.faults = PAUSE_SECONDS, [Fault.REFUSE] * 5000
    assert send_load(fleet, LOAD_SECONDS) == {200}
    assert engine.arrived_ids
    for name in VMS:
        assert max_in_a_pause(engine, name) <= ALLOWED_REQUESTS


# Guards against an engine that is avoided for ever because it once asked for a pause.
@pytest.mark.parametrize("kind", KINDS)
def test_engine_gets_requests_again_after_its_pause(fleet, kind):
    engine = busiest(fleet, kind)
    engine.retry_after, engine.faults = 1.0, [Fault.REFUSE]
    send_until_arrival(fleet, engine)
    assert engine.faults == []
    time.sleep(1.0)
    engine.arrived_ids.clear()
    send_until_arrival(fleet, engine, VMS)


# Guards against a request that waits for the only engines of its service, or is sent to
# them, although they asked for a pause, instead of being refused at once.
def test_request_is_refused_at_once_while_all_engines_ask_for_a_pause(fleet):
    engines = [fleet.engines[name] for name in KINDS["plain"]]
    for engine in engines:
        engine.retry_after, engine.faults = PAUSE_SECONDS, [Fault.REFUSE] * 5000
    started = time.monotonic()
    while time.monotonic() < started + 2 * PAUSE_SECONDS:
        asked = time.monotonic()
        response = fleet.request(IDEMPOTENT_PATH, f"entry-1/{time.monotonic()}")
        assert response.status == 503
        seconds = float(response.getheader("Retry-After"))
        # It is rounded to a tenth of a second.
        assert 0 <= seconds <= PAUSE_SECONDS * (1 + RETRY_SPREAD) + 0.05
        # No client is told to return before the first pause ends.
        assert asked + seconds > started + PAUSE_SECONDS - 0.2
        time.sleep(0.02)
    for engine in engines:
        assert max_in_a_pause(engine, "entry-1") <= ALLOWED_REQUESTS
