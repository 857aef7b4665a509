"""Which work counts as crashing instances, decided without a network.

Guards against a request that crashes every instance that runs it and is sent again to
any VM, and against blaming the many requests that merely ran where an instance crashed.
The limit is three crashes: one may be chance, and work that one crash interrupts is
sent to a second instance, which may crash as well.
"""

import asyncio

import pytest
from expression import Error, Ok

from mulberrydock import crash_evidence
from mulberrydock import quarantine as quarantine_module
from mulberrydock import records
from mulberrydock.crash_evidence import CRASH_LIMIT, Crash
from mulberrydock.exceptions import StoreError
from mulberrydock.quarantine import (
    PEER_CRASH_WRITE_DELAY_SECONDS,
    QUARANTINE_RETENTION_SECONDS,
    REPORT_DELAY_SECONDS,
    SUSPECT_RETENTION_SECONDS,
    Quarantine,
)
from mulberrydock.quarantine_sync import QuarantineSync
from mulberrydock.request import Request, fingerprint

WORK = fingerprint("work")
OTHER = fingerprint("other")


def crashed(*instances, work=WORK, shared=False):
    return lambda quarantine, now: [
        quarantine.record_crash(work, i, now, shared) for i in instances
    ]


def reported(*instances):
    return lambda quarantine, now: [
        quarantine.apply_peer_crash(Crash.of(WORK, i), 0.5, now) for i in instances
    ]


def stored(*instances):
    return lambda quarantine, now: [
        quarantine.apply(Crash.of(WORK, i).key, 1000.0, now) for i in instances
    ]


def removed(*instances):
    return lambda quarantine, now: [
        quarantine.apply(Crash.of(WORK, i).key, None, now) for i in instances
    ]


def cut(*instances):
    return lambda quarantine, now: [
        quarantine.record_cut(WORK, i, now) for i in instances
    ]


def terminated(*instances):
    return lambda quarantine, now: [
        quarantine.record_termination(i, now) for i in instances
    ]


def served(work=WORK):
    return lambda quarantine, now: quarantine.record_request_end(work, True, now)


def failed(quarantine, now):
    quarantine.record_request_end(WORK, False, now)


def full_reload(*instances):
    def apply(quarantine, now):
        quarantine.begin_reload()
        stored(*instances)(quarantine, now)
        quarantine.finish_reload(0.0, 0.0)

    return apply


#: (case, events as (seconds, event), whether the work is quarantined at 100 s)
HISTORIES = [
    ("three crashes seen here", [(1, crashed("a", "b", "c"))], True),
    ("two of them", [(1, crashed("a", "b"))], False),
    ("the same instance, seen and heard and read", [
        (1, crashed("a")), (2, reported("a")), (3, stored("a")), (4, crashed("a")),
    ], False),
    ("one seen, one heard, one read from the store", [
        (1, crashed("a")), (2, reported("b")), (3, stored("c")),
    ], True),
    ("other work under each of them", [
        (1, crashed("a")), (2, crashed("b", "c", work=OTHER)),
    ], False),
    ("an instance that started again crashes again", [
        (1, crashed("a@1", "a@2", "a@3")),
    ], True),
    ("connections cut, the instances go on", [(1, cut("a", "b", "c"))], False),
    ("connections cut, and the instances are gone soon after", [
        (1, cut("a", "b", "c")), (4, terminated("a", "b", "c")),
    ], True),
    ("connections cut, and the instances leave much later", [
        (1, cut("a", "b", "c")), (60, terminated("a", "b", "c")),
    ], False),
    ("served in between", [
        (1, crashed("a", "b")), (2, served()),
        (62, crashed("c")),
    ], False),
    ("other work served in between", [
        (1, crashed("a", "b")), (2, served(OTHER)), (3, crashed("c")),
    ], True),
    ("a look-up that is served all the time, all instances lost at once", [
        (98, served()), (99, crashed("a", "b")), (99, reported("c")),
        (99, stored("d", "e", "f")),
    ], False),
    ("the records are removed", [(1, stored("a", "b", "c")), (2, removed("a"))], False),
    ("the store lost its history, the records are there", [
        (1, stored("a", "b", "c")), (2, full_reload("a", "b", "c")),
    ], True),
    ("the records were removed unseen", [
        (1, stored("a", "b", "c")), (2, full_reload()),
    ], False),
    ("not yet written when everything is read anew", [
        (1, crashed("a", "b", "c")), (2, full_reload()),
    ], True),
]  # fmt: skip


@pytest.mark.parametrize(
    "events, held", [row[1:] for row in HISTORIES], ids=[row[0] for row in HISTORIES]
)
def test_work_is_quarantined_after_three_crashes(events, held):
    quarantine = Quarantine()
    for now, event in events:
        event(quarantine, now)
    assert quarantine.is_quarantined(WORK) is held
    assert not quarantine.is_quarantined(OTHER)


@pytest.mark.parametrize(
    "events, written_at",
    [
        # Its request has ended without success: written at once.
        ([(1, crashed("a")), (1.2, failed)], 1.2),
        # Its request waits for another instance: written once it may no longer be
        # served.
        ([(1, crashed("a"))], 1 + REPORT_DELAY_SECONDS),
        # Served by another instance: never written.
        ([(1, crashed("a")), (1.5, served())], None),
        # The VM that saw it may be cut off from the store: its peers write it.
        ([(1, reported("a"))], 1 + 1.5 * PEER_CRASH_WRITE_DELAY_SECONDS),
        # The VM that saw it has written it.
        ([(1, reported("a")), (2, stored("a"))], None),
    ],
)
def test_when_a_crash_is_due_to_be_written(events, written_at):
    quarantine = Quarantine()
    for now, event in events:
        event(quarantine, now)
    crash = Crash.of(WORK, "a")
    assert quarantine.due_writes(100.0) == ([crash] if written_at else [])
    if written_at:
        assert quarantine.due_writes(written_at - 0.01) == []
        assert quarantine.due_writes(written_at) == [crash]


def test_crash_is_sent_to_peers_repeatedly_as_messages_get_lost():
    quarantine = Quarantine()
    quarantine.record_crash(WORK, "a", 1.0)
    assert quarantine.take_updates(1.0) == []
    sent = [quarantine.take_updates(3.0) for _ in range(10)]
    assert sent.count([Crash.of(WORK, "a")]) == quarantine_module.MESSAGES_PER_CRASH
    assert sent.count([]) == 10 - quarantine_module.MESSAGES_PER_CRASH


def test_crashes_are_split_over_messages_that_fit_a_datagram():
    """All engines crash at once under a thousand requests of one VM.

    In one message these crashes would exceed a datagram, and the send would fail each
    time.
    """
    quarantine = Quarantine()
    for number in range(1000):
        quarantine.record_crash(f"w{number}", "a", 1.0)
    sent = [quarantine.take_updates(3.0) for _ in range(60)]
    assert max(map(len, sent)) <= quarantine_module.MAX_CRASHES_PER_MESSAGE
    assert sum(map(len, sent)) == 1000 * quarantine_module.MESSAGES_PER_CRASH
    assert quarantine.take_updates(3.0) == []


def test_crash_reported_by_a_peer_is_not_sent_on():
    quarantine = Quarantine()
    quarantine.apply_peer_crash(Crash.of(WORK, "a"), 0.0, 1.0)
    assert quarantine.take_updates(10.0) == []


@pytest.mark.parametrize(
    "bound, count", [("MAX_SUSPECT_ENTRIES", 5), ("MAX_SERVED_ENTRIES", 5)]
)
def test_memory_is_bounded(monkeypatch, bound, count):
    module = crash_evidence if bound == "MAX_SERVED_ENTRIES" else quarantine_module
    monkeypatch.setattr(module, bound, count)
    quarantine = Quarantine()
    for number in range(20):
        quarantine.record_crash(f"w{number}", "a", 1.0)
        quarantine.record_request_end(f"s{number}", True, 1.0)
    assert (
        len(
            quarantine.pending
            if bound == "MAX_SUSPECT_ENTRIES"
            else quarantine.evidence.served_at
        )
        == count
    )


def test_cuts_of_a_running_instance_do_not_accumulate():
    quarantine = Quarantine()
    for second in range(1000):
        quarantine.record_cut(f"w{second}", "a", float(second))
    assert len(quarantine.cuts["a"]) <= quarantine_module.CUT_WINDOW_SECONDS + 1


@pytest.mark.parametrize(
    "instances, seconds, kept",
    [
        (("a",), SUSPECT_RETENTION_SECONDS - 1, True),
        (("a", "b"), SUSPECT_RETENTION_SECONDS + 1, False),
        (("a", "b", "c"), SUSPECT_RETENTION_SECONDS + 1, True),
        (("a", "b", "c"), QUARANTINE_RETENTION_SECONDS + 1, False),
    ],
)
def test_retention_of_stored_crashes(instances, seconds, kept):
    quarantine = Quarantine()
    stored(*instances)(quarantine, 1.0)
    assert (quarantine.expired(1000.0 + seconds) == []) is kept


@pytest.mark.parametrize(
    "changes, same",
    [
        ({}, True),
        ({"id": "another attempt", "deadline": 9.0, "last_event_id": 4}, True),
        ({"headers": [("X-Any", "other")]}, True),
        ({"body": b"other"}, False),
        ({"target": "/x?q=2"}, False),
        ({"method": "GET"}, False),
        ({"host": "b.example"}, False),
        ({"target": "/", "body": b"x?q=1body"}, False),
    ],
)
def test_attempts_at_the_same_work_share_a_fingerprint(changes, same):
    fields = {
        "id": "r1",
        "method": "POST",
        "target": "/x?q=1",
        "host": "a.example",
        "headers": [],
        "body": b"body",
        "arrived": 0.0,
        "deadline": 1.0,
    }
    first, second = Request(**fields), Request(**(fields | changes))
    assert (first.fingerprint == second.fingerprint) is same


class Store:
    """A store in memory; while ``failing``, every call fails."""

    def __init__(self):
        self.values = {}
        self.calls = 0
        self.failing = False

    async def write_all(self, values, removals):
        self.calls += 1
        if self.failing:
            return Error(StoreError("no answer"))
        self.values.update(values)
        for key in removals:
            self.values.pop(key, None)
        return Ok(self.calls)


def make_sync(store, is_leader=False):
    return QuarantineSync(Quarantine(), store, "entry-1", lambda: is_leader)


def load(store):
    """Return the sync of a VM that has just started and read the store."""
    fresh = make_sync(store)
    fresh.quarantine.begin_reload()
    for key, value in store.values.items():
        fresh.apply(key, value, 1)
    fresh.quarantine.finish_reload(0.0, 0.0)
    return fresh


def step(vm, now, unix_now=1000.0):
    return asyncio.run(vm.step(now, unix_now))


@pytest.mark.parametrize("shared", [False, True])
def test_restarted_vm_reads_all_crashes_from_the_store(shared):
    """All VMs lose power after three engines crashed under a request.

    When it is sent again, only the store has the crashes, whichever VMs wrote them.
    """
    store = Store()
    for instance in ("a", "b", "c"):
        vm = make_sync(store)
        vm.quarantine.record_crash(WORK, instance, 1.0, shared)
        assert step(vm, 3.0)
    assert load(store).quarantine.is_quarantined(WORK)


@pytest.mark.parametrize("shared", [False, True])
def test_crashes_seen_during_a_store_outage_are_written_after_it(shared):
    """Engines crash while the store is unavailable.

    The VM that saw it refuses the request on its own, and writes the crashes in one
    call once the store is back.
    """
    store = Store()
    store.failing = True
    vm = make_sync(store)
    crashed("a", "b", "c", shared=shared)(vm.quarantine, 1.0)
    assert not step(vm, 3.0)
    assert vm.quarantine.is_quarantined(WORK)
    store.failing = False
    assert step(vm, 4.0)
    assert (len(store.values), store.calls) == (CRASH_LIMIT, 2)
    assert step(vm, 5.0) and store.calls == 2


@pytest.mark.parametrize("shared", [False, True])
def test_crash_seen_by_a_vm_cut_off_from_the_store_is_written_by_a_peer(shared):
    """A VM that can't reach the store sees two engines crash under a request.

    The third crash is seen by another VM. The peers receive the first VM's reports and
    write what it couldn't.
    """
    store, unreachable = Store(), Store()
    unreachable.failing = True
    cut_off, peer = make_sync(unreachable), make_sync(store)
    crashed("a", "b", shared=shared)(cut_off.quarantine, 1.0)
    failed(cut_off.quarantine, 1.0)
    for crash in cut_off.quarantine.take_updates(1.1):
        peer.quarantine.apply_peer_crash(crash, 0.0, 1.1)
    crashed("c", shared=shared)(peer.quarantine, 1.2)
    assert peer.quarantine.is_quarantined(WORK)
    assert step(peer, 1.1 + PEER_CRASH_WRITE_DELAY_SECONDS)
    assert load(store).quarantine.is_quarantined(WORK)


def test_served_work_is_cleared_in_the_store():
    store = Store()
    vm = make_sync(store)
    crashed("a", "b")(vm.quarantine, 1.0)
    assert step(vm, 3.0)
    other = load(store)
    served()(other.quarantine, 4.0)
    assert step(other, 4.0)
    assert store.values == {}


def test_expired_crashes_are_removed_by_the_leader_only():
    store = Store()
    vm = make_sync(store)
    crashed("a")(vm.quarantine, 1.0)
    step(vm, 3.0)
    late = 1000.0 + SUSPECT_RETENTION_SECONDS + 1
    for is_leader, left in ((False, 1), (True, 0)):
        fresh = load(store)
        fresh.is_leader = lambda: is_leader
        step(fresh, 100.0, late)
        assert len(store.values) == left


@pytest.mark.parametrize(
    "key, value",
    [
        ("crashes/", "x"),
        ("crashes/only-work", "x"),
        ("crashes/work/instance", "not a record"),
        ("crashes/work/instance", "\udc80"),
    ],
)
def test_malformed_crash_record_is_skipped(key, value):
    vm = make_sync(Store())
    vm.apply(key, value, 1)
    assert not vm.quarantine.stored


def test_record_names_its_writer():
    store = Store()
    vm = make_sync(store)
    crashed("a")(vm.quarantine, 1.0)
    step(vm, 3.0)
    record = records.decode(records.CrashRecord, *store.values.values())
    assert (record.by, record.writtenAt) == ("entry-1", 1000.0)
