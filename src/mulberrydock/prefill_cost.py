"""Estimates how long the engines of a pool take to prefill a prompt.

Needed because engines may have any speed, prompts any length, and no setting describes
them. Each prefill that began at an engine without a queue is a sample of tokens and
seconds; a fit over the latest samples predicts the next prefill. Prompts that waited
behind unreported ones take longer than their tokens explain, so the fit follows the
faster samples.
"""

import collections
import itertools
import math

import attrs

#: Prior before any sample: seconds for hops and set-up, seconds a token, and the
#: relative increase of a token's time for each token before it. Current engines prefill
#: 20,000 to 200,000 tokens a second; 60,000 is the middle on a logarithmic scale.
PRIOR_OVERHEAD = 0.01
PRIOR_TOKEN_SECONDS = 1 / 60_000
PRIOR_ATTENTION = 2.5e-5
#: Relative spread of the prior. The overhead includes what an engine does beside the
#: prefill, 6 to 60 ms at current engines.
PRIOR_SPREADS = (6.0, 3.0, 0.5)
#: Minimum scale of each spread: a fit may find no overhead or no cost of context, and
#: the next one must be free to find some.
MIN_SPREAD_SCALES = (0.001, 1e-6, 1e-11)
#: Relative spread of one sample around the fit: distances between data centres differ,
#: and engines finish a prefill that they have begun.
SAMPLE_SPREAD = 0.2
#: Weight of a sample that took longer than predicted. Waits that this VM doesn't know
#: of make a prefill slower; nothing makes it faster.
SLOWER_WEIGHT = 0.03
#: Maximum number and age of samples: enough for a fit within seconds of the first
#: traffic, few enough to follow a pool whose engines are replaced.
MAX_SAMPLES = 64
MAX_SAMPLE_AGE_SECONDS = 30.0
#: Relative spread of a prior taken from the fits of peers: they sampled other prompts
#: at the same engines.
PEER_SPREADS = (0.5, 0.5, 0.5)
#: Rounds of a fit, each with the sample weights that follow from the one before. The
#: first round starts from the previous fit.
FIT_ROUNDS = 3
#: Seconds between two fits once there are ``MIN_SAMPLES`` samples: a fit takes 2 ms of
#: a core, and CPU time is billed.
FIT_INTERVAL_SECONDS = 1.0
MIN_SAMPLES = 16
#: Bounds of a plausible time for one token, in seconds.
TOKEN_SECONDS_BOUNDS = (1e-6, 1e-3)
#: Bounds of the relative increase of a token's time for each token before it.
ATTENTION_BOUNDS = (5e-6, 1e-4)
#: Prefill speed of a decode engine over that of a prefill engine: it is half as fast
#: and prefills in chunks of a quarter of the size, each of which waits for a decode
#: step of its streams.
IN_PLACE_SPEED_RATIO = 0.4


@attrs.define(frozen=True)
class PrefillCost:
    """Seconds that a prefill takes.

    ``overhead`` counts once, ``token`` for each token and ``pair`` for each pair of a
    token and one before it.
    """

    overhead: float = PRIOR_OVERHEAD
    token: float = PRIOR_TOKEN_SECONDS
    pair: float = PRIOR_TOKEN_SECONDS * PRIOR_ATTENTION

    def work(self, tokens, cached):
        """Return the work of prefilling ``tokens`` after ``cached`` ones.

        It is counted in tokens without context: those with nothing before them.
        """
        return int(tokens * (1 + self.pair / self.token * (cached + tokens / 2)))

    def seconds(self, work):
        """Return the seconds that an engine takes for ``work``, without overhead."""
        return work * self.token


@attrs.define(frozen=True)
class Sample:
    """One prefill: its features, its seconds and when it ended (monotonic seconds)."""

    features: tuple
    seconds: float
    at: float


def _features(tokens, cached):
    return (1.0, float(tokens), tokens * (cached + tokens / 2))


def _predict(cost, features):
    return sum(a * b for a, b in zip(attrs.astuple(cost), features))


class PrefillCostModel:
    """Samples of one pool and the :class:`PrefillCost` fitted to them.

    ``peers`` maps the names of peers to the costs that they fitted.
    """

    def __init__(self):
        self.samples = collections.deque(maxlen=MAX_SAMPLES)
        self.peers = {}
        self.cost = PrefillCost()
        self.fitted_at = 0.0

    def record(self, tokens, cached, seconds, now):
        """Record the prefill of a prompt that had no other before it in the queue.

        :param tokens: number of prefilled tokens, after ``cached`` ones.
        :param seconds: from the call to its response.
        """
        if tokens <= 0 or not 0 < seconds < math.inf:
            return
        while self.samples and now - self.samples[0].at > MAX_SAMPLE_AGE_SECONDS:
            self.samples.popleft()
        self.samples.append(Sample(_features(tokens, cached), seconds, now))
        few = len(self.samples) < MIN_SAMPLES
        if few or now - self.fitted_at >= FIT_INTERVAL_SECONDS:
            self.cost = self._fit()
            self.fitted_at = now

    def is_measured(self, now):
        """Return whether the cost rests on a recent sample."""
        return (
            bool(self.samples) and now - self.samples[-1].at <= MAX_SAMPLE_AGE_SECONDS
        )

    def apply_update(self, peer, cost):
        """Record the cost that a peer fitted; ignore one that isn't finite."""
        if not all(map(math.isfinite, attrs.astuple(cost))):
            return
        self.peers[peer] = cost
        if not self.samples:
            self.cost, _ = self._prior()

    def _prior(self):
        """Return the prior of a fit and its spreads.

        The costs of peers count until this VM has enough samples of its own: a wrong
        one must not override what is measured here.
        """
        if not self.peers or len(self.samples) >= MIN_SAMPLES:
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
        """Return the cost after one round of least squares on relative errors.

        :param cost: that of the round before, which gives the weights of the samples.
        """
        size = len(spreads)
        center = attrs.astuple(prior)
        scale = [max(c, f) for c, f in zip(center, MIN_SPREAD_SCALES)]
        matrix = [[0.0] * size for _ in range(size)]
        for n, spread in enumerate(spreads):
            matrix[n][n] = 1 / (spread * scale[n]) ** 2
        vector = [0.0] * size
        for sample in self.samples:
            expected = _predict(cost, sample.features)
            error = sample.seconds - _predict(prior, sample.features)
            weight = SLOWER_WEIGHT if sample.seconds > expected else 1.0
            factor = weight / (SAMPLE_SPREAD * expected) ** 2
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
