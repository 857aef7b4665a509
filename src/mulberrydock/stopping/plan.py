"""Divides the grace period of a stopping VM among the steps of its stop."""

import enum

import attrs

#: Share of the grace period in which requests are still accepted (2.9 s of the
#: platform's 8 s): one that is sent later than 3 s after the signal must not be cut
#: when the period ends.
ACCEPT_SHARE = 0.36
#: Minimum number of seconds for which later requests are refused before the end: more
#: may arrive on open connections.
MIN_REFUSE_SECONDS = 0.5
#: Seconds from the last wait for requests to the end of the process: the final
#: responses, one call to the store (4 ms, 0.1 s over a slow link) and the end of the
#: tasks, each with time for a VM that gets a fifth of its processor.
CLOSING_SECONDS = 0.7
#: Maximum share of a short grace period for that: the rest is for the requests.
MAX_CLOSING_SHARE = 0.125


class Step(enum.Enum):
    """A step of a stop, in order.

    - ``ACCEPT``: new requests that can end in time are served, as clients keep an
      outdated list of VMs.
    - ``FINISH``: later requests are refused, those in progress end.
    - ``ANSWER``: what can't be finished gets its final response.
    - ``RECORD``: what the requests showed is written to the store.
    - ``CLOSE``: the daemon's tasks end.
    """

    ACCEPT = "accept"
    FINISH = "finish"
    ANSWER = "answer"
    RECORD = "record"
    CLOSE = "close"


#: Share of the closing time at whose end each later step must be over. The last quarter
#: is for the process itself.
CLOSING_SHARES = {
    Step.FINISH: 0.0,
    Step.ANSWER: 0.3,
    Step.RECORD: 0.65,
    Step.CLOSE: 0.75,
}


@attrs.define(frozen=True)
class StopPlan:
    """Until when each :class:`Step` of a stop may last, monotonic seconds.

    Create it with :meth:`from_grace`.
    """

    started: float
    ends: dict

    @classmethod
    def from_grace(cls, grace, started):
        """Plan a stop that began at ``started`` and may last ``grace`` seconds."""
        closing = min(CLOSING_SECONDS, grace * MAX_CLOSING_SHARE)
        finish = grace - closing
        ends = {Step.ACCEPT: grace * ACCEPT_SHARE}
        for step, share in CLOSING_SHARES.items():
            ends[step] = finish + closing * share
        return cls(started, {step: started + end for step, end in ends.items()})

    def left(self, step, now):
        """Return the seconds that ``step`` may still last, 0 if it is over."""
        return max(0.0, self.ends[step] - now)

    def refuse_left(self, refusing_since, now):
        """Return the seconds for which requests must still be refused before the end.

        :param refusing_since: when the VM began to refuse them, monotonic seconds.
        """
        until = min(refusing_since + MIN_REFUSE_SECONDS, self.ends[Step.FINISH])
        return max(0.0, until - now)
