"""Who is refused at once under a burst, and when clients come back."""

import pytest

from mulberrydock import refusal
from mulberrydock.placement import Plan


@pytest.mark.parametrize(
    ("wait", "reading", "left", "seconds"),
    [
        # In time, or perhaps in time: waits are rarely over twice the estimate.
        (0.3, 0.1, 10.0, None),
        (4.7, 0.1, 10.0, None),
        # Its client leaves after 2.4 s: it comes back when the queue is short,
        # but no later than a client still does.
        (5.0, 0.1, 10.0, 3.0),
        (5.0, 0.1, 20.0, 3.8),
        # Late by its own length: another time is no better.
        (9.0, 6.0, 10.0, None),
        # Little time left: patience can't be longer than that.
        (1.1, 0.1, 0.5, 0.15),
    ],
)
def test_stream_is_refused_when_its_client_would_have_left(
    wait, reading, left, seconds
):
    """Three letters of 50,000 tokens wait at the last prefill engine. The next
    one would be read after its client has left; told so at once, the client
    comes back to a shorter queue."""
    plan = Plan(None, None, 0, wait, reading)
    assert refusal.hopeless(plan, 2.4, left) == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("found", "left", "seconds"),
    [
        (True, 8.0, 0.5),
        (False, 30.0, 3.0),
        (False, 8.0, 2.4),
        (False, 2.0, 0.6),
        (False, -1.0, 0.0),
    ],
)
def test_time_to_come_back(found, left, seconds):
    """The last decode engine leaves and another is changed to take its place,
    which takes 3 s. A client that comes back after half a second is refused
    again and gives up."""
    assert refusal.come_back(found, left) == pytest.approx(seconds)
