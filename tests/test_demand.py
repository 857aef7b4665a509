"""Demand for a pool, measured by all VMs together."""

import pytest

from mulberrydock.demand import (
    AVERAGING_SECONDS,
    PEER_EXPIRY_SECONDS,
    Demand,
    DemandMeter,
)


def steady(meter, rate, begin, seconds):
    """Record ``rate`` requests a second, each of 1,000 tokens."""
    for number in range(int(rate * seconds)):
        meter.record(Demand(1000.0, 1200.0, 1.0), begin + number / rate)


def test_steady_demand_is_measured():
    """Guards against a biased average: the meter shows ten requests a second after a
    few time constants."""
    meter = DemandMeter()
    steady(meter, 10, 0.0, 5 * AVERAGING_SECONDS)
    asked = meter.own(5 * AVERAGING_SECONDS)
    assert asked.prefill_work == pytest.approx(10_000, rel=0.1)
    assert asked.streams == pytest.approx(10, rel=0.1)


@pytest.mark.parametrize(("after", "least", "most"), [(0.25, 12, 20), (3, 36, 42)])
def test_shift_shows_within_a_few_time_constants(after, least, most):
    """Guards against a meter that follows a lasting fourfold rate too late, or follows
    a swing of a second."""
    meter = DemandMeter()
    steady(meter, 10, 0.0, 20.0)
    steady(meter, 40, 20.0, after * AVERAGING_SECONDS)
    assert least <= meter.own(20.0 + after * AVERAGING_SECONDS).streams <= most


def test_demand_of_a_peer_expires():
    """Guards against clients that are counted twice after a VM dies and they connect to
    another one."""
    meter = DemandMeter()
    meter.apply_update("entry-2", Demand(500.0, 600.0, 5.0), 10.0)
    assert meter.total(10.0 + PEER_EXPIRY_SECONDS).streams == 5.0
    assert meter.total(10.1 + PEER_EXPIRY_SECONDS).streams == 0.0
    assert DemandMeter().total(5.0) == Demand()
