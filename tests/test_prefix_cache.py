"""Which parts of prompts VMs expect engines to have cached."""

import random

import pytest

from mulberrydock.estimates import FleetEstimates
from mulberrydock.membership import Membership
from mulberrydock.peer_groups import PeerGroups
from mulberrydock.peer_loads import LoadTracker
from mulberrydock.peers import PeerLink
from mulberrydock.prefix_cache import CACHE_SHARE, PrefixCacheIndex
from mulberrydock.request import Prompt, PromptPart
from mulberrydock.serve import EntryVm

CAPACITY = 100_000


def link_of(name, estimates):
    """Return the link of a VM without peers."""
    membership = Membership(None, EntryVm(name, "a1", "dc1"))
    tracker = LoadTracker()
    groups = PeerGroups(membership, tracker, "dc1")
    return PeerLink(name, tracker, groups, bool, estimates)


def prompt(*parts):
    """Return a prompt of (id, tokens) parts."""
    rows = tuple(PromptPart(*part) for part in parts)
    return Prompt(sum(part.tokens for part in rows), 10, rows)


def about(document, own="own"):
    """Return a prompt about a document."""
    return prompt(("rules", 2000), (document, 8000), (own, 3000))


@pytest.mark.parametrize(
    ("asked", "cached"),
    [
        (about("doc1"), 13_000),
        (about("doc1", "other"), 10_000),
        (about("doc2"), 2000),
        # Without the part before it, a cached part is of no use.
        (prompt(("new", 10), ("doc1", 8000), ("own", 3000)), 0),
        (
            prompt(
                ("new", 10),
            ),
            0,
        ),
        (Prompt(500, 10), 0),
    ],
)
def test_leading_parts_of_prefilled_prompts_are_cached(asked, cached):
    """Guards against cached parts that are counted at the wrong engine or without the
    parts before them."""
    index = PrefixCacheIndex()
    index.record_prefill("e1", about("doc1"), CAPACITY)
    assert index.cached_tokens("e1", asked) == cached
    assert index.cached_tokens("e2", asked) == 0


def test_least_recently_used_parts_are_evicted():
    """Guards against an index that grows without bound or counts documents that the
    engine has evicted, when more is prefilled than its memory holds."""
    index = PrefixCacheIndex()
    for number in range(200):
        index.record_prefill("e1", about(f"doc{number}", f"own{number}"), CAPACITY)
    cached = [
        n for n in range(200) if index.cached_tokens("e1", about(f"doc{n}", "x")) > 2000
    ]
    assert cached == list(range(200 - len(cached), 200))
    assert index.engines["e1"].tokens <= CAPACITY * CACHE_SHARE
    assert len(index.engines["e1"].parts) < 30


def test_document_in_use_is_not_evicted():
    """Guards against the eviction of a document that is requested again and again
    while a hundred others are requested once."""
    index = PrefixCacheIndex()
    for number in range(100):
        index.record_prefill("e1", about("hot", f"a{number}"), CAPACITY)
        index.record_prefill("e1", about(f"cold{number}", f"b{number}"), CAPACITY)
    assert index.cached_tokens("e1", about("hot", "x")) == 10_000


def test_prompt_larger_than_the_memory():
    """Guards against a token count that stays too high after a prompt that is larger
    than the engine's memory."""
    index = PrefixCacheIndex()
    index.record_prefill("e1", prompt(("huge", CAPACITY * 3)), CAPACITY)
    index.record_prefill("e1", about("doc1"), CAPACITY)
    assert index.engines["e1"].tokens == 13_000


def test_update_for_an_unknown_engine_is_not_stored():
    """Guards against an index that grows with every engine there ever was: a peer's
    late message may name one that is terminated."""
    index = PrefixCacheIndex()
    index.apply_update("gone@1", [(1, 10), (2, 20)], 0)
    assert index.engines == {}


def test_terminated_engine_has_nothing_cached():
    """Guards against cached parts of an engine that is terminated or has started again,
    as its memory is lost."""
    index = PrefixCacheIndex()
    index.record_prefill("e1", about("doc1"), CAPACITY)
    index.forget("e1")
    assert index.cached_tokens("e1", about("doc1")) == 0
    assert index.take_updates() == {}


@pytest.mark.parametrize("lost", [False, True])
def test_peers_receive_prefills_once(lost):
    """Guards against prefills that peers don't learn of, and against entries that every
    message repeats; a lost message costs only its entries."""
    here, there = (FleetEstimates(lambda instance_id: CAPACITY) for _ in range(2))
    link = link_of("entry-1", here)
    peer = link_of("entry-2", there)
    here.record_prefill("e1", about("doc1"))
    message = link.message(0.0)
    if not lost:
        peer.datagram_received(message, ("127.0.0.1", 1))
    again = link.message(0.2)
    peer.datagram_received(again, ("127.0.0.1", 1))
    assert there.cache.cached_tokens("e1", about("doc1")) == (0 if lost else 13_000)
    assert len(again) < len(message)


def test_estimates_of_a_pool_reach_peers():
    """Guards against a VM that doesn't use what a peer measured: it takes over the
    prefill cost and adds the demand to its own."""
    here, there = (FleetEstimates(lambda instance_id: CAPACITY) for _ in range(2))
    link = link_of("entry-1", here)
    peer = link_of("entry-2", there)
    rng = random.Random(1)
    for number in range(40):
        tokens = rng.randrange(500, 9000)
        here.pool("llm").cost_model.record(
            tokens, 0, 0.01 + tokens * 4e-5, number * 0.1
        )
    here.record_demand("llm", about("doc1"), 5000, False, 4.0)
    for number in range(5):
        peer.datagram_received(link.message(4.0), ("127.0.0.1", 1))
    received = there.pool("llm")
    fitted = here.pool("llm").cost_model.cost
    assert fitted.seconds(fitted.work(5000, 0)) == pytest.approx(0.2, rel=0.15)
    assert received.cost_model.cost.token == pytest.approx(fitted.token)
    sent = here.pool("llm").demand.own(4.0)
    assert received.demand.total(4.0).transferred_tokens == pytest.approx(
        sent.transferred_tokens, rel=1e-6
    )
