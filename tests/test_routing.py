"""Decisions about routing, admission and retries at given times."""

import collections

import attrs
import pytest

from mulberrydock.admission import Admission, RetryBudget
from mulberrydock.metrics import MAX_TENANT_LABELS, OTHER_TENANTS_LABEL, EntryMetrics
from mulberrydock.policies import (
    POLICIES,
    CacheTracking,
    LeastWait,
    RingPlacement,
)
from mulberrydock.prefix import block_hashes, prompt_tokens, routing_key
from mulberrydock.routing import LoadReport, Router, Upstream, Work
from mulberrydock.settings import PriorityClass


def _engine(name, **report):
    engine = Upstream(name, f"{name}:1", "ikeja", "m", 1000.0, 100.0, 4)
    engine.report = LoadReport(**({"taken_at": 0.0} | report))
    return engine


# Guards against waits that count work twice or not at all: work sent after a report,
# work done since, and requests of other entries.
@pytest.mark.parametrize(
    "report, work, now, sent, expected",
    [
        # An idle engine only prefills the prompt.
        ({}, Work(500, 10), 0.0, 0, 0.5),
        # The reported backlog goes first, less the work done since the report.
        ({"backlog_prompt_tokens": 1000}, Work(500, 10), 0.0, 0, 1.5),
        ({"backlog_prompt_tokens": 1000}, Work(500, 10), 0.4, 0, 1.1),
        # Work sent since the report counts, and the other one of 2 entries is assumed
        # to send at this one's average rate, 500 tokens in 5 seconds.
        ({}, Work(500, 10), 0.1, 1, 0.5 + 0.5 + 0.1 * 0.1 - 0.1),
        # A decode engine prefills at half the speed.
        ({"role": "decode"}, Work(500, 10), 0.0, 0, 1.0),
        # A full batch adds the wait for a slot: 1 run of 100 tokens, 4 slots.
        (
            {"active": 4, "backlog_output_tokens": 400},
            Work(0, 10),
            0.0,
            0,
            100 * 0.015 / 4,
        ),
        # The backlog of a stale report is ignored.
        ({"backlog_prompt_tokens": 9000}, Work(500, 10), 60.0, 0, 0.5),
        # Without a fresh report, only what was sent in the last second counts.
        ({"taken_at": -60.0}, Work(500, 10), 0.2, 1, 1.0),
        ({"taken_at": -60.0}, Work(500, 10), 5.0, 1, 0.5),
    ],
)
def test_wait_estimate(report, work, now, sent, expected):
    engine = _engine("e", **report)
    for _ in range(sent):
        engine.record_send(work, 0.05)
    assert engine.wait_seconds(work, now, entries=2) == pytest.approx(expected)


# Guards against a request that is sent to an upstream that must not or cannot take it,
# and against one that is refused while a less suitable upstream is left.
@pytest.mark.parametrize(
    "changes, expected",
    [
        ({}, "a"),
        ({"leaving": ["a"]}, "b"),
        ({"held": {"a"}}, "b"),
        ({"tried": {"a"}}, "b"),
        ({"failed": "a"}, "b"),
        ({"unavailable": "a"}, "b"),
        ({"role": ("a", "prefill")}, "b"),
        ({"tried": {"a", "b"}}, None),
        ({"leaving": ["a", "b"]}, None),
        # An unavailable engine is preferred to a failed one: its report may lag, while
        # the failure was just seen.
        ({"failed": "a", "unavailable": "b"}, "b"),
        # A failed engine is preferred to none.
        ({"failed": "a", "tried": {"b"}}, "a"),
    ],
)
def test_choice_among_upstreams(changes, expected):
    router = Router(LeastWait())
    a, b = _engine("a"), _engine("b", backlog_prompt_tokens=1000)
    router.update([a, b], changes.get("leaving", []))
    router.cordoned = changes.get("held", set())
    if "failed" in changes:
        router.record_failure(router.upstreams[changes["failed"]], 0.0)
    if "unavailable" in changes:
        engine = router.upstreams[changes["unavailable"]]
        engine.report = attrs.evolve(engine.report, available=False)
    if "role" in changes:
        name, role = changes["role"]
        router.upstreams[name].report = LoadReport(0.0, role=role)
    chosen = router.choose("m", changes.get("tried", set()), Work(10, 1), 0.1)
    assert (chosen.name if chosen else None) == expected


def test_request_that_ends_after_a_configuration_change_is_not_in_flight():
    # Guards against an engine that seems busy for ever: a configuration arrives while a
    # request is in flight, and the end of the request must be counted at the engine
    # object that the router still uses.
    router = Router()
    router.update([_engine("a")], [])
    engine = router.choose("m", set(), Work(), 0.0)
    engine.in_flight += 1
    router.update([_engine("a")], [])
    engine.in_flight -= 1
    assert router.choose("m", set(), Work(), 0.0).in_flight == 0


@pytest.mark.parametrize("policy", sorted(POLICIES))
def test_every_policy_picks_a_candidate(policy):
    candidates = [_engine("a"), _engine("b")]
    tokens = [f"t{i}" for i in range(100)]
    work = Work(100, 5, routing_key(tokens), tuple(block_hashes(tokens)))
    assert POLICIES[policy]().pick(candidates, work, 0.0) in candidates


# Guards against a prefix that is prefilled by changing engines, and against one that
# overloads its owners.
def test_ring_sends_prefixes_to_their_owners_unless_these_are_overloaded():
    engines = [_engine(n) for n in "abcde"]
    policy = RingPlacement(seed=0)
    picks = collections.Counter()
    for index in range(200):
        work = Work(500, 5, f"key-{index}")
        first = policy.pick(engines, work, 0.0)
        assert policy.pick(engines, work, 0.0) is first
        picks[first.name] += 1
    assert len(picks) == 5
    work = Work(500, 5, "key-1")
    owners = policy.owners(engines, work.key)
    for owner in owners:
        owner.report = LoadReport(0.0, backlog_prompt_tokens=5000)
    assert policy.pick(engines, work, 0.0) not in owners


# Guards against cached prefixes that are lost because another engine leaves.
def test_ring_moves_few_prefixes_when_an_engine_leaves():
    engines = [_engine(n) for n in "abcde"]
    policy = RingPlacement(ways=1)
    keys = [f"key-{i}" for i in range(300)]
    before = {k: policy.owners(engines, k)[0].name for k in keys}
    after = {k: policy.owners(engines[:-1], k)[0].name for k in keys}
    moved = [k for k in keys if before[k] != after[k]]
    assert all(before[k] == "e" for k in moved)


# Guards against blocks that count as cached without the blocks before them.
def test_cache_tracking_prefers_the_longest_cached_prefix():
    tokens = [f"t{i}" for i in range(160)]
    blocks = block_hashes(tokens)
    policy = CacheTracking()
    for block in blocks[:2]:
        policy.apply("a", "stored", block)
    for block in blocks[:8]:
        policy.apply("b", "stored", block)
    work = Work(160, 5, "", tuple(blocks))
    engines = [_engine("a"), _engine("b")]
    assert policy.pick(engines, work, 0.0).name == "b"
    policy.apply("b", "removed", blocks[0])
    assert policy.pick(engines, work, 0.0).name == "a"


# Guards against requests that run although they miss their deadline, against one that
# is refused for its class though it would meet it, and against refusals that state a
# retry time beyond its bounds.
@pytest.mark.parametrize(
    "rank, estimate, left, admitted, retry_after",
    [
        (0, 1.9, 2.0, True, 0),
        (0, 2.1, 2.0, False, 1),
        (1, 1.9, 2.0, True, 0),
        (1, 2.1, 2.0, False, 1),
        (5, 1.9, 2.0, True, 0),
        (5, 2.1, 2.0, False, 1),
        (0, 12.5, 2.0, False, 11),
        (0, 900.0, 2.0, False, 30),
    ],
)
def test_request_is_refused_if_its_end_is_expected_after_its_deadline(
    rank, estimate, left, admitted, retry_after
):
    klass = PriorityClass(name="k", rank=rank, deadline_seconds=left)
    decision = Admission().decide(klass, estimate - 0.2, 0.2, left)
    assert (decision.admitted, decision.retry_after) == (admitted, retry_after)


def test_class_whose_requests_wait_longer_is_refused_first():
    """Guards against a load under which urgent requests are refused beside others."""
    admission = Admission()
    classes = [PriorityClass(name="k", rank=n, deadline_seconds=2.0) for n in (0, 2)]
    for _ in range(20):
        admission.observe(classes[0], 1.0, 0.8)
        admission.observe(classes[1], 1.0, 2.5)
    decisions = [admission.decide(klass, 1.0, 0.2, 2.0) for klass in classes]
    assert [decision.admitted for decision in decisions] == [True, False]


# Guards against estimates that stay too high or too low for one class rank, and against
# corrections by waits too short to show anything.
def test_admission_corrects_estimated_waits_for_each_class_rank():
    admission = Admission()
    first, last = (
        PriorityClass(name=n, rank=r, deadline_seconds=2.0)
        for n, r in (("a", 0), ("b", 1))
    )
    for _ in range(100):
        admission.observe(first, 1.0, 0.5)
        admission.observe(last, 1.0, 3.0)
    admission.observe(first, 0.01, 5.0)
    assert admission.corrections == pytest.approx({0: 0.5, 1: 3.0}, abs=0.01)
    assert admission.decide(first, 3.0, 0.1, 2.0).admitted
    assert not admission.decide(last, 0.7, 0.1, 2.0).admitted


# Guards against retries that multiply the load of a failing pool, and against an entry
# with few requests that may not retry at all.
@pytest.mark.parametrize("requests, allowed", [(0, 10), (100, 30), (1000, 210)])
def test_retry_budget(requests, allowed):
    budget = RetryBudget()
    for _ in range(requests):
        budget.record_request(1.0)
    assert sum(budget.allow(2.0) for _ in range(2000)) == allowed
    assert budget.allow(12.5)


@pytest.mark.parametrize(
    "body, tokens",
    [
        ({"prompt": "a b c"}, 3),
        ({"messages": [{"content": "a b"}, {"content": "c"}]}, 3),
        ({}, 0),
    ],
)
def test_prompt_tokens(body, tokens):
    assert len(prompt_tokens(body)) == tokens


# Guards against metrics that grow without bound with the tenants that clients name.
def test_tenants_beyond_the_maximum_share_one_series():
    metrics = EntryMetrics()
    labels = [metrics.tenant_label(f"t{i}") for i in range(MAX_TENANT_LABELS + 5)]
    assert labels[MAX_TENANT_LABELS:] == [OTHER_TENANTS_LABEL] * 5
    assert metrics.tenant_label("t0") == "t0"
