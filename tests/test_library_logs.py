"""Lines of libraries in a process's log."""

import json
import subprocess
import sys

import pytest

PROGRAM = """
import logging

from mulberrydock import log

log.configure("entry-1")
try:
    raise ValueError("cause")
except ValueError:
    logging.getLogger("tornado.application").error("failed", exc_info={exc_info})
"""


# Guards against an exception that a library has caught and that no line shows.
@pytest.mark.parametrize(
    ("exc_info", "exception"), [(True, "ValueError('cause')"), (False, None)]
)
def test_line_of_a_library_holds_its_exception(exc_info, exception):
    program = PROGRAM.format(exc_info=exc_info)
    run = subprocess.run([sys.executable, "-c", program], capture_output=True)
    (line,) = run.stdout.splitlines()
    record = json.loads(line)
    assert (record["event"], record.get("exception")) == ("failed", exception)
