"""Usage counts: how VMs count and exchange them, and how one of them reports them."""

import asyncio

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mulberrydock import defaults, peer_messages, usage_records
from mulberrydock.lease import LeaderLease
from mulberrydock.peer_messages import UsageMessage
from mulberrydock.platform import DutyOutcome
from mulberrydock.standin.store import DirectStore, StoreState
from mulberrydock.usage import (
    COUNT_DELAY_SECONDS,
    RETAINED_WINDOWS,
    UsageCounter,
    UsageLedger,
    UsageUpdate,
)
from mulberrydock.usage_exchange import COMPLETE_MESSAGES, UsageExchange
from mulberrydock.usage_reporter import WAIT_SHARE, UsageReporter
from mulberrydock.wall_clock import SAMPLES, WallClock

WINDOW_SECONDS = 5.0
DUE_SECONDS = 10.0
TTL = 3.0


def test_requests_are_counted_in_the_window_in_which_they_began():
    counter = UsageCounter(WINDOW_SECONDS)
    for team, began_at in [("a", 9.99), ("a", 10.0), ("b", 14.9), ("a", 15.0)]:
        counter.record(team, began_at)
    assert counter.windows == {1: {"a": 1}, 2: {"a": 1, "b": 1}, 3: {"a": 1}}
    assert counter.end(2) == 15.0
    latest = 3 + RETAINED_WINDOWS
    assert set(counter.recent(latest * WINDOW_SECONDS)) == set()


@hypothesis_settings(max_examples=60, deadline=None)
@given(st.data())
def test_lost_repeated_and_reordered_messages_change_no_total(data):
    """Guards against counts that are added twice, or go back with an old message."""
    counters = {name: UsageCounter(WINDOW_SECONDS) for name in ("x", "y")}
    sent = []
    for _ in range(data.draw(st.integers(1, 30))):
        name = data.draw(st.sampled_from("xy"))
        counters[name].record(data.draw(st.sampled_from("abc")), 12.0)
        windows = {w: dict(c) for w, c in counters[name].windows.items()}
        sent.append((name, UsageUpdate(1, 12.0, windows)))
    last = [
        max(i for i, row in enumerate(sent) if row[0] == n)
        for n in counters
        if any(row[0] == n for row in sent)
    ]
    arrived = data.draw(st.permutations(list(range(len(sent))) * 2))
    lost = set(data.draw(st.lists(st.sampled_from(range(len(sent)))))) - set(last)
    ledger = UsageLedger()
    for index in arrived:
        if index not in lost:
            ledger.receive(*sent[index])
    expected = {}
    for counter in counters.values():
        for team, count in counter.windows.get(2, {}).items():
            expected[team] = expected.get(team, 0) + count
    assert ledger.total(2) == expected


def test_counts_of_both_incarnations_of_a_vm_are_added():
    """Guards against a VM that restarts within a window and counts from zero again."""
    ledger = UsageLedger()
    ledger.receive("x", UsageUpdate(1, 11.0, {2: {"a": 7}}))
    ledger.receive("x", UsageUpdate(2, 13.0, {2: {"a": 2}}))
    assert ledger.total(2) == {"a": 9}
    ledger.discard_before(2, 12.0)
    assert ledger.total(2) == {"a": 2}


def test_message_has_the_counts_and_nothing_else():
    update = UsageUpdate(17, 12.5, {2: {"a": 3, "b": 70_000}, 3: {}})
    data = peer_messages.encode_usage(UsageMessage("x", update))
    assert peer_messages.decode(data, 1.0) == UsageMessage("x", update)
    assert len(data) < 120


@pytest.mark.parametrize(
    ("step", "samples", "moved"),
    [(2.0, SAMPLES // 2, 0.0), (-2.0, SAMPLES // 2, 0.0), (2.0, SAMPLES, 2.0)],
)
def test_step_of_the_time_of_day_moves_no_window(step, samples, moved):
    """Guards against counts in the wrong window while the time of day is wrong; one
    that stays wrong is believed in the end."""
    clock = WallClock()
    for second in range(SAMPLES):
        clock.sample(second, 1000.0 + second)
    for second in range(SAMPLES, SAMPLES + samples):
        clock.sample(second, 1000.0 + second + step)
    assert clock.unix(50.0) == 1050.0 + moved


def test_new_receivers_get_all_windows():
    """Guards against a report without the counts that its former reporter had."""
    counter, sent = UsageCounter(WINDOW_SECONDS), []
    receivers = {"l": "address of l"}
    exchange = UsageExchange(
        "x",
        1,
        counter,
        UsageLedger(),
        lambda: receivers,
        lambda: 9,
        lambda peers, data: sent.append(peer_messages.decode(data, 0.0).update),
        WallClock(),
    )
    for window in range(4):
        counter.record("a", window * WINDOW_SECONDS)
    now = 4 * WINDOW_SECONDS - 1
    for _ in range(COMPLETE_MESSAGES + 1):
        exchange.step(now)
    receivers = {"m": "address of m"}
    exchange.step(now)
    assert [len(update.windows) for update in sent] == [4] * COMPLETE_MESSAGES + [2, 4]
    assert exchange.ledger.total(0) == {"a": 1}


@attrs.define
class Platform:
    """Stands in for the platform: accepts reports as its page says.

    ``outcomes`` holds the outcomes of the next calls, otherwise they are accepted;
    a call that is UNKNOWN is carried out when ``late`` is applied.
    """

    now: object
    outcomes: list = attrs.field(factory=list)
    accepted: dict = attrs.field(factory=dict)
    late: list = attrs.field(factory=list)
    highest: int = 0
    calls: list = attrs.field(factory=list)

    async def report_usage(self, holder, token, window, counts):
        outcome = self.outcomes.pop(0) if self.outcomes else DutyOutcome.ACCEPTED
        self.calls.append((self.now(), holder, token, window))
        if outcome is DutyOutcome.UNKNOWN:
            self.late.append((token, window, dict(counts)))
        if outcome is not DutyOutcome.ACCEPTED:
            return outcome
        return self.apply(token, window, counts)

    def apply(self, token, window, counts):
        """Carry out a call, now or late."""
        if token < self.highest:
            return DutyOutcome.REFUSED
        self.highest = token
        known = self.accepted.setdefault(window, dict(counts))
        assert known == counts, "two different reports of one window"
        return DutyOutcome.ACCEPTED


class Fleet:
    """VMs with a reporter each, on one store and one platform in simulated time."""

    def __init__(self, names=("v0", "v1", "v2")):
        self.now = 1000.0
        self.state = StoreState()
        self.platform = Platform(lambda: self.now)
        self.store = {n: DirectStore(self.state, self.clock) for n in names}
        self.lease = {
            n: LeaderLease(s, n, TTL, clock=self.clock) for n, s in self.store.items()
        }
        self.counters = {n: UsageCounter(WINDOW_SECONDS) for n in names}
        self.ledgers = {n: UsageLedger() for n in names}
        self.reporters = {n: self.reporter(n) for n in names}

    def clock(self):
        return self.now

    def reporter(self, name):
        return UsageReporter(
            self.counters[name],
            self.ledgers[name],
            self.store[name],
            self.platform,
            self.lease[name],
            name,
            DUE_SECONDS,
            None,
            self.clock,
        )

    def lead(self, name):
        """Make ``name`` the leader, after the lease of the former one has ended."""
        self.pass_time(TTL + 0.1)
        assert asyncio.run(self.lease[name].acquire(self.now))
        self.pass_time(TTL / 2)
        asyncio.run(self.lease[name].renew(self.now))
        self.pass_time(TTL / 2)
        asyncio.run(self.lease[name].renew(self.now))

    def pass_time(self, seconds):
        self.now += seconds
        self.state.expire(self.now)

    def count(self, name, team="a", age=0.0):
        """Count a request at a VM, which tells all VMs."""
        self.counters[name].record(team, self.now - age)
        self.tell(name)

    def tell(self, name):
        windows = {w: dict(c) for w, c in self.counters[name].windows.items()}
        for ledger in self.ledgers.values():
            ledger.receive(name, UsageUpdate(1, self.now, windows))

    def step(self, name):
        asyncio.run(self.reporters[name].step(self.now, self.now))

    def renew_and_step(self, name, seconds, interval=0.5):
        """Let ``seconds`` pass at a leader that renews its lease."""
        for _ in range(int(seconds / interval)):
            self.pass_time(interval)
            asyncio.run(self.lease[name].renew(self.now))
            self.tell(name)
            self.step(name)


def test_window_is_reported_once_all_vms_have_counted_it():
    fleet = Fleet()
    fleet.lead("v0")
    window = fleet.counters["v0"].window(fleet.now)
    fleet.count("v0")
    fleet.count("v1", "b")
    end = fleet.counters["v0"].end(window)
    while fleet.now < end + COUNT_DELAY_SECONDS + 0.6:
        fleet.renew_and_step("v0", 0.5)
        fleet.tell("v1")
    assert fleet.platform.accepted[window] == {"a": 1, "b": 1}


def test_first_window_of_a_new_system_is_not_passed_over():
    """Guards against a first window that is never decided, as it is awaited until it is
    no longer the last one."""
    fleet = Fleet()
    fleet.lead("v0")
    window = fleet.counters["v0"].window(fleet.now)
    fleet.count("v1")
    fleet.renew_and_step("v0", 4 * WINDOW_SECONDS)
    assert fleet.platform.accepted[window] == {"a": 1}


def test_requests_before_the_first_leader_are_reported():
    """Guards against windows that nobody reports, as no VM was the leader yet."""
    fleet = Fleet()
    window = fleet.counters["v0"].window(fleet.now)
    fleet.count("v1")
    fleet.pass_time(2 * WINDOW_SECONDS)
    fleet.lead("v0")
    fleet.renew_and_step("v0", 1.0)
    assert fleet.platform.accepted[window] == {"a": 1}


def test_silent_vm_is_awaited_but_not_beyond_the_due_time():
    """Guards against a report that never goes out since a VM was killed, and against
    one without the counts of a VM that is only slow."""
    fleet = Fleet()
    fleet.lead("v0")
    window = fleet.counters["v0"].window(fleet.now)
    fleet.count("v1")
    end = fleet.counters["v0"].end(window)
    fleet.renew_and_step("v0", end + DUE_SECONDS * WAIT_SHARE - 0.6 - fleet.now)
    assert window not in fleet.platform.accepted
    fleet.renew_and_step("v0", 2.0)
    assert fleet.platform.accepted[window] == {"a": 1}


@pytest.mark.parametrize("lost", ["store", "platform"])
def test_successor_sends_what_its_predecessor_decided(lost):
    """Guards against two different reports of one window when the reporter fails
    between its decision and the platform's confirmation; the successor has counts that
    the former reporter lacked."""
    fleet = Fleet()
    fleet.lead("v0")
    window = fleet.counters["v0"].window(fleet.now)
    fleet.count("v0")
    fleet.store["v0"].lost_writes = 9 if lost == "store" else 0
    fleet.platform.outcomes = [DutyOutcome.UNKNOWN] * 9
    fleet.renew_and_step("v0", WINDOW_SECONDS + COUNT_DELAY_SECONDS + 1)
    fleet.store["v0"].lost_writes = 0
    fleet.ledgers["v1"].receive("v2", UsageUpdate(1, fleet.now, {window: {"z": 5}}))
    fleet.platform.outcomes = []
    fleet.lead("v1")
    fleet.renew_and_step("v1", 1.0)
    assert fleet.platform.accepted[window] == {"a": 1}
    for token, late_window, counts in fleet.platform.late:
        fleet.platform.apply(token, late_window, counts)


def test_decision_survives_a_store_restored_from_an_older_copy():
    """Guards against a second, different report of a window whose decision the store
    has lost: every VM keeps those that it saw."""
    fleet = Fleet()
    fleet.lead("v0")
    window = fleet.counters["v0"].window(fleet.now)
    fleet.count("v0")
    fleet.renew_and_step("v0", WINDOW_SECONDS + COUNT_DELAY_SECONDS + 1)
    item = fleet.state.items.pop(defaults.USAGE_KEY)
    fleet.reporters["v1"].apply(defaults.USAGE_KEY, item.value, item.version)
    fleet.ledgers["v1"].receive("v2", UsageUpdate(1, fleet.now, {window: {"z": 5}}))
    fleet.lead("v1")
    fleet.renew_and_step("v1", WINDOW_SECONDS + COUNT_DELAY_SECONDS + 1)
    assert fleet.platform.accepted[window] == {"a": 1}


def test_refused_reporter_gives_up_its_lease():
    """Guards against a reporter that goes on with a token that is no longer valid."""
    fleet = Fleet()
    fleet.lead("v0")
    fleet.platform.highest = 10**9
    fleet.renew_and_step("v0", 2 * WINDOW_SECONDS)
    assert len(fleet.platform.calls) == 1
    assert not fleet.lease["v0"].valid(fleet.now)


@pytest.mark.parametrize("value", ["", "not base64!", "AAAA"])
def test_unreadable_record_is_ignored(value):
    fleet = Fleet()
    fleet.reporters["v0"].decisions = {1: {"a": 1}}
    fleet.reporters["v0"].apply(defaults.USAGE_KEY, value, 1)
    assert fleet.reporters["v0"].decisions == {1: {"a": 1}}


def test_decisions_are_read_as_they_were_written():
    decisions = {3: {"a": 1}, 4: {}, 353445120: {"team-é": 2**31}}
    text = usage_records.encode_decisions(decisions)
    assert usage_records.decode_decisions(text) == decisions


class UsageMachine(RuleBasedStateMachine):
    """Three VMs that lead in turn, are frozen and restarted; calls are lost or late.

    The platform never accepts two different reports of a window, nor calls of two
    holders in turn within the duration of a lease.
    """

    def __init__(self):
        super().__init__()
        self.fleet = Fleet()
        self.frozen = set()

    names = st.sampled_from(["v0", "v1", "v2"])

    @rule(seconds=st.sampled_from([0.4, 1.0, 2.5, 6.0]))
    def time_passes(self, seconds):
        self.fleet.pass_time(seconds)

    @rule(name=names)
    def vm_keeps_or_takes_the_lease(self, name):
        lease = self.fleet.lease[name]
        if name not in self.frozen:
            step = lease.renew if lease.authority.token else lease.acquire
            asyncio.run(step(self.fleet.now))

    @rule(name=names)
    def vm_leads(self, name):
        if name not in self.frozen and not self.fleet.lease[name].authority.token:
            self.fleet.state.expire(self.fleet.now + TTL)
            self.fleet.pass_time(TTL + 0.1)
            asyncio.run(self.fleet.lease[name].acquire(self.fleet.now))
            for _ in range(3):
                self.fleet.pass_time(TTL / 3 + 0.01)
                self.vm_keeps_or_takes_the_lease(name)

    @rule(name=names, team=st.sampled_from("ab"), told=st.booleans())
    def request_begins(self, name, team, told):
        if told:
            self.fleet.count(name, team)
        else:
            self.fleet.counters[name].record(team, self.fleet.now)
            # Only this VM knows of it.
            self.fleet.ledgers[name].receive(
                name, UsageUpdate(1, self.fleet.now, self.fleet.counters[name].windows)
            )

    @rule(name=names)
    def vm_reports(self, name):
        if name not in self.frozen:
            self.fleet.step(name)

    @rule(name=names)
    def vm_freezes_or_wakes(self, name):
        self.frozen ^= {name}

    @rule(name=names)
    def vm_restarts(self, name):
        fleet = self.fleet
        fleet.lease[name] = LeaderLease(fleet.store[name], name, TTL, clock=fleet.clock)
        fleet.reporters[name] = fleet.reporter(name)

    @rule(outcome=st.sampled_from(list(DutyOutcome)))
    def next_call_fails(self, outcome):
        self.fleet.platform.outcomes.append(outcome)

    @rule(name=names)
    def next_write_is_lost(self, name):
        self.fleet.store[name].lost_writes = 1

    @rule(name=names)
    def next_read_fails(self, name):
        self.fleet.store[name].failing_reads = 1

    @rule(pick=st.integers(0, 100))
    def lost_call_is_carried_out_late(self, pick):
        platform = self.fleet.platform
        if platform.late:
            platform.apply(*platform.late.pop(pick % len(platform.late)))

    @invariant()
    def holders_do_not_take_turns_within_a_lease(self):
        calls = self.fleet.platform.calls
        last = {}
        for at, holder, token, _ in calls:
            others = [
                t for h, t in last.items() if h != holder and t > last.get(holder, 0)
            ]
            if holder in last and others:
                assert at - last[holder] >= TTL
            last[holder] = at

    @invariant()
    def tokens_of_holders_differ(self):
        holder_by_token = {}
        for _, holder, token, _ in self.fleet.platform.calls:
            assert holder_by_token.setdefault(token, holder) == holder


UsageMachine.TestCase.settings = hypothesis_settings(
    max_examples=120, stateful_step_count=50, deadline=None
)
TestUsage = UsageMachine.TestCase
