"""The clock of tests whose VM and engines run on one event loop."""

import asyncio
import time

import pytest
import steady_clock
from steady_clock import MAX_STEP_SECONDS, SteadyClock

#: Longer than a step that counts.
LONG_SECONDS = 10 * MAX_STEP_SECONDS


# Guards against tests that fail as their process stands still, and against a clock that
# leaves out what a blocked event loop computes.
@pytest.mark.parametrize(
    ("real", "processor", "counted"),
    [
        (MAX_STEP_SECONDS / 2, 0.0, MAX_STEP_SECONDS / 2),
        (LONG_SECONDS, 0.0, MAX_STEP_SECONDS),
        (LONG_SECONDS, LONG_SECONDS, LONG_SECONDS),
        (LONG_SECONDS, 2 * LONG_SECONDS, LONG_SECONDS),
    ],
    ids=["idle", "stopped", "computing", "two threads"],
)
def test_clock_leaves_out_only_what_the_process_stood_still(real, processor, counted):
    moments, used = iter([0.0, real]), iter([0.0, processor])
    clock = SteadyClock(lambda: next(moments), lambda: next(used))
    assert clock() == pytest.approx(counted)


# Guards against a long wait that is taken for a process that stood still.
def test_waiting_counts_in_full():
    async def wait():
        started = time.monotonic()
        await asyncio.sleep(LONG_SECONDS)
        return time.monotonic() - started

    assert steady_clock.run(wait()) >= LONG_SECONDS
