"""Port allocation for the local fleets of test runs at the same time."""

import os
import random
import signal
import subprocess
import sys
import tempfile

import pytest

from mulberrydock.fleet import (
    MIN_TEST_PORT,
    PORTS_PER_BLOCK,
    PortBlock,
    free_ports,
)

#: Approximate number of fleets in one test run, and the ports of each.
FLEETS = 30
PORTS = 20

ALLOCATE_SCRIPT = f"""
import sys
from mulberrydock.fleet import free_ports
print(*(port for _ in range({FLEETS}) for port in free_ports({PORTS})), flush=True)
sys.stdin.read()
"""


def test_concurrent_runs_allocate_no_port_twice():
    """Guards against a fleet that sometimes fails to start when two test runs share a
    machine: both allocate the same free port, nothing is bound to it in between, and
    the slower daemon can't listen. So each run needs ports of its own."""
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", ALLOCATE_SCRIPT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    try:
        first, second = (set(run.stdout.readline().split()) for run in runs)
    finally:
        for run in runs:
            run.stdin.close()
            run.wait(10)
            run.stdout.close()
    assert first and second
    assert not first & second


def test_one_fleet_gets_distinct_ports():
    """Guards against two processes of a fleet with the same port."""
    ports = free_ports(PORTS)
    assert len(set(ports)) == PORTS


# Guards against runs that share their ports, and so reach each other's stores and
# instances, because their lock files are in different temporary directories.
def test_runs_with_different_temporary_directories_share_no_port(tmp_path, monkeypatch):
    monkeypatch.setattr(random, "sample", lambda blocks, count: list(blocks))
    blocks = []
    for name in ("one", "other"):
        directory = tmp_path / name
        directory.mkdir()
        monkeypatch.setattr(tempfile, "tempdir", str(directory))
        blocks.append(PortBlock())
    first, second = (set(block.allocate(PORTS)) for block in blocks)
    assert not first & second


ORPHAN_SCRIPT = """
import subprocess, sys
from mulberrydock.fleet import free_ports, port_locks
child = subprocess.Popen(
    ["sleep", "60"], stdout=subprocess.DEVNULL, pass_fds=port_locks()
)
print(child.pid, *free_ports(1), flush=True)
sys.stdin.read()
"""


# Guards against a run whose stand-ins get the calls of daemons that a run which was
# killed has left behind, as it takes the same ports.
def test_ports_of_a_killed_run_stay_locked_while_its_daemons_run(monkeypatch):
    run = subprocess.Popen(
        [sys.executable, "-c", ORPHAN_SCRIPT],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    child, port = map(int, run.stdout.readline().split())
    block = (port - MIN_TEST_PORT) // PORTS_PER_BLOCK
    monkeypatch.setattr(random, "sample", lambda blocks, count: [block])
    run.kill()
    run.wait()
    run.stdin.close()
    run.stdout.close()
    try:
        with pytest.raises(OSError):
            PortBlock()
    finally:
        os.kill(child, signal.SIGKILL)
