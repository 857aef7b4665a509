"""The quarantine of work that crashes upstreams, as the entry daemon uses it.

Upstreams have fixed names there and no incarnations: each crash under a call counts by
itself.
"""

import time

import attrs

from .connections import ConnectionPool
from .exceptions import ConnectionCut
from .quarantine import Quarantine
from .quarantine_sync import QuarantineSync


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

    def is_quarantined(self, work):
        """Return whether ``work``, a fingerprint, must not be sent to any upstream."""
        return self.quarantine.is_quarantined(work)

    async def record_failure(self, work, upstream, call, error):
        """Record a failed call for ``work`` if the upstream crashed under it.

        :param call: a unique name of the call.
        :param error: the error with which the call failed.
        """
        if not isinstance(error, ConnectionCut):
            return
        pool = ConnectionPool(upstream.address)
        accepts = await pool.probe(time.monotonic())
        pool.close()
        if accepts is False:
            self.quarantine.record_crash(
                work, f"{upstream.name}/{call}", time.monotonic()
            )

    def record_request_end(self, work, served):
        """Record the end of a request for ``work``.

        :param served: whether it was answered with success.
        """
        self.quarantine.record_request_end(work, served, time.monotonic())
