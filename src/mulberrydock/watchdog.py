"""Ends a process whose event loop no longer turns.

Such a process answers nothing and doesn't react to SIGTERM, so the platform would leave
it running. It is started afresh once it has ended.
"""

import asyncio
import os
import signal
import traceback

import attrs
from loguru import logger

#: Seconds of processor time without an iteration of the event loop after which the
#: process ends. One callback takes some milliseconds; the largest full read of the
#: store about one second on the slowest VM. It is processor time, as a process that is
#: paused, or runs slowly, is sound.
MAX_BLOCKED_SECONDS = 5.0
#: Share of that time after which the event loop shows that it turns.
BEAT_SHARE = 0.2
#: Exit status of a process that was ended so.
EXIT_BLOCKED = 70


@attrs.define
class Watchdog:
    """Watches the event loop in which :meth:`start` is called.

    A timer of the kernel sends a signal unless it is set again in time, which only the
    event loop does.

    :param max_seconds: processor time without an iteration of the event loop.
    """

    max_seconds: float = MAX_BLOCKED_SECONDS

    def start(self):
        """Watch the running event loop, where the system has such a timer."""
        signal.signal(signal.SIGPROF, self._on_blocked)
        try:
            self._beat()
        except OSError as error:
            logger.warning("event loop not watched", error=str(error))

    def _beat(self):
        signal.setitimer(signal.ITIMER_PROF, self.max_seconds)
        loop = asyncio.get_running_loop()
        loop.call_later(BEAT_SHARE * self.max_seconds, self._beat)

    def _on_blocked(self, signum, frame):
        try:
            logger.critical(
                "event loop blocked",
                processor_seconds=self.max_seconds,
                stack=[line.strip() for line in traceback.format_stack(frame)],
            )
        finally:
            # Also if the log was being written as the signal came.
            os._exit(EXIT_BLOCKED)
