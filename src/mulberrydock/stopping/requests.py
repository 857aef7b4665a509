"""The requests that a VM is serving, which a stop may have to end."""

import asyncio
import contextlib
import math

import attrs

from .response_times import ResponseTimes

#: Why a request ended that the stop of its VM left no time for.
STOP_CAUSE = "the VM stops"


@attrs.define
class RequestsInProgress:
    """Tracks the :class:`~mulberrydock.serving.RequestLifecycle` of each request.

    ``ends_at`` is when the stop of this VM ends them, monotonic seconds, infinity
    without one. ``times`` holds the
    :class:`~mulberrydock.stopping.response_times.ResponseTimes` by service.
    """

    lifecycles: set = attrs.field(factory=set)
    ends_at: float = math.inf
    times: dict = attrs.field(factory=dict)

    @property
    def is_stopping(self):
        """Whether this VM stops."""
        return self.ends_at < math.inf

    def record_response(self, service, seconds, now):
        """Record that a response of a service took so many seconds until ``now``."""
        times = self.times.setdefault(service, ResponseTimes(now))
        times.record(seconds, now)

    def expected_seconds(self, service, lifecycle, now):
        """Return the seconds that a response of a service is expected to take at most.

        Other requests that are still served show that it may take as long.

        :param lifecycle: that of the request which is asked about.
        :returns: None if no response is known.
        """
        expected = None
        if service in self.times:
            expected = self.times[service].expected(now)
        if expected is None:
            return None
        ages = (
            now - other.request.arrived
            for other in self.lifecycles
            if other.service == service and other is not lifecycle
        )
        return max(expected, max(ages, default=0.0))

    @contextlib.contextmanager
    def track(self, lifecycle):
        """Track ``lifecycle`` within this context."""
        self.lifecycles.add(lifecycle)
        try:
            yield
        finally:
            self.lifecycles.discard(lifecycle)

    def ids(self):
        """Return the request ids, the oldest request first."""
        oldest_first = sorted(self.lifecycles, key=lambda row: row.request.arrived)
        return [lifecycle.request.id for lifecycle in oldest_first]

    def end_all(self):
        """Let each request get its final response now; return how many there are.

        They end as at their deadline: a stream is cut, what was sent to an instance may
        have run, and what wasn't has not.
        """
        now = asyncio.get_running_loop().time()
        for lifecycle in self.lifecycles:
            # A limit that is over ends its request already.
            if not lifecycle.time_limit.expired():
                lifecycle.is_stopped, lifecycle.cause = True, STOP_CAUSE
                lifecycle.time_limit.reschedule(now)
        return len(self.lifecycles)
