"""Which links of a VM count as lost."""

import attrs
import pytest

from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import InstanceRecord, InstanceRegistry, Stage
from mulberrydock.links import MAX_FAILED_INSTANCES, Links


def record(name, stage=Stage.NONE):
    return InstanceRecord(name, "llm", f"{name}:1", "dc1", 4, False, stage)


def links_to(records):
    """Return the links to registered instances."""
    registry = InstanceRegistry()
    for row in records:
        registry.put(row, 0.0)
    return Links(registry)


def apply(links, attempts, start=0.0):
    """Record attempts to connect, one a second; ``-a`` is a failed one to ``a``."""
    for second, attempt in enumerate(attempts.split(), start=int(start)):
        instance = links.instances.instances[attempt.lstrip("-")]
        links.record(instance, not attempt.startswith("-"), float(second))


# Guards against the crash of one instance, or of a part of a pool, that is taken for
# the loss of this VM's own links, and the other way round.
@pytest.mark.parametrize(
    ("attempts", "lost"),
    [
        ("", False),
        ("-a", False),
        ("-a -a -a", False),
        ("-a -b", True),
        ("a b -a -b", True),
        ("-a -b a", False),
        ("-a -b a -a", False),
        ("-a -b a -a -b", True),
        ("a -b", False),
    ],
)
def test_links_are_lost_when_no_instance_can_be_connected_to(attempts, lost):
    links = links_to([record("a"), record("b")])
    apply(links, attempts)
    assert ("llm" in links.lost) is lost


# Guards against a VM that doesn't notice lost links as those to another stage are up.
def test_links_to_each_stage_count():
    links = links_to([record("p", Stage.PREFILL), record("d", Stage.DECODE)])
    apply(links, "p -d")
    assert links.lost == {"llm"}
    apply(links, "d", start=2)
    assert not links.lost


def test_some_failures_are_enough_in_a_large_pool():
    names = [f"i{number}" for number in range(60)]
    links = links_to(map(record, names))
    apply(links, " ".join(f"-{name}" for name in names[: MAX_FAILED_INSTANCES - 1]))
    assert not links.lost
    apply(links, f"-{names[MAX_FAILED_INSTANCES]}", start=20)
    assert links.lost
    apply(links, names[-1], start=30)
    assert not links.lost


# Guards against links that stay lost when the instances they led to are replaced.
def test_lost_links_end_with_a_new_instance():
    links = links_to([record("a")])
    apply(links, "-a")
    links.instances.put(record("b"), 1.0)
    links.update_lost(2.0)
    assert not links.lost


def fleet_without_links(attempts):
    """Return the fleet view of a VM that made ``attempts`` to connect."""
    fleet = FleetView("dc1", None, lambda: 3, lambda instance: None)
    for name in "ab":
        fleet.instances.put(record(name), 0.0)
    fleet.instances.put(attrs.evolve(record("x"), service="other"), 0.0)
    for attempt in attempts.split():
        instance = fleet.instances.instances[attempt.lstrip("-")]
        fleet.links.record(instance, not attempt.startswith("-"), 0.0)
        if attempt.startswith("-"):
            fleet.suspicion.record_failure(instance.id, 0.0, unreachable=True)
    return fleet


# Guards against VMs in good order that avoid the instances which VMs without links
# couldn't connect to: they would leave them idle, or all crowd at the last one.
@pytest.mark.parametrize(
    ("attempts", "told"),
    [("-a", {"a"}), ("-a -b", set()), ("-a -b -x", set()), ("-a b", {"a"})],
)
def test_failures_over_lost_links_are_not_told_to_peers(attempts, told):
    assert fleet_without_links(attempts).avoided(0.5) == told
