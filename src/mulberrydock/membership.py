"""Registration of entry daemons in the store and the view of their peers.

Each entry keeps ``entries/<name>`` alive under a lease; a draining entry
rewrites its record with ``leaving`` set. Peers follow the prefix by watch,
so callers asking any entry learn of a leaving one within one watch round
trip, without waiting for the lagging VM list.
"""

import asyncio
import time

import attrs
from loguru import logger

from . import defaults, records
from .watch import PrefixWatch

#: Seconds between two looks at whether this entry's record is still there.
CHECK_SECONDS = 0.2


@attrs.define(frozen=True)
class Peer:
    """An entry VM as it registered itself; addresses are ``host:port``.

    ``peer_address`` takes the datagrams of its peers and may be empty.
    """

    address: str
    data_centre: str
    peer_address: str = ""


class Membership:
    """Task that registers this entry and follows the others.

    :param store: a :class:`~mulberrydock.store.StoreClient`.
    :param entry: this entry's settings row.
    :param ttl: seconds of the registration lease.
    :param peer_address: where this entry takes datagrams, empty if nowhere.

    ``lapsed`` holds entries whose record is gone: the store may have lost the
    lease during an outage while the entry lives.
    """

    def __init__(
        self,
        store,
        entry,
        ttl=defaults.ENTRY_LEASE_TTL_SECONDS,
        peer_address="",
    ):
        self.store = store
        self.entry = entry
        self.ttl = ttl
        self.peer_address = peer_address
        self.lease = 0
        self.registered = False
        self.leaving = False
        self.peers = {}
        self.lapsed = {}

    @property
    def key(self):
        return defaults.ENTRY_PREFIX + self.entry.name

    def count_vms(self):
        """Return the number of entry VMs that may be alive, this one included.

        VMs whose record is gone still count: the store may have dropped all
        records at once, and then each VM alone would take the whole fleet's
        retry budget and connections.
        """
        return len({self.entry.name, *self.peers, *self.lapsed})

    def _record(self):
        return records.encode(
            records.EntryRecord.new_message(
                name=self.entry.name,
                address=self.entry.address,
                dataCentre=self.entry.data_centre,
                leaving=self.leaving,
                startedAt=time.time(),
                peerAddress=self.peer_address,
            )
        )

    async def register(self):
        """Take a lease and write this entry's record; True on success."""
        granted = await self.store.grant(self.ttl)
        if granted.is_error():
            return False
        self.lease = granted.ok
        written = await self.store.put(self.key, self._record(), lease=self.lease)
        self.registered = written.is_ok()
        return self.registered

    async def mark_leaving(self):
        """Rewrite the record with ``leaving`` set; peers stop listing us."""
        self.leaving = True
        self.peers.pop(self.entry.name, None)
        for _ in range(5):
            written = await self.store.put(self.key, self._record(), lease=self.lease)
            if written.is_ok():
                return True
            await asyncio.sleep(defaults.STORE_RETRY_SECONDS)
        return False

    def forget_lease(self):
        """The store has lost the lease, and its id may be another's by now: register
        anew."""
        self.lease = 0
        self.registered = False

    async def leave(self):
        """Revoke the lease, which deletes the record."""
        if self.lease:
            await self.store.revoke(self.lease)

    async def keep_alive(self):
        """Renew the lease every third of its ttl; re-register when it lapsed.

        The store may also drop the record alone, which no call shows; the
        watch does, and then the record is written again at once.
        """
        renewed_at = 0.0
        while True:
            now = time.monotonic()
            if self.leaving:
                pass
            elif not self.registered:
                await self.register()
                renewed_at = now
            elif now - renewed_at >= self.ttl / 3:
                self.registered = await self._renew()
                renewed_at = now
            await asyncio.sleep(CHECK_SECONDS)

    async def _renew(self):
        lease = self.lease
        renewed = await self.store.keepalive(lease)
        # An outage is not a lapse: keep the lease id and try again.
        return lease == self.lease and (renewed.is_error() or renewed.ok)

    def apply(self, key, value, version):
        """Take one entry's record, or its removal when ``value`` is None."""
        name = key[len(defaults.ENTRY_PREFIX) :]
        if value is None:
            self._lapse(name)
            return
        record = records.decode(records.EntryRecord, value)
        self.lapsed.pop(name, None)
        if record.leaving:
            self.peers.pop(name, None)
            logger.info("peer leaving", peer=name, revision=version)
            return
        if name not in self.peers:
            logger.info("peer seen", peer=name, revision=version)
        self.peers[name] = Peer(record.address, record.dataCentre, record.peerAddress)

    def _lapse(self, name):
        peer = self.peers.pop(name, None)
        if peer is not None:
            self.lapsed[name] = peer
            logger.info("peer record gone", peer=name)
        if name == self.entry.name:
            self.registered = False

    def begin_reload(self):
        """A full read follows: what it lacks has lapsed."""
        self.lapsed.update(self.peers)
        self.peers.clear()

    def finish_reload(self):
        """A full read is applied: our own record must be among the others."""
        if self.entry.name not in self.peers:
            self.registered = False

    async def follow(self):
        """Keep :attr:`peers` current from the ``entries/`` prefix."""
        await PrefixWatch(
            self.store,
            defaults.ENTRY_PREFIX,
            self.apply,
            self.begin_reload,
            on_loaded=self.finish_reload,
        ).run()
