"""Polls the engines' load reports and cache events for an entry."""

import asyncio
import time

import tornado.httpclient

from . import defaults
from ._http import fetch_json
from .policies import CacheTracking
from .routing import LoadReport

#: Timeout of one request for a report.
READ_TIMEOUT_SECONDS = 1.0


def parse_report(document, now):
    """Return the :class:`~mulberrydock.routing.LoadReport` of ``document``.

    :param document: the body of an engine's ``GET /v1/load``; it states the age of the
        report, as the clocks of two processes differ.
    :param now: monotonic seconds.
    """
    return LoadReport(
        taken_at=now - document.get("age_seconds", 0.0),
        available=document.get("available", True),
        role=document.get("role", "both"),
        active=document.get("active", 0),
        waiting=document.get("waiting", 0),
        backlog_prompt_tokens=document.get("backlog_prompt_tokens", 0),
        backlog_output_tokens=document.get("backlog_output_tokens", 0),
        version=document.get("version", ""),
    )


class LoadPoller:
    """Polls every engine of a router.

    An engine that doesn't answer keeps its last report until that expires.
    ``last_seq`` maps names of engines to the sequence of their last cache event.

    :param router: the :class:`~mulberrydock.routing.Router` of the engines.
    """

    def __init__(self, router):
        self.router = router
        self.http = tornado.httpclient.AsyncHTTPClient()
        self.last_seq = {}

    async def _get(self, engine, path):
        try:
            status, document = await fetch_json(
                self.http, "GET", engine.address, path, timeout=READ_TIMEOUT_SECONDS
            )
        except (tornado.httpclient.HTTPClientError, OSError, ValueError):
            return None
        return document if status == 200 else None

    async def read_load(self, engine):
        """Request the load report of ``engine`` and store it there."""
        document = await self._get(engine, "/v1/load")
        if document:
            engine.report = parse_report(document, time.monotonic())

    async def read_events(self, engine):
        """Pass the cache events since the last poll of ``engine`` to the policy."""
        after = self.last_seq.get(engine.name, 0)
        document = await self._get(engine, f"/v1/cache_events?after={after}")
        for event in (document or {}).get("events", []):
            self.router.policy.apply(engine.name, event["kind"], event["block"])
            self.last_seq[engine.name] = event["seq"]

    async def _poll_all(self, read):
        await asyncio.gather(*[read(e) for e in self.router.upstreams.values()])

    async def poll_loads(self):
        """Poll every engine's load report, forever."""
        while True:
            await self._poll_all(self.read_load)
            await asyncio.sleep(defaults.LOAD_POLL_SECONDS)

    async def poll_events(self):
        """Poll every engine's cache events, forever, if the policy uses them."""
        while isinstance(self.router.policy, CacheTracking):
            await self._poll_all(self.read_events)
            await asyncio.sleep(defaults.CACHE_POLL_SECONDS)
