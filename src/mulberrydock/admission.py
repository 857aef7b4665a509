"""Decides whether to admit a request now, and whether a retry may be sent.

Both decisions take the present time. A request that can't meet its deadline is refused
at once with a retry time, as it would run late and delay others.
"""

import collections
import math

import attrs

#: Bounds of the retry time that a refusal states, in seconds.
RETRY_AFTER_MIN_SECONDS = 1
RETRY_AFTER_MAX_SECONDS = 30
#: Weight of the newest observation in the estimate's correction.
CORRECTION_WEIGHT = 0.3
#: Bounds of the correction, so that a few outliers can't refuse or admit everything.
CORRECTION_BOUNDS = (0.5, 3.0)
#: Estimates below this many seconds don't change the correction.
CORRECTION_FLOOR_SECONDS = 0.05


@attrs.define(frozen=True)
class Decision:
    """Admission, or refusal with the whole seconds after which to retry."""

    admitted: bool
    retry_after: int = 0


class Admission:
    """Deadline-aware admission of language requests at one entry.

    A request is refused if its end is expected after its deadline. Engines serve lower
    class ranks first, so under load the higher ranks wait longer and are refused first.
    The wait estimate ignores what the engines have cached and that more urgent requests
    overtake. :attr:`corrections` maps each class rank to an exponentially weighted
    average of the ratio of observed to estimated waits.
    """

    def __init__(self):
        self.corrections = {}

    def decide(self, klass, wait_seconds, generate_seconds, left_seconds):
        """Decide about a request of ``klass``.

        :param wait_seconds: uncorrected estimate to its first token.
        :param generate_seconds: estimate from the first to the last token.
        :param left_seconds: time until its deadline.
        :returns: a :class:`Decision`.
        """
        estimate = wait_seconds * self.corrections.get(klass.rank, 1.0)
        excess = estimate + generate_seconds - left_seconds
        if excess <= 0:
            return Decision(True)
        seconds = max(math.ceil(excess), RETRY_AFTER_MIN_SECONDS)
        return Decision(False, min(seconds, RETRY_AFTER_MAX_SECONDS))

    def observe(self, klass, estimated_seconds, observed_seconds):
        """Update the correction with one wait of ``klass`` for a first token."""
        if estimated_seconds < CORRECTION_FLOOR_SECONDS:
            return
        low, high = CORRECTION_BOUNDS
        ratio = min(max(observed_seconds / estimated_seconds, low), high)
        before = self.corrections.get(klass.rank, 1.0)
        self.corrections[klass.rank] = before + CORRECTION_WEIGHT * (ratio - before)


class RetryBudget:
    """Bounds retries to a share of the requests in a sliding window.

    Without it, retries multiply the load of a failing pool, which then fails even more.
    ``floor`` retries are always allowed, so that an entry with few requests can still
    move one away from a dead engine.

    In its first window a process doesn't know what its predecessor has spent in the
    same window. It then gets only ``start_share`` of the retries, and the floor's by
    the time that has passed, so that several restarts in one window get no more.

    :param ratio: retries for each request in the window.
    :param window_seconds: length of the window.
    :param floor: retries in the window that are allowed without any request.
    :param started_at: when the process started, -inf if it has no predecessor.
    :param start_share: share of the bound in the first window after that.
    """

    def __init__(
        self,
        ratio=0.2,
        window_seconds=10.0,
        floor=10,
        started_at=-math.inf,
        start_share=1.0,
    ):
        self.ratio = ratio
        self.window_seconds = window_seconds
        self.floor = floor
        self.started_at = started_at
        self.start_share = start_share
        self.requests = collections.deque()
        self.retries = collections.deque()

    def record_request(self, now):
        """Count the first attempt of a request at ``now``."""
        self.requests.append(now)
        self._expire(now)

    def allow(self, now, count=1):
        """Return whether ``count`` retries may be sent at ``now``; count them if so."""
        bound = self.bound(now)
        if len(self.retries) + count > bound:
            return False
        self.retries.extend([now] * count)
        return True

    def bound(self, now):
        """Return the number of retries allowed in the window that ends at ``now``."""
        self._expire(now)
        by_requests = self.ratio * len(self.requests)
        age = (now - self.started_at) / self.window_seconds
        if age >= 1.0:
            return self.floor + by_requests
        return self.start_share * (self.floor * age + by_requests)

    def _expire(self, now):
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_seconds:
                times.popleft()
