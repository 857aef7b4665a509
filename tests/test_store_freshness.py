"""Who polls the store, and when the others read what has changed."""

import asyncio
import json

import attrs
import pytest
from expression import Error, Ok

from mulberrydock import defaults, peer_messages, records
from mulberrydock import watch as watch_module
from mulberrydock.instances import InstanceRegistry
from mulberrydock.peer_loads import PeerReport
from mulberrydock.peer_messages import PeerUpdate
from mulberrydock.platform import read_instance
from mulberrydock.rendezvous import DUTY_ORDER, rank
from mulberrydock.standin.platform_engine import PlatformEngine
from mulberrydock.store import Event, WatchBatch
from mulberrydock.store_changes import change_urgency
from mulberrydock.store_freshness import (
    IDLE_SECONDS,
    OBSERVERS,
    RETRY_SECONDS,
    TELL_SECONDS,
    PollMode,
    StoreFreshness,
    StoreReport,
    Urgency,
)
from mulberrydock.watch import (
    CHECK_INTERVAL_SECONDS,
    RECOVERY_POLL_SECONDS,
    PrefixWatch,
)

#: Seconds that a poll may wait with a contact time of 3 s, those within which a change
#: must be in force, and those after which a call has failed.
POLL = 2.0
NOTICE = 2.0
TIMEOUT = 0.7
#: Seconds between two messages of a peer.
INTERVAL = 0.3
#: Names of a fleet as large as one whose VMs all hear each other.
NAMES = [f"entry-{number}" for number in range(21)]
NOW = 100.0
CURRENT = StoreReport(1, 50, 50, 0.1)


def freshness(name):
    """Return what a VM knows that has just polled the store."""
    known = StoreFreshness(name, POLL, NOTICE, TIMEOUT)
    known.record_read(1, 50)
    known.record_answer(NOW)
    known.polled_at = NOW
    return known


def hear(known, reports, now=NOW):
    """Deliver a message of each peer in ``reports``."""
    for name, report in reports.items():
        known.receive(name, report, INTERVAL, now)


def hear_fleet(known, now=NOW, **changes):
    """Deliver a message of all other VMs; those of the observers have a report."""
    report = attrs.evolve(CURRENT, **changes)
    reports = {name: report if name in OBSERVER_NAMES else None for name in NAMES}
    reports.pop(known.name)
    hear(known, reports, now)


def hears_nothing_but_names(name):
    """Return a VM to which all others send messages without a report."""
    known = freshness(name)
    hear(known, {other: None for other in NAMES if other != name})
    return known


OBSERVER_NAMES = [
    name
    for name in NAMES
    if hears_nothing_but_names(name).mode(NOW) is PollMode.OBSERVER
]
#: The VM that would be an observer last.
FOLLOWER = max(NAMES, key=lambda name: rank(DUTY_ORDER, name))


def follower():
    """Return a VM that hears observers whose calls are answered."""
    known = freshness(FOLLOWER)
    hear_fleet(known)
    assert known.mode(NOW) is PollMode.FOLLOWER
    return known


def test_three_vms_of_a_fleet_poll_for_all():
    """Load: a fleet at rest, and one where each change completed the polls of all VMs:
    21 VMs made 0.68 calls a VM and second. Guards against polls that grow with it."""
    assert len(OBSERVER_NAMES) == OBSERVERS
    known = follower()
    assert not known.is_poll_due(NOW + 0.3)


def test_changes_of_a_starting_fleet_are_read_together():
    """Load: 16 engines that register one after the other in 16 s; each record completed
    a poll of each VM. Guards against one call for each."""
    known, calls = follower(), 0
    for step in range(64):
        now = NOW + step * CHECK_INTERVAL_SECONDS
        revision = 50 + step // 4
        hear_fleet(known, now, soon_revision=revision)
        if known.is_poll_due(now):
            calls += 1
            known.record_read(1, revision)
            known.record_answer(now)
    assert 16 / (POLL + 1.5) <= calls <= 16 / POLL


def disturb(known, case):
    """Bring one failure about for a follower; return the time afterwards."""
    now = NOW + 0.5
    if case == "alone":
        known.heard.clear()
    elif case == "two peers":
        known.heard = dict(list(known.heard.items())[:2])
    elif case == "observers of an earlier release":
        hear(known, dict.fromkeys(known.heard), now)
    elif case == "observers unanswered":
        hear_fleet(known, now, failing=True)
    elif case == "observers answered long ago":
        hear_fleet(known, now, age=NOTICE + 0.1)
    elif case == "observers killed":
        now = NOW + NOTICE - TELL_SECONDS + 0.01
        hear(known, {n: None for n in known.heard if n not in OBSERVER_NAMES}, now)
    elif case == "silent peers":
        now = NOW + NOTICE - TELL_SECONDS + 0.01
    elif case == "suspended":
        assert not known.is_poll_due(NOW)
        now = NOW + 5.0
        hear_fleet(known, now)
    return now


@pytest.mark.parametrize(
    "case",
    [
        "alone",
        "two peers",
        "observers of an earlier release",
        "observers unanswered",
        "observers answered long ago",
        "observers killed",
        "silent peers",
        "suspended",
    ],
)
def test_vm_polls_for_itself_without_observers(case):
    """Guards against a VM to which nobody tells what changes: it polls at once, so that
    a change made when the failure began is still in force in time."""
    known = follower()
    now = disturb(known, case)
    assert known.is_poll_due(now)
    assert known.mode(now) in (PollMode.ALONE, PollMode.OBSERVER)
    if case != "suspended":
        assert now + CHECK_INTERVAL_SECONDS - NOW < NOTICE


@pytest.mark.parametrize(
    ("news", "seconds"),
    [
        ({"urgent_revision": 51}, 0.0),
        ({"era": 2, "urgent_revision": 3}, 0.0),
        ({"soon_revision": 51}, POLL),
        ({"urgent_revision": 50}, IDLE_SECONDS),
        ({"era": 0, "urgent_revision": 70}, IDLE_SECONDS),
    ],
)
def test_follower_reads_changes_as_soon_as_they_matter(news, seconds):
    """Guards against a change that is known too late, and against calls for nothing."""
    known, wakened = follower(), []
    known.on_news = lambda: wakened.append(True)
    step, now = 0.1, NOW
    hear_fleet(known, now, **news)
    assert bool(wakened) is (seconds == 0.0)
    while not known.is_poll_due(now):
        now += step
        hear_fleet(known, now, **news)
    assert now - NOW == pytest.approx(seconds, abs=2 * step)


def test_one_sound_observer_is_enough():
    """Guards against calls of the whole fleet when observers fail one by one, and
    against a change that only the last one saw."""
    known, wakened = follower(), []
    known.on_news = lambda: wakened.append(True)
    failing = StoreReport(1, failing=True)
    for _ in range(2):
        hear(known, dict.fromkeys(OBSERVER_NAMES[1:], failing), NOW + 0.1)
    assert len(wakened) == 2, "once for each observer"
    assert not known.is_poll_due(NOW + 0.1)
    news = attrs.evolve(CURRENT, urgent_revision=51)
    hear(known, {OBSERVER_NAMES[0]: news}, NOW + 0.2)
    assert known.is_poll_due(NOW + 0.2)


def test_observer_that_the_store_turns_away_is_replaced():
    """Guards against observers that see nothing while the store serves others."""
    known = freshness(FOLLOWER)
    failing = StoreReport(1, failing=True)
    reports = {n: failing if n in OBSERVER_NAMES else None for n in NAMES}
    reports.pop(FOLLOWER)
    hear(known, reports)
    assert sum(name not in OBSERVER_NAMES for name in known.observers()) == OBSERVERS


def test_vm_turned_away_by_the_store_retries_at_its_own_rate():
    """Guards against a VM that stays behind after its own link to the store has healed,
    as observers have nothing new to tell."""
    known = follower()
    assert known.record_failure()
    assert not known.record_failure(), "peers are told once"
    known.polled_at = NOW
    hear_fleet(known, NOW + RETRY_SECONDS)
    assert not known.is_poll_due(NOW + RETRY_SECONDS - 0.1)
    assert known.is_poll_due(NOW + RETRY_SECONDS)


def test_outage_is_watched_by_observers_and_ends_for_all():
    """Load: an outage of the store, in which all VMs retried every quarter of a second:
    210 of 530 calls. Guards against that, and against a follower that hears late of its
    end."""
    known = follower()
    known.record_failure()
    outage = dict.fromkeys(known.heard, StoreReport(1, failing=True))
    for now in (NOW, NOW + 1.0):
        hear(known, outage, now)
        assert known.mode(now) is PollMode.OUTAGE
        assert not known.is_poll_due(now + 0.1)
    hear(known, {OBSERVER_NAMES[0]: CURRENT}, NOW + 1.2)
    assert known.is_poll_due(NOW + 1.2)
    # Without any news of the end, it tries as often as a poll may wait.
    for now in (NOW + 2.2, NOW + 3.2):
        hear(known, outage, now)
        assert known.is_poll_due(now) is (now == NOW + 3.2)


def test_silent_loss_of_all_connections_is_overcome_within_contact_time():
    """Guards against VMs that are late after all connections to the store went silent
    at once: an observer's renewal is lost, it tells, and each VM polls, briefly as its
    connection may be lost as well, and once more on a new one."""
    observer = freshness(OBSERVER_NAMES[0])
    hear_fleet(observer)
    told_at = NOW + observer.renewal_seconds(NOW) + TIMEOUT
    assert observer.record_failure()
    known = follower()
    hear_fleet(known, told_at, failing=True)
    assert known.is_poll_due(told_at)
    known_at = told_at + RECOVERY_POLL_SECONDS + TIMEOUT + defaults.STORE_RETRY_SECONDS
    assert known_at - NOW < 3.0


def entry_record():
    """Return the text of a VM's record."""
    return records.encode(records.EntryRecord.new_message(name="entry-1"))


def engine_record(state="ready", address="127.0.0.1:7", born=5, version="v1"):
    """Return the text of an instance's record."""
    engine = PlatformEngine(
        "e1", address, "llm", "decode", started_at_ms=born, version=version
    )
    return json.dumps(engine.store_document(state))


def registry(known, expired):
    """Return an instance registry that knows ``e1`` or not, or that it leaves."""
    instances = InstanceRegistry()
    if known:
        text = engine_record("draining" if known == "leaving" else "ready")
        instances.put(read_instance("servers/e1", text), NOW)
        if expired:
            instances.instances["e1"].expired_at = NOW
    return instances.instances


@pytest.mark.parametrize(
    ("key", "value", "known", "expired", "serving", "urgency"),
    [
        ("op/config", "{}", False, False, False, Urgency.NOW),
        ("servers/e1", None, True, False, False, Urgency.NOW),
        ("servers/e1", None, "leaving", False, True, Urgency.SOON),
        ("servers/e1", engine_record("draining"), True, False, True, Urgency.NOW),
        ("servers/e1", "unreadable", True, False, True, Urgency.NOW),
        ("servers/e1", engine_record(), False, False, True, Urgency.NOW),
        ("servers/e1", engine_record(), False, False, False, Urgency.SOON),
        ("servers/e1", engine_record(), True, False, True, Urgency.SOON),
        ("servers/e1", engine_record(), True, True, True, Urgency.NOW),
        ("servers/e1", engine_record(born=6), True, False, True, Urgency.NOW),
        ("servers/e1", engine_record(version="v2"), True, False, True, Urgency.NOW),
        ("servers/e1", engine_record(address="127.0.0.1:8"), 1, 0, 1, Urgency.NOW),
        (defaults.LEADER_KEY, "x", False, False, True, Urgency.NOW),
        (defaults.ENTRY_PREFIX + "entry-1", entry_record(), 0, 0, 1, Urgency.SOON),
        (defaults.CRASH_PREFIX + "a/e1", "x", False, False, True, Urgency.SOON),
        (defaults.USAGE_KEY, "x", False, False, True, Urgency.LATER),
    ],
)
def test_change_is_as_urgent_as_what_it_decides(
    key, value, known, expired, serving, urgency
):
    """Guards against work for an engine that drains or is another process by now, a
    route that changed, or an engine that a loaded fleet learns of late; changes of
    other fields may wait."""
    assert change_urgency(key, value, registry(known, expired), serving) is urgency


@pytest.mark.parametrize(
    "report",
    [
        None,
        StoreReport(2, 2**40, 7, 0.25),
        StoreReport(1, failing=True),
    ],
)
def test_report_arrives_as_it_was_sent(report):
    """Guards against a report that says more than its sender knows; a VM that polls for
    itself only, or one of an earlier release, sends none."""
    loads = PeerReport(7, NOW, {}, False)
    update = PeerUpdate("entry-1", loads, store=report)
    decoded = peer_messages.decode(peer_messages.encode(update), NOW)
    assert decoded.store == report


@attrs.define
class AnsweringStore:
    """A store that answers as in ``answers`` and notes how long each poll may wait."""

    answers: list
    era: int = 1
    waits: list = attrs.field(factory=list)

    async def watch(self, prefix, after, timeout):
        self.waits.append(timeout)
        return self.answers.pop(0)


def test_follower_polls_briefly_when_told(monkeypatch):
    """Guards against a follower's poll on a connection that failed while it was not
    used: the time without a poll counts as part of the time that it may take."""
    monkeypatch.setattr(watch_module, "CHECK_INTERVAL_SECONDS", 0.01)
    known, seen, times = follower(), [], iter(range(1000))
    change = WatchBatch(51, [Event(51, "op/config", "new")])
    store = AnsweringStore([Error("lost"), Ok(change)])
    watch = PrefixWatch(
        store,
        "",
        lambda key, value, revision: seen.append(revision),
        poll_seconds=POLL,
        freshness=known,
        clock=lambda: NOW + 0.1 * next(times) if known.heard else NOW,
    )
    watch.loaded, watch.revision = True, 50
    known.heard = {
        name: attrs.evolve(peer, heard_until=NOW + 99, answered_at=NOW + 99)
        for name, peer in known.heard.items()
    }

    async def go():
        step = asyncio.ensure_future(watch.step())
        await asyncio.sleep(0.3)
        assert not store.waits and not step.done()
        news = attrs.evolve(CURRENT, urgent_revision=51, age=-99.0)
        known.on_news = watch.wake
        hear(known, {OBSERVER_NAMES[0]: news}, NOW + 10)
        assert not await step
        assert await watch.step()

    asyncio.run(asyncio.wait_for(go(), 5))
    assert store.waits == [RECOVERY_POLL_SECONDS, RECOVERY_POLL_SECONDS]
    assert seen == [51]
    assert known.revision == 51
