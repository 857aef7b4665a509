"""What VMs believe that engines keep of prompts."""

import random

import pytest

from mulberrydock.estimates import FleetEstimates
from mulberrydock.membership import Membership
from mulberrydock.peer_groups import PeerGroups
from mulberrydock.peer_loads import LoadTracker
from mulberrydock.peers import PeerLink
from mulberrydock.prefix_cache import KEPT_SHARE, PrefixCacheIndex
from mulberrydock.request import Prompt, PromptPart
from mulberrydock.serve import EntryVm

CAPACITY = 100_000


def link_of(name, estimates):
    """Return the link of a VM that knows no peer."""
    membership = Membership(None, EntryVm(name, "a1", "dc1"))
    book = LoadTracker()
    groups = PeerGroups(membership, book, "dc1")
    return PeerLink(name, book, groups, bool, estimates)


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
        # Without the part before it, a part is of no use.
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
def test_leading_parts_that_were_read_are_cached(asked, cached):
    """One prompt about a document was read by an engine. Others with the same
    beginning need only the rest read there, and all of it elsewhere."""
    book = PrefixCacheIndex()
    book.record_prefill("e1", about("doc1"), CAPACITY)
    assert book.cached_tokens("e1", asked) == cached
    assert book.cached_tokens("e2", asked) == 0


def test_parts_used_longest_ago_are_forgotten():
    """More documents are read than an engine's memory holds. The ones used
    last are believed to be there, the others not, and the book stays small."""
    book = PrefixCacheIndex()
    for number in range(200):
        book.record_prefill("e1", about(f"doc{number}", f"own{number}"), CAPACITY)
    kept = [
        n for n in range(200) if book.cached_tokens("e1", about(f"doc{n}", "x")) > 2000
    ]
    assert kept == list(range(200 - len(kept), 200))
    assert book.engines["e1"].tokens <= CAPACITY * KEPT_SHARE
    assert len(book.engines["e1"].parts) < 30


def test_a_document_in_use_outlasts_the_others():
    """One document is asked for again and again while hundreds pass once."""
    book = PrefixCacheIndex()
    for number in range(100):
        book.record_prefill("e1", about("hot", f"a{number}"), CAPACITY)
        book.record_prefill("e1", about(f"cold{number}", f"b{number}"), CAPACITY)
    assert book.cached_tokens("e1", about("hot", "x")) == 10_000


def test_prompt_larger_than_the_memory():
    """A prompt is larger than an engine's memory. The book neither grows
    without bound nor loses its count."""
    book = PrefixCacheIndex()
    book.record_prefill("e1", prompt(("huge", CAPACITY * 3)), CAPACITY)
    book.record_prefill("e1", about("doc1"), CAPACITY)
    assert book.engines["e1"].tokens == 13_000


def test_news_of_an_engine_that_is_not_known_is_not_kept():
    """Engines come and go for days, and a peer's late message names one that is
    over. It isn't noted, or the book would grow with every engine there ever was."""
    book = PrefixCacheIndex()
    book.apply_update("gone@1", [(1, 10), (2, 20)], 0)
    assert book.engines == {}


def test_engine_that_is_gone_keeps_nothing():
    """An engine is over, or has started again: its memory went with it."""
    book = PrefixCacheIndex()
    book.record_prefill("e1", about("doc1"), CAPACITY)
    book.forget("e1")
    assert book.cached_tokens("e1", about("doc1")) == 0
    assert book.take_updates() == {}


@pytest.mark.parametrize("lost", [False, True])
def test_peers_hear_what_was_sent_where(lost):
    """A VM sends a document to an engine. Its peers know it with the next
    message; a message that is lost costs only that knowledge."""
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


def test_what_a_vm_learnt_of_a_pool_reaches_its_peers():
    """A VM has measured a pool. A peer that hasn't takes over the speed and adds
    the demand to its own."""
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
    heard = there.pool("llm")
    fitted = here.pool("llm").cost_model.cost
    assert fitted.seconds(fitted.work(5000, 0)) == pytest.approx(0.2, rel=0.15)
    assert heard.cost_model.cost.token == pytest.approx(fitted.token)
    told = here.pool("llm").demand.own(4.0)
    assert heard.demand.total(4.0).transferred_tokens == pytest.approx(
        told.transferred_tokens, rel=1e-6
    )
