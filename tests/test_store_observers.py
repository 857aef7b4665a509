"""Daemons of which three poll the store for all, as real processes.

The store and the instances are stand-ins; see
:class:`~platform_fleet.PlatformFleet`.
"""

import time

import pytest
from platform_fleet import PlatformFleet, config, wait_until

from mulberrydock.rendezvous import DUTY_ORDER, rank
from mulberrydock.store_freshness import OBSERVERS

NAMES = sorted(
    (f"entry-{number}" for number in range(1, 6)),
    key=lambda name: rank(DUTY_ORDER, name),
)
#: Seconds within which a configuration must be in force, as in the settings.
CONFIG_APPLY_SECONDS = 2.0


@pytest.fixture
def fleet(tmp_path):
    """A store with a configuration, an engine and five daemons at rest."""
    running = PlatformFleet(tmp_path)
    running.write("op/config", config(3))
    running.add_instance("d1", "llm", "decode")
    for name in NAMES:
        running.start(name)
    try:
        for name in NAMES:
            running.wait_ready(name)
            others = set(NAMES) - {name}
            wait_until(lambda: {p["peer"] for p in peers(running, name)} >= others)
        # Followers have read what they know; changes of VM records may be read later.
        time.sleep(2.5)
        yield running
    finally:
        running.stop()


def peers(fleet, name):
    """Return the log records of the peers that a daemon has seen."""
    return fleet.log_records("peer seen", name)


def in_force(fleet, name, version):
    """Return whether the daemon has logged that a configuration is in force."""
    events = fleet.log_records("configuration in force", name)
    return any(event["version"] == version for event in events)


def watch_calls(fleet):
    """Return the number of polls that the store got."""
    return fleet.store.calls["/kv-watch"]


def test_followers_make_no_polls_at_rest(fleet):
    """Load: nothing changes. Guards against polls of all VMs, which the platform's
    store is paid for."""
    before = watch_calls(fleet)
    time.sleep(3.0)
    poll_seconds = 1.2
    assert watch_calls(fleet) - before <= OBSERVERS * (3.0 / poll_seconds + 1)


def test_change_is_in_force_everywhere_at_once(fleet):
    """Guards against followers that hear of a change later than they must apply it."""
    fleet.write("op/config", config(4))
    began = time.monotonic()
    for name in NAMES:
        wait_until(lambda: in_force(fleet, name, 4))
    assert time.monotonic() - began < CONFIG_APPLY_SECONDS / 2


def test_change_is_in_force_when_all_observers_are_killed_before_it(fleet):
    """Guards against followers that wait for observers which are gone."""
    for name in NAMES[:OBSERVERS]:
        fleet.daemons[name].kill()
    fleet.write("op/config", config(4))
    began = time.monotonic()
    for name in NAMES[OBSERVERS:]:
        wait_until(lambda: in_force(fleet, name, 4))
    assert time.monotonic() - began < CONFIG_APPLY_SECONDS


def test_state_is_known_within_contact_time_after_an_outage(fleet):
    """Guards against followers that learn late that the store answers again: it leaves
    all calls without an answer for 4 s and is changed meanwhile."""

    def silence(silent):
        fleet.store.silent = silent

    fleet.call_on_loop(silence, True)
    time.sleep(4.0)
    fleet.write("op/config", config(4))
    fleet.call_on_loop(silence, False)
    began = time.monotonic()
    for name in NAMES:
        wait_until(lambda: in_force(fleet, name, 4))
    assert time.monotonic() - began < 2.2
