"""A clock for tests whose VM and engines run on one event loop.

On a busy machine their process may stand still for as long as an engine's notice. Then
the engine's timer and the VM's decision are due at the same moment, and which one comes
first says nothing about the VM.
"""

import asyncio
import time
from unittest import mock

import attrs

#: The longest time between two reads of the clock that counts as such. The event loop
#: turns more often.
MAX_STEP_SECONDS = 0.05
TURN_SECONDS = 0.01


@attrs.define
class SteadyClock:
    """Monotonic seconds without the time in which the process stood still.

    Time that the process spends computing counts in full.

    :param real: monotonic clock.
    :param processor: clock of the process's processor time.
    """

    real: object = time.monotonic
    processor: object = time.process_time
    now: float = attrs.field(init=False)
    last_real: float = attrs.field(init=False)
    last_processor: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.now = self.last_real = self.real()
        self.last_processor = self.processor()

    def __call__(self):
        real, processor = self.real(), self.processor()
        longest = max(MAX_STEP_SECONDS, processor - self.last_processor)
        self.now += min(real - self.last_real, longest)
        self.last_real, self.last_processor = real, processor
        return self.now


def run(coroutine):
    """Run a coroutine to its end; all code reads a :class:`SteadyClock` meanwhile."""
    with mock.patch.object(time, "monotonic", SteadyClock()):
        return asyncio.run(_run_turning(coroutine))


async def _run_turning(coroutine):
    turning = asyncio.ensure_future(_keep_turning())
    try:
        return await coroutine
    finally:
        turning.cancel()


async def _keep_turning():
    while True:
        await asyncio.sleep(TURN_SECONDS)
