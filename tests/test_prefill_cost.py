"""Estimates of how long a pool takes to prefill prompts."""

import random

import pytest

from mulberrydock.estimates import FleetEstimates
from mulberrydock.prefill_cost import (
    MAX_SAMPLES,
    TOKEN_SECONDS_BOUNDS,
    PrefillCost,
    PrefillCostModel,
)


def prompts(rng, count):
    """Return (tokens, cached) of a mix of short prompts and long documents."""
    short = [(int(rng.lognormvariate(7, 0.7)), 350) for _ in range(count)]
    long = [(int(rng.lognormvariate(8.2, 0.9)), 13_000) for _ in range(count)]
    return [row for pair in zip(short, long) for row in pair]


def seconds(cost, tokens, cached):
    """Return the seconds that an engine with this cost takes."""
    return cost.overhead + cost.seconds(cost.work(tokens, cached))


@pytest.mark.parametrize("token_seconds", [2e-6, 1e-5, 2e-5, 1e-4])
@pytest.mark.parametrize("unreported_waits", [0.0, 0.5])
def test_cost_is_found_within_seconds_of_traffic(token_seconds, unreported_waits):
    """Guards against estimates that are far off for a pool of unknown engines: after
    thirty prompts, half of which waited behind unreported prompts of other VMs, the
    error is within two fifths, whatever the engines' speed."""
    rng = random.Random(7)
    truth = PrefillCost(0.015, token_seconds, token_seconds * 2e-5)
    model = PrefillCostModel()
    for number, (tokens, cached) in enumerate(prompts(rng, 15)):
        took = seconds(truth, tokens, cached)
        if rng.random() < unreported_waits:
            took += rng.expovariate(1 / (8000 * token_seconds))
        model.record(tokens, cached, took, number * 0.1)
    for tokens, cached in ((1500, 300), (4000, 13_000), (30_000, 0)):
        found = seconds(model.cost, tokens, cached)
        assert found == pytest.approx(seconds(truth, tokens, cached), rel=0.4)


def test_cost_follows_replaced_engines():
    """Guards against old samples that dominate the estimate after all engines were
    replaced by slower ones: they count for no longer than their maximum age."""
    rng = random.Random(3)
    model = PrefillCostModel()
    for number, (tokens, cached) in enumerate(prompts(rng, 40)):
        cost = PrefillCost(0.01, 1e-5, 2e-10)
        model.record(tokens, cached, seconds(cost, tokens, cached), number * 0.1)
    slow = PrefillCost(0.01, 3e-5, 6e-10)
    for number, (tokens, cached) in enumerate(prompts(rng, MAX_SAMPLES // 2)):
        model.record(tokens, cached, seconds(slow, tokens, cached), 60 + number * 0.1)
    assert model.cost.token == pytest.approx(slow.token, rel=0.2)


@pytest.mark.parametrize(
    ("tokens", "took"), [(0, 0.1), (100, 0.0), (-5, 1.0), (1, 900.0), (10**6, 1e-6)]
)
def test_implausible_samples_leave_a_plausible_cost(tokens, took):
    """Guards against an estimate outside the bounds of any engine, from responses that
    come at once, for no tokens, or after minutes."""
    model = PrefillCostModel()
    for number in range(MAX_SAMPLES):
        model.record(tokens, 0, took, number * 0.1)
    low, high = TOKEN_SECONDS_BOUNDS
    assert low <= model.cost.token <= high
    assert model.cost.overhead >= 0 and model.cost.pair >= 0


def test_vm_without_samples_uses_the_median_of_its_peers():
    """Guards against a restarted VM that estimates by the prior until it has samples of
    its own, and against one peer that is far off and shifts the estimate."""
    model = PrefillCostModel()
    for peer, token in (("a", 2e-5), ("b", 2.1e-5), ("c", 9e-4)):
        model.apply_update(peer, PrefillCost(0.01, token, token * 2e-5))
    assert model.cost.token == pytest.approx(2.1e-5)


@pytest.mark.parametrize(
    "told", [(0.0, 2e-5, 0.0), (0.0, 1e-6, 4e-10), (float("nan"), 2e-5, 1e-10)]
)
def test_fit_with_a_degenerate_prior_from_a_peer(told):
    """Guards against an error in the fit of the first own sample, which would end the
    request without a response although its prompt was prefilled: the cost that a peer
    reported has no overhead, no cost of context, or is no number."""
    model = PrefillCostModel()
    model.apply_update("a", PrefillCost(*told))
    for number in range(40):
        model.record(3000, 500, 0.07, number * 0.1)
    assert seconds(model.cost, 3000, 500) == pytest.approx(0.07, rel=0.5)


def test_each_pool_has_its_own_cost():
    """Guards against samples of one model's pool that change the estimate for the pool
    of another model."""
    estimates = FleetEstimates(lambda instance_id: 1000)
    for number in range(20):
        estimates.pool("large").cost_model.record(5000, 0, 0.5, number * 0.1)
    assert estimates.pool("small").cost_model.cost == PrefillCost()
    assert estimates.pool("large").cost_model.cost.token > PrefillCost().token
