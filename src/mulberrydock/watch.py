"""Follows the keys under one prefix of the platform store.

A watch reads the prefix once, then long-polls for changes. During an outage it
reports nothing, so its user's state stays as it was; when the store has compacted
the revisions that the watch needs, the prefix is read again.
"""

import asyncio

from . import defaults
from .clock import boot_seconds

#: Seconds for which a poll waits at a store that didn't answer the last poll. If this
#: one is lost as well, it must end soon, as changes may be written as soon as the
#: store is available again.
RECOVERY_POLL_SECONDS = 0.3
#: Seconds for which the poll of a refresh waits at the store: the least that a poll
#: can state.
REFRESH_POLL_SECONDS = 0.001
#: Seconds between two checks whether a poll is due.
CHECK_INTERVAL_SECONDS = 0.25


class PrefixWatch:
    """A watch of every key under ``prefix``.

    :param store: a :class:`~mulberrydock.store.StoreClient`.
    :param prefix: key prefix, or one whole key.
    :param on_item: called with ``(key, value, version)``; ``value`` is None when the
        key was deleted, ``version`` is the store's revision of the change.
    :param on_reset: called without arguments before a full read is applied.
    :param on_loaded: called without arguments after a full read was applied.
    :param poll_seconds: seconds for which a long poll waits at the store.
    :param pause_seconds: seconds between a response with changes, or the full read, and
        the next poll, so that changes in quick succession come in one response; each
        response is a call that is paid for.
    :param freshness: the :class:`~mulberrydock.store_freshness.StoreFreshness` that
        says when a poll is due, None to poll all the time.
    :param clock: returns the time that ``freshness`` is asked with.

    An owner may set ``on_read``, called each time the store has told all changes.
    """

    def __init__(
        self,
        store,
        prefix,
        on_item,
        on_reset=lambda: None,
        on_loaded=lambda: None,
        poll_seconds=defaults.WATCH_TIMEOUT_SECONDS,
        pause_seconds=0.0,
        freshness=None,
        clock=boot_seconds,
    ):
        self.store = store
        self.prefix = prefix
        self.on_item = on_item
        self.on_reset = on_reset
        self.on_loaded = on_loaded
        self.poll_seconds = poll_seconds
        self.pause_seconds = pause_seconds
        self.freshness = freshness
        self.clock = clock
        self.wakened = asyncio.Event()
        self.waited_seconds = 0.0
        self.revision = 0
        self.loaded = False
        self.has_loaded = asyncio.Event()
        self.poll = None
        self.store_answered = True
        self.after_pause = False
        self.on_read = lambda: None

    def _next_poll_seconds(self):
        """Return the seconds for which the next poll waits at the store.

        A connection may fail unnoticed during a pause, so the poll after one waits
        that much less: pause and poll together take no longer than a usual poll. It is
        the same after the time in which no poll was due.
        """
        poll_seconds = (
            self.poll_seconds - self.pause_seconds
            if self.after_pause
            else self.poll_seconds
        )
        poll_seconds -= self.waited_seconds
        return (
            max(RECOVERY_POLL_SECONDS, poll_seconds)
            if self.store_answered
            else RECOVERY_POLL_SECONDS
        )

    async def step(self):
        """Make one read or long poll; return False when the store did not answer."""
        if not self.loaded:
            read = await self._read_prefix()
            if self.loaded:
                await self._pause()
            return read
        if self.freshness is not None:
            await self._wait_until_due()
            if not self.loaded:
                return True
        batch = await self._poll()
        self.after_pause = False
        if not self.loaded:
            return True
        self.store_answered = batch.is_ok()
        if batch.is_error():
            return False
        if batch.ok.compacted:
            self._discard()
            return True
        self._apply(batch.ok)
        if batch.ok.events:
            await self._pause()
        return True

    def _apply(self, batch):
        """Apply the changes of a poll, except those that another one has told."""
        for event in batch.events:
            if event.revision > self.revision:
                self.on_item(event.key, event.value, event.revision)
        self.revision = max(self.revision, batch.revision)
        self._record_read()

    async def refresh(self):
        """Read all changes made before this call, beside the poll in progress.

        :returns: True, or False when the store doesn't answer.
        """
        while True:
            await self.has_loaded.wait()
            revision = self.revision
            batch = await self.store.watch(self.prefix, revision, REFRESH_POLL_SECONDS)
            if batch.is_error():
                return False
            if self.loaded and not batch.ok.compacted:
                self._apply(batch.ok)
                return True
            if self.loaded and self.revision == revision:
                self.invalidate()

    async def _pause(self):
        if self.pause_seconds:
            self.after_pause = True
            await asyncio.sleep(self.pause_seconds)

    def wake(self):
        """Check at once whether a poll is due."""
        self.wakened.set()

    async def _wait_until_due(self):
        started_at = self.clock()
        while self.loaded and not self.freshness.is_poll_due(self.clock()):
            self.wakened.clear()
            try:
                await asyncio.wait_for(self.wakened.wait(), CHECK_INTERVAL_SECONDS)
            except asyncio.TimeoutError:
                continue
        self.waited_seconds = self.clock() - started_at

    def _record_read(self):
        self.on_read()
        if self.freshness is not None:
            self.freshness.record_read(self.store.era or 0, self.revision)

    async def _poll(self):
        self.poll = asyncio.ensure_future(
            self.store.watch(self.prefix, self.revision, self._next_poll_seconds())
        )
        try:
            return await self.poll
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            return None
        finally:
            self.poll.cancel()

    def invalidate(self):
        """Read the prefix again, as the store's revisions have been reset.

        A poll in progress is cancelled: the revision after which it waits may be that
        of another change now.
        """
        self._discard()
        self.wake()
        if self.poll is not None:
            self.poll.cancel()

    def _discard(self):
        """Have the prefix read again before the next poll."""
        self.loaded = False
        self.has_loaded.clear()

    async def _read_prefix(self):
        era = self.store.era
        read = await self.store.range(self.prefix)
        if read.is_error():
            return False
        revision, items = read.ok
        if era is not None and self.store.era != era:
            return True
        self.on_reset()
        for item in items:
            self.on_item(item.key, item.value, item.version)
        self.revision = revision
        self.loaded = True
        self._record_read()
        self.on_loaded()
        self.has_loaded.set()
        return True

    async def run(self):
        """Follow the prefix until cancelled, with a delay after each failed call."""
        while True:
            if not await self.step():
                await asyncio.sleep(defaults.STORE_RETRY_SECONDS)
