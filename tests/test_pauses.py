"""When a process counts as having stood still, and until when it reads what came."""

import pytest

from mulberrydock.pauses import CATCH_UP_SECONDS, MIN_GAP_SECONDS, Pauses

#: Seconds between two observations of a process that runs.
INTERVAL_SECONDS = 0.25
#: Seconds for which it then stood still.
PAUSE_SECONDS = 1.2


def observed(gap, suspended=False):
    """Return pauses whose next observation comes after ``gap`` seconds, and its time.

    :param suspended: whether the monotonic clock stood still meanwhile.
    """
    pauses = Pauses()
    now = boot = 0.0
    for seconds in (INTERVAL_SECONDS, INTERVAL_SECONDS, gap):
        pauses.observe(now, boot)
        now += INTERVAL_SECONDS if suspended and seconds == gap else seconds
        boot += seconds
    return pauses, now, boot


# Guards against a pause that is noticed only once the next regular observation is due.
@pytest.mark.parametrize("suspended", [False, True], ids=["stopped", "suspended"])
def test_pause_is_noticed_by_whoever_asks_first(suspended):
    pauses, now, boot = observed(PAUSE_SECONDS, suspended)
    assert pauses.catch_up_seconds(now, boot) == pytest.approx(CATCH_UP_SECONDS)
    assert pauses.has_paused(now - 0.1, now, boot)
    assert pauses.lasted == pytest.approx(PAUSE_SECONDS)


# Guards against a VM that never again trusts what it has read.
def test_pause_is_over_once_what_came_is_read():
    pauses, now, boot = observed(PAUSE_SECONDS)
    pauses.observe(now, boot)
    end = now + CATCH_UP_SECONDS
    for _ in range(4):
        now, boot = now + INTERVAL_SECONDS, boot + INTERVAL_SECONDS
        pauses.observe(now, boot)
    assert now >= end
    assert pauses.catch_up_seconds(now, boot) == 0
    assert not pauses.has_paused(end, now, boot)


# Guards against a busy process that counts as having stood still all the time.
def test_late_observation_is_no_pause():
    pauses, now, boot = observed(MIN_GAP_SECONDS - 0.01)
    assert pauses.catch_up_seconds(now, boot) == 0
    assert not pauses.has_paused(0.0, now, boot)
