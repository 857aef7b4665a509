"""Counts the calls that one request makes to instances."""

import attrs


@attrs.define
class CallCounter:
    """Counts a request's calls of one kind.

    ``made`` are all calls, ``maybe_received`` those that an instance may have received,
    ``rejected`` those that it stated not to have executed, ``accepted`` the prefill
    calls that returned a KV handle.
    """

    made: int = 0
    maybe_received: int = 0
    rejected: int = 0
    accepted: int = 0

    @property
    def maybe_executed(self):
        """The number of calls that an instance may have executed."""
        return self.maybe_received - self.rejected

    @property
    def arrivals(self):
        """The number of calls that count against the retry budget, but for the first.

        The first prefill call that an engine accepts is no arrival.
        """
        return self.maybe_received - min(1, self.accepted)

    def record_call(self):
        """Record a call that is about to be made."""
        self.made += 1
        self.maybe_received += 1

    def record_not_sent(self):
        """Record that the last call wasn't sent."""
        self.maybe_received -= 1
