"""Registration of entry daemons in the store, and the list of their peers.

Each entry keeps its record ``entries/<name>`` in the store under a lease; a
draining entry rewrites the record with ``leaving`` set. Peers watch the prefix,
so every entry stops listing a leaving one within one round trip of the watch,
without waiting for the VM list, which lags.
"""

import asyncio
import math
import time

import attrs
from loguru import logger

from . import defaults, records
from ._http import check_address
from .watch import PrefixWatch

#: Seconds between two checks of this entry's registration.
CHECK_INTERVAL_SECONDS = 0.2


@attrs.define(frozen=True)
class Peer:
    """An entry VM as registered; addresses are ``host:port``.

    ``peer_address`` is where it receives datagrams of its peers and requests that they
    forward, empty if nowhere. ``forward_key`` signs such requests; without one, the VM
    takes none.
    """

    address: str
    data_centre: str
    peer_address: str = ""
    forward_key: bytes = attrs.field(default=b"", repr=False)

    @classmethod
    def from_record(cls, name, record):
        """Build a peer from the record that the store holds under ``name``.

        :raises ValueError: when it is another VM's, or no datagram can be sent to it.
        """
        if record.name != name:
            raise ValueError(f"record of {record.name!r}")
        if record.peerAddress:
            check_address(record.peerAddress)
        return cls(
            record.address, record.dataCentre, record.peerAddress, record.forwardKey
        )


class Membership:
    """The registration of this entry, and the registered peers.

    :param store: a :class:`~mulberrydock.store.StoreClient`.
    :param entry: this entry's name, address and data centre, as a
        :class:`~mulberrydock.serve.EntryVm` or a row of the settings.
    :param ttl: seconds of the registration lease.
    :param peer_address: ``host:port`` where this entry receives datagrams and forwarded
        requests, empty if nowhere.
    :param forward_key: the key that signs requests forwarded to this entry, empty if it
        takes none.
    :param renew_seconds: returns the seconds between two renewals of the lease, a third
        of the ttl if that is less. A renewal also shows whether the store answers.

    ``peers`` maps names to registered entries. ``expired`` holds those whose record
    was removed: the store may have dropped the lease in an outage while the entry
    is alive. ``left`` maps the names of VMs that stop or have stopped to until when
    they count as alive of late: ``recent_seconds`` from the removal of their record.
    """

    def __init__(
        self,
        store,
        entry,
        ttl=defaults.ENTRY_LEASE_TTL_SECONDS,
        peer_address="",
        forward_key=b"",
        renew_seconds=lambda: math.inf,
        recent_seconds=0.0,
    ):
        self.store = store
        self.entry = entry
        self.ttl = ttl
        self.peer_address = peer_address
        self.forward_key = forward_key
        self.renew_seconds = renew_seconds
        self.lease = 0
        self.registered = False
        self.leaving = False
        self.peers = {}
        self.expired = {}
        self.recent_seconds = recent_seconds
        self.left = {}

    @property
    def key(self):
        return defaults.ENTRY_PREFIX + self.entry.name

    def count_vms(self):
        """Return the number of entry VMs that may be alive, this one included.

        VMs whose record was removed still count: the store may have dropped all
        records at once, and each VM would then use the retry budget and the
        connections of the whole fleet.
        """
        return len({self.entry.name, *self.peers, *self.expired})

    def count_recent_vms(self):
        """Return the number of entry VMs alive of late, this one included.

        VMs that stop still count: they have spent a part of what all VMs share.
        """
        now = time.monotonic()
        self.left = {name: until for name, until in self.left.items() if until > now}
        return len({self.entry.name, *self.peers, *self.expired, *self.left})

    def _record(self):
        return records.encode(
            records.EntryRecord.new_message(
                name=self.entry.name,
                address=self.entry.address,
                dataCentre=self.entry.data_centre,
                leaving=self.leaving,
                startedAt=time.time(),
                peerAddress=self.peer_address,
                forwardKey=self.forward_key,
            )
        )

    async def register(self):
        """Create a lease and write this entry's record; return whether it worked."""
        granted = await self.store.grant(self.ttl)
        if granted.is_error():
            return False
        self.lease = granted.ok
        written = await self.store.put(self.key, self._record(), lease=self.lease)
        self.registered = written.is_ok()
        return self.registered

    async def mark_leaving(self):
        """Rewrite the record with ``leaving`` set, so that peers stop listing this VM.

        :returns: False when five attempts failed.
        """
        self.leaving = True
        self.peers.pop(self.entry.name, None)
        for _ in range(5):
            written = await self.store.put(self.key, self._record(), lease=self.lease)
            if written.is_ok():
                return True
            await asyncio.sleep(defaults.STORE_RETRY_SECONDS)
        return False

    def discard_lease(self):
        """Drop the lease without revoking it, as the store has lost it.

        Its id may have been given to another client since. :meth:`keep_alive`
        registers again.
        """
        self.lease = 0
        self.registered = False

    async def leave(self):
        """Revoke the lease; the store then deletes the record."""
        if self.lease:
            await self.store.revoke(self.lease)

    async def keep_alive(self):
        """Renew the lease at its interval; register again if it has expired.

        The store may also drop the record but not the lease. No call reports that;
        the watch does, and the record is then written again at once.
        """
        renewed_at = 0.0
        while True:
            now = time.monotonic()
            if self.leaving:
                pass
            elif not self.registered:
                await self.register()
                renewed_at = now
            elif now - renewed_at >= min(self.renew_seconds(), self.ttl / 3):
                self.registered = await self._renew()
                renewed_at = now
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def _renew(self):
        lease = self.lease
        renewed = await self.store.keepalive(lease)
        # An error doesn't mean that the lease has expired: keep it and try again.
        return lease == self.lease and (renewed.is_error() or renewed.ok)

    def apply(self, key, value, revision):
        """Apply one entry's record, or its removal when ``value`` is None."""
        name = key[len(defaults.ENTRY_PREFIX) :]
        if value is None:
            self._expire(name)
            return
        try:
            record = records.decode(records.EntryRecord, value)
            peer = Peer.from_record(name, record)
        except Exception as error:  # capnp and base64 raise their own types
            logger.warning("peer record refused", key=key, error=repr(error))
            return
        self.expired.pop(name, None)
        self.left.pop(name, None)
        if record.leaving:
            self.peers.pop(name, None)
            self.left[name] = math.inf
            logger.info("peer leaving", peer=name, revision=revision)
            return
        if name not in self.peers:
            logger.info("peer seen", peer=name, revision=revision)
        self.peers[name] = peer

    def _expire(self, name):
        peer = self.peers.pop(name, None)
        if peer is not None:
            self.expired[name] = peer
            logger.info("peer record gone", peer=name)
        if name in self.left:
            self.left[name] = time.monotonic() + self.recent_seconds
        if name == self.entry.name:
            self.registered = False

    def begin_reload(self):
        """Start a full read: entries that it lacks count as expired."""
        until = time.monotonic() + self.recent_seconds
        self.left = {name: min(until, end) for name, end in self.left.items()}
        self.expired.update(self.peers)
        self.peers.clear()

    def finish_reload(self):
        """End a full read: register again if it lacked this entry's own record."""
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
