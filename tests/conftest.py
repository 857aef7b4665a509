"""Shared fixtures: a small local fleet of real processes on loopback ports.

Engines are behind the fault-injecting proxy: the engine processes read a settings file
with their real ports, while entries and controllers read one in which each engine's
address is its proxy's.

Tests that KNOWN-RED.txt lists may fail. They are run, and listed in the summary.
"""

import gc
import pathlib

import hypothesis
import pytest
from peer_fleet import PeerFleet

from mulberrydock.fleet import LocalFleet

# A busy machine may stop a test for seconds: how fast examples are drawn and run
# decides nothing.
hypothesis.settings.register_profile(
    "untimed",
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("untimed")


@pytest.fixture
def local_fleet(tmp_path):
    """A started fleet of 2 engines behind proxies, 2 entries and 1 controller."""
    running = LocalFleet(tmp_path).start()
    yield running
    running.stop()


@pytest.fixture
def peer_fleet(monkeypatch):
    """Return a function that builds a :class:`PeerFleet` of the given sizes."""
    return lambda **sizes: PeerFleet(monkeypatch, sizes)


def pytest_collection_finish():
    # The modules and tests stay; without them a collection takes a few milliseconds.
    gc.freeze()


@pytest.hookimpl(trylast=True)
def pytest_runtest_teardown():
    # A finalizer that fails is logged with a traceback, which parses Python code. Where
    # that happens while other code is parsed, CPython 3.11 raises a SystemError.
    gc.collect()


def known_red():
    """Return the reasons of the tests in KNOWN-RED.txt, by test id."""
    path = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
    lines = path.read_text().splitlines() if path.exists() else []
    rows = [line.split(" | ", 1) for line in lines if not line.startswith("#")]
    return {row[0]: row[1] for row in rows if len(row) == 2}


def pytest_collection_modifyitems(items):
    red = known_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason=red[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter):
    for test, reason in known_red().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {reason}")
