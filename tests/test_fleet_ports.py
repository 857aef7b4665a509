"""Ports for the local fleets of tests that run at the same time."""

import subprocess
import sys

from mulberrydock.fleet import free_ports

#: Fleets that one run of the tests sets up, about, and ports of each.
FLEETS = 30
PORTS = 20

DRAW = f"""
import sys
from mulberrydock.fleet import free_ports
print(*(port for _ in range({FLEETS}) for port in free_ports({PORTS})), flush=True)
sys.stdin.read()
"""


def test_runs_at_the_same_time_draw_no_port_twice():
    """Two runs of the tests on one machine, and once in a while the setting up of a
    fleet ends with a wait that is never met: a daemon couldn't listen, as a port that
    was free when its fleet drew it had been drawn by the other run as well, whose
    daemon was quicker. Nothing is bound in between, so each run needs ports of its own.
    """
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", DRAW],
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


def test_one_fleet_draws_no_port_twice():
    ports = free_ports(PORTS)
    assert len(set(ports)) == PORTS
