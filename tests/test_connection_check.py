"""How requests wait for the check that their connection leads to the known process."""

import asyncio

import pytest

from mulberrydock.connections import ConnectionPool

#: Comparisons of one connection's age; a request makes two or three.
MAX_COMPARISONS = 100


class OpeningTime(float):
    """When a connection was opened; fails after too many comparisons."""

    comparisons = 0

    def __gt__(self, other):
        self.comparisons += 1
        assert self.comparisons < MAX_COMPARISONS, "the event loop is blocked"
        return super().__gt__(other)


class ScriptedPool(ConnectionPool):
    """Its check number N waits for ``released[N]`` and confirms ``sent_at[N]``."""

    def __init__(self, sent_at):
        super().__init__("127.0.0.1:1")
        self.sent_at = sent_at
        self.released = [asyncio.Event() for _ in sent_at]
        self.checks = 0

    async def _ask(self, check, keep_alive):
        number, self.checks = self.checks, self.checks + 1
        await self.released[number].wait()
        if self.sent_at[number] is None:
            return False
        self.confirmed_at = max(self.confirmed_at, self.sent_at[number])
        return True


@pytest.mark.parametrize(
    "second_sent_at, is_confirmed", [(3.0, True), (None, False)], ids=str
)
@pytest.mark.parametrize("requests", [1, 3])
def test_event_loop_is_not_blocked_by_a_check_that_has_just_ended(
    requests, second_sent_at, is_confirmed
):
    """A VM hangs when connections open just before an older check is answered."""

    async def go():
        pool = ScriptedPool([1.0, second_sent_at])
        first = asyncio.ensure_future(pool._confirm(OpeningTime(0.5), None, None))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        # The check ends and the others ask in the same iteration of the event loop.
        pool.released[0].set()
        others = [
            asyncio.ensure_future(pool._confirm(OpeningTime(2.0), None, None))
            for _ in range(requests)
        ]
        pool.released[1].set()
        assert await first
        return pool.checks, await asyncio.gather(*others)

    assert asyncio.run(go()) == (2, [is_confirmed] * requests)
