"""A short soak test of real daemons with one seed; longer ones are run by hand."""

import random
import signal
import types

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


# Guards against a soak that blames a VM for requests which it had sent before it was
# told of the pause, as the stand-ins stood still, and against one that excuses more.
@pytest.mark.parametrize(
    ("standstills", "arrives_after", "blamed"),
    [
        ([], 0.4, False),
        ([], 0.6, True),
        ([(0.02, 0.56)], 0.57, False),
        ([(-0.3, 0.2), (0.3, 0.5)], 0.85, False),
        ([(-0.3, 0.2), (0.3, 0.5)], 0.95, True),
        ([(0.02, 0.56)], 1.1, True),
        ([(0.7, 1.3)], 1.31, True),
    ],
)
def test_pause_is_in_force_once_the_stand_ins_have_run(
    monkeypatch, standstills, arrives_after, blamed
):
    ids = [f"r{number}" for number in range(soak.MAX_SENDS_IN_A_PAUSE + 1)]
    engine = types.SimpleNamespace(
        id="i1",
        listen_address="127.0.0.1:1",
        arrived_ids=ids,
        arrival_times=[100 + arrives_after] * len(ids),
        refusals=[(ids[0], 100, 2.0)],
    )
    fleet = types.SimpleNamespace(engines={"i1": engine})
    run = soak.Soak(fleet, 1, 1, random.Random(1), random.Random(1))
    run.outcomes = [soak.Outcome(name, soak.RESUMABLE_PATH, b"") for name in ids]
    run.standstills = [(100 + start, 100 + end) for start, end in standstills]
    senders = {(name, "i1"): {"entry-0"} for name in ids}
    monkeypatch.setattr(soak.Soak, "_senders", lambda run: senders)
    expected = [f"BUDGET: {len(ids)} of entry-0 in a pause of i1"] if blamed else []
    assert list(run._pause_violations()) == expected
