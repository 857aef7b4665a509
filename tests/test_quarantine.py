"""What counts as work that crashes instances, decided without a network.

The load pattern is one request that ends every instance that runs it and comes again
at any VM, amid many requests that only happened to run where one ended. The grounds
for three are the users': one crash may be chance, and what is cut off by one is sent
to a second instance, which may end as well.
"""

import asyncio

import pytest
from expression import Error, Ok

from mulberrydock import quarantine, records
from mulberrydock.exceptions import StoreError
from mulberrydock.quarantine import (
    CRASH_LIMIT,
    PEER_CRASH_WRITE_DELAY_SECONDS,
    QUARANTINE_KEPT_SECONDS,
    SERVED_SECONDS,
    SETTLE_SECONDS,
    SUSPICION_KEPT_SECONDS,
    Crash,
    Quarantine,
)
from mulberrydock.quarantine_sync import QuarantineSync
from mulberrydock.request import Request, fingerprint

WORK = fingerprint("work")
OTHER = fingerprint("other")


def crashed(*instances, work=WORK):
    return lambda book, now: [book.record_crash(work, i, now) for i in instances]


def heard(*instances):
    return lambda book, now: [
        book.apply_peer_crash(Crash.of(WORK, i), 0.5, now) for i in instances
    ]


def read(*instances):
    return lambda book, now: [
        book.apply(Crash.of(WORK, i).key, 1000.0) for i in instances
    ]


def removed(*instances):
    return lambda book, now: [
        book.apply(Crash.of(WORK, i).key, None) for i in instances
    ]


def cut(*instances):
    return lambda book, now: [book.record_cut(WORK, i, now) for i in instances]


def gone(*instances):
    return lambda book, now: [book.record_termination(i, now) for i in instances]


def served(work=WORK):
    return lambda book, now: book.record_request_end(work, True, now)


def failed(book, now):
    book.record_request_end(WORK, False, now)


def full_read(*instances):
    def apply(book, now):
        book.begin_reload()
        read(*instances)(book, now)
        book.finish_reload(0.0, 0.0)

    return apply


#: (what is tested, events as (seconds, event), whether the work is held at 100 s)
HISTORIES = [
    ("three crashes seen here", [(1, crashed("a", "b", "c"))], True),
    ("two of them", [(1, crashed("a", "b"))], False),
    ("the same instance, seen and heard and read", [
        (1, crashed("a")), (2, heard("a")), (3, read("a")), (4, crashed("a")),
    ], False),
    ("one seen, one heard, one read from the store", [
        (1, crashed("a")), (2, heard("b")), (3, read("c")),
    ], True),
    ("other work under each of them", [
        (1, crashed("a")), (2, crashed("b", "c", work=OTHER)),
    ], False),
    ("an instance that started again crashes again", [
        (1, crashed("a@1", "a@2", "a@3")),
    ], True),
    ("connections cut, the instances go on", [(1, cut("a", "b", "c"))], False),
    ("connections cut, and the instances are gone soon after", [
        (1, cut("a", "b", "c")), (4, gone("a", "b", "c")),
    ], True),
    ("connections cut, and the instances leave much later", [
        (1, cut("a", "b", "c")), (60, gone("a", "b", "c")),
    ], False),
    ("served in between", [
        (1, crashed("a", "b")), (2, served()), (2 + SERVED_SECONDS, crashed("c")),
    ], False),
    ("other work served in between", [
        (1, crashed("a", "b")), (2, served(OTHER)), (3, crashed("c")),
    ], True),
    ("a look-up that is served all the time, all instances lost at once", [
        (98, served()), (99, crashed("a", "b")), (99, heard("c")),
        (99, read("d", "e", "f")),
    ], False),
    ("the records are removed", [(1, read("a", "b", "c")), (2, removed("a"))], False),
    ("the store lost its history, the records are there", [
        (1, read("a", "b", "c")), (2, full_read("a", "b", "c")),
    ], True),
    ("the records were removed unseen", [
        (1, read("a", "b", "c")), (2, full_read()),
    ], False),
    ("not yet written when everything is read anew", [
        (1, crashed("a", "b", "c")), (2, full_read()),
    ], True),
]  # fmt: skip


@pytest.mark.parametrize(
    "events, held", [row[1:] for row in HISTORIES], ids=[row[0] for row in HISTORIES]
)
def test_work_is_held_after_three_crashes(events, held):
    book = Quarantine()
    for now, event in events:
        event(book, now)
    assert book.is_quarantined(WORK, 100.0) is held
    assert not book.is_quarantined(OTHER, 100.0)


@pytest.mark.parametrize(
    "events, written_at",
    [
        # Cut off, and no more of its request: told at once.
        ([(1, crashed("a")), (1.2, failed)], 1.2),
        # Its request waits for another instance: told while it may still be served.
        ([(1, crashed("a"))], 1 + SETTLE_SECONDS),
        # Served at another instance: never told.
        ([(1, crashed("a")), (1.5, served())], None),
        # The VM that saw it may be cut off from the store: its peers write it.
        ([(1, heard("a"))], 1 + 1.5 * PEER_CRASH_WRITE_DELAY_SECONDS),
        # The VM that saw it has written it.
        ([(1, heard("a")), (2, read("a"))], None),
    ],
)
def test_when_a_crash_is_written(events, written_at):
    book = Quarantine()
    for now, event in events:
        event(book, now)
    crash = Crash.of(WORK, "a")
    assert book.due_writes(100.0) == ([crash] if written_at else [])
    if written_at:
        assert book.due_writes(written_at - 0.01) == []
        assert book.due_writes(written_at) == [crash]


def test_peers_are_told_often_enough_for_a_lost_message():
    book = Quarantine()
    book.record_crash(WORK, "a", 1.0)
    assert book.take_updates(1.0) == []
    told = [book.take_updates(3.0) for _ in range(10)]
    assert told.count([Crash.of(WORK, "a")]) == quarantine.REPEATS
    assert told.count([]) == 10 - quarantine.REPEATS


def test_a_message_bears_what_many_crashes_leave_behind():
    """All engines end at once under a thousand requests of one VM. Told together they
    would be more than a datagram bears, and the send would fail, each time."""
    book = Quarantine()
    for number in range(1000):
        book.record_crash(f"w{number}", "a", 1.0)
    told = [book.take_updates(3.0) for _ in range(60)]
    assert max(map(len, told)) <= quarantine.CRASHES_A_MESSAGE
    assert sum(map(len, told)) == 1000 * quarantine.REPEATS
    assert book.take_updates(3.0) == []


def test_what_was_heard_is_not_told_again():
    book = Quarantine()
    book.apply_peer_crash(Crash.of(WORK, "a"), 0.0, 1.0)
    assert book.take_updates(10.0) == []


@pytest.mark.parametrize("bound, count", [("SUSPECTS_KEPT", 5), ("SERVED_KEPT", 5)])
def test_memory_is_bounded(monkeypatch, bound, count):
    monkeypatch.setattr(quarantine, bound, count)
    book = Quarantine()
    for number in range(20):
        book.record_crash(f"w{number}", "a", 1.0)
        book.record_request_end(f"s{number}", True, 1.0)
    assert len(book.unwritten if bound == "SUSPECTS_KEPT" else book.served) == count


def test_cuts_of_an_instance_that_lives_on_are_forgotten():
    book = Quarantine()
    for second in range(1000):
        book.record_cut(f"w{second}", "a", float(second))
    assert len(book.cuts["a"]) <= quarantine.CUT_SECONDS + 1


@pytest.mark.parametrize(
    "instances, seconds, kept",
    [
        (("a",), SUSPICION_KEPT_SECONDS - 1, True),
        (("a", "b"), SUSPICION_KEPT_SECONDS + 1, False),
        (("a", "b", "c"), SUSPICION_KEPT_SECONDS + 1, True),
        (("a", "b", "c"), QUARANTINE_KEPT_SECONDS + 1, False),
    ],
)
def test_how_long_crashes_are_kept(instances, seconds, kept):
    book = Quarantine()
    read(*instances)(book, 1.0)
    assert (book.expired(1000.0 + seconds) == []) is kept


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
    """Keeps what is written; ``failing`` answers nothing."""

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


def keeper(store, is_leader=False):
    return QuarantineSync(Quarantine(), store, "entry-1", lambda: is_leader)


def load(store):
    """Return the keeper of a VM that has just started and read the store."""
    fresh = keeper(store)
    fresh.quarantine.begin_reload()
    for key, value in store.values.items():
        fresh.apply(key, value, 1)
    fresh.quarantine.finish_reload(0.0, 0.0)
    return fresh


def step(vm, now, unix_now=1000.0):
    return asyncio.run(vm.step(now, unix_now))


def test_vm_that_has_just_started_knows_of_all_crashes():
    """Every VM loses power after three engines ended under a request, and the request
    comes again. What lasts is in the store, whichever VMs wrote it."""
    store = Store()
    for instance in ("a", "b", "c"):
        vm = keeper(store)
        vm.quarantine.record_crash(WORK, instance, 1.0)
        assert step(vm, 3.0)
    assert load(store).quarantine.is_quarantined(WORK, 5.0)


def test_store_that_was_away_gets_what_it_missed():
    """Engines end while the store is away: the VM that saw it refuses the request by
    itself, and writes what it saw once the store is back, in one call."""
    store = Store()
    store.failing = True
    vm = keeper(store)
    crashed("a", "b", "c")(vm.quarantine, 1.0)
    assert not step(vm, 3.0)
    assert vm.quarantine.is_quarantined(WORK, 3.0)
    store.failing = False
    assert step(vm, 4.0)
    assert (len(store.values), store.calls) == (CRASH_LIMIT, 2)
    assert step(vm, 5.0) and store.calls == 2


def test_crash_seen_by_a_vm_cut_off_from_the_store_is_written_by_a_peer():
    """A VM that can't reach the store sees two engines end under a request; the third
    ends at another VM. Its peers hear the first VM and write what it couldn't."""
    store, away = Store(), Store()
    away.failing = True
    cut_off, peer = keeper(away), keeper(store)
    crashed("a", "b")(cut_off.quarantine, 1.0)
    failed(cut_off.quarantine, 1.0)
    for crash in cut_off.quarantine.take_updates(1.1):
        peer.quarantine.apply_peer_crash(crash, 0.0, 1.1)
    crashed("c")(peer.quarantine, 1.2)
    assert peer.quarantine.is_quarantined(WORK, 1.2)
    assert step(peer, 1.1 + PEER_CRASH_WRITE_DELAY_SECONDS)
    assert load(store).quarantine.is_quarantined(WORK, 5.0)


def test_work_that_is_served_is_cleared_for_all():
    store = Store()
    vm = keeper(store)
    crashed("a", "b")(vm.quarantine, 1.0)
    assert step(vm, 3.0)
    other = load(store)
    served()(other.quarantine, 4.0)
    assert step(other, 4.0)
    assert store.values == {}


def test_old_crashes_are_removed_by_the_vm_on_duty():
    store = Store()
    vm = keeper(store)
    crashed("a")(vm.quarantine, 1.0)
    step(vm, 3.0)
    late = 1000.0 + SUSPICION_KEPT_SECONDS + 1
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
def test_record_of_another_writer_is_passed_over(key, value):
    vm = keeper(Store())
    vm.apply(key, value, 1)
    assert not vm.quarantine.stored


def test_record_names_its_writer():
    store = Store()
    vm = keeper(store)
    crashed("a")(vm.quarantine, 1.0)
    step(vm, 3.0)
    record = records.decode(records.CrashRecord, *store.values.values())
    assert (record.by, record.writtenAt) == ("entry-1", 1000.0)
