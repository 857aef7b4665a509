"""The public names of the package, which are imported when they are first used."""

import subprocess
import sys

import pytest

import mulberrydock


@pytest.mark.parametrize("name", mulberrydock.__all__)
def test_public_name_is_importable(name):
    assert getattr(mulberrydock, name).__module__ == (
        f"mulberrydock.{mulberrydock.MODULES[name]}"
    )
    assert name in dir(mulberrydock)


def test_unknown_name_is_an_attribute_error():
    with pytest.raises(AttributeError):
        mulberrydock.no_such_name


def test_daemon_of_an_entry_vm_imports_no_other_daemon():
    """Guards against a restart that takes longer for what the daemon doesn't use: all
    clients wait for it when all VMs have lost power."""
    code = (
        "import sys, mulberrydock.cli, mulberrydock.serve;"
        "print(*(m for m in sys.modules if m.startswith('mulberrydock.')))"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    unused = {"control", "entry", "completion", "configuration", "experiment"}
    assert not {f"mulberrydock.{name}" for name in unused} & set(found.stdout.split())
    assert "mulberrydock.serve" in found.stdout.split()
