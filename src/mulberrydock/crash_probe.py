"""Distinguishes a crashed instance from one that cut a single connection.

Both end the exchanges on a connection in the same way. An instance that broke off one
response, or whose connections were reset on the way, still accepts a new connection; at
the address of a crashed one nobody listens. A VM that has lost its own links may find
the same, so another instance has to accept a connection.
"""

import asyncio
import time

from loguru import logger

#: Seconds for which the next attempt of an interrupted request waits for the probe. A
#: refusal takes one round trip; an instance that doesn't respond by then hasn't shown a
#: crash.
PROBE_WAIT_SECONDS = 0.1
#: Seconds after which another instance has to accept a connection: links that are lost
#: together are lost within milliseconds of each other.
LINK_CHECK_DELAY_SECONDS = 0.03
#: Seconds for which a crash found by one probe counts for all requests that it
#: interrupted: they notice within milliseconds of each other, so one probe is enough.
CRASH_VALID_SECONDS = 1.0


class CrashProbe:
    """Probes instances whose connections were cut, once for all requests that wait.

    :param connection_pool: returns the
        :class:`~mulberrydock.connections.ConnectionPool` of an instance.
    :param link_monitor: the :class:`~mulberrydock.link_monitor.LinkMonitor`.

    ``down_at`` is when an incarnation was found crashed, monotonic seconds.
    """

    def __init__(self, connection_pool, link_monitor):
        self.connection_pool = connection_pool
        self.link_monitor = link_monitor
        self.probes = {}
        self.down_at = {}

    async def has_crashed(self, instance):
        """Return whether ``instance`` has crashed, None when it can't be determined."""
        now = time.monotonic()
        if (
            now - self.down_at.get(instance.id, -CRASH_VALID_SECONDS)
            < CRASH_VALID_SECONDS
        ):
            return True
        probe = self.probes.get(instance.id)
        if probe is None:
            probe = asyncio.ensure_future(self._probe(instance))
            self.probes[instance.id] = probe
        await asyncio.wait([probe], timeout=PROBE_WAIT_SECONDS)
        return probe.result() if probe.done() else None

    async def _probe(self, instance):
        try:
            accepts = await self.connection_pool(instance).probe(time.monotonic())
            if accepts is False:
                await asyncio.sleep(LINK_CHECK_DELAY_SECONDS)
                if await self.link_monitor.are_lost(instance.record.service):
                    accepts = None
        finally:
            self.probes.pop(instance.id, None)
        logger.info("instance probed", instance=instance.id, accepts=accepts)
        if accepts is False:
            self.down_at[instance.id] = time.monotonic()
        return None if accepts is None else not accepts

    def forget(self, instance_id):
        """Drop the state of a terminated incarnation."""
        self.down_at.pop(instance_id, None)
