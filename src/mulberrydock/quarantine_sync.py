"""Synchronises a quarantine with the store.

A record is one key for each work and instance, written unconditionally: writing it
twice, or late after a lost response, changes nothing. No lease is attached, as leases
may expire during an outage of the store, which may well be when engines crash.
"""

import asyncio
import time

import attrs
from loguru import logger

from . import records
from .exceptions import StoreError
from .rendezvous import rank

#: Seconds between two checks for pending writes, which are sent in one call.
POLL_INTERVAL_SECONDS = 0.1
#: Seconds until a failed write is retried.
RETRY_INTERVAL_SECONDS = 0.5
#: Seconds between two removals of expired records.
EXPIRY_INTERVAL_SECONDS = 30.0
#: Changes in one call to the store.
MAX_CHANGES_PER_CALL = 32


@attrs.define
class QuarantineSync:
    """Synchronises the store and a :class:`~mulberrydock.quarantine.Quarantine`.

    :param name: this VM's name, stated in the records.
    :param is_leader: returns True on the one VM that removes expired records.
    """

    quarantine: object
    store: object
    name: str
    is_leader: object
    last_expiry_at: float = 0.0

    def finish_reload(self, now):
        """End a full read of the records, at ``now`` in monotonic seconds."""
        jitter = rank("crashes", self.name)[0] / 256
        self.quarantine.finish_reload(jitter, now)

    def apply(self, key, value, revision):
        """Apply a record, or its removal when ``value`` is None."""
        now, age = time.monotonic(), 0.0
        if value is None:
            self.quarantine.apply(key, None, now)
            return
        try:
            record = records.decode(records.CrashRecord, value)
            written_at = record.writtenAt
            age = max(0.0, time.time() - (record.crashedAt or written_at))
        except Exception as error:  # capnp and base64 raise their own types
            logger.warning("crash record refused", key=key, error=repr(error))
            return
        self.quarantine.apply(key, written_at, now, age)

    async def step(self, now, unix_now):
        """Write what is due; return False when the store failed."""
        puts = self.quarantine.due_writes(now)[:MAX_CHANGES_PER_CALL]
        self._expire(now, unix_now)
        removals = list(self.quarantine.removals)[: MAX_CHANGES_PER_CALL - len(puts)]
        if not puts and not removals:
            return True
        written = await self._write(puts, removals, now, unix_now)
        if written.is_error():
            error = written.error
            if not isinstance(error, StoreError):
                raise error
            logger.warning("crashes not written", crashes=len(puts), error=str(error))
            return False
        self.quarantine.removals.difference_update(removals)
        for crash in puts:
            self.quarantine.apply(crash.key, unix_now, now)
            logger.info("crash written", fingerprint=crash.work, revision=written.ok)
        return True

    async def claim_trial(self, work, now, unix_now):
        """Claim the next trial of quarantined work, which only one VM gets.

        :returns: its record as a :class:`~mulberrydock.crash_evidence.Crash`, None if
            another VM has it or the store doesn't answer.
        """
        trial = self.quarantine.next_trial(work)
        record = self._record(now, now, unix_now)
        written = await self.store.put(trial.key, record, expect_version=0)
        logger.info(
            "trial of quarantined work",
            fingerprint=work,
            trial=trial.instance,
            claimed=written.is_ok(),
            error=str(written.error) if written.is_error() else "",
        )
        if written.is_error():
            return None
        self.quarantine.apply(trial.key, unix_now, now)
        return trial

    def _record(self, crashed_at, now, unix_now):
        message = records.CrashRecord.new_message(
            writtenAt=unix_now, by=self.name, crashedAt=unix_now - (now - crashed_at)
        )
        return records.encode(message)

    async def _write(self, puts, removals, now, unix_now):
        values = {
            crash.key: self._record(self.quarantine.crashed_at(crash), now, unix_now)
            for crash in puts
        }
        return await self.store.write_all(values, [crash.key for crash in removals])

    def _expire(self, now, unix_now):
        if now - self.last_expiry_at < EXPIRY_INTERVAL_SECONDS or not self.is_leader():
            return
        self.last_expiry_at = now
        self.quarantine.removals.update(self.quarantine.expired(unix_now))

    async def run(self):
        """Write what is due, until cancelled."""
        while True:
            written = await self.step(time.monotonic(), time.time())
            await asyncio.sleep(
                POLL_INTERVAL_SECONDS if written else RETRY_INTERVAL_SECONDS
            )
