"""Runs the command line from a checkout, without installing the package."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from mulberrydock.cli import main  # noqa: E402

if __name__ == "__main__":
    main()
