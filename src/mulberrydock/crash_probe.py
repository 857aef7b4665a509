"""Tells a crashed instance from one that cut a single connection.

Both end the exchanges on a connection in the same way. An instance that broke off one
answer, or whose connections were reset on the way, still accepts a new connection; at
the address of one that crashed nobody listens.
"""

import asyncio
import time

from loguru import logger

#: Seconds for which the next attempt of a cut request waits to learn what happened. A
#: refusal takes one round trip; who doesn't answer by then hasn't shown a crash.
ANSWER_SECONDS = 0.1
#: Seconds for which the answer holds for all that a crash cut off: they learn of it
#: within milliseconds of each other, and one probe is enough.
DOWN_SECONDS = 1.0


class CrashProbe:
    """Probes instances whose connections were cut; one connection tells all that wait.

    :param pool: returns the :class:`~mulberrydock.connections.ConnectionPool` of an
        instance.

    ``down_at`` is when an incarnation was found crashed, monotonic seconds.
    """

    def __init__(self, pool):
        self.pool = pool
        self.probes = {}
        self.down_at = {}

    async def crashed(self, instance):
        """Return whether ``instance`` has crashed, None when it can't be told."""
        now = time.monotonic()
        if now - self.down_at.get(instance.id, -DOWN_SECONDS) < DOWN_SECONDS:
            return True
        probe = self.probes.get(instance.id)
        if probe is None:
            probe = asyncio.ensure_future(self._probe(instance))
            self.probes[instance.id] = probe
        await asyncio.wait([probe], timeout=ANSWER_SECONDS)
        return probe.result() if probe.done() else None

    async def _probe(self, instance):
        try:
            accepts = await self.pool(instance).accepts(time.monotonic())
        finally:
            self.probes.pop(instance.id, None)
        logger.info("instance probed", instance=instance.id, accepts=accepts)
        if accepts is False:
            self.down_at[instance.id] = time.monotonic()
        return None if accepts is None else not accepts

    def forget(self, instance_id):
        """The incarnation is over and its end known."""
        self.down_at.pop(instance_id, None)
