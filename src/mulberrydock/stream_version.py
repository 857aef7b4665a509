"""Which software version one request's stream goes on at."""

import asyncio
import time

import attrs
from loguru import logger

from .origin_exchange import ASK_INTERVAL_SECONDS
from .request import Kind
from .stream_origins import UNKNOWN_VERSION, StreamOrigin, origin_key


@attrs.define(frozen=True)
class VersionSearch:
    """What the search for a stream's version rests on.

    ``is_final`` is False if a peer that hasn't answered may know the version.
    ``is_current`` is False if the store was asked and didn't answer, so that this VM
    may not know of all versions.
    """

    is_final: bool
    is_current: bool


@attrs.define
class StreamVersion:
    """The version of the stream of one request.

    :param relay: the :class:`~mulberrydock.relay.Relay` that serves the request.
    :param is_forwarded: whether a peer has forwarded the request to this VM.

    ``fixed`` is the version at which the stream goes on, empty while it may begin at
    any; ``attempted`` that of the instance that was sent to last, empty if unknown.
    ``is_known`` is True if a VM remembers the stream that the client takes up,
    ``began_elsewhere`` if it began at another service, to which its route led then.
    """

    relay: object
    request: object
    route: object
    service: str
    is_forwarded: bool
    fixed: str = ""
    attempted: str = ""
    is_known: bool = False
    began_elsewhere: bool = False

    @property
    def is_taken_up(self):
        """True when the client goes on with a stream of which it has events."""
        is_stream = self.route.kind is Kind.STREAMING
        return is_stream and self.request.last_event_id > 0

    @property
    def is_found(self):
        """True once it is known where the stream goes on, or that it can't."""
        return bool(self.fixed) or self.began_elsewhere

    @property
    def _key(self):
        """Key of the stream, which is named after the request that began it."""
        resumes = self.request.resumes if self.is_taken_up else ""
        return origin_key(resumes or self.request.id)

    def ranked_route(self):
        """Return the route as it holds for a stream that may have been taken up.

        One that a VM remembers goes before those that have not begun. A request that
        only names an event doesn't.
        """
        if not self.is_known or not self.route.resumable:
            return self.route
        return attrs.evolve(self.route, is_taken_up=True)

    async def find(self):
        """Fix the version of a stream that the client has taken up, if it is known.

        :returns: the :class:`VersionSearch`.
        """
        origin = asyncio.ensure_future(self._find_origin())
        reading = asyncio.ensure_future(self._read_store(origin))
        try:
            is_final, source = await origin
            is_current = self.is_found or await reading
        finally:
            origin.cancel()
            reading.cancel()
        if not self.is_found and is_current:
            versions = self.relay.fleet.instances.versions
            self.fixed = versions.sole_version(self.service, time.monotonic())
            source = "sole version" if self.fixed else ""
        logger.info(
            "stream taken up",
            request=self.request.id,
            resumes=self.request.resumes,
            after_event=self.request.last_event_id,
            stream=self._key,
            version=self.fixed,
            final=is_final,
            current=is_current,
            began_elsewhere=self.began_elsewhere,
            source=source,
            age=self._age(source, time.monotonic()),
        )
        known = "yes" if self.fixed else "no"
        self.relay.metrics.streams_taken_up.labels(self.service, known).inc()
        return VersionSearch(is_final, is_current)

    async def _read_store(self, origin):
        """Read the store for a version that no VM tells at once.

        :param origin: the task that asks the VMs.
        :returns: whether the store answered.
        """
        await asyncio.wait([origin], timeout=ASK_INTERVAL_SECONDS)
        return self.is_found or await self.relay.refresh_view()

    async def _find_origin(self):
        """Fix the version that VMs remember for the stream.

        :returns: whether the result is final, and how the version is known.
        """
        if not self.request.resumes:
            return True, ""
        origins, key = self.relay.origins, self._key
        source = "told" if origins.origins.get(key, time.monotonic()) else "asked"
        if source == "asked" and not origins.has_peers(time.monotonic()):
            # A VM that has just started may have peers of which it hasn't read yet.
            await self.relay.refresh_view()
        now = time.monotonic()
        version, final = await origins.find(key, now)
        service = origins.origins.find(key, time.monotonic()).service
        if version and service not in ("", self.service):
            self.began_elsewhere = True
        else:
            self.fixed = version
        self.is_known = bool(self.fixed)
        return final, source

    def _age(self, source, now):
        """Return the age in seconds of what the version is known by, for the log."""
        if source == "sole version":
            read_at = self.relay.fleet.instances.versions.read_at
            age = now - read_at if read_at is not None else None
        else:
            age = self.relay.origins.origins.age(self._key, now)
        return None if age is None else round(age, 3)

    def record_unknown(self):
        """Record that the instance that was sent to last may have restarted since."""
        self.attempted = UNKNOWN_VERSION

    def record_first_event(self, sink, now):
        """Fix the version as the first event is about to be passed on to the client.

        :param sink: the request's :class:`~mulberrydock.ports.Sink`.
        """
        self.fixed = self.fixed or self.attempted or UNKNOWN_VERSION
        if self.is_forwarded:
            # The sender may have gone on elsewhere: the event that it passes on counts.
            sink.state_version(self.fixed)
        else:
            origin = StreamOrigin(self._key, self.fixed, self.service)
            self.relay.origins.record(origin, now, self.service)
