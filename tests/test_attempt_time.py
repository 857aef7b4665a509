"""How long an attempt may be silent before another instance is tried."""

import math

import hypothesis
import hypothesis.strategies as st
import pytest

from mulberrydock.attempt_time import (
    WAIT_ERROR,
    event_gap_seconds,
    first_event_seconds,
    response_seconds,
)

SECONDS = st.floats(0, 60)
ATTEMPTS = st.integers(2, 5)


# Guards against a silent engine that is waited for until its client gives up, and
# against one that is given up while the prompt is still expected to wait there.
@pytest.mark.parametrize(
    ("patience", "wait", "attempts", "seconds"),
    [
        pytest.param(2.4, 0.2, 2, 1.2, id="half"),
        pytest.param(9.6, 0.2, 2, 4.8, id="patient-client"),
        pytest.param(2.4, 0.0, 4, 0.6, id="more-attempts"),
        pytest.param(0.4, 0.1, 2, 0.2, id="little-time-left"),
        pytest.param(2.4, 0.7, 2, 2.4, id="no-time-for-another"),
        pytest.param(2.4, 0.5, 5, 1.2, id="time-for-one-more"),
        pytest.param(2.4, 3.0, 2, 3.0, id="expected-late"),
        pytest.param(-1.0, 0.5, 2, 0.5, id="client-gave-up"),
    ],
)
def test_time_to_the_first_event(patience, wait, attempts, seconds):
    assert first_event_seconds(patience, wait, attempts) == pytest.approx(seconds)


# Guards against a running stream that is cut for a pause which its client would bear,
# and against a plain call that waits for a lost answer until its time is over.
@pytest.mark.parametrize(
    ("found", "seconds"),
    [
        pytest.param(event_gap_seconds(2.4, 8.0, 2), 1.2, id="gap"),
        pytest.param(event_gap_seconds(2.4, 1.0, 2), 0.5, id="gap-at-the-end"),
        pytest.param(event_gap_seconds(math.inf, 8.0, 2), 4.0, id="gap-any"),
        pytest.param(response_seconds(1.0, 0.0, 2), 0.5, id="nothing-known"),
        pytest.param(response_seconds(30.0, 0.045, 2), 0.45, id="usually-quick"),
        pytest.param(response_seconds(1.0, 0.2, 2), 0.5, id="usually-slow"),
        pytest.param(response_seconds(30.0, 0.002, 2), 0.25, id="very-quick"),
        pytest.param(response_seconds(0.3, 0.002, 2), 0.15, id="quick-no-time"),
    ],
)
def test_time_to_further_events_and_plain_responses(found, seconds):
    assert found == pytest.approx(seconds)


@hypothesis.given(patience=SECONDS, wait=SECONDS, attempts=ATTEMPTS)
def test_each_attempt_left_gets_its_share(patience, wait, attempts):
    """Guards against a first attempt that leaves the later ones no time."""
    hypothesis.assume(WAIT_ERROR * wait * attempts < 0.999 * patience)
    left = patience
    for remaining in range(attempts, 0, -1):
        left -= first_event_seconds(left, wait, remaining)
    assert left == pytest.approx(0.0, abs=1e-6)
