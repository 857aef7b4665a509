"""The requests that a VM is serving, which a stop may have to end."""

import asyncio
import contextlib

import attrs

#: Why a request ended that the stop of its VM left no time for.
STOP_CAUSE = "the VM stops"


@attrs.define
class RequestsInProgress:
    """Tracks the :class:`~mulberrydock.serving.RequestLifecycle` of each request."""

    lifecycles: set = attrs.field(factory=set)

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
