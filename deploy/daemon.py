"""Runs the command line from a checkout, without installing the package."""

import pathlib
import signal
import sys

# The daemon reloads its settings on SIGHUP once it serves. Until then it must not end.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from mulberrydock.cli import main  # noqa: E402

if __name__ == "__main__":
    main()
