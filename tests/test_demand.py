"""What clients ask of a pool, measured by all VMs together."""

import pytest

from mulberrydock.demand import AVERAGE_SECONDS, PEER_SECONDS, Demand, DemandMeter


def steady(meter, rate, begin, seconds):
    """Let ``rate`` requests a second arrive, each of 1,000 tokens."""
    for number in range(int(rate * seconds)):
        meter.record(Demand(1000.0, 1200.0, 1.0), begin + number / rate)


def test_steady_demand_is_measured():
    """Ten requests arrive each second. After a few averages the meter says so."""
    meter = DemandMeter()
    steady(meter, 10, 0.0, 5 * AVERAGE_SECONDS)
    asked = meter.own(5 * AVERAGE_SECONDS)
    assert asked.prefill_work == pytest.approx(10_000, rel=0.1)
    assert asked.streams == pytest.approx(10, rel=0.1)


@pytest.mark.parametrize(("after", "least", "most"), [(0.25, 12, 20), (3, 36, 42)])
def test_a_shift_shows_within_a_few_averages(after, least, most):
    """The rate grows fourfold and stays there. The meter follows within seconds,
    not at once: a swing of a second is no shift."""
    meter = DemandMeter()
    steady(meter, 10, 0.0, 20.0)
    steady(meter, 40, 20.0, after * AVERAGE_SECONDS)
    assert least <= meter.own(20.0 + after * AVERAGE_SECONDS).streams <= most


def test_peers_count_while_they_are_heard():
    """Two VMs see half of the clients each; then one of them dies. Its part
    counts for a moment and is gone then, as its clients come to the other."""
    meter = DemandMeter()
    meter.apply_update("entry-2", Demand(500.0, 600.0, 5.0), 10.0)
    assert meter.total(10.0 + PEER_SECONDS).streams == 5.0
    assert meter.total(10.1 + PEER_SECONDS).streams == 0.0
    assert DemandMeter().total(5.0) == Demand()
