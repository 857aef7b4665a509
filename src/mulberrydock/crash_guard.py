"""The quarantine of work that crashes upstreams, as the entry daemon uses it.

Upstreams have fixed names there and no incarnations: each crash under a call counts by
itself. A crash interrupts many calls that share a beginning, though, so against what
calls share an upstream's crashes within some seconds count as one.
"""

import time

import attrs

from .connections import ConnectionPool
from .exceptions import ConnectionCut
from .quarantine import Quarantine
from .quarantine_sync import QuarantineSync

#: Seconds within which an upstream's crashes count as one against shared work: it takes
#: about as long to start again.
SAME_CRASH_SECONDS = 5.0


@attrs.define
class CrashGuard:
    """Quarantines work that crashes upstreams; ``sync`` writes it to the store."""

    quarantine: Quarantine
    sync: QuarantineSync

    @classmethod
    def from_store(cls, store, name, is_leader):
        """Build the guard of the entry called ``name``, over ``store``.

        :param is_leader: returns True at the one entry that removes expired records.
        """
        quarantine = Quarantine()
        return cls(quarantine, QuarantineSync(quarantine, store, name, is_leader))

    def finish_reload(self):
        """End a full read of the crashes in the store."""
        self.sync.finish_reload(time.monotonic())

    def is_quarantined(self, *works):
        """Return whether one of ``works`` must be sent to no upstream."""
        return any(self.quarantine.is_quarantined(work) for work in works)

    async def claim_trial(self, works, now):
        """Return whether a call may be tried although its work is quarantined."""
        blamed = [work for work in works if self.quarantine.is_quarantined(work)]
        if not blamed or self.quarantine.trial_seconds(blamed, now) > 0:
            return False
        trial = await self.sync.claim_trial(blamed[0], now, time.time())
        return trial is not None

    async def record_failure(self, work, upstream, call, error, shared_works=()):
        """Record a failed call for ``work`` if the upstream crashed under it.

        :param call: a unique name of the call.
        :param error: the error with which the call failed.
        :param shared_works: the fingerprints of what the call shares with others and
            may be to blame.
        """
        if not isinstance(error, ConnectionCut):
            return
        pool = ConnectionPool(upstream.address)
        accepts = await pool.probe(time.monotonic())
        pool.close()
        if accepts is not False:
            return
        now = time.monotonic()
        self.quarantine.record_crash(work, f"{upstream.name}/{call}", now)
        crash = f"{upstream.name}/{int(time.time() / SAME_CRASH_SECONDS)}"
        for shared_work in shared_works:
            self.quarantine.record_crash(shared_work, crash, now, shared=True)

    def record_request_end(self, work, served, shared_works=()):
        """Record the end of a request for ``work``.

        :param served: whether it was answered with success.
        :param shared_works: as for :meth:`record_failure`.
        """
        for each in (work, *shared_works):
            self.quarantine.record_request_end(each, served, time.monotonic())
