"""Sends this VM's usage counts to the VM that reports them and to its successors."""

import asyncio
import time

import attrs
from loguru import logger

from . import peer_messages
from .clock import boot_seconds
from .peer_messages import UsageMessage
from .usage import RETAINED_WINDOWS, UsageUpdate

#: Seconds between two messages to each receiver: a VM that is killed takes the counts
#: since its last message with it.
SEND_INTERVAL_SECONDS = 0.5
#: Number of VMs up to which that holds. With more, each sends less often, which bounds
#: the messages that a receiver gets.
VMS_AT_FULL_RATE = 150
#: Receivers beside the present leader, first those that would take its place.
SUCCESSORS = 2
#: Messages after a change of the receivers that hold all windows that are kept.
COMPLETE_MESSAGES = 3
#: Windows in other messages: the present one and the last.
USUAL_WINDOWS = 2
#: Multiple of the kept windows after which a VM that is silent is forgotten.
FORGET_FACTOR = 2


@attrs.define
class UsageExchange:
    """The task that sends the counts, and keeps this VM's own in its ledger.

    :param name: this VM's name.
    :param started_at_ms: identifies this incarnation, Unix milliseconds.
    :param counter: the :class:`~mulberrydock.usage.UsageCounter` of this VM.
    :param ledger: the :class:`~mulberrydock.usage.UsageLedger` of what it received.
    :param receivers: returns the peers to send to, by name.
    :param count_vms: returns the number of VMs.
    :param send: sends bytes to a list of peers.
    :param wall_clock: a :class:`~mulberrydock.wall_clock.WallClock`.
    """

    name: str
    started_at_ms: int
    counter: object
    ledger: object
    receivers: object
    count_vms: object
    send: object
    wall_clock: object
    known_receivers: frozenset = frozenset()
    complete_left: int = COMPLETE_MESSAGES

    def step(self, unix_now):
        """Send the counts as of ``unix_now``."""
        windows = self.counter.recent(unix_now)
        update = UsageUpdate(self.started_at_ms, unix_now, windows)
        self.ledger.receive(self.name, update)
        kept_seconds = self.counter.window_seconds * RETAINED_WINDOWS
        self.ledger.discard_before(
            self.counter.window(unix_now) - RETAINED_WINDOWS,
            unix_now - kept_seconds * FORGET_FACTOR,
        )
        receivers = self.receivers()
        if receivers.keys() != self.known_receivers:
            logger.info("usage receivers", receivers=sorted(receivers))
            self.known_receivers = frozenset(receivers)
            self.complete_left = COMPLETE_MESSAGES
        if receivers:
            self.send(receivers.values(), self._message(update))

    def _message(self, update):
        if self.complete_left:
            self.complete_left -= 1
        else:
            first = self.counter.window(update.counted_until) - USUAL_WINDOWS + 1
            recent = {w: c for w, c in update.windows.items() if w >= first}
            update = attrs.evolve(update, windows=recent)
        return peer_messages.encode_usage(UsageMessage(self.name, update))

    def interval(self):
        """Return the seconds between two messages."""
        return SEND_INTERVAL_SECONDS * max(1.0, self.count_vms() / VMS_AT_FULL_RATE)

    async def run(self):
        """Send until cancelled."""
        while True:
            boot_now = boot_seconds()
            self.wall_clock.sample(boot_now, time.time())
            self.step(self.wall_clock.unix(boot_now))
            await asyncio.sleep(self.interval())
