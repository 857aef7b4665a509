"""An engine declares a rate limit: what all entry VMs together send it.

Real daemon processes; the store and the engines are our stand-ins.
"""

import time

import pytest
from platform_fleet import RESUMABLE_PATH, STREAM_PATH, PlatformFleet, config, route

#: Requests a second that the overloaded engine takes, and seconds of the test.
LIMIT = 1.0
SECONDS = 8.0
#: Seconds from the first answer with it until it is kept, the contact time.
CONTACT_SECONDS = 2.2
#: Seconds of a window, and requests in it beyond one and a half times the limit.
WINDOW_SECONDS = 4.0
SLACK = 5
VMS = ("entry-1", "entry-2", "entry-3")
ROUTES = [
    route(RESUMABLE_PATH, "streaming", "llm", resumable=True, target_gap_ms=300),
    route(STREAM_PATH, "streaming", "llm", max_attempts=1, target_gap_ms=300),
]


@pytest.fixture
def fleet(tmp_path):
    """A pool of two decode engines and one that prefills, three daemons."""
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


def most_in_a_window(moments):
    """Return the most of the moments that lie in any one window."""
    return max(
        sum(start <= moment < start + WINDOW_SECONDS for moment in moments)
        for start in moments
    )


# Guards against a limit that each entry VM ignores, or keeps on its own: the engine
# then gets many times what it takes.
@pytest.mark.parametrize(
    ("limited", "tokens"),
    [("d1", "100,10"), ("p1", "30000,10")],
    ids=["decode", "prefill"],
)
def test_fleet_keeps_the_limit_of_an_engine(fleet, limited, tokens):
    engine = fleet.engines[limited]
    engine.rate_limit = LIMIT
    first = time.monotonic()
    number = 0
    while time.monotonic() - first < SECONDS:
        name = VMS[number % len(VMS)]
        headers = {"X-Mulberrydock-Token-Counts": tokens}
        prefix = (RESUMABLE_PATH, STREAM_PATH)[number // len(VMS) % 2]
        answer = fleet.request(prefix, f"r{number}", name=name, **headers)
        assert answer.status in (200, 503)
        number += 1
        time.sleep(0.03)
    counted = [at for at in engine.arrival_times if at - first > CONTACT_SECONDS]
    assert counted
    assert most_in_a_window(counted) <= 1.5 * LIMIT * WINDOW_SECONDS + SLACK
