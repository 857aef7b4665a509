"""The quarantine of work that crashes instances, as the entry's own front uses it.

Engines and services have fixed names here and no incarnations: each crash under a call
counts by itself.
"""

import time

import attrs

from .connections import ConnectionPool
from .exceptions import ConnectionCut
from .quarantine import Quarantine
from .quarantine_sync import QuarantineSync


@attrs.define
class CrashGuard:
    """Knows the work that crashes upstreams; ``keeper`` writes it to the store."""

    quarantine: Quarantine
    keeper: QuarantineSync

    @classmethod
    def from_store(cls, store, name, is_leader):
        """Build over ``store`` for the entry called ``name``.

        :param is_leader: returns True at the one entry that removes what is old.
        """
        quarantine = Quarantine()
        return cls(quarantine, QuarantineSync(quarantine, store, name, is_leader))

    def is_quarantined(self, work):
        """True when ``work``, a fingerprint, must not be sent to any upstream."""
        return self.quarantine.is_quarantined(work, time.monotonic())

    async def failed(self, work, upstream, call, error):
        """A call for ``work`` failed with ``error``: note it if the upstream crashed.

        :param call: a name of the call that no other has.
        """
        if not isinstance(error, ConnectionCut):
            return
        pool = ConnectionPool(upstream.address)
        accepts = await pool.accepts(time.monotonic())
        pool.close()
        if accepts is False:
            self.quarantine.record_crash(
                work, f"{upstream.name}/{call}", time.monotonic()
            )

    def ended(self, work, served):
        """The request for ``work`` is over; ``served`` when it was answered."""
        self.quarantine.record_request_end(work, served, time.monotonic())
