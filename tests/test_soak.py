"""A short soak of real daemons with one seed; longer ones run by hand."""

import pytest
import soak


@pytest.mark.parametrize("seed", [1])
def test_no_promise_is_broken_under_overlapping_faults(tmp_path, seed):
    """Connections break, daemons are paused and restarted, the store is away
    and instances misbehave, overlapping and in an order that the seed draws.
    Whatever clients get is their own and whole, what was promised not to have
    run has not, and requests are served again when it is over."""
    broken, outcomes = soak.play(tmp_path, seed, seconds=6.0, daemons=2)
    assert not broken
    assert any(outcome.status == 200 for outcome in outcomes)
