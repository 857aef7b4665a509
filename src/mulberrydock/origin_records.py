"""Keeps in the store which version began each stream.

The VMs tell a few peers of each stream, but all VMs may lose power at once. While a
service has several versions, the streams that have begun are also written to the store,
which VMs read as they start. No event waits for that: a stream whose VMs all fail
within the interval of the writes goes on nowhere.
"""

import asyncio
import collections
import itertools
import time

import attrs
from loguru import logger

from . import records
from .defaults import ORIGIN_PREFIX
from .exceptions import StoreError, VersionConflict
from .request import FINGERPRINT_BYTES
from .stream_origins import RETENTION_SECONDS, StreamOrigin

#: Maximum number of VMs that write; the others of a large fleet send them their
#: streams.
MAX_WRITERS = 12
#: Key of the order in which VMs are writers.
WRITERS = "writers"
#: Writes a second of all writers together: a small part of what the store takes.
WRITES_PER_SECOND = 80.0
#: Seconds until a failed write is retried.
RETRY_INTERVAL_SECONDS = 0.5
#: Seconds whose streams are in one record, which each write replaces.
SEGMENT_SECONDS = 5.0
#: Records of one process. After the last one, the first is written anew; clients give
#: a stream up long before.
SEGMENTS = 6
#: Seconds for which a stream that isn't written yet is kept, as a second version may
#: come.
WAITING_SECONDS = SEGMENT_SECONDS * (SEGMENTS - 1)
#: Seconds between two removals of old records.
EXPIRY_INTERVAL_SECONDS = 30.0
#: Records that one call removes.
MAX_REMOVALS_PER_CALL = 32


@attrs.define(eq=False)
class Segment:
    """The streams that began in one span of time, as their origins by key.

    ``revision`` is that of the record in the store that it replaces, 0 for none;
    ``written`` is the number of its streams that the store holds.
    """

    key: str
    revision: int = 0
    origins: dict = attrs.field(factory=dict)
    written: int = 0

    @property
    def is_due(self):
        """Whether the store lacks a stream."""
        return self.written < len(self.origins)

    def encode(self):
        """Return the record as text."""
        keys = {}
        for key, origin in self.origins.items():
            place = origin.service, origin.version
            keys.setdefault(place, bytearray()).extend(bytes.fromhex(key))
        rows = [
            {"service": service, "version": version, "keys": bytes(data)}
            for (service, version), data in keys.items()
        ]
        return records.encode(records.OriginRecord.new_message(origins=rows))


def decode(text):
    """Return the :class:`~mulberrydock.stream_origins.StreamOrigin` in a record.

    :raises Exception: when ``text`` is no valid record.
    """
    record, origins = records.decode(records.OriginRecord, text), []
    for row in record.origins:
        # Each access to a field of the record reads the whole of it.
        service, version, keys = row.service, row.version, bytes(row.keys)
        for start in range(0, len(keys), FINGERPRINT_BYTES):
            key = keys[start : start + FINGERPRINT_BYTES].hex()
            origins.append(StreamOrigin(key, version, service))
    return origins


@attrs.define(eq=False)
class OriginRecords:
    """Writes the origins of streams to the store, and reads those of all VMs.

    Methods take the current time as ``now``, in monotonic seconds.

    :param name: this process's part of the keys of its records.
    :param store: a :class:`~mulberrydock.store.StoreClient`.
    :param exchange: the :class:`~mulberrydock.origin_exchange.OriginExchange`.
    :param versions: the :class:`~mulberrydock.version_history.VersionHistory`.
    :param is_leader: returns True on the one VM that removes old records.

    ``waiting`` maps services to (when it began, origin) of the streams that this VM
    began and that may have to be written. ``segments`` are this process's records by
    their place; ``changed_at`` maps the keys of all records to when they changed.
    ``is_loading`` is True until the store has been read in full: peers tell of later
    streams, and the records are those of the whole fleet.
    """

    name: str
    store: object
    exchange: object
    versions: object
    is_leader: object
    waiting: dict = attrs.field(factory=dict)
    segments: dict = attrs.field(factory=dict)
    changed_at: dict = attrs.field(factory=dict)
    is_loading: bool = True
    expired_at: float = 0.0

    def add(self, service, origin, now):
        """Remember the origin of a stream that this VM began."""
        waiting = self.waiting.setdefault(service, collections.deque())
        waiting.append((now, origin))
        while waiting[0][0] < now - WAITING_SECONDS:
            waiting.popleft()

    def begin_reload(self):
        """Start a full read of the store."""
        self.changed_at.clear()
        self.is_loading = True

    def finish_reload(self):
        """End a full read."""
        self.is_loading = False

    def apply(self, key, value, revision):
        """Apply a record, or its removal when ``value`` is None."""
        now = time.monotonic()
        if value is None:
            self.changed_at.pop(key, None)
            return
        self.changed_at[key] = now
        if not self.is_loading or key.startswith(self._prefix):
            return
        try:
            origins = decode(value)
        except Exception as error:  # capnp and base64 raise their own types
            logger.warning("origin record refused", key=key, error=repr(error))
            return
        for origin in origins:
            self.exchange.origins.record(origin, now)

    @property
    def _prefix(self):
        return f"{ORIGIN_PREFIX}{self.name}/"

    def write(self, origin, now):
        """Add a stream to the present record, also one that a peer has sent."""
        number = int(now // SEGMENT_SECONDS)
        place = number % SEGMENTS
        former = self.segments.get(place)
        if former is None or former[0] != number:
            segment = Segment(f"{self._prefix}{place}")
            if former is not None:
                segment.revision = former[1].revision
            self.segments[place] = (number, segment)
        self.segments[place][1].origins.setdefault(origin.key, origin)

    def _writers(self, now):
        names = itertools.islice(self.exchange.names(WRITERS, now), MAX_WRITERS)
        # A VM that knows no peer writes for itself.
        return list(names) or [self.exchange.groups.name]

    def _take_waiting(self, writers, now):
        """Write the streams of services that have several versions, or have it done."""
        for service, waiting in self.waiting.items():
            if not waiting or not self.versions.has_several(service, now):
                continue
            for _, origin in waiting:
                writer = writers[int(origin.key, 16) % len(writers)]
                if self.exchange.is_own(writer):
                    self.write(origin, now)
                else:
                    self.exchange.send_to_writer(writer, origin)
            waiting.clear()

    async def step(self, now):
        """Write one record that is due.

        :returns: the seconds until the next step.
        """
        writers = self._writers(now)
        self._take_waiting(writers, now)
        interval = len(writers) / WRITES_PER_SECOND
        for _, segment in sorted(self.segments.values(), key=lambda row: row[0]):
            if segment.is_due:
                written = await self._write(segment)
                return interval if written else RETRY_INTERVAL_SECONDS
        await self._expire(now)
        return interval

    async def _write(self, segment):
        count = len(segment.origins)
        # Under a condition: a call that got no answer may be carried out later.
        written = await self.store.put(
            segment.key, segment.encode(), expect_version=segment.revision
        )
        if written.is_ok():
            segment.revision, segment.written = written.ok, count
            logger.info("origins written", key=segment.key, streams=count)
            return True
        if not isinstance(written.error, StoreError):
            raise written.error
        if isinstance(written.error, VersionConflict):
            segment.revision = written.error.current
        logger.warning(
            "origins not written",
            key=segment.key,
            streams=count - segment.written,
            error=str(written.error),
        )
        return isinstance(written.error, VersionConflict)

    async def _expire(self, now):
        """Remove the records that no process writes any more."""
        if now - self.expired_at < EXPIRY_INTERVAL_SECONDS or not self.is_leader():
            return
        self.expired_at = now
        old = [k for k, at in self.changed_at.items() if now - at > RETENTION_SECONDS]
        if not old:
            return
        removed = await self.store.write_all({}, old[:MAX_REMOVALS_PER_CALL])
        logger.info(
            "origin records removed",
            keys=old[:MAX_REMOVALS_PER_CALL],
            removed=removed.is_ok(),
        )

    async def run(self):
        """Write what is due, until cancelled."""
        while True:
            await asyncio.sleep(await self.step(time.monotonic()))
