"""The task that writes to the store what this VM learnt of crashes.

A record is one key for each work and instance, written without a condition: writing
it twice, or late after a lost answer, changes nothing. No lease is attached, as those
may lapse in an outage of the store, which may well be when engines crash.
"""

import asyncio
import time

import attrs
from loguru import logger

from . import records
from .exceptions import StoreError

#: Seconds between two looks at what is to be written, which come in one call.
LOOK_SECONDS = 0.1
#: Seconds until a failed write is tried again.
RETRY_SECONDS = 0.5
#: Seconds between two looks at what has been kept long enough.
EXPIRY_SECONDS = 30.0
#: Changes in one call to the store.
CHANGES_A_CALL = 32


@attrs.define
class QuarantineSync:
    """Keeps the store in step with a :class:`~mulberrydock.quarantine.Quarantine`.

    :param name: this VM's name, for those who read the records.
    :param is_leader: returns True on the one VM that removes what is old.
    """

    quarantine: object
    store: object
    name: str
    is_leader: object
    expired_at: float = 0.0

    def apply(self, key, value, revision):
        """Take a record, or its removal when ``value`` is None."""
        if value is None:
            self.quarantine.apply(key, None)
            return
        try:
            record = records.decode(records.CrashRecord, value)
            written_at = record.writtenAt
        except Exception as error:  # capnp and base64 raise their own types
            logger.warning("crash record refused", key=key, error=repr(error))
            return
        self.quarantine.apply(key, written_at)

    async def step(self, now, unix_now):
        """Write what is due; True unless the store failed."""
        puts = self.quarantine.due_writes(now)[:CHANGES_A_CALL]
        self._expire(now, unix_now)
        removals = list(self.quarantine.removals)[: CHANGES_A_CALL - len(puts)]
        if not puts and not removals:
            return True
        written = await self._write(puts, removals, unix_now)
        if written.is_error():
            error = written.error
            if not isinstance(error, StoreError):
                raise error
            logger.warning("crashes not written", crashes=len(puts), error=str(error))
            return False
        self.quarantine.removals.difference_update(removals)
        for crash in puts:
            self.quarantine.apply(crash.key, unix_now)
            logger.info("crash written", fingerprint=crash.work, revision=written.ok)
        return True

    async def _write(self, puts, removals, unix_now):
        record = records.encode(
            records.CrashRecord.new_message(writtenAt=unix_now, by=self.name)
        )
        return await self.store.write_all(
            {crash.key: record for crash in puts}, [crash.key for crash in removals]
        )

    def _expire(self, now, unix_now):
        if now - self.expired_at < EXPIRY_SECONDS or not self.is_leader():
            return
        self.expired_at = now
        self.quarantine.removals.update(self.quarantine.expired(unix_now))

    async def run(self):
        """Write for ever."""
        while True:
            written = await self.step(time.monotonic(), time.time())
            await asyncio.sleep(LOOK_SECONDS if written else RETRY_SECONDS)
