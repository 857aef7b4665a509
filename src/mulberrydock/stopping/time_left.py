"""Decides whether a request can still end at a VM that stops."""

import attrs


@attrs.define(frozen=True)
class TimeLeft:
    """What a VM knows of the end of one request, in seconds from now.

    ``vm`` is the time until the VM ends its requests, infinity unless it stops.
    ``limit`` is the time until the request's deadline. ``expected`` is the time that
    responses of its service took lately, or that one has taken so far, None if unknown.
    ``planned`` is the time until the end of this one by the plan of its next attempt, 0
    without one.
    """

    vm: float
    limit: float
    expected: float | None = None
    planned: float = 0.0

    @property
    def is_enough(self):
        """Whether the request's end is expected before that of the VM.

        A request whose deadline is earlier is answered by then in any case.
        """
        if self.limit <= self.vm:
            return True
        if self.expected is None:
            return False
        return max(self.expected, self.planned) <= self.vm
