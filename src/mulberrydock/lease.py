"""The lease that makes one controller the active one, and its fencing token.

The holder writes ``control/leader`` under a lease; the store's era and the version of
that write make the fencing token, larger for every new holder.
"""

import asyncio
import time

import attrs
from loguru import logger

from . import defaults, records

#: Share of the lease ttl after the last renewal within which orders may go.
SAFE_LEASE_SHARE = 0.6
#: Share of the lease ttl between two renewals.
RENEW_SHARE = 1 / 3
#: Versions that one era of the store may give out: a store that comes back from an
#: older copy counts on from there, and its era is one higher.
ERA_VERSIONS = 2**32


@attrs.define
class Authority:
    """The lease a controller holds, if any, and when it was last renewed."""

    lease: int = 0
    token: int = 0
    renewed_at: float = 0.0
    acquired_at: float = 0.0

    def valid(self, now, ttl):
        """True while orders may go: held and renewed recently enough.

        A controller paused past its lease wakes with a stale ``renewed_at``
        and so stops before it sends anything. ``renewed_at`` is when the
        renewal was sent, so the store never ends the lease earlier.
        """
        return self.token > 0 and now - self.renewed_at < ttl * SAFE_LEASE_SHARE


class LeaderLease:
    """Task that takes and renews the leader lease.

    :param store: a :class:`~mulberrydock.store.StoreClient`.
    :param name: this controller's name, written in the leader record.
    :param ttl: seconds of the lease.
    :param vacant: returns False while the leader record is known to exist, so
        that no call is spent on an attempt that must fail.
    :param clock: returns the present time; one that counts the seconds for
        which a VM is suspended keeps a woken holder from using a lost lease.
    :param turn: returns the seconds for which this controller leaves a vacant
        lease to others. An attempt takes four calls, and of all that try at once
        one succeeds: where the calls are paid for, candidates take turns.
    """

    def __init__(
        self,
        store,
        name,
        ttl,
        vacant=lambda: True,
        clock=time.monotonic,
        turn=lambda: 0.0,
    ):
        self.store = store
        self.name = name
        self.ttl = ttl
        self.vacant = vacant
        self.clock = clock
        self.turn = turn
        self.vacant_since = None
        self.authority = Authority()

    def valid(self, now):
        """True while this controller may send orders at ``now``."""
        return self.authority.valid(now, self.ttl)

    async def acquire(self, now):
        """Try to become active; True when this controller now holds the lease."""
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
            # A lost answer may leave the key under our lease: read it back.
            read = await self.store.get(defaults.LEADER_KEY)
            if read.is_error() or read.ok is None or read.ok.lease != granted.ok:
                # Another holder, or unknown: this lease must not linger.
                await self.store.revoke(granted.ok)
                return False
            version = read.ok.version
        else:
            version = written.ok
        if era != (self.store.era or 0):
            # The store has lost that lease.
            return False
        token = era * ERA_VERSIONS + version
        self.authority = Authority(granted.ok, token, now, self.clock())
        logger.info("control active", token=token)
        return True

    def forget(self):
        """The store has lost the lease: its id may be another's by now."""
        self.authority = Authority()

    async def renew(self, now):
        """Renew the lease; drop authority when it has lapsed."""
        authority = self.authority
        renewed = await self.store.keepalive(authority.lease)
        if self.authority is not authority:
            return
        if renewed.is_ok() and renewed.ok:
            self.authority.renewed_at = now
        elif renewed.is_ok() or not self.valid(now):
            logger.warning("control lost its lease", token=self.authority.token)
            self.authority = Authority()

    async def run(self):
        """Keep or take the lease, forever, apart from whatever orders wait for."""
        while True:
            if self.authority.token:
                await self.renew(self.clock())
            elif self.due(self.clock()):
                await self.acquire(self.clock())
            await asyncio.sleep(self.ttl * RENEW_SHARE)

    def due(self, now):
        """True when the lease is vacant and it is this controller's turn."""
        if not self.vacant():
            self.vacant_since = None
            return False
        if self.vacant_since is None:
            self.vacant_since = now
        return now - self.vacant_since >= self.turn()

    async def release(self):
        """Give the lease up, so another controller can take it at once."""
        if self.authority.lease:
            await self.store.revoke(self.authority.lease)
            self.authority = Authority()
