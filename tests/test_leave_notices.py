"""What entry VMs remember and tell each other of instances that announced a leave."""

import attrs
import pytest
from hypothesis import assume, given
from hypothesis import strategies as st
from loguru import logger

from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import (
    REPORTED_REMOVAL_SECONDS,
    InstanceRecord,
    InstanceRegistry,
    Stage,
)
from mulberrydock.leave_notices import MAX_NOTICES, LeaveNotices
from mulberrydock.request import ResponseMetadata

RECORD = InstanceRecord("e1", "llm", "10.0.0.1:80", "dc1", 64, False, Stage.DECODE, 5)
#: Seconds within which all VMs of a fleet must know of a leave: the shortest contact
#: time of the platform.
CONTACT_SECONDS = 3.0
#: Fleets whose VMs all send to each other, and whose data centres exchange sums.
SMALL_AND_LARGE = pytest.mark.parametrize(
    "sizes",
    [{"dc1": 3, "dc2": 3, "dc3": 2}, {f"dc{n}": 39 for n in range(1, 6)}],
    ids=["8 VMs", "195 VMs"],
)
EVENTS = {
    "record": lambda registry, now: registry.put(RECORD, now),
    "removal": lambda registry, now: registry.remove("e1", now),
    "unreadable": lambda registry, now: registry.mark_unreadable("e1"),
    "store lost": lambda registry, now: registry.mark_store_unavailable(now),
    "store back": lambda registry, now: registry.mark_store_available(now),
    "store restored": lambda registry, now: registry.handle_store_restored(now),
    "reload": lambda registry, now: registry.begin_reload(),
    "reloaded": lambda registry, now: registry.finish_reload(now),
    "sweep": lambda registry, now: registry.sweep(now),
}
STEPS = st.lists(st.tuples(st.sampled_from(sorted(EVENTS)), st.floats(0.0, 10.0)))


def apply_all(registry, steps, now):
    """Apply events, each after a pause in seconds."""
    for name, pause in steps:
        now += pause
        EVENTS[name](registry, now)


def knowing(fleet):
    """Return the number of VMs that know of the leave."""
    return sum(
        RECORD.incarnation in vm.link.instances.leave_notices
        for vm in fleet.vms.values()
    )


# Guards against new requests for an engine that leaves after its record was lost, read
# late or restored, in any order and with outages of the store.
@given(STEPS, st.sampled_from(["response", "peer", "record"]), STEPS)
def test_incarnation_that_leaves_never_serves_again(before, source, after):
    registry = InstanceRegistry()
    registry.put(RECORD, 0.0)
    apply_all(registry, before, 0.0)
    if source == "record":
        registry.put(attrs.evolve(RECORD, draining=True), 1000.0)
    else:
        registry.mark_leaving(RECORD.incarnation, source, 1000.0)
    # A record that is unconfirmed after a restoration of the store isn't applied yet.
    assume(RECORD.incarnation in registry.leave_notices)
    apply_all(registry, after, 1000.0)
    registry.put(RECORD, 2000.0)
    assert registry.serving("llm") == []


@pytest.mark.parametrize(
    ("started_at_ms", "change", "serves"),
    [
        (5, {"started_at_ms": 6}, True),
        (5, {"id": "e2"}, True),
        (None, {"address": "10.0.0.2:80"}, True),
        (5, {"address": "10.0.0.2:80"}, False),
        (5, {"slots": 8}, False),
    ],
    ids=["restarted", "other id", "other process", "other address", "same"],
)
# Guards against a new engine without work because its predecessor left, and against
# taking another record of the same incarnation for a new engine.
def test_leave_of_one_incarnation_does_not_apply_to_the_next(
    started_at_ms, change, serves
):
    registry = InstanceRegistry()
    first = attrs.evolve(RECORD, started_at_ms=started_at_ms)
    registry.put(first, 0.0)
    registry.mark_leaving(first.incarnation, "response", 1.0)
    registry.put(attrs.evolve(first, **change), 2.0)
    assert bool(registry.serving("llm")) is serves


# Guards against attributing a statement to the engine that was called when another one
# has its address now.
@pytest.mark.parametrize(
    ("answering", "serving"),
    [("", ["e2"]), ("e1", ["e2"]), ("e2", ["e1"]), ("e3", ["e1", "e2"])],
)
def test_leave_applies_to_the_instance_that_responded(answering, serving):
    fleet = FleetView("dc1", None, lambda: 1, lambda instance_id: None)
    fleet.instances.put(RECORD, 0.0)
    fleet.instances.put(attrs.evolve(RECORD, id="e2"), 0.0)
    called = fleet.instances.instances["e1"]
    metadata = ResponseMetadata("r1", answering, True, False, None, False, None, True)
    fleet.record_response(called, 200, metadata, 1.0)
    assert [i.record.id for i in fleet.instances.serving("llm")] == serving


# Guards against memory exhaustion by notices that a peer invents.
def test_number_of_notices_is_bounded():
    notices = LeaveNotices()
    for number in range(2 * MAX_NOTICES):
        notices.add(f"e{number}", float(number))
    assert len(notices.learned_at) == MAX_NOTICES
    assert f"e{2 * MAX_NOTICES - 1}" in notices


# Guards against an engine that serves again, and messages that can't be built, once its
# notice was dropped for newer ones.
def test_registered_instance_goes_on_leaving_without_its_notice():
    registry = InstanceRegistry()
    registry.put(RECORD, 0.0)
    registry.mark_leaving(RECORD.incarnation, "response", 1.0)
    for number in range(MAX_NOTICES):
        registry.mark_leaving(f"x{number}", "peer", 2.0)
    registry.put(RECORD, 3.0)
    assert registry.serving("llm") == []
    assert registry.leave_updates(1.0, False, 3.0) == []


def start_fleet(peer_fleet, sizes):
    """Start VMs that all know the instance."""
    fleet = peer_fleet(**sizes)
    for vm in fleet.vms.values():
        vm.link.instances.put(RECORD, fleet.now)
    fleet.run(2.0)
    return fleet


# Guards against a leave that only the VM knows which was told, in small fleets and in
# those whose data centres exchange sums, also when a VM starts later.
@SMALL_AND_LARGE
def test_all_vms_learn_of_a_leave(peer_fleet, sizes):
    fleet = start_fleet(peer_fleet, sizes)
    first = next(iter(fleet.vms.values()))
    first.link.instances.mark_leaving(RECORD.incarnation, "response", fleet.now)
    fleet.run(CONTACT_SECONDS)
    assert knowing(fleet) == len(fleet.vms)
    last = list(fleet.vms.values())[-1]
    last.link.instances = InstanceRegistry()
    last.link.instances.put(RECORD, fleet.now)
    fleet.run(CONTACT_SECONDS)
    assert knowing(fleet) == len(fleet.vms)


# Guards against requests for an engine that leaves: the other VMs read its record
# seconds after the first one, behind large configurations.
@SMALL_AND_LARGE
def test_all_vms_learn_of_a_leave_that_one_has_read(peer_fleet, sizes):
    fleet = start_fleet(peer_fleet, sizes)
    first = next(iter(fleet.vms.values()))
    first.link.instances.put(attrs.evolve(RECORD, draining=True), fleet.now)
    fleet.run(CONTACT_SECONDS)
    assert knowing(fleet) == len(fleet.vms)


def serving(fleet):
    """Return the names of the VMs that still send work to the instance."""
    return [n for n, vm in fleet.vms.items() if vm.link.instances.serving("llm")]


# Guards against requests for an engine that leaves unannounced: the other VMs read that
# its record is removed seconds after the first one.
@SMALL_AND_LARGE
def test_no_vm_uses_an_instance_whose_removal_one_has_read(peer_fleet, sizes):
    fleet = start_fleet(peer_fleet, sizes)
    assert len(serving(fleet)) == len(fleet.vms)
    first = next(iter(fleet.vms.values()))
    first.link.instances.remove(RECORD.id, fleet.now)
    fleet.run(CONTACT_SECONDS)
    assert serving(fleet) == []


# Guards against an instance that gets no work for good, as a peer has read an older
# state of the store: its record was written again, or this VM reads no removal.
@pytest.mark.parametrize("is_written_again", [True, False])
def test_reported_removal_is_not_final(is_written_again):
    registry = InstanceRegistry()
    registry.put(RECORD, 0.0)
    registry.mark_removal_reported(RECORD.incarnation, "peer", 1.0)
    assert registry.serving("llm") == []
    if is_written_again:
        registry.put(RECORD, 2.0)
    else:
        registry.sweep(1.0 + REPORTED_REMOVAL_SECONDS)
        assert registry.serving("llm") == []
        registry.sweep(1.1 + REPORTED_REMOVAL_SECONDS)
    assert len(registry.serving("llm")) == 1
    assert registry.removal_updates(9.0, 9.0) == []


# Guards against a log in which a VM seems not to have read that an engine drains, as a
# peer has told it before.
@pytest.mark.parametrize("is_told", [False, True])
def test_draining_record_is_logged_once(is_told):
    events = []
    sink = logger.add(lambda message: events.append(message.record["message"]))
    registry = InstanceRegistry()
    registry.put(RECORD, 0.0)
    if is_told:
        registry.mark_leaving(RECORD.incarnation, "peer", 1.0)
    for now in (2.0, 3.0):
        registry.put(attrs.evolve(RECORD, draining=True), now)
    logger.remove(sink)
    assert events.count("instance draining") == 1
    assert registry.leave_notices.learned_at[RECORD.incarnation] == 2.0 - is_told


# Guards against messages that grow with every instance that ever left.
def test_notice_is_not_repeated_once_the_store_shows_it():
    registry = InstanceRegistry()
    registry.put(RECORD, 0.0)
    registry.mark_leaving(RECORD.incarnation, "response", 1.0)
    assert registry.leave_updates(2.0, True, 9.0) == [RECORD.incarnation]
    assert registry.leave_updates(2.0, False, 9.0) == []
    registry.put(attrs.evolve(RECORD, draining=True), 10.0)
    assert registry.leave_updates(2.0, True, 10.0) == []
