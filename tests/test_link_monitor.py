"""Which links are probed, and when."""

import asyncio
import time
import types

import pytest

from mulberrydock.instances import InstanceRecord, InstanceRegistry, Stage
from mulberrydock.link_monitor import (
    MAX_PROBES,
    PROVEN_SECONDS,
    SILENCE_SECONDS,
    LinkMonitor,
)
from mulberrydock.links import Links
from mulberrydock.suspicion import Suspicion

NOW = 100.0


def make_monitor(names, stage=Stage.NONE):
    """Return the monitor of a VM before the named instances of one service."""
    registry = InstanceRegistry()
    for name in names:
        registry.put(InstanceRecord(name, "app", "a:1", "dc1", 4, False, stage), 0.0)
    fleet = types.SimpleNamespace(
        instances=registry, links=Links(registry), suspicion=Suspicion()
    )
    return LinkMonitor(fleet, types.SimpleNamespace(connection_pools={}))


def record(monitor, attempts, now=NOW):
    """Record attempts to connect at ``now``; ``-a`` is a failed one to ``a``."""
    for attempt in attempts.split():
        instance = monitor.fleet.instances.instances[attempt.lstrip("-")]
        monitor.record(instance, not attempt.startswith("-"), now)


def chosen(monitor, now=NOW):
    return {instance.id for instance in monitor.choose(now)}


# Guards against a VM that learns of its lost links request by request, and against
# connections made in vain at each crash of one instance.
@pytest.mark.parametrize(
    ("attempts", "probed"),
    [
        ("", set()),
        ("a b c d", set()),
        ("-a", {"a", "b"}),
        ("-a -b", {"a", "b", "c", "d"}),
        ("-a b", {"a"}),
        ("-a -b c", {"a", "b"}),
    ],
)
def test_a_failure_is_checked_at_other_instances(attempts, probed):
    monitor = make_monitor("abcd")
    record(monitor, attempts)
    assert chosen(monitor) == probed


# Guards against probes whose number grows with the fleet.
def test_probes_in_progress_are_bounded():
    names = [f"i{number}" for number in range(60)]
    monitor = make_monitor(names)
    record(monitor, " ".join(f"-{name}" for name in names))
    assert len(chosen(monitor)) == MAX_PROBES


# Guards against links that are all back but probed one by one at long intervals.
def test_all_links_are_probed_once_one_is_back():
    monitor = make_monitor("abc")
    record(monitor, "-a -b -c")
    monitor.retry_at = {"a": NOW + 2.0, "b": NOW + 2.0, "c": NOW + 2.0}
    assert not chosen(monitor, NOW + 1.0)
    record(monitor, "b", NOW + 1.0)
    assert chosen(monitor, NOW + 1.0) == {"a", "c"}


# Guards against a lost link that shows only when the kernel closes the connection.
@pytest.mark.parametrize(
    ("silent_since", "connected_at", "probed"),
    [
        (None, NOW - 10.0, set()),
        (NOW - SILENCE_SECONDS + 0.01, NOW - 10.0, set()),
        (NOW - SILENCE_SECONDS, NOW - 10.0, {"a"}),
        (NOW - 5.0, NOW - PROVEN_SECONDS + 0.01, set()),
    ],
)
def test_silent_instance_is_probed(silent_since, connected_at, probed):
    monitor = make_monitor("ab")
    record(monitor, "a", connected_at)
    pool = types.SimpleNamespace(silent_since=lambda: silent_since)
    monitor.relay.connection_pools["a"] = pool
    assert chosen(monitor) == probed


# Guards against an instance that is avoided for seconds after its link is back, and
# against a failing one that a mere connection clears.
@pytest.mark.parametrize(("unreachable", "suspect"), [(True, False), (False, True)])
def test_link_that_is_back_ends_the_suspicion_that_it_caused(unreachable, suspect):
    monitor = make_monitor("a")
    suspicion = monitor.fleet.suspicion
    for _ in range(3):
        suspicion.record_failure("a", NOW, unreachable)
    record(monitor, "-a")
    record(monitor, "a", NOW + 0.1)
    assert bool(suspicion.suspects(NOW + 0.2)) is suspect


def probe_at(monitor, instance, accepts):
    """Return a pool of ``instance``; the link to it is as ``accepts()`` says."""

    async def probe(now, timeout):
        accepted = accepts()
        monitor.record(instance, accepted, time.monotonic())
        return accepted

    return types.SimpleNamespace(probe=probe, silent_since=lambda: None)


# Guards against lost links that are taken for a crash, as another instance was reached
# just before the link to it was lost too.
@pytest.mark.parametrize("others_lost", [False, True])
def test_links_lost_one_after_the_other_are_not_taken_for_a_crash(others_lost):
    async def run():
        monitor = make_monitor("ab")
        lost = {"a"}
        instances = monitor.fleet.instances.instances
        monitor.relay.connection_pool = lambda instance: probe_at(
            monitor, instance, lambda: instance.id not in lost
        )
        monitor.record(instances["a"], False, time.monotonic())
        monitor.step(time.monotonic())
        await asyncio.wait(list(monitor.probes.values()))
        if others_lost:
            lost.add("b")
        return await monitor.are_lost("app")

    assert asyncio.run(run()) is others_lost
