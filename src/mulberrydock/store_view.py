"""Brings this VM's view of the store up to date when a request depends on it.

What this VM hasn't read may have happened all the same: it may have stood still, lost
its links without a call that shows it, or hear of changes through peers only.
"""

import asyncio
import time

from loguru import logger

#: Seconds after which a request no longer waits, and a read is given up. The client of
#: a stream waits for its next event for two seconds, and an instance needs the rest.
REFRESH_SECONDS = 1.0


class StoreView:
    """What this VM has read of the store.

    :param watch: the :class:`~mulberrydock.watch.PrefixWatch` that reads it.
    :param confirm: called with the time (monotonic seconds) after each read that the
        store answered; returns whether what was read is whole.

    ``reading`` is the task of the last read that began, ``following`` that of the next
    one, which waits for it, None if nobody has asked for one.
    """

    def __init__(self, watch, confirm=lambda now: True):
        self.watch = watch
        self.confirm = confirm
        self.reading = None
        self.following = None

    async def refresh(self):
        """Read all changes made before this call.

        A read that has begun may lack the latest of them, so the calls that come
        meanwhile share the next one.

        :returns: False when the store didn't answer in time, or lacks records.
        """
        if self.following is None:
            self.following = asyncio.ensure_future(self._read_after(self.reading))
        shared = asyncio.shield(self.following)
        try:
            return await asyncio.wait_for(shared, REFRESH_SECONDS)
        except TimeoutError:
            return False

    async def _read_after(self, former):
        if former is not None:
            await asyncio.wait([former])
        self.reading, self.following = self.following, None
        started_at, is_current = time.monotonic(), False
        try:
            async with asyncio.timeout(REFRESH_SECONDS):
                is_current = await self.watch.refresh()
        except TimeoutError:
            pass
        is_current = is_current and self.confirm(time.monotonic())
        logger.info(
            "store read for a request",
            current=is_current,
            revision=self.watch.revision,
            seconds=round(time.monotonic() - started_at, 3),
        )
        return is_current
