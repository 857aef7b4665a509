"""Keeps the versions of each service in the store, for VMs that start.

A VM that starts has seen nothing but the instances that are registered now, and all
VMs may start at once. So the leader writes down which versions' streams may still go
on.
"""

import asyncio
import time

import attrs
from loguru import logger

from . import records
from .defaults import VERSIONS_KEY
from .exceptions import StoreError
from .version_history import is_stated

#: Seconds between two comparisons of the record with the versions seen.
CHECK_INTERVAL_SECONDS = 0.2
#: Seconds until a failed write is retried.
RETRY_INTERVAL_SECONDS = 0.5


@attrs.define
class VersionRecords:
    """The record of the versions that streams may be of.

    :param versions: the :class:`~mulberrydock.version_history.VersionHistory`.
    :param store: a :class:`~mulberrydock.store.StoreClient`.
    :param is_leader: returns True on the one VM that writes.
    :param first_start: True when the whole system starts for the first time, so that no
        stream is older than what this VM has seen.

    ``revision`` is that of the record, 0 if there is none.
    """

    versions: object
    store: object
    is_leader: object
    first_start: bool = False
    revision: int = 0

    def begin_reload(self):
        """Start a full read of the store."""
        self.versions.recorded, self.versions.is_recorded = None, False
        self.revision = 0

    def finish_reload(self):
        """End a full read: what was read is current."""
        if self.versions.recorded is None:
            self.versions.recorded = {}
        self.versions.confirm(time.monotonic())

    def apply(self, key, value, revision):
        """Apply the record, or its removal when ``value`` is None."""
        self.versions.recorded, self.revision = {}, 0
        if value is None:
            return
        self.revision = revision
        try:
            record = records.decode(records.VersionsRecord, value)
            self.versions.recorded = {
                row.service: frozenset(row.versions) for row in record.services
            }
        except Exception as error:  # capnp and base64 raise their own types
            logger.warning("versions record refused", key=key, error=repr(error))

    def due(self, now):
        """Return the versions of each service that the record has to hold."""
        complete = self.versions.is_complete(now)
        recorded, due = self.versions.recorded, {}
        for service in recorded.keys() | {name for name, _ in self.versions.seen_at}:
            seen = self.versions.seen(service)
            if not all(is_stated(version) for version in seen):
                # What an instance without a version began goes on there only.
                continue
            if complete or (service not in recorded and self.first_start):
                versions = frozenset(seen)
            elif service in recorded:
                versions = recorded[service] | seen
            else:
                # Earlier versions may have been missed.
                continue
            if versions:
                due[service] = versions
        return due

    async def step(self, now):
        """Write what is due; return False when the store failed."""
        if self.versions.recorded is None or not self.is_leader():
            return True
        due = self.due(now)
        if due == self.versions.recorded:
            return True
        rows = [
            {"service": service, "versions": sorted(due[service])}
            for service in sorted(due)
        ]
        value = records.encode(records.VersionsRecord.new_message(services=rows))
        written = await self.store.put(VERSIONS_KEY, value, self.revision)
        logger.info(
            "versions in use",
            versions={row["service"]: row["versions"] for row in rows},
            written=written.is_ok(),
            error=str(written.error) if written.is_error() else "",
        )
        if written.is_ok():
            self.versions.recorded, self.revision = due, written.ok
        elif not isinstance(written.error, StoreError):
            raise written.error
        return written.is_ok()

    async def run(self):
        """Write what is due, until cancelled."""
        while True:
            written = await self.step(time.monotonic())
            await asyncio.sleep(
                CHECK_INTERVAL_SECONDS if written else RETRY_INTERVAL_SECONDS
            )
