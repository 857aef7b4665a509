"""An engine declares a rate limit, which all entry VMs together must respect.

The daemons are real processes; the store and the engines are stand-ins.
"""

import time

import pytest
from platform_fleet import RESUMABLE_PATH, STREAM_PATH, PlatformFleet, config, route

#: The rate limit that the overloaded engine declares.
LIMIT_PER_SECOND = 1.0
#: Duration of the load.
LOAD_SECONDS = 8.0
#: The contact time: from the first response with the limit until all VMs apply it.
CONTACT_SECONDS = 2.2
#: The window in which arrivals are counted, and the requests allowed in it beyond one
#: and a half times the limit.
WINDOW_SECONDS = 4.0
EXTRA_REQUESTS = 5
VMS = ("entry-1", "entry-2", "entry-3")
ROUTES = [
    route(RESUMABLE_PATH, "streaming", "llm", resumable=True, target_gap_ms=300),
    route(STREAM_PATH, "streaming", "llm", max_attempts=1, target_gap_ms=300),
]


@pytest.fixture
def fleet(tmp_path):
    """A pool of two decode engines and one prefill engine, with three daemons."""
    running = PlatformFleet(tmp_path)
    running.write("op/config", config(3, ROUTES))
    for instance_id, stage in ("d1", "decode"), ("d2", "decode"), ("p1", "prefill"):
        running.add_instance(instance_id, "llm", stage)
    for name in VMS:
        running.start(name)
    try:
        for name in VMS:
            running.wait_ready(name)
        yield running
    finally:
        running.stop()


def max_in_a_window(moments):
    """Return the highest number of the moments that lie in one window."""
    return max(
        sum(start <= moment < start + WINDOW_SECONDS for moment in moments)
        for start in moments
    )


# Guards against a limit that each entry VM ignores, or applies by itself: the engine
# then gets many times what it can take.
@pytest.mark.parametrize(
    ("limited", "tokens"),
    [("d1", "100,10"), ("p1", "30000,10")],
    ids=["decode", "prefill"],
)
def test_fleet_respects_the_rate_limit_of_an_engine(fleet, limited, tokens):
    engine = fleet.engines[limited]
    engine.rate_limit = LIMIT_PER_SECOND
    first = time.monotonic()
    number = 0
    while time.monotonic() - first < LOAD_SECONDS:
        name = VMS[number % len(VMS)]
        headers = {"X-Mulberrydock-Token-Counts": tokens}
        prefix = (RESUMABLE_PATH, STREAM_PATH)[number // len(VMS) % 2]
        response = fleet.request(prefix, f"r{number}", name=name, **headers)
        assert response.status in (200, 503)
        number += 1
        time.sleep(0.03)
    counted = [at for at in engine.arrival_times if at - first > CONTACT_SECONDS]
    assert counted
    assert (
        max_in_a_window(counted)
        <= 1.5 * LIMIT_PER_SECOND * WINDOW_SECONDS + EXTRA_REQUESTS
    )
