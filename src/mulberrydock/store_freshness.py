"""Who polls the store for changes, and when the others read what has changed.

A waiting poll at every VM is a call for each VM and change. So a few VMs, the
observers, poll all the time and tell their peers up to which revision there are
changes; the others, the followers, call only when there is one for them. A VM that
hears no observer whose calls are answered polls for itself. Decides only: no network
here, and ``now`` is an argument, in seconds of a clock that counts the time for which a
VM is suspended.
"""

import enum
import math

import attrs
from loguru import logger

from .rendezvous import DUTY_ORDER, rank
from .watch import RECOVERY_POLL_SECONDS

#: Seconds before the end of the contact time by which a poll whose connection failed
#: must be noticed: after the contact time this VM must have the current state. The read
#: that follows takes about 10 ms; the rest covers a busy VM.
POLL_MARGIN_SECONDS = 0.3
#: VMs that poll, of those that hear each other: one that fails, and one that is slow,
#: leave a third.
OBSERVERS = 3
#: Minimum number of peers heard for a VM to be a follower; with fewer, there are
#: observers only.
MIN_PEERS = OBSERVERS
#: Messages of a peer that may be lost before it counts as not heard.
HEARD_INTERVALS = 4
#: Seconds from an observer's failed call or a change that it saw until a follower has
#: read the store: a late renewal, a message and its repetition, a check, and a call.
TELL_SECONDS = 0.8
#: Minimum seconds between an observer's lease renewals, which show that its calls are
#: answered. Where less is left, there are no followers.
MIN_RENEWAL_SECONDS = 0.4
#: Seconds within which a follower reads changes that change no decision soon.
IDLE_SECONDS = 25.0
#: Seconds between the calls of a follower which the store doesn't answer although it
#: answers observers.
RETRY_SECONDS = 1.0
#: Seconds without a check after which the VM counts as suspended: what peers said may
#: have lain unread meanwhile.
SUSPENDED_SECONDS = 1.5


class Urgency(enum.Enum):
    """How soon a change has to be known."""

    NOW = 1
    SOON = 2
    LATER = 3


class PollMode(enum.Enum):
    """How a VM follows the store."""

    ALONE = "alone"
    OBSERVER = "observer"
    FOLLOWER = "follower"
    #: Neither this VM nor an observer is answered; observers tell when they are.
    OUTAGE = "outage"


@attrs.define(frozen=True)
class StoreReport:
    """What a VM says of the store.

    :param era: era of the store, 0 if unknown.
    :param urgent_revision: revision of the last change that all VMs must know at once.
    :param soon_revision: that of the last one which they must know soon.
    :param age: seconds since the store answered a call.
    :param failing: whether the last call was left unanswered.
    """

    era: int = 0
    urgent_revision: int = 0
    soon_revision: int = 0
    age: float = 0.0
    failing: bool = False

    @classmethod
    def from_row(cls, row):
        """Build a report from its row in a datagram."""
        return cls(
            row.era,
            row.urgentRevision,
            row.soonRevision,
            row.ageMs / 1000,
            row.failing,
        )

    @property
    def row(self):
        """The row of this report in a datagram."""
        return {
            "era": self.era,
            "urgentRevision": self.urgent_revision,
            "soonRevision": self.soon_revision,
            "ageMs": int(self.age * 1000),
            "failing": self.failing,
        }


@attrs.define(frozen=True)
class HeardPeer:
    """A peer that was heard until a time, and its last report, None if it made none."""

    report: StoreReport | None
    answered_at: float
    heard_until: float

    @property
    def failing(self):
        """Whether the store left the peer's last call unanswered."""
        return self.report is not None and self.report.failing


@attrs.define
class StoreFreshness:
    """What this VM and its peers know of the store's state.

    An owner may set ``on_news``: called when a peer knows an urgent change that this
    VM doesn't know, or when the store no longer answers the peer.

    :param name: this VM's name.
    :param poll_seconds: seconds that a poll may wait and stay unanswered unnoticed.
    :param notice_seconds: seconds within which a change must be in force.
    :param call_timeout: seconds after which a call has failed.
    """

    name: str
    poll_seconds: float
    notice_seconds: float
    call_timeout: float
    era: int = 0
    revision: int = 0
    urgent_revision: int = 0
    soon_revision: int = 0
    answered_at: float = -math.inf
    failing: bool = False
    polled_at: float = -math.inf
    checked_at: float = math.inf
    suspended_at: float = -math.inf
    soon_since: float | None = None
    logged_mode: PollMode | None = None
    heard: dict = attrs.field(factory=dict)
    on_news: object = attrs.field(default=lambda: None)

    @classmethod
    def from_timing(cls, name, timing, call_timeout):
        """Build it from the timing that the settings of a VM state.

        A poll waits as long as a failed connection may stay unnoticed.
        """
        detection_seconds = timing.contact_seconds - POLL_MARGIN_SECONDS
        poll_seconds = max(RECOVERY_POLL_SECONDS, detection_seconds - call_timeout)
        notice_seconds = min(timing.config_apply_seconds, timing.drain_seconds)
        return cls(name, poll_seconds, notice_seconds, call_timeout)

    @property
    def observer_renewal_seconds(self):
        """Seconds between an observer's renewals.

        One that is lost must be known to followers while they can still read a change
        in time.
        """
        return self.notice_seconds - self.call_timeout - TELL_SECONDS

    def record_answer(self, now):
        """Record that the store answered a call of this VM."""
        self.answered_at = now
        self.failing = False

    def record_failure(self):
        """Record that it left one unanswered; return whether that is new."""
        was_failing, self.failing = self.failing, True
        return not was_failing

    def record_change(self, urgency, revision):
        """Record a change that this VM read; return whether peers must know at once."""
        if urgency is Urgency.NOW:
            is_new = revision > self.urgent_revision
            self.urgent_revision = max(self.urgent_revision, revision)
            return is_new
        if urgency is Urgency.SOON:
            self.soon_revision = max(self.soon_revision, revision)
        return False

    def record_read(self, era, revision):
        """Record that this VM knows all changes up to ``revision``."""
        if era != self.era:
            # Revisions are assigned again.
            self.urgent_revision = min(self.urgent_revision, revision)
            self.soon_revision = min(self.soon_revision, revision)
        self.era, self.revision = era, revision
        self.soon_since = None

    def receive(self, name, report, interval, now):
        """Record a peer's message; its next one is due after ``interval``.

        :param report: the peer's :class:`StoreReport`, None if it made none.
        """
        heard_until = now + min(
            HEARD_INTERVALS * interval, self.notice_seconds - TELL_SECONDS
        )
        answered_at = now - report.age if report is not None else -math.inf
        before = self.heard.get(name)
        self.heard[name] = HeardPeer(report, answered_at, heard_until)
        if report is None:
            return
        fails_now = report.failing and not (before is not None and before.failing)
        if fails_now or self._is_unknown(report, report.urgent_revision):
            self.on_news()

    def report(self, now):
        """Return this VM's :class:`StoreReport`, None if it has nothing to say."""
        if self.failing:
            return StoreReport(self.era, failing=True)
        if self.mode(now) is not PollMode.OBSERVER:
            return None
        age = now - self.answered_at
        if age > self._answer_seconds:
            return None
        return StoreReport(self.era, self.urgent_revision, self.soon_revision, age)

    def mode(self, now):
        """Return the :class:`PollMode` of this VM at ``now``."""
        self._forget_silent(now)
        if self.observer_renewal_seconds < MIN_RENEWAL_SECONDS:
            return PollMode.ALONE
        if len(self.heard) < MIN_PEERS or now - self.suspended_at < self.poll_seconds:
            return PollMode.ALONE
        if self.name in self.observers():
            return PollMode.OBSERVER
        if self._fresh_reports(now):
            return PollMode.FOLLOWER
        return PollMode.OUTAGE if self.failing else PollMode.ALONE

    def renewal_seconds(self, now):
        """Return the seconds between two renewals of this VM's lease."""
        if self.mode(now) is PollMode.OBSERVER:
            return self.observer_renewal_seconds
        return self.poll_seconds

    def is_poll_due(self, now):
        """Return whether this VM is to poll at ``now``, and record that it does.

        Called at short intervals until it is.
        """
        if now - self.checked_at > SUSPENDED_SECONDS:
            self.suspended_at = now
        self.checked_at = now
        if not self._is_due(now):
            return False
        self.polled_at = now
        # A poll takes longer than the interval of these calls.
        self.checked_at = math.inf
        return True

    def _is_due(self, now):
        mode = self.mode(now)
        self._log_mode(mode)
        waited = now - self.polled_at
        if mode is PollMode.OUTAGE:
            return waited >= self.poll_seconds
        if mode is not PollMode.FOLLOWER:
            return True
        if self.failing:
            return waited >= RETRY_SECONDS
        reports = self._fresh_reports(now)
        if any(self._is_unknown(r, r.urgent_revision) for r in reports):
            return True
        if self.soon_since is None:
            if any(self._is_unknown(r, r.soon_revision) for r in reports):
                self.soon_since = now
        elif now - self.soon_since >= self.poll_seconds:
            return True
        return waited >= IDLE_SECONDS

    def _log_mode(self, mode):
        if mode is not self.logged_mode:
            self.logged_mode = mode
            logger.info(
                "store followed",
                mode=mode.value,
                observers=self.observers() if mode is not PollMode.ALONE else [],
                heard=len(self.heard),
                failing=self.failing,
                revision=self.revision,
            )

    @property
    def _answer_seconds(self):
        """Seconds since its last answer after which an observer confirms nothing."""
        return self.observer_renewal_seconds + self.call_timeout

    def _is_unknown(self, report, revision):
        return (report.era, revision) > (self.era, self.revision)

    def _forget_silent(self, now):
        self.heard = {n: h for n, h in self.heard.items() if now <= h.heard_until}

    def observers(self):
        """Return the names of the VMs that poll for all of those that hear them."""
        failing = {name: peer.failing for name, peer in self.heard.items()}
        failing[self.name] = self.failing
        order = sorted(failing, key=lambda n: (failing[n], rank(DUTY_ORDER, n)))
        return order[:OBSERVERS]

    def _fresh_reports(self, now):
        """Return the reports of observers whose calls are answered."""
        return [
            peer.report
            for peer in self.heard.values()
            if peer.report is not None
            and not peer.failing
            and now - peer.answered_at <= self._answer_seconds + TELL_SECONDS
        ]
