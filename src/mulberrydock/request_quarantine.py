"""What the crashes of instances mean for one request, and it for the evidence."""

import time

from .defaults import STORE_RETRY_SECONDS


class RequestQuarantine:
    """Decides whether a request may be sent, and records what its answers show.

    ``trial`` is the record of the trial that this request makes although its work is
    quarantined, None without one. Times are monotonic seconds.

    :param relay: the :class:`~mulberrydock.relay.Relay` that serves the request.
    :param request: the :class:`~mulberrydock.request.Request`.
    """

    def __init__(self, relay, request):
        self.relay = relay
        self.request = request
        self.trial = None

    @property
    def quarantine(self):
        """The :class:`~mulberrydock.quarantine.Quarantine` of this VM."""
        return self.relay.fleet.quarantine

    def _quarantined_works(self):
        works = self.request.works
        return [work for work in works if self.quarantine.is_quarantined(work)]

    def refusal_cause(self, was_sent, now):
        """Return why the request must not be sent, empty if it may.

        :param was_sent: whether an instance may have received the request.
        """
        works = self._quarantined_works()
        if self.trial is not None and not was_sent:
            return ""
        if works:
            crashes = max(self.quarantine.count(work) for work in works)
            return f"{crashes} instances crashed under it"
        if self._pause_seconds(now):
            return "an instance has just crashed under a part of its prompt"
        return ""

    def _pause_seconds(self, now):
        parts = self.request.part_works
        pauses = [self.quarantine.pause_seconds(part, now) for part in parts]
        return max(pauses, default=0.0)

    def retry_seconds(self, now):
        """Return the seconds after which the client of a refused request may retry."""
        works = self._quarantined_works()
        seconds = self._pause_seconds(now)
        if works:
            seconds = self.quarantine.trial_seconds(works, now)
        # A trial that is due now is claimed in the store, by this or another VM.
        return max(STORE_RETRY_SECONDS, seconds)

    async def claim_trial(self, now):
        """Claim the trial of the request's quarantined work, if one is due."""
        works = self._quarantined_works()
        if not works or self.relay.claim_trial is None:
            return
        if self.quarantine.trial_seconds(works, now) <= 0:
            self.trial = await self.relay.claim_trial(works[0], now, time.time())

    def record_sound(self, began_at, now):
        """Record that an instance went on with an answer that it began to write."""
        self._record_end(True, began_at, now)

    def record_end(self, lifecycle, now):
        """Record the end of the request.

        :param lifecycle: its :class:`~mulberrydock.serving.RequestLifecycle`.
        """
        self._record_end(lifecycle.served, lifecycle.began_at, now)
        if self.trial is not None and not lifecycle.may_have_run:
            self.quarantine.release_trial(self.trial)

    def _record_end(self, served, began_at, now):
        for work in self.request.works:
            self.quarantine.record_request_end(work, served, now, began_at)
