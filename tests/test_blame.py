"""Which parts of prompts are blamed for crashes, decided without a network.

Requests share parts, so each crash speaks against several, most of them sound; blaming
those would refuse requests that no engine fails on.
"""

import asyncio
import itertools
import random

import pytest
from expression import Error, Ok

from mulberrydock import quarantine as quarantine_module
from mulberrydock.crash_evidence import (
    CRASH_LIMIT,
    MIN_SPREAD_SECONDS,
    SERVED_SECONDS,
    Crash,
)
from mulberrydock.exceptions import StoreError, VersionConflict
from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import Instance, InstanceRecord
from mulberrydock.placement import Pool
from mulberrydock.quarantine import (
    RIVAL_TRIAL_PAUSE_SECONDS,
    SUSPECT_PAUSE_SECONDS,
    TRIAL_PAUSE_FACTOR,
    TRIAL_PAUSE_SECONDS,
    Quarantine,
)
from mulberrydock.quarantine_sync import QuarantineSync
from mulberrydock.request import Prompt, PromptPart, Request, fingerprint, part_works


def crash(at, instance, *parts):
    """Return the event of a crash under requests with these parts."""

    def apply(quarantine):
        for part in parts:
            quarantine.record_crash(part, instance, at, shared=True)

    return apply


def heard(at, instance, *parts, age=0.0):
    """Return the event of a crash that a peer reports some time after it."""

    def apply(quarantine):
        for part in parts:
            quarantine.apply_peer_crash(Crash.of(part, instance), 0.5, at, age)

    return apply


def served(at, *parts):
    """Return the event of an answer that began at a time and was completed."""

    def apply(quarantine):
        for part in parts:
            quarantine.record_request_end(part, True, at + 0.3, at)

    return apply


def sound(at, age, *parts):
    """Return the event of a peer's report that parts were sound some time ago."""

    def apply(quarantine):
        for part in parts:
            quarantine.apply_peer_sound(part, at - age, at)

    return apply


#: Seconds between two crashes that come one after the other.
STEP = MIN_SPREAD_SECONDS
#: (case, events, the parts that are blamed)
HISTORIES = [
    ("first part of all requests was served before", [
        served(1, "all"), crash(2, "a", "all", "deadly"),
        crash(2.1, "b", "all", "deadly"), crash(2.2, "c", "all", "deadly"),
    ], {"deadly"}),
    ("the first part is deadly", [
        served(1, "b"), crash(2, "a", "deadly", "b"), crash(3, "b", "deadly", "b"),
        crash(4, "c", "deadly", "b"),
    ], {"deadly"}),
    ("sound part beside it in two of three crashes", [
        crash(1, "a", "deadly", "rare"), crash(2, "b", "deadly", "rare"),
        crash(3, "c", "deadly"),
    ], {"deadly"}),
    ("another sound part beside it in each crash", [
        crash(1, "a", "deadly", "x"), crash(2, "b", "deadly", "y"),
        crash(3, "c", "deadly", "z"),
    ], {"deadly"}),
    ("nothing tells two parts apart", [
        crash(1, "a", "deadly", "rare"), crash(2, "b", "deadly", "rare"),
        crash(3, "c", "deadly", "rare"),
    ], {"deadly", "rare"}),
    ("one of them is served at last", [
        crash(1, "a", "deadly", "rare"), crash(2, "b", "deadly", "rare"),
        crash(3, "c", "deadly", "rare"), served(4, "rare"),
    ], {"deadly"}),
    ("one of them was served all the time", [
        served(1, "all"), crash(2, "a", "all", "deadly"), served(2.5, "all"),
        crash(3, "b", "all", "deadly"), crash(4, "c", "all", "deadly"),
    ], {"deadly"}),
    ("two deadly parts at once", [
        crash(1, "a", "d1", "x"), crash(1.1, "b", "d2", "x"), crash(2, "c", "d1"),
        crash(2.1, "d", "d2"), crash(3, "e", "d1"), crash(3.1, "f", "d2"),
    ], {"d1", "d2"}),
    ("two deadly parts, first part shared and known to be sound", [
        served(0, "all"), crash(1, "a", "all", "d1"), crash(1.1, "b", "all", "d2"),
        crash(2, "c", "all", "d1"), crash(2.1, "d", "all", "d2"),
        crash(3, "e", "all", "d1"), crash(3.1, "f", "all", "d2"),
    ], {"d1", "d2"}),
    ("two crashes only", [crash(1, "a", "p"), crash(2, "b", "p")], set()),
    ("the same instance three times", [
        crash(1, "a", "p"), crash(2, "a", "p"), heard(3, "a", "p"),
    ], set()),
    ("all instances of a pool lost at once under a popular part", [
        served(1, "p"), *(crash(2, i, "p") for i in "abcdef"),
    ], set()),
    ("deadly only after it was served well", [
        served(1, "p"), crash(2, "a", "p"), crash(2.1, "b", "p"),
        crash(2 + STEP, "c", "p"),
    ], {"p"}),
    ("as before, but the first part was served in between", [
        served(1, "all", "p"), crash(2, "a", "all", "p"), crash(2.1, "b", "all", "p"),
        served(3, "all"), crash(5, "c", "all", "p"),
    ], {"p"}),
    ("sound until then, it shares most of its crashes with a rare sound part", [
        served(1, "p"), crash(2, "a", "p", "rare"), crash(2.1, "b", "p", "rare"),
        crash(2.2, "c", "p", "rare"), crash(5, "d", "p"), crash(5.1, "e", "p"),
    ], {"p", "rare"}),
    ("an answer that began before the crashes clears nothing", [
        crash(1, "a", "p"), crash(2, "b", "p"), crash(3, "c", "p"), served(0.9, "p"),
    ], {"p"}),
    ("lost at once, but some of it is reported late", [
        served(1, "p"), crash(2, "a", "p"), heard(2.1, "b", "p", age=0.1),
        heard(4, "c", "p", age=2.0),
    ], set()),
    ("served so long ago that it says nothing", [
        served(1, "p"), *(crash(2 + SERVED_SECONDS, i, "p") for i in "abc"),
    ], {"p"}),
    ("seen by three VMs", [
        crash(1, "a", "p"), heard(1.2, "b", "p"), heard(1.4, "c", "p"),
    ], {"p"}),
    ("cleared by a peer", [
        crash(1, "a", "p"), heard(1.2, "b", "p"), heard(1.4, "c", "p"),
        sound(2, 0.1, "p"),
    ], set()),
    ("a peer served it before the crashes", [
        crash(1, "a", "p"), heard(1, "b", "p"), heard(1, "c", "p"),
        sound(1.2, 5.0, "p"),
    ], set()),
    ("a crash that was cleared is reported again by a late message", [
        crash(1, "a", "p"), heard(1, "b", "p"), served(1.5, "p"),
        heard(2, "a", "p"), heard(2, "b", "p"), crash(3, "c", "p"),
    ], set()),
]  # fmt: skip


@pytest.mark.parametrize(
    "events, blamed", [row[1:] for row in HISTORIES], ids=[row[0] for row in HISTORIES]
)
def test_only_parts_that_explain_the_crashes_are_blamed(events, blamed):
    quarantine = Quarantine()
    for event in events:
        event(quarantine)
    assert quarantine.evidence.blamed == blamed


@pytest.mark.parametrize(
    "events, at, seconds",
    [
        ([crash(1, "a", "p")], 1, SUSPECT_PAUSE_SECONDS),
        ([crash(1, "a", "p")], 1 + SUSPECT_PAUSE_SECONDS, 0),
        ([crash(1, "a", "p"), heard(1.5, "b", "p")], 1.5, SUSPECT_PAUSE_SECONDS),
        ([served(0.5, "p"), crash(1, "a", "p")], 1, 0),
        ([crash(1, "a", "p"), sound(1.1, 9.0, "p")], 1.1, 0),
        ([crash(1, "a", "other")], 1, 0),
    ],
)
def test_part_under_suspicion_is_paused_until_all_vms_know(events, at, seconds):
    """VMs that each send a request with a deadly part would each lose an engine."""
    quarantine = Quarantine()
    for event in events:
        event(quarantine)
    assert quarantine.pause_seconds("p", at) == pytest.approx(seconds)


def blamed_quarantine(*parts, at=1.0):
    quarantine = Quarantine()
    for instance in range(CRASH_LIMIT):
        crash(at, f"e{instance}", *parts)(quarantine)
    return quarantine


@pytest.mark.parametrize(
    "parts, works, trials, seconds",
    [
        # Nothing else explains the crashes.
        (["p"], ["p"], 0, TRIAL_PAUSE_SECONDS),
        (["p"], ["p"], 1, TRIAL_PAUSE_SECONDS * TRIAL_PAUSE_FACTOR),
        # Either of two parts does; a request that has only one tells which.
        (["p", "q"], ["p"], 0, RIVAL_TRIAL_PAUSE_SECONDS),
        (["p", "q"], ["p", "q"], 0, TRIAL_PAUSE_SECONDS),
    ],
)
def test_when_quarantined_work_may_be_tried(parts, works, trials, seconds):
    quarantine = blamed_quarantine(*parts)
    for _ in range(trials):
        quarantine.apply(quarantine.next_trial("p").key, 1000.0, 1.0)
    assert quarantine.trial_seconds(works, 1.0) == pytest.approx(seconds)


class Store:
    """A store in memory; ``failing`` is whether every call fails."""

    def __init__(self):
        self.values = {}
        self.failing = False

    async def put(self, key, value, expect_version=None):
        if self.failing:
            return Error(StoreError("no answer"))
        if key in self.values:
            return Error(VersionConflict("exists", 1))
        self.values[key] = value
        return Ok(1)


def syncs(store, count):
    return [
        QuarantineSync(blamed_quarantine("p"), store, f"entry-{number}", lambda: False)
        for number in range(count)
    ]


def test_one_vm_claims_the_trial_of_a_part():
    """Without a claim, each VM would end an engine with a trial of its own."""
    vms = syncs(Store(), 5)
    claims = [asyncio.run(vm.claim_trial("p", 20.0, 1000.0)) for vm in vms]
    assert [claim is not None for claim in claims] == [True] + [False] * 4


def test_no_trial_while_the_store_is_unavailable():
    store = Store()
    store.failing = True
    (vm,) = syncs(store, 1)
    assert asyncio.run(vm.claim_trial("p", 20.0, 1000.0)) is None


def test_trial_counts_as_a_crash_until_it_has_succeeded():
    """The VM that makes the trial may be lost with it."""
    (vm,) = syncs(Store(), 1)
    asyncio.run(vm.claim_trial("p", 20.0, 1000.0))
    assert vm.quarantine.count("p") == CRASH_LIMIT + 1
    assert vm.quarantine.trial_seconds(["p"], 21.0) > TRIAL_PAUSE_SECONDS
    served(20.5, "p")(vm.quarantine)
    assert vm.quarantine.count("p") == 0
    assert not vm.quarantine.is_quarantined("p")


def test_sound_work_is_reported_only_where_a_crash_speaks_against_it():
    quarantine = Quarantine()
    served(1, "p", "q")(quarantine)
    assert quarantine.take_sound_reports(1.5) == []
    heard(2, "a", "p", "r")(quarantine)
    reports = [quarantine.take_sound_reports(2.0) for _ in range(5)]
    sent = [work for report in reports for work, _ in report]
    assert sent == ["p"] * quarantine_module.MESSAGES_PER_SOUND_WORK


def test_sound_work_that_a_peer_reports_is_not_reported_again():
    """Hundreds of VMs serve the first part of all prompts; one report is enough."""
    quarantine = Quarantine()
    served(1, "p")(quarantine)
    sound(2.0, 0.5, "p")(quarantine)
    heard(2.1, "a", "p")(quarantine)
    assert quarantine.take_sound_reports(2.2) == []


def request_of(*parts, body=b"body"):
    prompt = Prompt(10, 1, tuple(PromptPart(part, 5) for part in parts))
    return Request("r", "POST", "/x", "a.example", [], body, 0.0, 1.0, prompt)


@pytest.mark.parametrize(
    "parts, shared",
    [
        ((), ()),
        (("own",), ()),
        (("a", "own"), ("a",)),
        (("a", "b", "own"), ("a", "b")),
        (("a", "a", "own"), ("a",)),
        (tuple(map(str, range(1000))), tuple(map(str, range(128)))),
    ],
)
def test_works_of_a_request_are_itself_and_its_shared_parts(parts, shared):
    request = request_of(*parts)
    assert request.part_works == part_works(shared)
    assert request.works[0] == request.fingerprint


def test_works_of_parts_and_requests_do_not_collide():
    works = [fingerprint("a"), *part_works(["a"]), request_of("a", "b").fingerprint]
    assert len(set(works)) == len(works)


@pytest.mark.parametrize("order", list(itertools.permutations(range(4))))
def test_blame_does_not_depend_on_the_order_of_reports(order):
    events = [
        crash(1, "a", "deadly", "rare"),
        heard(1, "b", "deadly", "rare"),
        heard(1, "c", "deadly"),
        heard(1, "d", "other"),
    ]
    quarantine = Quarantine()
    for index in order:
        events[index](quarantine)
    assert quarantine.evidence.blamed == {"deadly"}


def test_all_vms_send_a_suspected_part_to_the_same_engine():
    """Requests with it that several VMs send at once must not crash an engine each."""
    engines = [
        Instance(InstanceRecord(f"e{n}", "llm", f"10.0.0.{n}:80", "dc1", 4, False))
        for n in range(8)
    ]
    chosen = set()
    for number in range(8):
        fleet = FleetView("dc1", None, lambda: 8, lambda instance_id: None)
        for part in request_of("a", "b", "own").part_works:
            fleet.quarantine.apply_peer_crash(Crash.of(part, "e0"), 0.0, 1.0)
        served(0.5, *part_works(["a"]))(fleet.quarantine)
        pool = Pool([], random.Random(number).sample(engines, 8), {}, None, None)
        request = request_of("a", "b", "own", body=b"%d" % number)
        isolated = fleet._isolate_suspect(pool, request)
        chosen.update(engine.id for engine in isolated.decoders)
        sound_request = request_of("a", "c", "own")
        assert fleet._isolate_suspect(pool, sound_request) is pool
    assert len(chosen) == 1
