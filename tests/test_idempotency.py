"""Idempotency records, on an in-process store that loses responses."""

import asyncio
import types

import attrs
import pytest

from mulberrydock import records
from mulberrydock.crash_guard import CrashGuard
from mulberrydock.exceptions import ResultCode
from mulberrydock.idempotency import IdempotentCall, Outcome, RecordLeases
from mulberrydock.standin.store import DirectStore, StoreState


class Daemon:
    """What a call needs of the entry daemon; collects the background tasks."""

    def __init__(self, state):
        self.store = DirectStore(state)
        self.entry = types.SimpleNamespace(name="entry-1")
        self.record_leases = RecordLeases(self.store, 60.0)
        self.crash_guard = CrashGuard.from_store(self.store, "entry-1", bool)
        self.background_tasks = []

    def run_in_background(self, coroutine):
        self.background_tasks.append(coroutine)


@attrs.define
class RecordedCall(IdempotentCall):
    """A call whose service is a list of the attempts that reached it."""

    reached: list = attrs.field(factory=list)

    def idempotent(self):
        return False

    async def _call_once(self, version, now):
        self.reached.append(self.attempt)
        await self._complete(version, "done", 200, b"{}")
        return Outcome(200, ResultCode.OK, b"{}")


def _call(state, reached, **faults):
    daemon = Daemon(state)
    for name, value in faults.items():
        setattr(daemon.store, name, value)
    return daemon, RecordedCall(
        daemon, "registry", "renewals", "POST", "t", "k", b"", 5.0, reached=reached
    )


@pytest.mark.parametrize(
    "lost_writes, failing_reads, first, runs",
    [
        (0, 0, ResultCode.OK, 1),
        (1, 0, ResultCode.OK, 1),
        (2, 0, ResultCode.OK, 1),
        # The claim took effect, its response was lost, and then the store went down:
        # the call is not made, and the client gets NOT_RUN.
        (1, 1, ResultCode.NOT_RUN, 0),
        (1, 3, ResultCode.NOT_RUN, 0),
    ],
)
def test_call_runs_once_when_the_store_loses_responses(
    lost_writes, failing_reads, first, runs
):
    """After a NOT_RUN the client repeats the key, at any entry.

    The call must run then: a claim left by the first attempt would block it, and the
    renewal would be lost.
    """
    state, reached = StoreState(), []
    daemon, call = _call(
        state, reached, lost_writes=lost_writes, failing_reads=failing_reads
    )

    async def go():
        outcome = await call.run(0.0)
        assert (outcome.code, len(reached)) == (first, runs)
        for task in daemon.background_tasks:
            await task
        _, again = _call(state, reached)
        return await again.run(0.0)

    outcome = asyncio.run(go())
    assert len(reached) == 1
    assert outcome.code == (ResultCode.OK if runs == 0 else ResultCode.REPLAYED)


@pytest.mark.parametrize(
    "age_seconds, code",
    [(1.0, ResultCode.IN_PROGRESS), (16.0, ResultCode.OUTCOME_UNKNOWN)],
)
def test_repeat_of_a_call_that_never_ended(age_seconds, code):
    _, call = _call(StoreState(), [])
    found = records.decode(records.IdempotencyRecord, call._record("started"))
    assert call._outcome_of_repeat(found, found.createdAt + age_seconds).code == code


def test_lease_shared_by_records_outlives_their_retention_time():
    state = StoreState()
    now = [0.0]
    leases = RecordLeases(DirectStore(state, lambda: now[0]), 60.0)

    async def lease_at(second):
        now[0] = second
        return await leases.current(second)

    seen = [asyncio.run(lease_at(s)) for s in (0.0, 10.0, 29.9, 30.0, 59.0)]
    assert seen == [1, 1, 1, 2, 2]
    # The last record under lease 1 is created at 29.9 and must live until 89.9.
    assert state.leases[1].expires_at >= 89.9
