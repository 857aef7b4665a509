"""Quarantines work that crashes instances, so that it isn't sent again.

A request that crashes every instance it runs on is sent again with the same path and
body, to any VM. One VM alone sees it end an instance or two, among many instances that
terminate for other reasons; only the observations of all VMs together identify the
request that was running each time. So VMs report to each other, and record in the
store, under which work an instance crashed, by the work's fingerprint.

A request that merely ran where an instance crashed is recognised by what follows: it is
served by another instance, and that clears it.
"""

import collections

import attrs
from loguru import logger

from . import defaults
from .request import fingerprint

#: Instance crashes under the same work after which it is sent to no instance.
CRASH_LIMIT = 3
#: Seconds before a crash is reported, in which the interrupted request may still be
#: served elsewhere: most are, and need no call to the store. Well below the contact
#: time, within which all VMs in contact with each other must know of a crash.
REPORT_DELAY_SECONDS = 1.0
#: Seconds after which a VM writes a crash that a peer reported, if the peer hasn't,
#: being cut off from the store; up to twice as long, so that not all VMs write.
PEER_CRASH_WRITE_DELAY_SECONDS = 1.5
#: Messages to peers that carry each crash: single datagrams get lost.
MESSAGES_PER_CRASH = 3
#: Crashes in one message, of some 55 bytes each: a datagram has room for them beside
#: the rest, and an engine runs some dozens of requests of one VM when it crashes.
MAX_CRASHES_PER_MESSAGE = 64
#: Seconds after a cut in which the instance's termination shows that it crashed.
CUT_WINDOW_SECONDS = 10.0
#: Seconds for which successfully served work isn't suspected: instances that are lost
#: together may all be running the same popular look-up.
SERVED_EXEMPTION_SECONDS = 60.0
#: Maximum number of fingerprints of served work that are remembered.
MAX_SERVED_ENTRIES = 4096
#: Maximum number of fingerprints of suspected work that are remembered while the store
#: is unavailable.
MAX_SUSPECT_ENTRIES = 4096
#: Seconds for which the store retains crashes of work that isn't quarantined.
SUSPECT_RETENTION_SECONDS = 600.0
#: Seconds for which the store retains crashes of quarantined work, a day: what crashes
#: instances does so until somebody has changed them.
QUARANTINE_RETENTION_SECONDS = 86_400.0


@attrs.define(frozen=True)
class Crash:
    """A crash of one instance under one piece of work; both are fingerprints."""

    work: str
    instance: str

    @classmethod
    def of(cls, work, incarnation):
        """Return the crash of ``incarnation``, an instance's id, under ``work``."""
        return cls(work, fingerprint(incarnation))

    @classmethod
    def from_key(cls, key):
        """Return the crash that a store key names, None if it names none."""
        work, separator, instance = key.removeprefix(defaults.CRASH_PREFIX).partition(
            "/"
        )
        return cls(work, instance) if work and separator and instance else None

    @property
    def key(self):
        """The store key of its record."""
        return f"{defaults.CRASH_PREFIX}{self.work}/{self.instance}"


@attrs.define
class PendingCrash:
    """A crash that isn't known to be in the store.

    ``write_at`` is when to write it, monotonic seconds; ``messages_left`` is the number
    of messages to peers that are still to carry it.
    """

    write_at: float
    messages_left: int = 0


def _remove(by_work, crash):
    """Remove ``crash`` from a dictionary by work and instance, if present."""
    crashes = by_work.get(crash.work, {})
    crashes.pop(crash.instance, None)
    if not crashes:
        by_work.pop(crash.work, None)


class Quarantine:
    """Crashes by work: those in the store and those not yet written.

    ``now`` is monotonic seconds in every method.
    """

    def __init__(self):
        # By work and instance: the Unix time at which it was written.
        self.stored = {}
        self.pending = collections.OrderedDict()
        self.cuts = {}
        self.served_at = collections.OrderedDict()
        self.removals = set()
        # Crashes that the full read in progress has found so far.
        self.seen_in_reload = set()
        self.store_restored = False

    def count(self, work):
        """Return how many instances are known to have crashed under ``work``."""
        return len(self.stored.get(work, {}).keys() | self.pending.get(work, {}).keys())

    def is_quarantined(self, work, now):
        """Return whether ``work`` must not be sent to any instance."""
        return self.count(work) >= CRASH_LIMIT and not self._recently_served(work, now)

    def _recently_served(self, work, now):
        return (
            now - self.served_at.get(work, -SERVED_EXEMPTION_SECONDS)
            < SERVED_EXEMPTION_SECONDS
        )

    def record_cut(self, work, incarnation, now):
        """Record that an instance's connection ended under ``work``, cause unknown."""
        cuts = self.cuts.get(incarnation, {})
        # Cuts of an instance that keeps running would accumulate.
        cuts = {
            other: at for other, at in cuts.items() if now - at <= CUT_WINDOW_SECONDS
        }
        self.cuts[incarnation] = cuts | {work: now}

    def record_termination(self, incarnation, now):
        """Record that an incarnation terminated.

        It crashed under the work of the connections that it cut shortly before.
        """
        for work, cut_at in self.cuts.pop(incarnation, {}).items():
            if now - cut_at <= CUT_WINDOW_SECONDS:
                self.record_crash(work, incarnation, now)

    def record_crash(self, work, incarnation, now):
        """Record that this VM saw an instance crash under ``work``."""
        if self._recently_served(work, now):
            return
        self._add_pending(
            Crash.of(work, incarnation), now + REPORT_DELAY_SECONDS, MESSAGES_PER_CRASH
        )
        logger.warning(
            "instance crashed",
            fingerprint=work,
            instance=incarnation,
            crashes=self.count(work),
            quarantined=self.is_quarantined(work, now),
        )

    def apply_peer_crash(self, crash, jitter, now):
        """Record a crash that a peer reported.

        :param jitter: a number from 0 to 1 that differs between VMs.
        """
        if self._recently_served(crash.work, now):
            return
        self._add_pending(crash, now + PEER_CRASH_WRITE_DELAY_SECONDS * (1 + jitter), 0)

    def _add_pending(self, crash, write_at, messages_left):
        if crash.instance in self.stored.get(crash.work, {}):
            return
        crashes = self.pending.setdefault(crash.work, {})
        crashes.setdefault(crash.instance, PendingCrash(write_at, messages_left))
        while len(self.pending) > MAX_SUSPECT_ENTRIES:
            self.pending.popitem(last=False)

    def record_request_end(self, work, served, now):
        """Record the end of a request for ``work``.

        Work that was served crashes no instance and is cleared. If it wasn't, the
        crashes that this VM saw under it are written and reported without delay.

        :param served: whether an instance answered the request with success.
        """
        if served:
            self._clear(work, now)
            return
        for pending_crash in self.pending.get(work, {}).values():
            # A crash that a peer reported is for that peer to write first.
            if pending_crash.messages_left:
                pending_crash.write_at = min(pending_crash.write_at, now)

    def _clear(self, work, now):
        self.served_at[work] = now
        self.served_at.move_to_end(work)
        while len(self.served_at) > MAX_SERVED_ENTRIES:
            self.served_at.popitem(last=False)
        self.pending.pop(work, None)
        stored = self.stored.pop(work, {})
        self.removals.update(Crash(work, instance) for instance in stored)
        if stored:
            logger.info("cleared of crashes", fingerprint=work, crashes=len(stored))

    def due_writes(self, now):
        """Return the crashes whose write to the store is due."""
        return [
            Crash(work, instance)
            for work, crashes in self.pending.items()
            for instance, pending_crash in crashes.items()
            if pending_crash.write_at <= now
        ]

    def take_updates(self, now):
        """Return the crashes to send to the peers in the next message."""
        updates = []
        for work, crashes in self.pending.items():
            for instance, pending_crash in crashes.items():
                if pending_crash.messages_left and pending_crash.write_at <= now:
                    pending_crash.messages_left -= 1
                    updates.append(Crash(work, instance))
                if len(updates) == MAX_CRASHES_PER_MESSAGE:
                    return updates
        return updates

    def apply(self, key, written_at):
        """Apply a change of a record in the store.

        :param written_at: Unix time of the record, None when it was removed.
        """
        crash = Crash.from_key(key)
        if crash is None:
            return
        if written_at is None:
            self._remove_stored(crash)
            return
        self.seen_in_reload.add(crash)
        self._store(crash, written_at)

    def _store(self, crash, written_at):
        self.stored.setdefault(crash.work, {})[crash.instance] = written_at
        _remove(self.pending, crash)

    def _remove_stored(self, crash):
        self.seen_in_reload.discard(crash)
        _remove(self.stored, crash)

    def begin_reload(self):
        """Begin a full read of the records; known crashes count until its end."""
        self.seen_in_reload.clear()

    def handle_store_restored(self):
        """Record that the store was restored from an older copy.

        Crashes that the next full read lacks may have been written after that copy, and
        crashes that it finds may have been removed since.
        """
        self.store_restored = True

    def finish_reload(self, jitter, now):
        """End a full read: drop stored crashes that it lacked, as they were removed.

        After a restore of the store, the store has lost them instead, so they are
        written again; what was cleared since the copy is removed again.

        :param jitter: as in :meth:`apply_peer_crash`.
        """
        for crash in self._all_stored():
            missing = crash not in self.seen_in_reload
            if missing:
                self._remove_stored(crash)
            if self.store_restored and missing:
                self.apply_peer_crash(crash, jitter, now)
            elif self.store_restored and self._recently_served(crash.work, now):
                self._remove_stored(crash)
                self.removals.add(crash)
        self.store_restored = False

    def _all_stored(self):
        return [
            Crash(work, instance)
            for work, crashes in self.stored.items()
            for instance in crashes
        ]

    def expired(self, unix_now):
        """Return the stored crashes whose retention time is over.

        :param unix_now: Unix time, seconds.
        """
        expired = []
        for work, crashes in self.stored.items():
            retention_seconds = SUSPECT_RETENTION_SECONDS
            if len(crashes) >= CRASH_LIMIT:
                retention_seconds = QUARANTINE_RETENTION_SECONDS
            if all(unix_now - at > retention_seconds for at in crashes.values()):
                expired += [Crash(work, instance) for instance in crashes]
        return expired
