"""When a silent instance is given up by a VM whose process stood still meanwhile."""

import pytest

from mulberrydock.sends import ProgressTimeouts

FIRST_SECONDS = 1.2
GAP_SECONDS = 0.6


def timeouts(catch_up_until):
    return ProgressTimeouts(
        FIRST_SECONDS,
        GAP_SECONDS,
        may_abandon=lambda: True,
        catch_up_seconds=lambda now: max(0.0, catch_up_until - now),
    )


# Guards against silence that is concluded from answers which lie unread, and against an
# instance that is silent and never given up.
@pytest.mark.parametrize(
    ("last_progress", "catch_up_until", "now", "left"),
    [
        pytest.param(None, 0.0, 1.0, 0.2, id="no-answer-yet"),
        pytest.param(0.9, 0.0, 1.0, 0.5, id="between-events"),
        pytest.param(None, 0.0, 1.5, 0.0, id="silent"),
        pytest.param(None, 1.7, 1.5, 0.2, id="silent-while-much-is-unread"),
        pytest.param(0.5, 1.7, 1.5, 0.2, id="no-event-while-much-is-unread"),
        pytest.param(0.5, 1.7, 1.8, 0.0, id="silent-once-all-is-read"),
        pytest.param(None, 1.3, 1.0, 0.2, id="in-time-while-much-is-unread"),
    ],
)
def test_silence_is_concluded_from_what_was_read(
    last_progress, catch_up_until, now, left
):
    seconds = timeouts(catch_up_until).seconds_left(0.0, last_progress, now)
    assert seconds == pytest.approx(left)
