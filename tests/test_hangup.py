"""SIGHUP while a daemon's process is still starting."""

import pathlib
import subprocess
import sys

import pytest

DAEMON = pathlib.Path(__file__).resolve().parent.parent / "deploy" / "daemon.py"
#: Sends SIGHUP to its own process as a module is imported.
PROGRAM = """
import os
import runpy
import signal
import sys


class Hangup:
    def find_spec(self, name, path, target=None):
        if name == {module!r}:
            os.kill(os.getpid(), signal.SIGHUP)


sys.meta_path.insert(0, Hangup())
sys.argv = ["mulberrydock", "serve", "--settings", "/nonexistent"]
{start}
"""


# Guards against a VM that ends as its settings change right after its start: the
# default action of the signal ends a process.
@pytest.mark.parametrize(
    "start, module",
    [
        ("runpy.run_module('mulberrydock', run_name='__main__')", "mulberrydock.cli"),
        (f"runpy.run_path({str(DAEMON)!r}, run_name='__main__')", "mulberrydock.cli"),
        ("from mulberrydock.cli import main; main()", "mulberrydock.serve"),
    ],
    ids=["module", "deploy", "script"],
)
def test_process_that_starts_does_not_end_by_a_hangup(start, module):
    program = PROGRAM.format(module=module, start=start)
    process = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, timeout=60
    )
    assert (process.returncode, "No such file" in process.stderr) == (1, True)
