"""How long engines of one pool take to read prompts, learnt from those they read.

The load pattern this answers is a pool that nobody described: engines of any
speed, prompts of any length. Each prefill that began at an engine without a
queue shows its tokens and its seconds; a fit over the last of them says what the
next will take. Prompts that waited unseen took longer than they say, so the fit
follows the quicker samples.
"""

import collections
import itertools
import math

import attrs

#: What is believed before any sample, and how little it counts: seconds for the
#: hops and the set-up, prompt tokens a second, and the part by which a token is
#: slower for each token before it. Engines of today read 20,000 to 200,000 tokens
#: a second, so the figure is the middle of that on a logarithmic scale.
PRIOR_OVERHEAD = 0.01
PRIOR_TOKEN_SECONDS = 1 / 60_000
PRIOR_ATTENTION = 2.5e-5
#: Relative spread of these beliefs. The overhead holds what an engine does beside
#: reading, which is 6 to 60 ms at engines seen so far.
PRIOR_SPREADS = (6.0, 3.0, 0.5)
#: Least scale of each belief's spread: a fit may come out without overhead or
#: cost of context, and the next one must be free to find some.
FLOORS = (0.001, 1e-6, 1e-11)
#: Relative spread of one sample around the fit: data centres differ in distance
#: and engines finish what they have begun.
SAMPLE_SPREAD = 0.2
#: Weight of a sample that took longer than the fit says; waits that this VM
#: didn't know of make a prompt slower, nothing makes it quicker.
SLOWER_WEIGHT = 0.03
#: Samples kept and seconds for which they count: enough for a fit within seconds
#: of the first traffic, few enough to follow a pool whose engines are replaced.
SAMPLES_KEPT = 64
SAMPLE_SECONDS = 30.0
#: Relative spread of a belief that comes from the peers' fits: they saw other
#: prompts at the same engines.
PEER_SPREADS = (0.5, 0.5, 0.5)
#: Rounds of a fit, each with the weights that the one before gave; it goes on
#: from the last fit.
FIT_ROUNDS = 3
#: Seconds between two fits once there are enough samples: a fit takes 2 ms of a
#: core, and the users pay for those.
FIT_SECONDS = 1.0
FEW_SAMPLES = 16
#: Bounds of a believable time for one token, in seconds.
TOKEN_SECONDS_BOUNDS = (1e-6, 1e-3)
#: Bounds of the part by which a token is slower for each token before it.
ATTENTION_BOUNDS = (5e-6, 1e-4)
#: Speed of a decode engine that reads a prompt itself, as a share of a prefill
#: engine's: half of it, in pieces of a quarter of the size that each wait for a
#: step of the streams beside.
IN_PLACE_SPEED_RATIO = 0.4


@attrs.define(frozen=True)
class PrefillCost:
    """Seconds of reading: ``overhead`` once, ``token`` for each token and
    ``pair`` for each pair of a token and one before it."""

    overhead: float = PRIOR_OVERHEAD
    token: float = PRIOR_TOKEN_SECONDS
    pair: float = PRIOR_TOKEN_SECONDS * PRIOR_ATTENTION

    def work(self, tokens, cached):
        """Return the work of reading ``tokens`` after ``cached`` ones, counted
        in tokens that have nothing before them."""
        return int(tokens * (1 + self.pair / self.token * (cached + tokens / 2)))

    def seconds(self, work):
        """Return the seconds that an engine takes for ``work``."""
        return work * self.token


@attrs.define(frozen=True)
class Sample:
    """One prefill: its features, its seconds and when it ended."""

    features: tuple
    seconds: float
    at: float


def _features(tokens, cached):
    return (1.0, float(tokens), tokens * (cached + tokens / 2))


def _predict(cost, features):
    return sum(a * b for a, b in zip(attrs.astuple(cost), features))


class PrefillCostModel:
    """Samples of one pool and the :class:`PrefillCost` fitted to them.

    ``peers`` holds the costs that peers fitted, by their names.
    """

    def __init__(self):
        self.samples = collections.deque(maxlen=SAMPLES_KEPT)
        self.peers = {}
        self.cost = PrefillCost()
        self.fitted_at = 0.0

    def record(self, tokens, cached, seconds, now):
        """A prompt was read that had nothing before it in the queue.

        :param tokens: those that were read; ``cached`` the ones before them.
        :param seconds: from the call to its answer.
        """
        if tokens <= 0 or not 0 < seconds < math.inf:
            return
        while self.samples and now - self.samples[0].at > SAMPLE_SECONDS:
            self.samples.popleft()
        self.samples.append(Sample(_features(tokens, cached), seconds, now))
        few = len(self.samples) < FEW_SAMPLES
        if few or now - self.fitted_at >= FIT_SECONDS:
            self.cost = self._fit()
            self.fitted_at = now

    def apply_update(self, peer, cost):
        """A peer tells what it fitted."""
        if not all(map(math.isfinite, attrs.astuple(cost))):
            return
        self.peers[peer] = cost
        if not self.samples:
            self.cost, _ = self._prior()

    def _prior(self):
        """Return the belief beside the own samples, and its spreads.

        What peers tell counts until this VM has seen enough itself: one that is
        wrong must not stand against what is measured here.
        """
        if not self.peers or len(self.samples) >= FEW_SAMPLES:
            return PrefillCost(), PRIOR_SPREADS
        rows = [sorted(row) for row in zip(*map(attrs.astuple, self.peers.values()))]
        return PrefillCost(*(row[len(row) // 2] for row in rows)), PEER_SPREADS

    def _fit(self):
        prior, spreads = self._prior()
        cost = self.cost
        for _ in range(FIT_ROUNDS):
            cost = self._round(cost, prior, spreads)
        return cost

    def _round(self, cost, prior, spreads):
        """One round of least squares on relative errors around ``prior``."""
        size = len(spreads)
        center = attrs.astuple(prior)
        scale = [max(c, f) for c, f in zip(center, FLOORS)]
        matrix = [[0.0] * size for _ in range(size)]
        for n, spread in enumerate(spreads):
            matrix[n][n] = 1 / (spread * scale[n]) ** 2
        vector = [0.0] * size
        for sample in self.samples:
            expected = _predict(cost, sample.features)
            error = sample.seconds - _predict(prior, sample.features)
            share = SLOWER_WEIGHT if sample.seconds > expected else 1.0
            factor = share / (SAMPLE_SPREAD * expected) ** 2
            for i, j in itertools.product(range(size), repeat=2):
                matrix[i][j] += factor * sample.features[i] * sample.features[j]
            for i in range(size):
                vector[i] += factor * sample.features[i] * error
        change = _solve(matrix, vector)
        overhead, token, pair = (a + b for a, b in zip(center, change))
        low, high = TOKEN_SECONDS_BOUNDS
        token = min(high, max(low, token))
        low, high = (token * bound for bound in ATTENTION_BOUNDS)
        return PrefillCost(max(0.0, overhead), token, min(high, max(low, pair)))


def _solve(matrix, vector):
    """Solve a small positive definite system by elimination."""
    rows = [row + [value] for row, value in zip(matrix, vector)]
    size = len(rows)
    for n in range(size):
        for m in range(n + 1, size):
            factor = rows[m][n] / rows[n][n]
            rows[m] = [a - factor * b for a, b in zip(rows[m], rows[n])]
    result = [0.0] * size
    for n in reversed(range(size)):
        known = sum(rows[n][m] * result[m] for m in range(n + 1, size))
        result[n] = (rows[n][size] - known) / rows[n][n]
    return result
