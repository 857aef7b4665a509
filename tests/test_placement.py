"""Where prompts go under the users' mix of long shared and short ones."""

import collections

import attrs
import pytest

from mulberrydock.instances import Instance, InstanceRecord, Stage
from mulberrydock.peer_loads import Load
from mulberrydock.placement import (
    Placement,
    Pool,
    owner,
    prefill_urgency,
    request_hash_fraction,
)
from mulberrydock.prefill_cost import PrefillCost
from mulberrydock.prefix_cache import PrefixCacheIndex
from mulberrydock.request import Kind, Prompt, PromptPart, Route, Split

P, D = Stage.PREFILL, Stage.DECODE
#: Engines that read 92,100 tokens a second, as the first users' do.
COST = PrefillCost(0.01, 1 / 92_100, 3.2e-5 / 92_100)
MEMORY = 540_000


#: A route whose first event is due in 600 ms, as the first users' letters.
ROUTE = Route(
    "r", "h", "/", Kind.STREAMING, (Split("llm", 1.0),), 10, 0.6, 0.3, 0, 2, True
)


def pool(prefills, decoders, loads=None, kept=(), **options):
    """Return a pool; ``kept`` are (engine, prompt) pairs that were read."""
    cache = PrefixCacheIndex()
    for engine, prompt in kept:
        cache.record_prefill(engine.id, prompt, MEMORY)
    return Pool(prefills, decoders, loads or {}, COST, cache, **options)


def engines(stage, count, data_centre="dc1"):
    """Return engines of one stage."""
    return [
        Instance(
            InstanceRecord(
                f"{stage.value}{n}", "llm", f"h:{n}", data_centre, 64, False, stage
            )
        )
        for n in range(count)
    ]


def letter(document, own=6600, shared=4900):
    """Return the prompt of a letter about one of the shared documents."""
    parts = (PromptPart(f"doc{document}", shared), PromptPart("own", own))
    return Prompt(own + shared, 40, parts)


def test_each_document_has_one_owner_and_owners_share_them():
    """Letters about 114 documents arrive at many VMs. All VMs, whatever order
    they learnt of the engines in, send a document to the same prefill engine,
    and no engine owns far more than its share."""
    prefills = engines(P, 3)
    counts = collections.Counter()
    for document in range(114):
        found = {owner(f"doc{document}", order) for order in (prefills, prefills[::-1])}
        assert len(found) == 1
        counts[found.pop().id] += 1
    assert min(counts.values()) > 114 / 3 / 2


def test_an_engine_that_leaves_moves_only_its_own_documents():
    """A prefill engine leaves. Documents of the others stay where their shared
    parts are cached."""
    prefills = engines(P, 3)
    for document in range(114):
        before = owner(f"doc{document}", prefills)
        if before is not prefills[0]:
            assert owner(f"doc{document}", prefills[1:]) is before


@pytest.mark.parametrize("arrivals", [1, 5])
def test_a_new_document_is_read_by_its_owner(arrivals):
    """The first letters about a document reach several VMs at once, none of
    which has heard of the others. They all send it to its owner, so that it is
    read once, not once by each engine."""
    prefills, decoders = engines(P, 3), engines(D, 2)
    chosen = {
        Placement("dc1").plan(letter(1), ROUTE, pool(prefills, decoders)).prefill.id
        for _ in range(arrivals)
    }
    assert chosen == {owner("doc1", prefills).id}


@pytest.mark.parametrize(
    ("backlog", "at_keeper"),
    [(0, True), (20_000, True), (60_000, True), (200_000, False)],
)
def test_letter_leaves_the_keeper_only_under_a_long_queue(backlog, at_keeper):
    """One document gets popular and the queue of the engine that keeps it
    grows. Reading the shared part again elsewhere takes time from the others
    and pushes other documents out, so a letter leaves only when the queue is
    far longer than that is worth."""
    prefills, decoders = engines(P, 2), engines(D, 3)
    keeper = prefills[0] if owner("doc1", prefills) is prefills[1] else prefills[1]
    known = pool(
        prefills, decoders, {keeper.id: Load(5, (backlog,))}, [(keeper, letter(1, 100))]
    )
    prompt = Prompt(11_500, 40, (PromptPart("doc1", 4900), PromptPart("new", 6600)))
    plan = Placement("dc1").plan(prompt, ROUTE, known)
    assert (plan.prefill is keeper) is at_keeper
    cached = 4900 if at_keeper else 0
    assert plan.cached == cached
    assert plan.tokens == COST.work(11_500 - cached, cached)


@pytest.mark.parametrize(
    ("tokens", "prefill_backlog", "apart"),
    [
        (20_000, 0, True),
        # Read in place it takes 0.7 s from the streams beside: it waits.
        (20_000, 400_000, True),
        (800, 100_000, False),
        (2000, 0, True),
    ],
)
def test_long_prompts_stall_decode_engines_last(tokens, prefill_backlog, apart):
    """Long prompts burst in. A prompt that would take long from an engine that
    carries streams waits for a prefill engine instead; a short one goes where
    it is read sooner."""
    prefills, decoders = engines(P, 1), engines(D, 2)
    loads = {prefills[0].id: Load(1, (prefill_backlog,))}
    prompt = Prompt(tokens, 30, (PromptPart("own", tokens),))
    plan = Placement("dc1").plan(prompt, ROUTE, pool(prefills, decoders, loads))
    assert (plan.prefill is not None) is apart


@pytest.mark.parametrize(
    ("prefills", "decoders", "planned"), [(0, 2, True), (1, 0, False), (0, 0, False)]
)
def test_pools_that_lack_a_stage(prefills, decoders, planned):
    """Every engine of one stage has left. Without prefill engines the decode
    engines read prompts themselves; without decode engines nothing runs."""
    known = pool(engines(P, prefills), engines(D, decoders))
    plan = Placement("dc1").plan(letter(1), ROUTE, known)
    assert (plan is not None) is planned
    assert plan is None or plan.prefill is None


@pytest.mark.parametrize(
    ("tokens", "cached", "milliseconds"),
    [(1000, 0, 11), (6600, 4900, 90), (25_000, 0, 380), (50_000, 0, 977)],
)
def test_reading_takes_longer_than_its_tokens_say(tokens, cached, milliseconds):
    """Long letters take more engine time a token than short ones, as each
    token attends to all before it. Counted by tokens alone, an engine with one
    long letter looks free too early and short prompts wait behind it."""
    seconds = COST.seconds(COST.work(tokens, cached))
    assert seconds * 1000 == pytest.approx(milliseconds, rel=0.05)


@pytest.mark.parametrize(
    ("waiting", "longest", "chosen"),
    [
        # More letters wait at the first engine, but a check overtakes them.
        ((0, 0, 40_000), 6000, "prefill0"),
        # One long letter is being read and can't be overtaken.
        ((0, 0, 0, 40_000), 40_000, "prefill1"),
        # Other checks are read first.
        ((30_000,), 3000, "prefill1"),
    ],
)
def test_short_prompt_waits_only_for_what_is_read_before_it(waiting, longest, chosen):
    """A slip check arrives while letters wait. Engines read the more urgent
    first but finish what they have begun, so the check must go where little is
    ahead of it, not where the fewest tokens wait."""
    prefills = engines(P, 2)
    loads = {
        "prefill0": Load(5, waiting, longest),
        "prefill1": Load(5, (10_000,), 2000),
    }
    tokens = 6000
    prompt = Prompt(tokens, 2, (PromptPart("own", tokens),))
    plan = Placement("dc1").plan(prompt, ROUTE, pool(prefills, engines(D, 1), loads))
    assert plan.prefill.id == chosen


@pytest.mark.parametrize(("running", "chosen"), [(0, "near"), (2, "near"), (40, "far")])
def test_kv_cache_stays_in_its_data_centre_while_level(running, chosen):
    """A long prompt was read in one data centre. Its KV cache takes twice as
    long to another one and is paid twice, so the stream runs where it is, unless
    the engine there is far busier."""
    near, far = engines(D, 1, "dc1")[0], engines(D, 2, "dc2")[1]
    known = pool(
        engines(P, 1),
        [near, far],
        {near.id: Load(running)},
        transfer_seconds_per_token=1e-6,
    )
    plan = Placement("dc2").plan(letter(1), ROUTE, known)
    assert plan.target is (near if chosen == "near" else far)


@pytest.mark.parametrize(
    ("reading", "priority", "urgency"),
    [(0.02, 0, 0), (0.15, 2, 2), (0.16, 2, 3), (0.31, 2, 4), (0.61, 2, 5), (9, 9, 9)],
)
def test_longer_readings_are_less_urgent(reading, priority, urgency):
    """A letter that takes 0.6 s to read arrives ahead of five short ones. Read
    first, it would make all of them late and still hardly be in time itself."""
    route = attrs.evolve(ROUTE, latency_objective=0.6, priority=priority)
    assert prefill_urgency(reading, route, 0.0, Load(), COST) == urgency


# Guards against prompts that wait behind all others, for their size, until their
# callers leave; short prompts and those that still can wait keep their place.
@pytest.mark.parametrize(
    ("reading", "waits", "spared"),
    [(0.7, 0.2, False), (0.7, 0.7, True), (0.2, 1.2, True), (0.1, 9.0, False)],
)
def test_half_of_the_prompts_that_wait_too_long_for_their_size_are_spared(
    reading, waits, spared
):
    route = attrs.evolve(
        ROUTE, latency_objective=0.6, priority=2, client_idle_timeout=2.4
    )
    drawn = [request_hash_fraction(f"request-{number}") for number in range(400)]
    load = Load(1, (int(waits / COST.token),))
    urgencies = [prefill_urgency(reading, route, d, load, COST) for d in drawn]
    urgent = sum(urgency == 1 for urgency in urgencies)
    assert (160 < urgent < 240) if spared else urgent == 0


def test_a_long_prompt_whose_document_is_cached_is_urgent():
    """Two letters of the same length arrive. One is about a document that an
    engine keeps, so it takes a fraction of the other's time and goes first."""
    prefills, decoders = engines(P, 1), engines(D, 1)
    known = pool(prefills, decoders, kept=[(prefills[0], letter(1, 10, 20_000))])
    parts = (PromptPart("doc1", 20_000), PromptPart("new", 2000))
    cached = Placement("dc1").plan(Prompt(22_000, 9, parts), ROUTE, known)
    whole = Placement("dc1").plan(letter(2, 2000, 20_000), ROUTE, known)
    assert (cached.urgency, whole.urgency) == (0, 2)


# Guards against streams that are sent to engines whose places are all taken.
@pytest.mark.parametrize(
    ("running", "crowded"), [((63, 64), False), ((64, 64), True), ((90, 90), True)]
)
@pytest.mark.parametrize("prefills", [0, 2])
def test_pool_is_crowded_when_no_decode_engine_has_a_place(running, crowded, prefills):
    decoders = engines(D, 2)
    loads = {engine.id: Load(count) for engine, count in zip(decoders, running)}
    known = pool(engines(P, prefills), decoders, loads)
    assert Placement("dc1").plan(letter(1), ROUTE, known).crowded is crowded


def test_plain_calls_go_to_the_instance_with_most_room():
    """Instances of a plain service have six places each. A burst goes to the
    free ones first, in this data centre when they are level."""
    near, far = engines(Stage.NONE, 1), engines(Stage.NONE, 2, "dc2")[1:]
    placement = Placement("dc1")
    assert placement.least_loaded(near + far, {}) is near[0]
    loads = {near[0].id: Load(6)}
    assert placement.least_loaded(near + far, loads) is far[0]
