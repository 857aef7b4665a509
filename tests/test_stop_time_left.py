"""The decision whether a request can still end at a stopping VM, without a network."""

import math

import pytest

from mulberrydock.stopping import RequestsInProgress, TimeLeft
from mulberrydock.stopping.response_times import SPAN_SECONDS, ResponseTimes


# Guards against a request that is taken although it will be cut, and against one that
# is refused although it can end: by its own limit, by what is known of its service or
# by what lies before it.
@pytest.mark.parametrize(
    ("vm", "limit", "expected", "planned", "is_enough"),
    [
        (math.inf, 20.0, None, 0.0, True),
        (5.0, 4.0, None, 0.0, True),
        (5.0, 4.0, 9.0, 9.0, True),
        (5.0, 20.0, None, 0.0, False),
        (5.0, 20.0, 4.9, 0.0, True),
        (5.0, 20.0, 5.1, 0.0, False),
        (5.0, 20.0, 1.0, 5.1, False),
        (5.0, 20.0, 1.0, math.inf, False),
        (-1.0, 20.0, 0.0, 0.0, False),
    ],
)
def test_request_is_taken_if_it_can_end(vm, limit, expected, planned, is_enough):
    assert TimeLeft(vm, limit, expected, planned).is_enough is is_enough


# Guards against times that are expected from none, few or outdated responses.
@pytest.mark.parametrize(
    ("rows", "now", "expected"),
    [
        ([], 0.0, None),
        ([(1.0, 0.0)], 1.0, 2.0),
        ([(4.0, 0.0), (1.0, 0.5), (1.0, 1.0), (1.0, 1.5)], 2.0, 5.0),
        ([(4.0, 0.0), (1.0, SPAN_SECONDS + 1)], SPAN_SECONDS + 1, 6.0),
        ([(4.0, 0.0), (1.0, 2 * SPAN_SECONDS)], 2 * SPAN_SECONDS, 2.0),
        ([(4.0, 0.0)], 2 * SPAN_SECONDS, None),
    ],
)
def test_expected_time_follows_the_slowest_recent_response(rows, now, expected):
    times = ResponseTimes(0.0)
    for seconds, at in rows:
        times.record(seconds, at)
    assert times.expected(now) == expected


class Lifecycle:
    """A request that is being served."""

    def __init__(self, service, arrived):
        self.service, self.request = service, self
        self.arrived = arrived


# Guards against a request that is taken for a service whose other requests have been
# running for longer than any that has ended.
def test_requests_that_still_run_count():
    requests = RequestsInProgress()
    own = Lifecycle("llm", 0.0)
    requests.lifecycles = {own, Lifecycle("llm", 3.0), Lifecycle("app", 1.0)}
    assert requests.expected_seconds("llm", own, 9.0) is None
    requests.record_response("llm", 1.0, 9.0)
    assert requests.expected_seconds("llm", own, 9.0) == 6.0
    assert requests.expected_seconds("app", own, 9.0) is None
