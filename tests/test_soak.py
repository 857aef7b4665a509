"""A short soak test of real daemons with one seed; longer ones are run by hand."""

import signal

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


def test_every_request_is_answered_without_faults(tmp_path):
    """A VM hangs for good although no fault is injected."""
    violations, outcomes = soak.run_soak(
        tmp_path, seed=1, seconds=15.0, daemons=3, faults=False
    )
    assert not violations
    assert any(outcome.status == 200 for outcome in outcomes)


def test_soak_finds_a_daemon_that_answers_nothing(tmp_path):
    """The soak passes while a VM that is up leaves its requests without an answer."""
    run = soak.Soak.from_seed(tmp_path, seed=1, daemons=1)
    process = run.fleet.daemons["entry-0"]
    ids = ["b1", "b2", "b3"]
    try:
        process.send_signal(signal.SIGSTOP)
        run._send_burst("entry-0", ids)
        violations = run.find_violations()
    finally:
        process.send_signal(signal.SIGCONT)
        run.fleet.stop()
    expected = [f"LOST: {name} got no answer from entry-0" for name in ids]
    assert sorted(violations) == [*expected, "LOST: no request was served"]
