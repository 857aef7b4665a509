"""Structured logs: one JSON object a line on standard output.

The volume is bounded by lines a second, and a reader that doesn't keep up
loses lines instead of stopping the process: a full pipe never blocks.
"""

import datetime
import json
import logging
import os
import sys
import time

import attrs
from loguru import logger

#: Lines a second over a second's burst; a VM at five times its usual load
#: writes about a hundred.
MAX_LINES_PER_SECOND = 300
#: Lines of warning level and above are kept beyond that, up to this many.
WARNINGS_PER_SECOND = 600


@attrs.define
class LineSink:
    """Writes log lines to a descriptor without blocking; counts what it drops."""

    descriptor: int
    dropped: int = 0
    second: int = 0
    lines: int = 0

    def write(self, message):
        """Write one loguru message unless over the bound or the pipe is full."""
        record = message.record
        if not self._admit(record["level"].no, time.monotonic()):
            self.dropped += 1
            return
        line = _render(record).encode()
        try:
            written = os.write(self.descriptor, line)
        except BlockingIOError:
            self.dropped += 1
            return
        except OSError:
            # The reader is gone; the process goes on without its log.
            self.dropped += 1
            return
        if written < len(line):
            self.dropped += 1

    def _admit(self, level, now):
        if int(now) != self.second:
            self.second = int(now)
            self.lines = 0
        self.lines += 1
        bound = MAX_LINES_PER_SECOND
        if level >= logging.WARNING:
            bound = WARNINGS_PER_SECOND
        return self.lines <= bound


def _render(record):
    at = record["time"].astimezone(datetime.timezone.utc)
    fields = {
        "at": at.strftime("%Y-%m-%dT%H:%M:%S.%fZ"),
        "level": record["level"].name.lower(),
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        fields["exception"] = repr(record["exception"].value)
    return json.dumps(fields, default=str, separators=(",", ":")) + "\n"


class _ToLoguru(logging.Handler):
    """Passes the libraries' own log records on as JSON lines."""

    def emit(self, record):
        logger.log(record.levelname, record.getMessage(), logger=record.name)


def configure(process, level="INFO", stream=None):
    """Send logs as JSON lines to ``stream`` (standard output by default).

    :param process: name bound to every line (``entry-1``).
    :returns: the :class:`LineSink`, which counts dropped lines.
    """
    descriptor = (stream or sys.stdout).fileno()
    if not os.isatty(descriptor):
        os.set_blocking(descriptor, False)
    sink = LineSink(descriptor)
    logger.remove()
    logger.add(sink.write, level=level, format="{message}", catch=False)
    logger.configure(extra={"process": process})
    logging.basicConfig(handlers=[_ToLoguru()], level=logging.WARNING, force=True)
    return sink
