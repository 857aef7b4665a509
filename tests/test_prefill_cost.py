"""What a VM learns of how fast a pool reads prompts."""

import random

import pytest

from mulberrydock.estimates import FleetEstimates
from mulberrydock.prefill_cost import (
    SAMPLES_KEPT,
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
    """Return what an engine of that cost takes."""
    return cost.overhead + cost.seconds(cost.work(tokens, cached))


@pytest.mark.parametrize("token_seconds", [2e-6, 1e-5, 2e-5, 1e-4])
@pytest.mark.parametrize("unseen_waits", [0.0, 0.5])
def test_speed_is_found_within_seconds_of_traffic(token_seconds, unseen_waits):
    """A pool of unknown engines gets its first prompts. After thirty of them,
    half of which waited behind prompts that other VMs had sent a moment before,
    the time of the next is known within two fifths, whatever the engines' speed."""
    rng = random.Random(7)
    truth = PrefillCost(0.015, token_seconds, token_seconds * 2e-5)
    speed = PrefillCostModel()
    for number, (tokens, cached) in enumerate(prompts(rng, 15)):
        took = seconds(truth, tokens, cached)
        if rng.random() < unseen_waits:
            took += rng.expovariate(1 / (8000 * token_seconds))
        speed.record(tokens, cached, took, number * 0.1)
    for tokens, cached in ((1500, 300), (4000, 13_000), (30_000, 0)):
        found = seconds(speed.cost, tokens, cached)
        assert found == pytest.approx(seconds(truth, tokens, cached), rel=0.4)


def test_speed_follows_a_pool_that_is_replaced():
    """All engines are replaced by slower ones. The old samples don't hold the
    estimate back for longer than they are kept."""
    rng = random.Random(3)
    speed = PrefillCostModel()
    for number, (tokens, cached) in enumerate(prompts(rng, 40)):
        cost = PrefillCost(0.01, 1e-5, 2e-10)
        speed.record(tokens, cached, seconds(cost, tokens, cached), number * 0.1)
    slow = PrefillCost(0.01, 3e-5, 6e-10)
    for number, (tokens, cached) in enumerate(prompts(rng, SAMPLES_KEPT // 2)):
        speed.record(tokens, cached, seconds(slow, tokens, cached), 60 + number * 0.1)
    assert speed.cost.token == pytest.approx(slow.token, rel=0.2)


@pytest.mark.parametrize(
    ("tokens", "took"), [(0, 0.1), (100, 0.0), (-5, 1.0), (1, 900.0), (10**6, 1e-6)]
)
def test_strange_samples_leave_a_believable_speed(tokens, took):
    """An answer comes at once, for nothing, or after minutes. The estimate stays
    within what an engine can be."""
    speed = PrefillCostModel()
    for number in range(SAMPLES_KEPT):
        speed.record(tokens, 0, took, number * 0.1)
    low, high = TOKEN_SECONDS_BOUNDS
    assert low <= speed.cost.token <= high
    assert speed.cost.overhead >= 0 and speed.cost.pair >= 0


def test_vm_without_samples_believes_its_peers():
    """A VM restarts in the middle of a day. Until it has samples of its own, it
    estimates as its peers do, and one peer that is far off doesn't matter."""
    speed = PrefillCostModel()
    for peer, token in (("a", 2e-5), ("b", 2.1e-5), ("c", 9e-4)):
        speed.apply_update(peer, PrefillCost(0.01, token, token * 2e-5))
    assert speed.cost.token == pytest.approx(2.1e-5)


@pytest.mark.parametrize(
    "told", [(0.0, 2e-5, 0.0), (0.0, 1e-6, 4e-10), (float("nan"), 2e-5, 1e-10)]
)
def test_fit_on_the_ground_of_what_a_peer_told(told):
    """A peer's fit has no overhead, no cost of context, or is no number. The
    first own sample is fitted beside it; an error there would end the request
    whose prompt was just read without an answer."""
    speed = PrefillCostModel()
    speed.apply_update("a", PrefillCost(*told))
    for number in range(40):
        speed.record(3000, 500, 0.07, number * 0.1)
    assert seconds(speed.cost, 3000, 500) == pytest.approx(0.07, rel=0.5)


def test_each_pool_has_a_speed_of_its_own():
    """Two models of different size are served. What one pool shows says nothing
    of the other."""
    estimates = FleetEstimates(lambda instance_id: 1000)
    for number in range(20):
        estimates.pool("large").cost_model.record(5000, 0, 0.5, number * 0.1)
    assert estimates.pool("small").cost_model.cost == PrefillCost()
    assert estimates.pool("large").cost_model.cost.token > PrefillCost().token
