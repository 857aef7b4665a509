"""The records of which version began each stream, before a store that loses answers."""

import asyncio
import time
import types

import attrs
import pytest
from expression import Error, Ok
from test_placement import ROUTE
from test_stream_origins import SIZES, Network

from mulberrydock import origin_records
from mulberrydock.exceptions import StoreError, VersionConflict
from mulberrydock.metrics import ServeMetrics
from mulberrydock.origin_exchange import OriginExchange
from mulberrydock.origin_records import (
    EXPIRY_INTERVAL_SECONDS,
    MAX_WRITERS,
    SEGMENT_SECONDS,
    SEGMENTS,
    WAITING_SECONDS,
    WRITES_PER_SECOND,
    OriginRecords,
)
from mulberrydock.request import Request
from mulberrydock.stream_origins import (
    MAX_ORIGINS,
    RETENTION_SECONDS,
    StreamOrigin,
    origin_key,
)
from mulberrydock.stream_version import StreamVersion
from mulberrydock.version_history import MAX_GAP_SECONDS, VersionHistory
from mulberrydock.version_records import VersionRecords

#: Seconds of streams, and streams a second at each VM.
SECONDS = 4.0
STREAMS_PER_SECOND = 3


@attrs.define
class Store:
    """Values by key with their revisions.

    :param lost: ends of the next calls: ``done`` and ``late`` ones get no answer.

    ``late`` holds the calls that are still to be carried out.
    """

    lost: list = attrs.field(factory=list)
    items: dict = attrs.field(factory=dict)
    calls: int = 0
    late: list = attrs.field(factory=list)

    async def put(self, key, value, expect_version=None):
        self.calls += 1
        end = self.lost.pop(0) if self.lost else ""
        if end == "late":
            self.late.append((key, value, expect_version))
            return Error(StoreError("no answer"))
        result = self.execute(key, value, expect_version)
        return Error(StoreError("no answer")) if end == "done" else result

    def execute(self, key, value, expect_version):
        current = self.items.get(key, ("", 0))[1]
        if expect_version not in (None, current):
            return Error(VersionConflict("changed", current))
        revision = max((row[1] for row in self.items.values()), default=0) + 1
        self.items[key] = (value, revision)
        return Ok(revision)

    async def write_all(self, values, removals):
        for key in removals:
            self.items.pop(key, None)
        return Ok(1)

    def origins(self):
        """Return the versions of the streams in all records, by key."""
        return {
            origin.key: origin.version
            for value, _ in self.items.values()
            for origin in origin_records.decode(value)
        }


def history(*versions):
    """Return the history of a VM that sees these versions of one service."""
    return VersionHistory({("llm", version): 0.0 for version in versions})


def writer(store, name="a-0", network=None, versions=("v1", "v2"), leads=False):
    """Return the records of a VM in a fleet of nine."""
    network = network or Network(SIZES[1])
    vm = OriginRecords(
        name, store, network.vms[name], history(*versions), lambda: leads
    )
    vm.exchange.on_write = vm.write
    return vm


def stream(number, version="v1"):
    return StreamOrigin(origin_key(f"request-{number}"), version)


def step(vm, now):
    return asyncio.run(vm.step(now))


# Guards against writes that grow with the fleet, and streams that nobody writes.
@pytest.mark.parametrize("sizes", SIZES, ids=lambda sizes: sum(sizes.values()))
def test_few_vms_write_the_streams_of_all(sizes):
    store, network = Store(), Network(sizes)
    vms = [writer(store, name, network) for name in network.vms]
    due, begun = [0.0] * len(vms), 0
    for tick in range(int(SECONDS * 100)):
        now = tick / 100
        for number, vm in enumerate(vms):
            if tick % (100 // STREAMS_PER_SECOND) == number % 33:
                vm.add("llm", stream(begun), now)
                begun += 1
            if now >= due[number]:
                due[number] = now + step(vm, now)
    for _ in range(2):
        for vm in vms:
            step(vm, now)
    assert len(store.origins()) == begun
    assert len({key.split("/")[1] for key in store.items}) <= MAX_WRITERS
    assert store.calls <= WRITES_PER_SECOND * SECONDS + 3 * MAX_WRITERS


# Guards against streams that a call without an answer takes out of the store again, and
# against a record that is never written after a lost answer.
@pytest.mark.parametrize("lost", [["late"], ["done"], ["late", "done"], ["late"] * 3])
def test_every_stream_is_in_the_store_whatever_becomes_of_the_answers(lost):
    store = Store(lost)
    vm, now = writer(store), 0.0
    vm.exchange.groups.peers.clear()
    for number in range(12):
        vm.add("llm", stream(number), now)
        step(vm, now)
        if number == 8:
            for call in store.late:
                store.execute(*call)
        now += 0.1
    for _ in range(3):
        step(vm, now)
    assert len(store.origins()) == 12


@pytest.mark.parametrize(
    "age, is_written", [(0.0, True), (WAITING_SECONDS - 1, True), (100.0, False)]
)
def test_streams_are_written_once_a_second_version_comes(age, is_written):
    store = Store()
    vm = writer(store, versions=("v1",))
    vm.exchange.groups.peers.clear()
    vm.add("llm", stream(1), 0.0)
    step(vm, 0.0)
    assert store.calls == 0
    vm.versions.record("llm", "v2", age)
    vm.add("llm", stream(2), age)
    step(vm, age)
    assert (stream(1).key in store.origins()) is is_written
    assert stream(2).key in store.origins()


def test_number_of_records_is_bounded_and_the_newest_streams_are_kept():
    store = Store()
    vm = writer(store)
    vm.exchange.groups.peers.clear()
    for number in range(100):
        now = number * SEGMENT_SECONDS / 3
        vm.add("llm", stream(number), now)
        step(vm, now)
    assert len(store.items) == SEGMENTS
    newest = {stream(n).key for n in range(100 - 3 * (SEGMENTS - 1), 100)}
    assert newest <= store.origins().keys()


# Guards against records of VMs that are gone, which would stay for good, and against a
# VM other than the leader that removes them.
@pytest.mark.parametrize("leads", [True, False])
def test_leader_removes_the_records_of_former_processes(monkeypatch, leads):
    store = Store()
    vm, now = writer(store, leads=leads), 1000.0
    monkeypatch.setattr(origin_records.time, "monotonic", lambda: now)
    former = writer(store, "a-1")
    former.write(stream(1), now)
    step(former, now)
    ((key, (value, revision)),) = store.items.items()
    vm.apply(key, value, revision)
    assert vm.exchange.origins.get(stream(1).key, now) == "v1"
    for later in (EXPIRY_INTERVAL_SECONDS + 1, RETENTION_SECONDS + 1):
        assert store.items
        step(vm, now + later)
    step(vm, now + 2 * RETENTION_SECONDS)
    assert (not store.items) is leads


# Guards against a record of a busy VM that can't be read, as it is large.
@pytest.mark.parametrize("count", [1, 2000, MAX_ORIGINS])
def test_record_of_any_size_can_be_read(count):
    places = [("v1", "a"), ("v2", "a"), ("v1", "b")]
    rows = (
        StreamOrigin(stream(number).key, *places[number % len(places)])
        for number in range(count)
    )
    streams = {origin.key: origin for origin in rows}
    text = origin_records.Segment("origins/x/0", origins=streams).encode()
    assert {o.key: o for o in origin_records.decode(text)} == streams


# Guards against a VM that forgets the streams which it was told of, and that works for
# each stream of a large fleet: it reads the records of others as it starts only.
@pytest.mark.parametrize("is_running", [True, False])
def test_running_vm_does_not_read_the_streams_of_the_fleet(is_running):
    now = time.monotonic()
    vm, segment = writer(Store()), origin_records.Segment("origins/other/0")
    vm.begin_reload()
    if is_running:
        vm.finish_reload()
    vm.exchange.origins.record(stream("told"), now)
    for number in range(MAX_ORIGINS):
        segment.origins[stream(number).key] = stream(number)
    vm.apply(segment.key, segment.encode(), 1)
    known = [vm.exchange.origins.get(stream(n).key, now) for n in ("told", 7)]
    assert known == (["v1", ""] if is_running else ["", "v1"])
    assert segment.key in vm.changed_at


@pytest.mark.parametrize("value", ["", "?", "AAAA", "////"])
def test_record_that_cannot_be_read_is_ignored(value):
    vm = writer(Store())
    vm.apply("origins/x/0", value, 1)
    assert vm.exchange.origins.origins == {}


@pytest.mark.parametrize(
    "seen, recorded, is_complete, first_start, due",
    [
        (["v1"], {}, False, True, {"llm": {"v1"}}),
        # Former versions may have been missed.
        (["v1"], {}, False, False, {}),
        (["v1"], {}, True, False, {"llm": {"v1"}}),
        (["v2"], {"llm": {"v1"}}, False, True, {"llm": {"v1", "v2"}}),
        (["v2"], {"llm": {"v1"}}, True, False, {"llm": {"v2"}}),
        ([], {"llm": {"v1"}}, False, False, {"llm": {"v1"}}),
        ([], {"llm": {"v1"}}, True, False, {}),
        # An instance without a version is its own.
        (["v1", "@i"], {"llm": {"v1"}}, True, True, {}),
    ],
)
def test_record_holds_all_versions_whose_streams_may_go_on(
    seen, recorded, is_complete, first_start, due
):
    versions = history(*seen)
    versions.recorded = {name: frozenset(row) for name, row in recorded.items()}
    versions.complete_since, versions.observed_at = 0.0, RETENTION_SECONDS + 1
    now = RETENTION_SECONDS + 1 if is_complete else 1.0
    if not is_complete:
        versions.observed_at = now
    store = Store()
    leader = VersionRecords(versions, store, lambda: True, first_start)
    assert leader.due(now) == due
    asyncio.run(leader.step(now))
    assert versions.recorded == due
    follower = VersionRecords(VersionHistory(), store, lambda: False)
    follower.begin_reload()
    for key, (value, revision) in store.items.items():
        follower.apply(key, value, revision)
    follower.finish_reload()
    assert follower.versions.recorded == (due if store.items else {})


# Guards against a guess from a record that may have changed since it was read.
@pytest.mark.parametrize(
    "happens, sole",
    [
        (lambda v, r: None, "v1"),
        (lambda v, r: v.record("llm", "v2", 1.0), ""),
        (lambda v, r: v.restart(1.0), ""),
        (lambda v, r: v.observe((), 1.0 + MAX_GAP_SECONDS + 1), ""),
        (lambda v, r: r.begin_reload(), ""),
        (lambda v, r: r.apply("control/versions", None, 0), ""),
        (lambda v, r: r.apply("control/versions", "?", 0), ""),
    ],
)
def test_version_is_taken_from_the_record_only_while_it_is_current(happens, sole):
    versions = history("v1")
    versions.observe((), 0.0)
    records = VersionRecords(versions, Store(), lambda: False)
    records.begin_reload()
    versions.recorded = {"llm": frozenset({"v1"})}
    records.finish_reload()
    happens(versions, records)
    assert versions.sole_version("llm", 1.0) == sole


async def answered():
    return True


# Guards against a request that goes before others because it names an event, although
# nobody remembers a stream that it goes on with.
@pytest.mark.parametrize(
    "resumes, is_resumable, is_first",
    [("", True, False), ("other", True, False), ("s", False, False), ("s", True, True)],
)
def test_only_remembered_streams_that_are_taken_up_go_first(
    resumes, is_resumable, is_first
):
    versions = VersionHistory({("llm", "v1"): 0.0}, 0.0, 0.0, {"llm": ("v1",)}, True)
    instances = types.SimpleNamespace(versions=versions)
    relay = types.SimpleNamespace(
        fleet=types.SimpleNamespace(instances=instances),
        metrics=ServeMetrics(),
        origins=OriginExchange(),
        catch_up=answered,
    )
    versions.observed_at = versions.complete_since = time.monotonic()
    relay.origins.origins.record(StreamOrigin(origin_key("s"), "v1"), time.monotonic())
    request = Request("r", "POST", "/", "h", [], b"", 0.0, 5.0)
    request.last_event_id, request.resumes = 7, resumes
    route = attrs.evolve(ROUTE, priority=7, resumable=is_resumable)
    version = StreamVersion(relay, request, route, "llm", False)
    asyncio.run(version.find())
    assert version.fixed == "v1"
    assert version.ranked_route().is_taken_up is is_first
    assert (version.ranked_route().urgency == 0) is is_first
