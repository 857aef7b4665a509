"""Where prompts are prefilled and decoded in a mix of long shared and short ones."""

import collections
import functools

import attrs
import pytest

from mulberrydock.instances import Instance, InstanceRecord, Stage
from mulberrydock.peer_loads import Load
from mulberrydock.placement import (
    Placement,
    Pool,
    owner,
    prefill_urgency,
)
from mulberrydock.prefill_cost import IN_PLACE_SPEED_RATIO, PrefillCost
from mulberrydock.prefix_cache import PrefixCacheIndex
from mulberrydock.request import Kind, Prompt, PromptPart, Route, Split
from mulberrydock.room.places import Places
from mulberrydock.room.urgency import PromptSizes, Urgencies

P, D = Stage.PREFILL, Stage.DECODE
#: Engines that prefill 92,100 tokens a second.
COST = PrefillCost(0.01, 1 / 92_100, 3.2e-5 / 92_100)
MEMORY = 540_000
#: Monotonic seconds.
NOW = 100.0


#: A route whose first event is due within 600 ms.
ROUTE = Route(
    "r", "h", "/", Kind.STREAMING, (Split("llm", 1.0),), 10, 0.6, 0.3, 0, 2, True
)


def pool(prefills, decoders, loads=None, cached=(), **options):
    """Return a pool; ``cached`` are (engine, prompt) pairs that were prefilled."""
    cache = PrefixCacheIndex()
    for engine, prompt in cached:
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


def long_prompt(document, own=6600, shared=4900):
    """Return a prompt about one of the shared documents."""
    parts = (PromptPart(f"doc{document}", shared), PromptPart("own", own))
    return Prompt(own + shared, 40, parts)


def test_vms_agree_on_the_owner_of_each_document_and_owners_are_balanced():
    """Guards against a document that is prefilled by several engines because VMs list
    the engines in another order, and against one engine that owns most documents."""
    prefills = engines(P, 3)
    counts = collections.Counter()
    for document in range(114):
        found = {owner(f"doc{document}", order) for order in (prefills, prefills[::-1])}
        assert len(found) == 1
        counts[found.pop().id] += 1
    assert min(counts.values()) > 114 / 3 / 2


def test_removed_engine_moves_only_its_own_documents():
    """Guards against cached documents that are lost because the set of engines
    changes: those of the remaining engines keep their owner."""
    prefills = engines(P, 3)
    for document in range(114):
        before = owner(f"doc{document}", prefills)
        if before is not prefills[0]:
            assert owner(f"doc{document}", prefills[1:]) is before


@pytest.mark.parametrize("arrivals", [1, 5])
def test_uncached_document_is_prefilled_by_its_owner(arrivals):
    """Guards against a new document that every engine prefills: its first prompts
    reach several VMs at once, before any of them has reported a send."""
    prefills, decoders = engines(P, 3), engines(D, 2)
    chosen = {
        Placement("dc1")
        .plan(long_prompt(1), ROUTE, pool(prefills, decoders))
        .prefill.id
        for _ in range(arrivals)
    }
    assert chosen == {owner("doc1", prefills).id}


@pytest.mark.parametrize(
    ("backlog", "at_cache"),
    [(0, True), (20_000, True), (60_000, True), (200_000, False)],
)
def test_prompt_leaves_its_cached_document_only_for_a_long_queue(backlog, at_cache):
    """Guards against prompts that leave the engine with their document cached for a
    slightly shorter queue: the repeated prefill of the document takes time from other
    prompts and evicts other documents."""
    prefills, decoders = engines(P, 2), engines(D, 3)
    with_cache = prefills[0] if owner("doc1", prefills) is prefills[1] else prefills[1]
    known = pool(
        prefills,
        decoders,
        {with_cache.id: Load(5, (backlog,))},
        [(with_cache, long_prompt(1, 100))],
    )
    prompt = Prompt(11_500, 40, (PromptPart("doc1", 4900), PromptPart("new", 6600)))
    plan = Placement("dc1").plan(prompt, ROUTE, known)
    assert (plan.prefill is with_cache) is at_cache
    cached = 4900 if at_cache else 0
    assert plan.cached == cached
    assert plan.tokens == COST.work(11_500 - cached, cached)


@pytest.mark.parametrize(
    ("tokens", "prefill_backlog", "disaggregated"),
    [
        (20_000, 0, True),
        # In place, its prefill would delay the streams by 0.7 s: it waits instead.
        (20_000, 400_000, True),
        (800, 100_000, False),
        (2000, 0, True),
    ],
)
def test_only_short_prompts_are_prefilled_in_place(
    tokens, prefill_backlog, disaggregated
):
    """Guards against long prompts that stall the streams of a decode engine during a
    burst: they wait for a prefill engine, and only a short one is prefilled in place if
    that is quicker."""
    prefills, decoders = engines(P, 1), engines(D, 2)
    loads = {prefills[0].id: Load(1, (prefill_backlog,))}
    prompt = Prompt(tokens, 30, (PromptPart("own", tokens),))
    plan = Placement("dc1").plan(prompt, ROUTE, pool(prefills, decoders, loads))
    assert (plan.prefill is not None) is disaggregated


@pytest.mark.parametrize(
    ("prefills", "decoders", "planned"), [(0, 2, True), (1, 0, False), (0, 0, False)]
)
def test_pools_that_lack_a_stage(prefills, decoders, planned):
    """Guards against failing plans once every engine of one stage has left. Without
    prefill engines, decode engines prefill; without decode engines nothing runs."""
    known = pool(engines(P, prefills), engines(D, decoders))
    plan = Placement("dc1").plan(long_prompt(1), ROUTE, known)
    assert (plan is not None) is planned
    assert plan is None or plan.prefill is None


@pytest.mark.parametrize(
    ("tokens", "cached", "milliseconds"),
    [(1000, 0, 11), (6600, 4900, 90), (25_000, 0, 380), (50_000, 0, 977)],
)
def test_prefill_time_grows_faster_than_tokens(tokens, cached, milliseconds):
    """Guards against an engine with one long prompt that seems free too early, so that
    short prompts wait behind it: each token attends to all before it, so a long prompt
    takes more time a token."""
    seconds = COST.seconds(COST.work(tokens, cached))
    assert seconds * 1000 == pytest.approx(milliseconds, rel=0.05)


@pytest.mark.parametrize(
    ("waiting", "longest", "chosen"),
    [
        # More tokens wait at the first engine, but the short prompt overtakes them.
        ((0, 0, 40_000), 6000, "prefill0"),
        # One long prompt is being prefilled and can't be overtaken.
        ((0, 0, 0, 40_000), 40_000, "prefill1"),
        # Other urgent prompts are prefilled first.
        ((30_000,), 3000, "prefill1"),
    ],
)
def test_short_prompt_waits_only_for_prompts_prefilled_before_it(
    waiting, longest, chosen
):
    """Guards against a short urgent prompt that is sent to the engine with the fewest
    waiting tokens instead of the fewest tokens ahead of it. Engines prefill more urgent
    prompts first but finish the one that they have begun."""
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
def test_kv_cache_stays_in_its_data_centre_unless_that_is_busier(running, chosen):
    """Guards against needless transfers between data centres, which take twice as long
    and are billed twice: the stream runs where its prompt was prefilled, unless the
    engine there is far busier."""
    local, remote = engines(D, 1, "dc1")[0], engines(D, 2, "dc2")[1]
    known = pool(
        engines(P, 1),
        [local, remote],
        {local.id: Load(running)},
        transfer_seconds_per_token=1e-6,
    )
    plan = Placement("dc2").plan(long_prompt(1), ROUTE, known)
    assert plan.target is (local if chosen == "near" else remote)


#: Routes of priority 2 whose prompts have four urgencies, or only one.
LEVELS, ONE_LEVEL = Urgencies(3, 4), Urgencies(3)


def sized_pool(mean, utilization=0.5):
    """Return a pool whose prompts have ``mean`` seconds of work on average."""
    sizes = PromptSizes()
    sizes.record(3, mean / COST.token, NOW)
    doublings = functools.partial(sizes.doublings, now=NOW)
    options = {"prefill_utilization": utilization, "size_doublings": doublings}
    return pool(engines(P, 1), engines(D, 1), **options)


@pytest.mark.parametrize(
    ("prefill_seconds", "urgencies", "urgency"),
    [
        (0.02, LEVELS, 3),
        (0.15, LEVELS, 3),
        (0.16, LEVELS, 4),
        (0.31, LEVELS, 5),
        (0.61, LEVELS, 6),
        (9.0, LEVELS, 6),
        (9.0, ONE_LEVEL, 3),
        (9.0, None, 2),
    ],
)
@pytest.mark.parametrize("objective", [0.2, 0.6, 1.2])
def test_longer_prefills_are_less_urgent_within_their_priority(
    prefill_seconds, urgencies, urgency, objective
):
    """Guards against a prompt with a prefill of 0.6 s that is prefilled before five
    short ones, and against one that goes behind a less urgent priority or further back
    because its route declares a shorter target."""
    route = attrs.evolve(
        ROUTE, latency_objective=objective, priority=2, urgencies=urgencies
    )
    found = prefill_urgency(
        prefill_seconds / COST.token, route, 20.0, Load(), sized_pool(0.15)
    )
    assert found == urgency


# Guards against streams that nobody goes on with while new ones begin: their clients
# give them up, and with them what they have.
@pytest.mark.parametrize("prefill_seconds", [0.02, 0.61, 9])
def test_prompt_of_a_stream_that_is_taken_up_is_most_urgent(prefill_seconds):
    route = attrs.evolve(ROUTE, priority=2, urgencies=LEVELS, is_taken_up=True)
    assert route.urgency == 0
    work = prefill_seconds / COST.token
    assert prefill_urgency(work, route, 2.4, Load(), sized_pool(0.15)) == 0


# Guards against long prompts that wait behind all shorter ones until their clients give
# up; those that can still wait let the shorter ones go first.
@pytest.mark.parametrize(
    ("prefill_seconds", "waits", "patience", "utilization", "urgency"),
    [
        pytest.param(0.7, 0.2, 2.4, 0.5, 6, id="can-wait"),
        pytest.param(0.7, 1.2, 2.4, 0.5, 3, id="would-wait-too-long"),
        pytest.param(0.7, 1.2, 2.4, 0.1, 6, id="few-come-later"),
        pytest.param(0.7, 0.2, 0.9, 0.5, 3, id="little-time-left"),
        pytest.param(0.2, 1.2, 2.4, 0.5, 4, id="shorter-work"),
        pytest.param(0.1, 9.0, 2.4, 0.5, 3, id="shortest"),
    ],
)
def test_long_prompt_goes_first_when_its_client_would_give_up(
    prefill_seconds, waits, patience, utilization, urgency
):
    route = attrs.evolve(ROUTE, priority=2, urgencies=LEVELS)
    known = sized_pool(0.15, utilization)
    load = Load(1, (int(waits / COST.token),))
    work = prefill_seconds / COST.token
    assert prefill_urgency(work, route, patience, load, known) == urgency


def test_long_prompt_with_its_document_cached_is_urgent():
    """Guards against an urgency by length alone: of two prompts of the same length, the
    one whose document is cached takes a fraction of the other's time and goes first."""
    prefills, decoders = engines(P, 1), engines(D, 1)
    cached = [(prefills[0], long_prompt(1, 10, 20_000))]
    doublings = sized_pool(0.05).size_doublings
    known = pool(prefills, decoders, cached=cached, size_doublings=doublings)
    route = attrs.evolve(ROUTE, urgencies=LEVELS, gap_objective=0.01)
    parts = (PromptPart("doc1", 20_000), PromptPart("new", 2000))
    cached = Placement("dc1").plan(Prompt(22_000, 9, parts), route, known)
    uncached = Placement("dc1").plan(long_prompt(2, 2000, 20_000), route, known)
    assert (cached.urgency, uncached.urgency) == (3, 6)


# Guards against streams that are sent to engines whose slots are all in use.
@pytest.mark.parametrize("running", [(63, 64), (64, 64), (90, 90)])
@pytest.mark.parametrize("prefills", [0, 2])
def test_plan_states_the_places_of_all_decode_engines(running, prefills):
    decoders = engines(D, 2)
    loads = {engine.id: Load(count) for engine, count in zip(decoders, running)}
    known = pool(engines(P, prefills), decoders, loads, streams=5.0, report_delay=0.4)
    places = Placement("dc1").plan(long_prompt(1), ROUTE, known).places
    assert places == Places(128, sum(running), 0.4, 5.0)


# Guards against an urgent request that is refused for the whole of a long prompt,
# though the engine has prefilled a part of that already.
@pytest.mark.parametrize(
    ("longest", "expected"), [(0, 10_000), (46_000, 33_000), (90_000, 50_000)]
)
def test_expected_queue_counts_half_of_a_prompt_under_way(longest, expected):
    load = Load(3, (10_000, 0, 0, 80_000 if longest else 0), longest)
    assert load.expected_tokens_ahead(0) == expected
    loads = {"prefill0": load}
    known = pool(engines(P, 1), engines(D, 1), loads)
    route = attrs.evolve(ROUTE, gap_objective=0.001)
    plan = Placement("dc1").plan(long_prompt(1), route, known)
    assert plan.queue_seconds == pytest.approx(expected * COST.token)
    assert plan.wait > plan.queue_seconds


# Guards against a wait that counts the streams beside a request, which delay its later
# events, as if they delayed the first one.
@pytest.mark.parametrize("prefills", [0, 1])
def test_wait_of_a_plan_is_its_queue_and_its_own_work(prefills):
    queue = Load(90, (46_000,))
    prompt = long_prompt(1, 100, 0)
    loads = {engine.id: queue for engine in engines(P, 1) + engines(D, 1)}
    known = pool(engines(P, prefills), engines(D, 1), loads)
    plan = Placement("dc1").plan(prompt, ROUTE, known)
    speed_ratio = 1.0 if plan.prefill else IN_PLACE_SPEED_RATIO
    assert plan.queue_seconds == pytest.approx(46_000 * COST.token / speed_ratio)
    own = plan.wait - plan.queue_seconds
    assert plan.prefill_seconds < own < plan.prefill_seconds + 0.2


def test_plain_calls_go_to_the_instance_with_the_most_free_slots():
    """Guards against bursts that fill one instance of a plain service while another one
    has free slots, and against calls to another data centre at equal load."""
    local, remote = engines(Stage.NONE, 1), engines(Stage.NONE, 2, "dc2")[1:]
    placement = Placement("dc1")
    assert placement.least_loaded(local + remote, {}) is local[0]
    loads = {local[0].id: Load(6)}
    assert placement.least_loaded(local + remote, loads) is remote[0]
