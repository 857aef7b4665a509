"""A task that keeps a view of one key prefix of the platform store.

It reads the prefix once, then long-polls for changes. During an outage the
view stays as it was; when the store has dropped the history that the watch
needs, the prefix is read again.
"""

import asyncio

from . import defaults

#: Seconds for which a poll waits at a store that didn't answer the last call: a
#: poll that is lost as well must be over soon, as changes may follow the
#: store's return at once.
PROBE_SECONDS = 0.3


class PrefixWatch:
    """Follows every key under ``prefix``.

    :param store: a :class:`~mulberrydock.store.StoreClient`.
    :param prefix: key prefix, or one whole key.
    :param on_reset: called with no argument before a full read is applied.
    :param on_item: called with ``(key, value, version)``; ``value`` is None
        when the key was deleted.
    :param on_loaded: called after a full read was applied.
    :param wait: seconds a long poll waits at the store.
    :param pause: seconds after changes before the next poll, so that changes
        in quick succession come in one answer; each answer is a call, and paid.
    """

    def __init__(
        self,
        store,
        prefix,
        on_item,
        on_reset=lambda: None,
        on_loaded=lambda: None,
        wait=defaults.WATCH_TIMEOUT_SECONDS,
        pause=0.0,
    ):
        self.store = store
        self.prefix = prefix
        self.on_item = on_item
        self.on_reset = on_reset
        self.on_loaded = on_loaded
        self.wait = wait
        self.pause = pause
        self.revision = 0
        self.loaded = False
        self.poll = None
        self.answered = True
        self.paused = False

    def _wait(self):
        """Return the seconds for which the next poll waits at the store.

        The time in which a connection may go silent unnoticed begins with the
        pause: the poll after one waits that much less.
        """
        wait = self.wait - self.pause if self.paused else self.wait
        return max(PROBE_SECONDS, wait) if self.answered else PROBE_SECONDS

    async def step(self):
        """One read or long poll; False when the store did not answer."""
        if not self.loaded:
            return await self._read()
        batch = await self._poll()
        self.paused = False
        if not self.loaded:
            return True
        self.answered = batch.is_ok()
        if batch.is_error():
            return False
        if batch.ok.compacted:
            self.loaded = False
            return True
        for event in batch.ok.events:
            self.on_item(event.key, event.value, event.revision)
        self.revision = max(self.revision, batch.ok.revision)
        if batch.ok.events and self.pause:
            self.paused = True
            await asyncio.sleep(self.pause)
        return True

    async def _poll(self):
        self.poll = asyncio.ensure_future(
            self.store.watch(self.prefix, self.revision, self._wait())
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
        """Read everything again: the store's revisions don't go on from those known.

        A poll under way may wait for a revision that was given to another change.
        """
        self.loaded = False
        if self.poll is not None:
            self.poll.cancel()

    async def _read(self):
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
        self.on_loaded()
        return True

    async def run(self):
        """Follow forever, with a pause after each failed call."""
        while True:
            if not await self.step():
                await asyncio.sleep(defaults.STORE_RETRY_SECONDS)
