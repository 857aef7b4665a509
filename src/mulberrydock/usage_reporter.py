"""Reports the teams' usage to the platform, from one VM at a time.

The holder of the leader lease decides the counts of each window once, writes them to
the store and then sends them. A successor sends what it finds there, unchanged: two
different reports of one window are never sent. Every VM keeps the decisions that it
saw in the store, which may be restored from a copy without the last ones.
"""

import asyncio

import attrs
from loguru import logger

from . import defaults
from .clock import boot_seconds
from .exceptions import StoreError
from .platform import DutyOutcome
from .usage import COUNT_DELAY_SECONDS, RETAINED_WINDOWS
from .usage_records import decode_decisions, encode_decisions

#: Seconds between two passes.
POLL_INTERVAL_SECONDS = 0.5
#: Share of the time until a report is due for which the counts of a silent VM are
#: awaited; the rest is for the calls to the store and the platform, and their retries.
WAIT_SHARE = 0.6


@attrs.define
class UsageReporter:
    """Decides and sends the usage reports while this VM is the leader.

    :param counter: the :class:`~mulberrydock.usage.UsageCounter` of this VM.
    :param ledger: the :class:`~mulberrydock.usage.UsageLedger` of all VMs, this one
        included.
    :param store: client of the store.
    :param platform: a :class:`~mulberrydock.platform.PlatformDuties`.
    :param lease: a :class:`~mulberrydock.lease.LeaderLease`.
    :param name: this VM's name, stated in each call.
    :param due_seconds: seconds after the end of a window until its report is due.
    :param wall_clock: a :class:`~mulberrydock.wall_clock.WallClock`.
    :param clock: returns the seconds since boot.

    ``decisions`` are those known from the store, ``version`` that of the store's
    record, None while it hasn't been read. ``unsent`` are the windows whose report the
    platform hasn't confirmed to this holder. ``first_window`` is the first to decide
    while the store has no decision, None before this VM leads.
    """

    counter: object
    ledger: object
    store: object
    platform: object
    lease: object
    name: str
    due_seconds: float
    wall_clock: object
    clock: object = boot_seconds
    decisions: dict = attrs.field(factory=dict)
    version: int | None = None
    unsent: set = attrs.field(factory=set)
    first_window: int | None = None

    def apply(self, key, value, revision):
        """Apply the store's record as the watch shows it."""
        if value is None:
            return
        try:
            decided = decode_decisions(value)
        except Exception as error:  # capnp and base64 raise their own types
            logger.warning("usage record refused", key=key, error=repr(error))
            return
        self._merge(decided)

    def _merge(self, decided):
        """Add decisions; one that is known already stays as it is."""
        self.decisions = decided | self.decisions
        for window in sorted(self.decisions)[:-RETAINED_WINDOWS]:
            del self.decisions[window]

    async def step(self, boot_now, unix_now):
        """Decide what is due and send what isn't confirmed, as the leader."""
        if not self.lease.may_act(boot_now):
            self.version = None
            return
        if self.version is None and not await self._read_record():
            return
        due = self._due_windows(unix_now)
        if due and not await self._decide(due, unix_now):
            return
        await self._send()

    async def _read_record(self):
        """Read the decisions of former holders; return whether the store answered."""
        read = await self.store.get(defaults.USAGE_KEY)
        if read.is_error():
            return False
        self.version = 0
        if read.ok is not None:
            self.version = read.ok.version
            self.apply(read.ok.key, read.ok.value, read.ok.version)
        # A former holder may not have sent them.
        self.unsent = set(self.decisions)
        return True

    def _due_windows(self, unix_now):
        """Return the windows to decide now, in order."""
        current = self.counter.window(unix_now)
        oldest = current - RETAINED_WINDOWS
        if self.first_window is None:
            self.first_window = self.ledger.first_window(current - 1)
        first = max(self.decisions, default=self.first_window - 1) + 1
        return [
            window
            for window in range(max(first, oldest), current)
            if self._may_decide(window, unix_now)
        ]

    def _may_decide(self, window, unix_now):
        """Return whether all counts of a window are here or are no longer awaited."""
        end = self.counter.end(window)
        if unix_now >= end + self.due_seconds * WAIT_SHARE:
            return True
        return unix_now >= end + COUNT_DELAY_SECONDS and self.ledger.is_complete(end)

    async def _decide(self, due, unix_now):
        """Write the decisions for ``due``; return whether they are in the store."""
        decided = {window: self.ledger.total(window) for window in due}
        retained = dict(sorted((self.decisions | decided).items())[-RETAINED_WINDOWS:])
        written = await self.store.put(
            defaults.USAGE_KEY, encode_decisions(retained), self.version
        )
        if written.is_error():
            if not isinstance(written.error, StoreError):
                raise written.error
            # The write may have been made, or be made later: read before the next one.
            logger.warning("usage not written", error=str(written.error))
            self.version = None
            return False
        self.version = written.ok
        self._merge(decided)
        self.unsent.update(due)
        for window, counts in decided.items():
            logger.info(
                "usage decided",
                window=window,
                teams=len(counts),
                requests=sum(counts.values()),
                vms=len(self.ledger.updates),
                complete=self.ledger.is_complete(self.counter.end(window)),
                revision=written.ok,
            )
        return True

    async def _send(self):
        for window in sorted(self.unsent):
            if not self.lease.may_act(self.clock()):
                return
            if window not in self.decisions:
                self.unsent.discard(window)
                continue
            token = self.lease.authority.token
            outcome = await self.platform.report_usage(
                self.name, token, window, self.decisions[window]
            )
            logger.info(
                "usage reported", window=window, token=token, outcome=outcome.value
            )
            if outcome is DutyOutcome.REFUSED:
                # Another holder has a newer token: this one must not be used again.
                await self.lease.release()
                return
            if outcome in (DutyOutcome.UNKNOWN, DutyOutcome.BUSY):
                return
            self.unsent.discard(window)

    async def run(self):
        """Report until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            boot_now = self.clock()
            await self.step(boot_now, self.wall_clock.unix(boot_now))
