"""Service of the longest prompts while more prefill is asked for than a pool can do.

The simulated load consists of requests of three kinds: letters, each about one of a
hundred documents, most of them short and a few of 50,000 tokens, beside short queries
and checks of slips. The pool of five engines has lost a prefill engine, or gets three
times as many letters for some seconds. Runs in simulated time, without network.
"""

import random

import pytest
from engine_pool import EnginePool, served

from mulberrydock.prefill_cost import PrefillCost
from mulberrydock.request import Kind, Prompt, PromptPart, Route, Split
from mulberrydock.room.urgency import Urgencies

SECONDS = 30.0
SEEDS = range(1, 6)
#: Seconds without an event after which the clients give up.
CLIENT_IDLE_TIMEOUT = 2.4
#: An engine's memory in tokens, and its prefill cost.
MEMORY = 540_000
COST = PrefillCost(0.07, 1 / 85_000, 3.2e-5 / 92_100)


#: The urgencies of three priorities.
URGENCIES = (Urgencies(0, 3), Urgencies(3, 3), Urgencies(6, 4))


def route(name, objective, priority):
    """Return a streaming route."""
    splits = (Split("llm", 1),)
    return Route(
        name,
        "h",
        f"/{name}/",
        Kind.STREAMING,
        splits,
        10,
        objective,
        0.3,
        priority,
        2,
        True,
        CLIENT_IDLE_TIMEOUT,
        urgencies=URGENCIES[priority],
    )


LETTER, QUERY, SLIP = route("l", 0.6, 2), route("q", 0.3, 1), route("s", 0.4, 0)
#: By route: requests a second, number of documents, and the tokens of the rules, a
#: document and the request's own part (median, spread on a logarithmic scale, maximum).
KINDS = {
    LETTER: (8.4, 114, (512, 0.4, 1280), (3800, 0.7, 14600), (2480, 1.4, 54600)),
    QUERY: (12.4, 167, (119, 0.4, 298), (62, 0.7, 238), (380, 1.0, 3310)),
    SLIP: (16.3, 98, (341, 0.4, 851), (178, 0.7, 681), (770, 1.3, 6870)),
}


def tokens(rng, size):
    median, spread, maximum = size
    return max(1, min(maximum, int(median * rng.lognormvariate(0.0, spread))))


def arrivals(seed, letters):
    """Return (moment, route, prompt) rows in order.

    :param letters: multiple of the usual rate of letters, from a third of the
        time to two thirds of it.
    """
    rng, rows = random.Random(seed), []
    for kind, (rate, documents, rules, shared, own) in KINDS.items():
        rule = PromptPart(f"{kind.name}-rules", tokens(rng, rules))
        parts = [
            PromptPart(f"{kind.name}-doc{n}", tokens(rng, shared))
            for n in range(documents)
        ]
        now = 0.0
        while now < SECONDS:
            middle = SECONDS / 3 <= now < 2 * SECONDS / 3
            times = letters if kind is LETTER and middle else 1.0
            now += rng.expovariate(rate * times)
            last = PromptPart(f"{kind.name}-own{now}", tokens(rng, own))
            prompt = (rule, rng.choice(parts), last)
            total = sum(part.tokens for part in prompt)
            rows.append((now, kind, Prompt(total, 30, prompt)))
    return sorted(rows, key=lambda row: row[0])


def by_size(jobs):
    """Return (all, the longest tenth, the fifth below it) of the letters."""
    letters = [job for job in jobs if job.route is LETTER]
    letters.sort(key=lambda job: job.prompt.tokens)
    tenth = len(letters) // 10
    return letters, letters[-tenth:], letters[-3 * tenth : -tenth]


# Guards against long prompts that wait behind all others until their clients time out.
@pytest.mark.parametrize(
    ("prefills", "decoders", "letters"),
    [
        pytest.param(1, 4, 1.0, id="one-prefill-engine-left"),
        pytest.param(2, 3, 3.0, id="a-burst-of-letters"),
    ],
)
def test_longest_prompts_are_not_starved(prefills, decoders, letters):
    groups = [[], [], []]
    for seed in SEEDS:
        pool = EnginePool(prefills, decoders, 8, COST, MEMORY)
        jobs = pool.run(arrivals(seed, letters), SECONDS + 5)
        for group, part in zip(groups, by_size(jobs)):
            group.extend(part)
    everyone, longest, next_longest = groups
    assert served(longest) >= 0.5 * served(everyone)
    assert served(next_longest) >= 0.5 * served(everyone)
