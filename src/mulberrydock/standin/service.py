"""Stand-in for an application service with a non-idempotent and an idempotent route.

``POST /v1/<route>`` creates a record (a renewal record or a playlist ticket) on every
call, without deduplication. It counts executions by the ``Idempotency-Key`` of the
call, so that a test can detect duplicates. ``GET /v1/status/<subject>`` is an
idempotent lookup.
"""

import asyncio
import collections
import itertools

import tornado.web

from .. import defaults
from .._http import JsonHandler, split_address


class ServiceState:
    """Created records, executions counted by idempotency key, and latency."""

    def __init__(self, name, latency_seconds=0.01):
        self.name = name
        self.latency_seconds = latency_seconds
        self.records = {}
        self.executions = collections.Counter()
        self.ids = itertools.count(1)


class RecordHandler(JsonHandler):
    """``POST /v1/<route>``: create a record; not idempotent."""

    def initialize(self, state):
        self.state = state

    async def post(self, route):
        body = self.json_body()
        key = self.request.headers.get(defaults.IDEMPOTENCY_HEADER, "")
        await asyncio.sleep(self.state.latency_seconds)
        record_id = f"{self.state.name}-{next(self.state.ids)}"
        self.state.records[record_id] = body
        self.state.executions[key] += 1
        self.send_json({"record": record_id, "route": route, "subject": body})


class StatusHandler(JsonHandler):
    """``GET /v1/status/<subject>``: idempotent lookup."""

    def initialize(self, state):
        self.state = state

    async def get(self, subject):
        await asyncio.sleep(self.state.latency_seconds)
        self.send_json({"subject": subject, "status": "active"})


class FaultsHandler(JsonHandler):
    """``POST /v1/faults`` ``{"latency_seconds": S}``: set how long each call takes."""

    def initialize(self, state):
        self.state = state

    def post(self):
        self.state.latency_seconds = float(self.json_body()["latency_seconds"])
        self.send_json({"latency_seconds": self.state.latency_seconds})


class ExecutionsHandler(JsonHandler):
    """``GET /v1/executions``: number of executions by idempotency key."""

    def initialize(self, state):
        self.state = state

    def get(self):
        self.send_json({"executions": dict(self.state.executions)})


def make_app(name, latency_seconds=0.01):
    """Return the tornado application of one service instance.

    :param latency_seconds: how long each call takes.
    """
    state = ServiceState(name, latency_seconds)
    args = {"state": state}
    app = tornado.web.Application(
        [
            (r"/v1/executions", ExecutionsHandler, args),
            (r"/v1/faults", FaultsHandler, args),
            (r"/v1/status/(.+)", StatusHandler, args),
            (r"/v1/([a-z-]+)", RecordHandler, args),
        ]
    )
    app.service_state = state
    return app


async def serve(address, name, latency_seconds=0.01):
    """Serve one service instance on ``address`` until cancelled."""
    app = make_app(name, latency_seconds)
    host, port = split_address(address)
    app.listen(port, address=host)
    await asyncio.Event().wait()
