"""A short soak test of real daemons with one seed; longer ones are run by hand."""

import pytest
import soak


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_guarantee_is_violated_under_overlapping_faults(tmp_path, seed):
    """Connections break, daemons are paused and restarted, the store is unavailable and
    instances misbehave, overlapping and in an order that the seed decides. Each client
    must get its own, complete responses; requests reported as not run must not have
    run; and requests must be served again after the faults.
    """
    violations, outcomes = soak.run_soak(tmp_path, seed, seconds=15.0, daemons=3)
    assert not violations
    assert any(outcome.status == 200 for outcome in outcomes)
