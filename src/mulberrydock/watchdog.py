"""Ends a process whose event loop no longer turns.

Such a process answers nothing and doesn't react to SIGTERM, so the platform would leave
it running. It is started afresh once it has ended.
"""

import asyncio
import os
import sys
import threading
import time
import traceback

import attrs
from loguru import logger

#: Seconds of processor time without an iteration of the event loop after which the
#: process ends. One callback takes some milliseconds; the largest full read of the
#: store about one second on the slowest VM. It is processor time, as a process that is
#: paused, or runs slowly, is sound.
MAX_BLOCKED_SECONDS = 5.0
#: Seconds between two checks, and between two reports of the event loop.
CHECK_INTERVAL_SECONDS = 1.0
#: Number of checks in a row that find no iteration before the process ends. A paused
#: process makes one before its event loop turns again. Some systems count any time as
#: processor time; there a VM at a fifth of its usual speed may stay in its longest
#: callback for MAX_BLOCKED_SECONDS.
MAX_MISSED_CHECKS = 15
#: Exit status of a process that was ended so.
EXIT_BLOCKED = 70


@attrs.define(eq=False)
class Watchdog:
    """Watches the event loop in which :meth:`start` is called, from a thread.

    :param max_seconds: processor time without an iteration of the event loop.
    :param interval: seconds between two checks.

    ``turns`` counts the event loop's reports that it turns. ``seen_turns`` is the count
    at the last check that found a new one, at ``turned_at`` seconds of processor time;
    ``missed`` is the number of checks since then.
    """

    max_seconds: float = MAX_BLOCKED_SECONDS
    interval: float = CHECK_INTERVAL_SECONDS
    turns: int = 0
    seen_turns: int = 0
    turned_at: float = 0.0
    missed: int = 0

    def start(self):
        """Watch the running event loop."""
        self._report_turn()
        threading.Thread(target=self._watch, name="watchdog", daemon=True).start()

    def _report_turn(self):
        self.turns += 1
        asyncio.get_running_loop().call_later(self.interval, self._report_turn)

    def _watch(self):
        while True:
            time.sleep(self.interval)
            if self.is_blocked(time.process_time()):
                self._end()

    def is_blocked(self, now):
        """Check once whether the event loop is blocked.

        :param now: processor time of this process, in seconds.
        """
        if self.turns != self.seen_turns:
            self.seen_turns, self.turned_at, self.missed = self.turns, now, 0
            return False
        self.missed += 1
        is_over = now - self.turned_at >= self.max_seconds
        return is_over and self.missed >= MAX_MISSED_CHECKS

    def _end(self):
        frame = sys._current_frames().get(threading.main_thread().ident)
        try:
            logger.critical(
                "event loop blocked",
                processor_seconds=self.max_seconds,
                stack=[line.strip() for line in traceback.format_stack(frame)],
            )
        finally:
            os._exit(EXIT_BLOCKED)
