"""Run the command line: ``python -m mulberrydock``."""

import signal

# A daemon reloads its settings on SIGHUP once it serves. Until then it must not end.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .cli import main  # noqa: E402

main()
