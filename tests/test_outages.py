"""When a service without an instance is expected to have one again."""

import pytest

from mulberrydock.outages import UNKNOWN_OUTAGE_SECONDS, Outages


def outages(*lengths):
    """Return the outages of a service of which so many have ended, a minute apart."""
    known = Outages()
    for n, seconds in enumerate(lengths):
        known.record("llm", True, 60.0 * n)
        known.record("llm", False, 60.0 * n + seconds)
    return known


# Guards against clients that are told a fixed time and are refused again, as the
# engines here take longer to come back.
@pytest.mark.parametrize(
    ("lengths", "lasted", "seconds"),
    [
        pytest.param((), 0.0, UNKNOWN_OUTAGE_SECONDS, id="nothing-known"),
        pytest.param((), 6.0, 6.0, id="nothing-known-lasts"),
        pytest.param((4.0,), 0.0, 4.0, id="as-the-last-one"),
        pytest.param((4.0,), 1.0, 3.0, id="part-is-over"),
        pytest.param((4.0,), 5.0, 5.0, id="longer-than-the-last-one"),
        pytest.param((4.0, 8.0), 0.0, 5.2, id="average"),
    ],
)
def test_end_is_expected_from_earlier_outages(lengths, lasted, seconds):
    known = outages(*lengths)
    known.record("llm", True, 1000.0)
    known.record("llm", True, 1000.0 + lasted)
    assert known.seconds_left("llm", 1000.0 + lasted) == pytest.approx(seconds)


def test_services_have_outages_of_their_own():
    """Guards against the restart of a pool that is taken for that of another one."""
    known = outages(4.0)
    known.record("app", True, 1000.0)
    assert known.seconds_left("app", 1000.0) == UNKNOWN_OUTAGE_SECONDS
