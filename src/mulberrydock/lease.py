"""Leader election: a lease in the store, and its holder's fencing token.

The leader writes ``control/leader`` under a lease. The store's era, which rises when
the store is restored from an older copy, and the version of that write make up the
fencing token; it is larger for every new leader. A controller is any candidate here:
a control daemon or an entry VM.
"""

import asyncio
import time

import attrs
from loguru import logger

from . import defaults, records

#: Share of the lease ttl after the last renewal within which orders may be sent.
SAFE_LEASE_SHARE = 0.6
#: Share of the lease ttl between two renewals.
RENEW_INTERVAL_SHARE = 1 / 3
#: Versions that the store may use in one era: a store that is restored from an older
#: copy goes on counting from there, in an era that is one higher.
VERSIONS_PER_ERA = 2**32


@attrs.define
class Authority:
    """The lease that a controller holds; ``token`` is 0 while it holds none.

    Times are seconds of the clock of :class:`LeaderLease`.
    """

    lease: int = 0
    token: int = 0
    renewed_at: float = 0.0
    acquired_at: float = 0.0

    def valid(self, now, ttl):
        """Return whether orders may be sent: held and renewed recently enough.

        A controller that was suspended beyond its lease resumes with an old
        ``renewed_at`` and so sends nothing. ``renewed_at`` is when the renewal was
        sent, so the lease expires at the store no earlier than ``ttl`` after it.
        """
        return self.token > 0 and now - self.renewed_at < ttl * SAFE_LEASE_SHARE


class LeaderLease:
    """The leader lease, as one candidate acquires, renews and releases it.

    :param store: a :class:`~mulberrydock.store.StoreClient`.
    :param name: this controller's name, written to the leader record.
    :param ttl: seconds of the lease.
    :param is_vacant: returns False while the leader record is known to exist, so
        that no calls are made for an attempt that must fail.
    :param clock: returns the current time in seconds. It should count the time for
        which a VM is suspended, so that a resumed leader doesn't use a lost lease.
    :param takeover_delay: returns the seconds for which this controller leaves a
        vacant lease to others. An attempt takes four calls, and only one of those
        made at the same time succeeds; where calls are paid for, candidates take
        turns.
    :param first_start: True when the whole system starts for the first time. While no
        other leader was seen, there is no predecessor to wait for.
    :param is_readable: returns False while it isn't known whether there is a leader.
        A leader may have come and gone if that lasts for as long as a lease.
    """

    def __init__(
        self,
        store,
        name,
        ttl,
        is_vacant=lambda: True,
        clock=time.monotonic,
        takeover_delay=lambda: 0.0,
        first_start=False,
        is_readable=lambda: True,
    ):
        self.store = store
        self.name = name
        self.ttl = ttl
        self.is_vacant = is_vacant
        self.clock = clock
        self.takeover_delay = takeover_delay
        self.may_have_predecessor = not first_start
        self.is_readable = is_readable
        self.unreadable_since = None
        self.vacant_since = None
        self.authority = Authority()

    def valid(self, now):
        """Return whether this controller may send orders at ``now``."""
        return self.authority.valid(now, self.ttl)

    def may_act(self, now):
        """Return whether this controller may act as the only one at ``now``.

        It waits for the duration of a lease first: what its predecessor sent has
        arrived by then.
        """
        if not self.valid(now):
            return False
        return (
            not self.may_have_predecessor
            or now - self.authority.acquired_at >= self.ttl
        )

    async def acquire(self, now):
        """Try to become the leader; return whether this controller holds the lease."""
        granted = await self.store.grant(self.ttl)
        if granted.is_error():
            return False
        era = self.store.era or 0
        record = records.encode(
            records.LeaderRecord.new_message(holder=self.name, acquiredAt=time.time())
        )
        written = await self.store.put(
            defaults.LEADER_KEY, record, expect_version=0, lease=granted.ok
        )
        if written.is_error():
            # The write may have succeeded although its response was lost: read it.
            read = await self.store.get(defaults.LEADER_KEY)
            if read.is_error() or read.ok is None or read.ok.lease != granted.ok:
                self.may_have_predecessor = True
                # There is another leader, or it is unknown: don't keep this lease.
                await self.store.revoke(granted.ok)
                return False
            version = read.ok.version
        else:
            version = written.ok
        if era != (self.store.era or 0):
            # The store was restored from an older copy and has lost the lease.
            return False
        token = era * VERSIONS_PER_ERA + version
        self.authority = Authority(granted.ok, token, now, self.clock())
        logger.info("control active", token=token)
        return True

    def discard(self):
        """Drop the lease without revoking it, as the store has lost it.

        Its id may have been given to another client since.
        """
        self.may_have_predecessor = True
        self.authority = Authority()

    async def renew(self, now):
        """Renew the lease; drop the authority if it has expired."""
        authority = self.authority
        renewed = await self.store.keepalive(authority.lease)
        if self.authority is not authority:
            return
        if renewed.is_ok() and renewed.ok:
            self.authority.renewed_at = now
        elif renewed.is_ok() or not self.valid(now):
            logger.warning("control lost its lease", token=self.authority.token)
            self.may_have_predecessor = True
            self.authority = Authority()

    async def run(self):
        """Renew or acquire the lease until cancelled, independently of any orders."""
        while True:
            if self.authority.token:
                await self.renew(self.clock())
            elif self.may_acquire(self.clock()):
                await self.acquire(self.clock())
            await asyncio.sleep(self.ttl * RENEW_INTERVAL_SHARE)

    def may_acquire(self, now):
        """Return whether the lease is vacant and this controller's turn has come."""
        self._note_unreadable(now)
        if not self.is_vacant():
            self.may_have_predecessor |= self.is_readable()
            self.vacant_since = None
            return False
        if self.vacant_since is None:
            self.vacant_since = now
        return now - self.vacant_since >= self.takeover_delay()

    def _note_unreadable(self, now):
        """Record for how long it wasn't known whether there is a leader.

        A VM that was suspended meanwhile finds that out when it is known again.
        """
        if self.unreadable_since is not None:
            unread = now - self.unreadable_since
            self.may_have_predecessor |= unread >= self.ttl
        if self.is_readable():
            self.unreadable_since = None
        elif self.unreadable_since is None:
            self.unreadable_since = now

    async def release(self):
        """Revoke the lease, so that another controller can acquire it at once."""
        if self.authority.lease:
            await self.store.revoke(self.authority.lease)
            self.may_have_predecessor = True
            self.authority = Authority()
