"""Whether to take a request now, and whether a retry may be sent.

Both decisions take the present time. A request that can't meet its deadline
is refused at once with a time to come back, rather than run late in the way
of others.
"""

import collections
import math

import attrs

#: Multiple of the time left that the estimate may fill, by class rank; the
#: last entry serves every lower class. The estimate is rough, and refusing a
#: request that would have been in time costs more than running one late, so
#: rank 0 is refused only when it is hopeless; lower classes go first.
ADMIT_SHARES = (1.5, 1.0, 0.7)
#: Bounds in seconds of the time to come back that a refusal names.
RETRY_AFTER_MIN_SECONDS = 1
RETRY_AFTER_MAX_SECONDS = 30
#: Weight of the newest observation in the estimate's correction.
CORRECTION_WEIGHT = 0.3
#: Bounds of the correction, so a few odd answers cannot shut or open the gate.
CORRECTION_BOUNDS = (0.5, 3.0)
#: An estimate below this many seconds says nothing about the correction.
CORRECTION_FLOOR_SECONDS = 0.05


@attrs.define(frozen=True)
class Decision:
    """Admit, or refuse with whole seconds after which to come back."""

    admitted: bool
    retry_after: int = 0


class Admission:
    """Deadline-aware admission of language requests at one entry.

    The wait estimate ignores what the engines have cached and that more
    urgent requests overtake. :attr:`corrections` follows, for each class
    rank, the ratio of observed to estimated waits.
    """

    def __init__(self):
        self.corrections = {}

    def decide(self, klass, wait_seconds, generate_seconds, left_seconds):
        """Decide for a request of ``klass``.

        :param wait_seconds: uncorrected estimate to its first token.
        :param generate_seconds: estimate from the first to the last token.
        :param left_seconds: time until its deadline.
        :returns: a :class:`Decision`.
        """
        share = ADMIT_SHARES[min(klass.rank, len(ADMIT_SHARES) - 1)]
        estimate = wait_seconds * self.corrections.get(klass.rank, 1.0)
        excess = estimate + generate_seconds - left_seconds * share
        if excess <= 0:
            return Decision(True)
        seconds = max(math.ceil(excess), RETRY_AFTER_MIN_SECONDS)
        return Decision(False, min(seconds, RETRY_AFTER_MAX_SECONDS))

    def observe(self, klass, estimated_seconds, observed_seconds):
        """Learn from one wait of ``klass`` for a first token."""
        if estimated_seconds < CORRECTION_FLOOR_SECONDS:
            return
        low, high = CORRECTION_BOUNDS
        ratio = min(max(observed_seconds / estimated_seconds, low), high)
        before = self.corrections.get(klass.rank, 1.0)
        self.corrections[klass.rank] = before + CORRECTION_WEIGHT * (ratio - before)


class RetryBudget:
    """Bounds retries to a share of the requests of a sliding window.

    Without it, a failing pool gets several times its load from retries and
    fails the more. ``floor`` retries are always allowed, so a quiet entry can
    still move a request off a dead engine.
    """

    def __init__(self, ratio=0.2, window_seconds=10.0, floor=10):
        self.ratio = ratio
        self.window_seconds = window_seconds
        self.floor = floor
        self.requests = collections.deque()
        self.retries = collections.deque()

    def record_request(self, now):
        """Count a first attempt at ``now``."""
        self.requests.append(now)
        self._forget(now)

    def allow(self, now, count=1):
        """True, and counted, when ``count`` more sends may go out at ``now``."""
        self._forget(now)
        bound = self.floor + self.ratio * len(self.requests)
        if len(self.retries) + count > bound:
            return False
        self.spend(now, count)
        return True

    def spend(self, now, count=1):
        """Count sends that went out beyond the first of their request."""
        self.retries.extend([now] * count)

    def _forget(self, now):
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_seconds:
                times.popleft()
