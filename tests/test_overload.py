"""What callers get from a pool under the loads that it was made for, and beyond.

Long prompts about shared documents and short ones, as offices send them: documents
of 10,000 tokens with a few thousand of their own, sizes spread over two orders of
magnitude, beside short questions. In simulated time, without network.
"""

import random

import pytest
from engine_pool import EnginePool, by_document, in_time, served

from mulberrydock.request import Kind, Prompt, PromptPart, Route, Split

#: Seconds of one simulated day.
SECONDS = 30.0
LONG = Route(
    "long", "h", "/l/", Kind.STREAMING, (Split("llm", 1),), 5, 0.5, 0.15, 2, 2, True, 2
)
SHORT = Route(
    "short", "h", "/s/", Kind.STREAMING, (Split("llm", 1),), 5, 0.3, 0.15, 0, 2, True, 2
)


def arrivals(rng, rate, documents=200, long_share=0.4):
    """Return (moment, route, prompt) rows, ``rate`` a second."""
    sizes = {n: int(rng.lognormvariate(9.2, 0.6)) for n in range(documents)}
    rows, now, number = [], 0.0, 0
    while now < SECONDS:
        now += rng.expovariate(rate)
        number += 1
        own = PromptPart(f"own{number}", int(rng.lognormvariate(7.8, 1.0)))
        if rng.random() < long_share:
            document = rng.randrange(documents)
            part = PromptPart(f"doc{document}", sizes[document])
            rows.append((now, LONG, prompt(part, own)))
        else:
            question = PromptPart(f"q{number}", int(rng.lognormvariate(6.7, 0.7)))
            rows.append((now, SHORT, prompt(PromptPart("rules", 300), question)))
    return rows


def prompt(*parts):
    """Return the prompt of these parts."""
    return Prompt(sum(part.tokens for part in parts), 20, parts)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_ordinary_load_is_served_in_time(seed):
    """A pool of six and three at some half of its capacity, documents warm after
    a while. Nearly all are served, short questions in time."""
    jobs = EnginePool(6, 3).run(arrivals(random.Random(seed), 25), SECONDS + 5)
    assert served(jobs) > 0.97
    warm = [job for job in jobs if job.arrived > 10]
    assert in_time(warm, lambda job: job.route is SHORT) > 0.85
    assert in_time(warm, lambda job: job.route is LONG) > 0.6


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("rate", [60, 90])
def test_no_size_kind_or_document_starves_under_overload(seed, rate):
    """Clients ask for up to twice what the pool can read, for half a minute.
    Many aren't served, but the largest tenth and the fifth below it are served
    at least half as often as all long ones, the more urgent kind no less than
    the other, and hardly any document is left out altogether."""
    jobs = EnginePool(6, 3).run(arrivals(random.Random(seed), rate), SECONDS + 5)
    long = sorted(
        (job for job in jobs if job.route is LONG), key=lambda job: job.prompt.tokens
    )
    tenth = len(long) // 10
    assert served(long[-tenth:]) >= 0.5 * served(long)
    assert served(long[-3 * tenth : -tenth]) >= 0.5 * served(long)
    assert served(jobs, lambda job: job.route is SHORT) >= served(long)
    groups = [group for group in by_document(long).values() if len(group) >= 4]
    starved = sum(served(group) == 0 for group in groups)
    assert starved <= 2 + 0.1 * len(groups)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_load_beyond_the_pool_does_not_lower_what_it_does(seed):
    """The load doubles beyond what the pool can read. It must not serve fewer
    requests a second for it: prompts whose clients leave mustn't make others be
    read again where their documents aren't."""
    counts = []
    for rate in (60, 120):
        rows = arrivals(random.Random(seed), rate)
        jobs = EnginePool(6, 3).run(rows, SECONDS + 5)
        counts.append(sum(job.first_at is not None for job in jobs))
    assert counts[1] >= 0.9 * counts[0]
