"""How long the responses of each service took lately, as one VM has seen it."""

import attrs

#: Seconds for which a response counts at least; no response counts for twice as long.
SPAN_SECONDS = 30.0


@attrs.define
class Span:
    """The responses that ended in one span of time.

    ``count`` is their number, ``slowest`` the seconds of the one that took longest.
    """

    count: int = 0
    slowest: float = 0.0


@attrs.define
class ResponseTimes:
    """The times of one service's responses, from a request's arrival to the end.

    They include the waits for a prefill and a place. ``began`` is when the present span
    began, monotonic seconds.
    """

    began: float
    present: Span = attrs.field(factory=Span)
    former: Span = attrs.field(factory=Span)

    def record(self, seconds, now):
        """Record a response that ended at ``now``."""
        self._advance(now)
        self.present.count += 1
        self.present.slowest = max(self.present.slowest, seconds)

    def _advance(self, now):
        if now - self.began < SPAN_SECONDS:
            return
        is_next = now - self.began < 2 * SPAN_SECONDS
        self.former = self.present if is_next else Span()
        self.present, self.began = Span(), now

    def expected(self, now):
        """Return the seconds that a further response is expected to take at most.

        One of ``n + 1`` responses is the slowest, so that the further one may take
        longer than all before; the fewer are known, the likelier.

        :returns: None if no response is known.
        """
        self._advance(now)
        count = self.present.count + self.former.count
        if not count:
            return None
        slowest = max(self.present.slowest, self.former.slowest)
        return slowest * (1 + 1 / count)
