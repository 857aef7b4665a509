"""Structured logs: one JSON object per line on standard output.

The number of lines per second is bounded, and writing never blocks: when the reader
doesn't keep up and the pipe is full, lines are dropped so that the process goes on.
"""

import datetime
import json
import logging
import os
import sys
import time

import attrs
from loguru import logger

#: Lines written in one second at most; a VM at five times its usual load writes
#: about 100.
MAX_LINES_PER_SECOND = 300
#: Beyond that, lines of level warning and above are still written up to this total.
MAX_LINES_PER_SECOND_WITH_WARNINGS = 600


@attrs.define
class LineSink:
    """Writes log lines to a file descriptor without blocking.

    ``dropped`` counts the lines that were not written, or only in part. ``lines``
    counts those offered during ``second``, a second of the monotonic clock.
    """

    descriptor: int
    dropped: int = 0
    second: int = 0
    lines: int = 0

    def write(self, message):
        """Write a loguru message, or drop it over the rate bound or on a full pipe."""
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
            # The reader has closed the pipe; the process goes on without a log.
            self.dropped += 1
            return
        if written < len(line):
            self.dropped += 1

    def _admit(self, level, now):
        if int(now) != self.second:
            self.second = int(now)
            self.lines = 0
        self.lines += 1
        max_lines = MAX_LINES_PER_SECOND
        if level >= logging.WARNING:
            max_lines = MAX_LINES_PER_SECOND_WITH_WARNINGS
        return self.lines <= max_lines


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


class _LoguruHandler(logging.Handler):
    """Forwards the log records of libraries to loguru, as JSON lines."""

    def emit(self, record):
        logger.opt(exception=record.exc_info).log(
            record.levelname, record.getMessage(), logger=record.name
        )


def configure(process, level="INFO", stream=None):
    """Configure logging as JSON lines for this process.

    :param process: value of the field ``process`` of every line, such as ``entry-1``.
    :param level: lowest level that is written, for the project's own lines; those of
        libraries are written from warning level.
    :param stream: where to write, standard output by default. A pipe or file is made
        non-blocking.
    :returns: the :class:`LineSink`, which counts dropped lines.
    """
    descriptor = (stream or sys.stdout).fileno()
    if not os.isatty(descriptor):
        os.set_blocking(descriptor, False)
    sink = LineSink(descriptor)
    logger.remove()
    logger.add(sink.write, level=level, format="{message}", catch=False)
    logger.configure(extra={"process": process})
    logging.basicConfig(handlers=[_LoguruHandler()], level=logging.WARNING, force=True)
    return sink
