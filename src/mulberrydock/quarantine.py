"""Which work must not be sent to an instance again, as instances crash under it.

The load pattern this answers is a request that crashes whatever runs it and comes
again, with the same path and body, at any VM. Each VM alone sees an instance or two
end beside many others that end for other reasons; only what all of them saw tells the
request that was there each time. So VMs tell each other, and keep in the store, under
which work an instance crashed, by the work's fingerprint.

A request that happened to run where an instance crashed is told apart by what follows:
it is served at another one, and that clears it.
"""

import collections

import attrs
from loguru import logger

from . import defaults
from .request import fingerprint

#: Crashes of instances under the same work after which it is sent to none any more.
CRASH_LIMIT = 3
#: Seconds for which what a crash cut off may still be served elsewhere before the
#: crash is told: most are, and need no call to the store. Well below the contact time.
SETTLE_SECONDS = 1.0
#: Seconds after which a VM writes what it heard of a crash, if the VM that saw it has
#: not, being cut off from the store; up to twice as long, so that not all write.
PEER_CRASH_WRITE_DELAY_SECONDS = 1.5
#: Messages to peers that tell of one crash: single datagrams get lost.
REPEATS = 3
#: Crashes told in one message, of some 55 bytes each: a datagram bears them beside
#: the rest, and an engine has some dozens of requests of one VM when it ends.
CRASHES_A_MESSAGE = 64
#: Seconds after a cut in which the end of the instance shows that it crashed.
CUT_SECONDS = 10.0
#: Seconds for which work that was served whole isn't suspected. Instances that are
#: lost together may all be at work on the same popular look-up.
SERVED_SECONDS = 60.0
#: Fingerprints of served work that are remembered for that.
SERVED_KEPT = 4096
#: Fingerprints under suspicion that are remembered while the store is away.
SUSPECTS_KEPT = 4096
#: Seconds for which the crashes of work that isn't in quarantine are kept in the store.
SUSPICION_KEPT_SECONDS = 600.0
#: Seconds for which those of work in quarantine are kept, a day: what crashes instances
#: does so until somebody has changed them.
QUARANTINE_KEPT_SECONDS = 86_400.0


@attrs.define(frozen=True)
class Crash:
    """One instance crashed under one piece of work; both are fingerprints."""

    work: str
    instance: str

    @classmethod
    def of(cls, work, incarnation):
        """Return the crash of the instance with that incarnation's name."""
        return cls(work, fingerprint(incarnation))

    @classmethod
    def from_key(cls, key):
        """Return the crash that a key in the store names, None if it names none."""
        work, separator, instance = key.removeprefix(defaults.CRASH_PREFIX).partition(
            "/"
        )
        return cls(work, instance) if work and separator and instance else None

    @property
    def key(self):
        """The key of its record in the store."""
        return f"{defaults.CRASH_PREFIX}{self.work}/{self.instance}"


@attrs.define
class Unwritten:
    """A crash that isn't known to be in the store: when to write it, in monotonic
    seconds, and in how many messages to peers it is still told."""

    write_at: float
    messages_left: int = 0


def _drop(by_work, crash):
    """Remove ``crash`` from what is kept by work and instance, if it is there."""
    crashes = by_work.get(crash.work, {})
    crashes.pop(crash.instance, None)
    if not crashes:
        by_work.pop(crash.work, None)


class Quarantine:
    """Crashes by work, those in the store and those that aren't yet.

    Every decision takes the present time, monotonic seconds unless said otherwise.
    """

    def __init__(self):
        # By work, by instance: the Unix time at which it was written.
        self.stored = {}
        self.unwritten = collections.OrderedDict()
        self.cuts = {}
        self.served = collections.OrderedDict()
        self.removals = set()
        # Crashes that the full read in progress has brought so far.
        self.read = set()
        self.copy_old = False

    def count(self, work):
        """Return how many instances are known to have crashed under ``work``."""
        return len(
            self.stored.get(work, {}).keys() | self.unwritten.get(work, {}).keys()
        )

    def is_quarantined(self, work, now):
        """True when ``work`` must not be sent to any instance."""
        return self.count(work) >= CRASH_LIMIT and not self._served(work, now)

    def _served(self, work, now):
        return now - self.served.get(work, -SERVED_SECONDS) < SERVED_SECONDS

    def record_cut(self, work, incarnation, now):
        """The connection to an instance ended under ``work``, for unknown reason."""
        cuts = self.cuts.get(incarnation, {})
        # Those of an instance that lives on would fill the memory.
        cuts = {other: at for other, at in cuts.items() if now - at <= CUT_SECONDS}
        self.cuts[incarnation] = cuts | {work: now}

    def record_termination(self, incarnation, now):
        """An incarnation is over: what it was cut off from shortly before, it
        crashed under."""
        for work, cut_at in self.cuts.pop(incarnation, {}).items():
            if now - cut_at <= CUT_SECONDS:
                self.record_crash(work, incarnation, now)

    def record_crash(self, work, incarnation, now):
        """This VM saw an instance crash under ``work``."""
        if self._served(work, now):
            return
        self._add(Crash.of(work, incarnation), now + SETTLE_SECONDS, REPEATS)
        logger.warning(
            "instance crashed",
            fingerprint=work,
            instance=incarnation,
            crashes=self.count(work),
            quarantined=self.is_quarantined(work, now),
        )

    def apply_peer_crash(self, crash, spread, now):
        """A peer saw a crash.

        :param spread: a number from 0 to 1, another one at each VM.
        """
        if self._served(crash.work, now):
            return
        self._add(crash, now + PEER_CRASH_WRITE_DELAY_SECONDS * (1 + spread), 0)

    def _add(self, crash, write_at, messages_left):
        if crash.instance in self.stored.get(crash.work, {}):
            return
        crashes = self.unwritten.setdefault(crash.work, {})
        crashes.setdefault(crash.instance, Unwritten(write_at, messages_left))
        while len(self.unwritten) > SUSPECTS_KEPT:
            self.unwritten.popitem(last=False)

    def record_request_end(self, work, served, now):
        """A request for ``work`` is over; ``served`` when an instance answered it.

        Work that was served crashes nobody. Of other work, what was seen is told now.
        """
        if served:
            self._clear(work, now)
            return
        for unwritten in self.unwritten.get(work, {}).values():
            # What was only heard is for the VM that saw it to write first.
            if unwritten.messages_left:
                unwritten.write_at = min(unwritten.write_at, now)

    def _clear(self, work, now):
        self.served[work] = now
        self.served.move_to_end(work)
        while len(self.served) > SERVED_KEPT:
            self.served.popitem(last=False)
        self.unwritten.pop(work, None)
        stored = self.stored.pop(work, {})
        self.removals.update(Crash(work, instance) for instance in stored)
        if stored:
            logger.info("cleared of crashes", fingerprint=work, crashes=len(stored))

    def due_writes(self, now):
        """Return the crashes that are to be written to the store."""
        return [
            Crash(work, instance)
            for work, crashes in self.unwritten.items()
            for instance, unwritten in crashes.items()
            if unwritten.write_at <= now
        ]

    def take_updates(self, now):
        """Return the crashes to tell the peers in the next message."""
        news = []
        for work, crashes in self.unwritten.items():
            for instance, unwritten in crashes.items():
                if unwritten.messages_left and unwritten.write_at <= now:
                    unwritten.messages_left -= 1
                    news.append(Crash(work, instance))
                if len(news) == CRASHES_A_MESSAGE:
                    return news
        return news

    def apply(self, key, written_at):
        """Take a record from the store; ``written_at`` is its Unix time, None when
        it was removed."""
        crash = Crash.from_key(key)
        if crash is None:
            return
        if written_at is None:
            self._forget(crash)
            return
        self.read.add(crash)
        self._store(crash, written_at)

    def _store(self, crash, written_at):
        self.stored.setdefault(crash.work, {})[crash.instance] = written_at
        _drop(self.unwritten, crash)

    def _forget(self, crash):
        self.read.discard(crash)
        _drop(self.stored, crash)

    def begin_reload(self):
        """A full read of the records follows; what is known holds until its end."""
        self.read.clear()

    def handle_store_restored(self):
        """The store came back from an older copy: what the next full read lacks may
        have been written since, and what it brings may have been removed."""
        self.copy_old = True

    def finish_reload(self, spread, now):
        """A full read is applied: records that it lacked are removed ones, unless the
        store has lost them.

        :param spread: as in :meth:`hear`.
        """
        for crash in self._all_stored():
            lacking = crash not in self.read
            if lacking:
                self._forget(crash)
            if self.copy_old and lacking:
                self.apply_peer_crash(crash, spread, now)
            elif self.copy_old and self._served(crash.work, now):
                self._forget(crash)
                self.removals.add(crash)
        self.copy_old = False

    def _all_stored(self):
        return [
            Crash(work, instance)
            for work, crashes in self.stored.items()
            for instance in crashes
        ]

    def expired(self, unix_now):
        """Return the stored crashes that have been kept long enough."""
        expired = []
        for work, crashes in self.stored.items():
            kept = SUSPICION_KEPT_SECONDS
            if len(crashes) >= CRASH_LIMIT:
                kept = QUARANTINE_KEPT_SECONDS
            if all(unix_now - at > kept for at in crashes.values()):
                expired += [Crash(work, instance) for instance in crashes]
        return expired
