"""Quarantines work that crashes instances, so that it isn't sent again.

A request that crashes every instance it runs on is sent again with the same path and
body, to any VM; or no two requests are alike, but each has the same part in its prompt.
One VM alone sees it end an instance or two, among many instances that terminate for
other reasons; only the observations of all VMs together identify what was running each
time. So VMs report to each other, and record in the store, under which work an instance
crashed: by the fingerprints of whole requests and of the shared parts of their prompts.

Work that merely ran where an instance crashed is recognised by what follows: it is
served by another instance, and that clears it.
"""

import collections
import math

import attrs
from loguru import logger

from .crash_evidence import CRASH_LIMIT, Crash, CrashEvidence

#: Seconds after a crash in which a part of a prompt that is under suspicion, and that
#: nothing shows to be sound, is sent to no instance. All VMs hear of the crash in that
#: time; otherwise each could lose an instance of its own to the same part.
SUSPECT_PAUSE_SECONDS = 1.0
#: Seconds from the last crash under quarantined work to the trial of one request, and
#: the factor by which each trial multiplies them: what was blamed wrongly is served
#: again, and what is deadly costs a few instances a day.
TRIAL_PAUSE_SECONDS = 10.0
TRIAL_PAUSE_FACTOR = 12.0
#: The same pause where other work explains the crashes as well, and the request has
#: only one of the two: the trial tells which of them it is.
RIVAL_TRIAL_PAUSE_SECONDS = 1.0
#: Beginning of the store key's last part that records a trial instead of a crash.
TRIAL_PREFIX = "trial-"
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
#: Maximum number of fingerprints of suspected work that are remembered while the store
#: is unavailable.
MAX_SUSPECT_ENTRIES = 4096
#: Seconds for which the store retains crashes of work that isn't quarantined.
SUSPECT_RETENTION_SECONDS = 600.0
#: Seconds for which the store retains crashes of quarantined work, a day: what crashes
#: instances does so until somebody has changed them.
QUARANTINE_RETENTION_SECONDS = 86_400.0


#: Works in one message that are reported as sound, and messages that carry each.
MAX_SOUND_PER_MESSAGE = 32
MESSAGES_PER_SOUND_WORK = 3
#: Seconds for which a peer's report that work is sound spares this VM its own.
SOUND_REPORT_SECONDS = 2.0
#: Maximum number of cleared crashes that are remembered, in case the store is restored
#: from an older copy that has them.
MAX_CLEARED_ENTRIES = 4096


@attrs.define
class PendingCrash:
    """A crash that isn't known to be in the store.

    ``report_at`` is when to report it to the peers and ``write_at`` when to write it,
    monotonic seconds; ``messages_left`` is the number of messages to peers that are
    still to carry it.
    """

    report_at: float
    write_at: float
    messages_left: int = 0


def _remove(by_work, crash):
    """Remove ``crash`` from a dictionary by work and instance, if present."""
    crashes = by_work.get(crash.work, {})
    crashes.pop(crash.instance, None)
    if not crashes:
        by_work.pop(crash.work, None)


def _put(entries, key, value, limit):
    """Put an entry last in an ordered dictionary of at most ``limit`` entries."""
    entries[key] = value
    entries.move_to_end(key)
    while len(entries) > limit:
        entries.popitem(last=False)


class Quarantine:
    """Crashes by work: those in the store and those not yet written.

    ``now`` is monotonic seconds in every method. ``on_report`` is called without
    arguments when something should reach the peers without delay.
    """

    def __init__(self):
        self.evidence = CrashEvidence()
        # By work and instance: the Unix time at which it was written.
        self.stored = {}
        self.pending = collections.OrderedDict()
        self.cuts = {}
        self.removals = set()
        # Crashes that had another cause, as their work was served afterwards: whether
        # this VM served it, and so removes them from the store.
        self.cleared = collections.OrderedDict()
        # Messages that are still to report a work as sound, and when a peer last did.
        self.sound_reports = collections.OrderedDict()
        self.heard_sound_at = collections.OrderedDict()
        # Crashes that the full read in progress has found so far.
        self.seen_in_reload = set()
        self.store_restored = False
        self.on_report = lambda: None

    def count(self, work):
        """Return how many instances are known to have crashed under ``work``."""
        return self.evidence.count(work)

    def is_quarantined(self, work):
        """Return whether ``work`` must not be sent to any instance."""
        return work in self.evidence.blamed

    def pause_seconds(self, part, now):
        """Return for how long a part of a prompt under suspicion isn't to be sent.

        :returns: seconds, 0 if it may be sent.
        """
        if not self.evidence.is_unproven(part):
            return 0.0
        until = self.evidence.last_crash_at(part) + SUSPECT_PAUSE_SECONDS
        return max(0.0, until - now)

    def trial_seconds(self, works, now):
        """Return in how many seconds one request may be tried though it is quarantined.

        :param works: the quarantined works of the request.
        """
        return max(self._trial_at(work, len(works) == 1) - now for work in works)

    def _trial_at(self, work, alone):
        rival = alone and self.evidence.has_rival(work)
        pause = RIVAL_TRIAL_PAUSE_SECONDS if rival else TRIAL_PAUSE_SECONDS
        pause *= TRIAL_PAUSE_FACTOR ** self.trials(work)
        return self.evidence.last_crash_at(work) + pause

    def trials(self, work):
        """Return how many trials of ``work`` are recorded."""
        instances = self.evidence.crashes.get(work, ())
        return sum(instance.startswith(TRIAL_PREFIX) for instance in instances)

    def next_trial(self, work):
        """Return the record of the next trial of ``work``, as a crash.

        It counts as one until the trial has succeeded: the VM may be lost with it.
        """
        return Crash(work, f"{TRIAL_PREFIX}{self.trials(work)}")

    def release_trial(self, trial):
        """Remove the record of a trial in which no instance ran the request."""
        self._remove_stored(trial)
        self.removals.add(trial)

    def record_cut(self, work, incarnation, now, shared=False):
        """Record that an instance's connection ended under ``work``, cause unknown.

        :param shared: whether ``work`` is a part of prompts that requests share.
        """
        cuts = self.cuts.get(incarnation, {})
        # Cuts of an instance that keeps running would accumulate.
        cuts = {
            other: cut
            for other, cut in cuts.items()
            if now - cut[0] <= CUT_WINDOW_SECONDS
        }
        self.cuts[incarnation] = cuts | {work: (now, shared)}

    def record_termination(self, incarnation, now):
        """Record that an incarnation terminated.

        It crashed under the work of the connections that it cut shortly before.
        """
        for work, (cut_at, shared) in self.cuts.pop(incarnation, {}).items():
            if now - cut_at <= CUT_WINDOW_SECONDS:
                self.record_crash(work, incarnation, now, shared, cut_at)

    def record_crash(self, work, incarnation, now, shared=False, crashed_at=None):
        """Record that this VM saw an instance crash under ``work``.

        A part of prompts is reported at once, as other requests with it are on their
        way, and written at once if nothing shows that it is sound.

        :param shared: whether ``work`` is a part of prompts that requests share.
        :param crashed_at: when it crashed, monotonic seconds; ``now`` when None.
        """
        crashed_at = now if crashed_at is None else crashed_at
        served = self.evidence.was_served(work, crashed_at)
        report_at = now if shared else now + REPORT_DELAY_SECONDS
        write_at = now if shared and not served else now + REPORT_DELAY_SECONDS
        crash = Crash.of(work, incarnation)
        if crash in self.cleared or self.crashed_at(crash) is not None:
            # Another request was interrupted by the same crash.
            return
        pending_crash = PendingCrash(report_at, write_at, MESSAGES_PER_CRASH)
        self._add_pending(crash, pending_crash, crashed_at, now)
        if shared:
            self.on_report()
        logger.warning(
            "instance crashed",
            fingerprint=work,
            part=shared,
            instance=incarnation,
            crashes=self.count(work),
            served_before=served,
            quarantined=self.is_quarantined(work),
        )

    def apply_peer_crash(self, crash, jitter, now, age=0.0):
        """Record a crash that a peer reported.

        :param jitter: a number from 0 to 1 that differs between VMs.
        :param age: seconds since the instance crashed.
        """
        write_at = now + PEER_CRASH_WRITE_DELAY_SECONDS * (1 + jitter)
        self._add_pending(crash, PendingCrash(now, write_at), now - age, now)

    def _add_pending(self, crash, pending_crash, crashed_at, now):
        if crash in self.cleared or crash.instance in self.stored.get(crash.work, {}):
            return
        crashes = self.pending.setdefault(crash.work, {})
        crashes.setdefault(crash.instance, pending_crash)
        self._add_evidence(crash, crashed_at, now)
        while len(self.pending) > MAX_SUSPECT_ENTRIES:
            work, crashes = self.pending.popitem(last=False)
            for instance in crashes:
                self.evidence.remove(Crash(work, instance))

    def _add_evidence(self, crash, crashed_at, now):
        """Add a crash, and report if this VM knows that its work was sound before."""
        self.evidence.add(crash, crashed_at)
        heard_at = self.heard_sound_at.get(crash.work, -math.inf)
        if (
            self.evidence.was_served(crash.work, crashed_at)
            and now - heard_at > SOUND_REPORT_SECONDS
        ):
            self._report_sound(crash.work)

    def _report_sound(self, work):
        _put(self.sound_reports, work, MESSAGES_PER_SOUND_WORK, MAX_SUSPECT_ENTRIES)

    def record_request_end(self, work, served, now, began_at=None):
        """Record the end of a request for ``work``.

        Work that was served crashes no instance and is cleared. If it wasn't, the
        crashes that this VM saw under it are written and reported without delay, unless
        it is known to be sound.

        :param served: whether an instance answered the request with success, or went on
            writing its answer.
        :param began_at: when the instance began to write it, monotonic seconds; ``now``
            when None.
        """
        if served:
            self._record_served(work, now if began_at is None else began_at)
            return
        if self.evidence.was_served(work, now):
            return
        for pending_crash in self.pending.get(work, {}).values():
            # A crash that a peer reported is for that peer to write first.
            if pending_crash.messages_left:
                pending_crash.write_at = min(pending_crash.write_at, now)
                pending_crash.report_at = min(pending_crash.report_at, now)

    def _record_served(self, work, began_at):
        was_stored = set(self.stored.get(work, ()))
        cleared = self.clear(work, began_at, own=True)
        self.removals.update(c for c in cleared if c.instance in was_stored)
        if cleared:
            self._report_sound(work)
            self.on_report()
            logger.info("cleared of crashes", fingerprint=work, crashes=len(cleared))

    def clear(self, work, sound_at, own=False):
        """Clear ``work`` of the crashes until a time at which it was sound.

        :param own: whether this VM served it.
        :returns: the cleared crashes.
        """
        cleared = self.evidence.record_served(work, sound_at)
        for crash in cleared:
            self.evidence.remove(crash)
            _remove(self.pending, crash)
            _remove(self.stored, crash)
            _put(self.cleared, crash, own, MAX_CLEARED_ENTRIES)
        return cleared

    def apply_peer_sound(self, work, sound_at, now):
        """Record that a peer knows ``work`` to have been sound at a time."""
        _put(self.heard_sound_at, work, now, MAX_SUSPECT_ENTRIES)
        if sound_at >= self.evidence.served_at.get(work, sound_at):
            self.sound_reports.pop(work, None)
        cleared = self.clear(work, sound_at)
        if cleared:
            logger.info(
                "cleared of crashes by a peer", fingerprint=work, crashes=len(cleared)
            )

    def take_sound_reports(self, now):
        """Return (work, seconds since it was sound) for the next message to peers."""
        reports = []
        for work in list(self.sound_reports)[:MAX_SOUND_PER_MESSAGE]:
            sound_at = self.evidence.served_at.get(work)
            self.sound_reports[work] -= 1
            if not self.sound_reports[work] or sound_at is None:
                del self.sound_reports[work]
            if sound_at is not None:
                reports.append((work, max(0.0, now - sound_at)))
        return reports

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
                if pending_crash.messages_left and pending_crash.report_at <= now:
                    pending_crash.messages_left -= 1
                    updates.append(Crash(work, instance))
                if len(updates) == MAX_CRASHES_PER_MESSAGE:
                    return updates
        return updates

    def crashed_at(self, crash):
        """Return when an instance crashed, monotonic seconds, None if not known."""
        return self.evidence.crashes.get(crash.work, {}).get(crash.instance)

    def apply(self, key, written_at, now, age=0.0):
        """Apply a change of a record in the store.

        :param written_at: Unix time of the record, None when it was removed.
        :param age: seconds since the instance crashed.
        """
        crash = Crash.from_key(key)
        if crash is None:
            return
        if written_at is None:
            self._remove_stored(crash)
            return
        self.seen_in_reload.add(crash)
        self.stored.setdefault(crash.work, {})[crash.instance] = written_at
        _remove(self.pending, crash)
        if crash not in self.cleared:
            self._add_evidence(crash, now - age, now)
        elif self.cleared[crash]:
            self.removals.add(crash)

    def _remove_stored(self, crash):
        self.seen_in_reload.discard(crash)
        _remove(self.stored, crash)
        if crash.instance not in self.pending.get(crash.work, {}):
            self.evidence.remove(crash)

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
            if self.store_restored and missing:
                _remove(self.stored, crash)
                self.apply_peer_crash(crash, jitter, now)
            elif missing:
                self._remove_stored(crash)
            elif self.store_restored and crash in self.cleared:
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
