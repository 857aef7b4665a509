"""HTTP handlers of the entry daemon, for clients and operators.

Every handler holds the :class:`~mulberrydock.entry.EntryDaemon` it serves. A request
that does work is counted as in flight, so that a drain waits for it, and timed per
tenant and class.
"""

import asyncio
import json
import time

from . import defaults
from ._http import JsonHandler
from .completion import Completion
from .exceptions import ResultCode
from .idempotency import IdempotentCall
from .refusal import FUTILE_RETRY_SECONDS

#: HTTP status of a language request that no engine answered: 503 only when it has not
#: run.
UNSERVED_STATUS = {
    ResultCode.NO_UPSTREAM: 503,
    ResultCode.QUARANTINED: 503,
    ResultCode.UPSTREAM_FAILED: 502,
}


class _EntryHandler(JsonHandler):
    def initialize(self, daemon):
        self.daemon = daemon
        self.client_left = False

    def on_connection_close(self):
        self.client_left = True

    def write_error(self, status_code, **kwargs):
        """Answer an error of this entry with a result code, not tornado's page."""
        if status_code >= 500:
            self.code = ResultCode.INTERNAL
            self.refuse(status_code, self.code, "the entry failed; see its log")
        else:
            self.code = ResultCode.BAD_REQUEST
            self.refuse(status_code, self.code, self._reason)

    def refuse(self, status, code, message, retry_after=None):
        """Answer with an error document and its result code.

        :param retry_after: seconds for the ``Retry-After`` header, None for no header.
        """
        if retry_after is not None:
            self.set_header("Retry-After", str(retry_after))
        self.send_json(
            {"error": {"code": int(code), "type": code.name, "message": message}},
            status=status,
            code=code,
        )

    def tenant_and_class(self):
        """Return ``(tenant, PriorityClass)``, the lowest class if none is named."""
        tenant = self.request.headers.get(
            defaults.TENANT_HEADER, defaults.DEFAULT_TENANT
        )
        name = self.request.headers.get(defaults.CLASS_HEADER, "")
        klass = self.daemon.classes.get(name)
        if klass is None:
            klass = max(self.daemon.classes.values(), key=lambda c: c.rank)
        return tenant, klass


class EntriesHandler(_EntryHandler):
    """``GET /v1/entries``: the entry VMs to use and how long to cache the list."""

    def get(self):
        self.send_json(
            {
                "ttl_seconds": self.daemon.settings.deployment.entry_list_ttl_seconds,
                "config_version": self.daemon.config.version,
                "entries": self.daemon.entry_list(),
            }
        )


class HealthHandler(_EntryHandler):
    """``GET /v1/health``: name, configuration version, drain state."""

    def get(self):
        daemon = self.daemon
        self.send_json(
            {
                "name": daemon.entry.name,
                "config_version": daemon.config.version,
                "draining": daemon.draining,
                "leaving": sorted(daemon.leaving_vms()),
                "in_flight": daemon.in_flight,
                "peers": sorted(daemon.membership.peers),
            }
        )


class ConfigHandler(_EntryHandler):
    """``GET /v1/config``: the version in force here, for entries without one."""

    def get(self):
        config = self.daemon.config
        self.send_json({"version": config.version, "text": config.text})


class MetricsHandler(_EntryHandler):
    """``GET /metrics``: Prometheus text format."""

    def get(self):
        body, content_type = self.daemon.metrics.render()
        self.set_header("Content-Type", content_type)
        self.finish(body)


class _ServingHandler(_EntryHandler):
    """Counts its request as in flight and times it per tenant and class."""

    counted = False
    observed = False

    async def prepare(self):
        self.arrived = time.monotonic()
        self.code = ResultCode.OK
        self.tenant, self.klass = self.tenant_and_class()
        if not self.daemon.config.version:
            # It isn't known yet which engine runs which model, and which VMs are
            # leaving.
            self.code = ResultCode.NOT_READY
            self.refuse(503, self.code, "no configuration yet", retry_after=1)
            return
        if self.daemon.leaving():
            self.code = ResultCode.DRAINING
            self.refuse(503, ResultCode.DRAINING, "entry is draining", retry_after=0)
            return
        self.daemon.begin_request()
        self.counted = True

    def on_finish(self):
        if self.observed:
            return
        self.observed = True
        if self.counted:
            self.daemon.end_request()
        metrics = self.daemon.metrics
        metrics.latency.labels(
            metrics.tenant_label(self.tenant), self.klass.name, self.code.name
        ).observe(time.monotonic() - self.arrived)

    def on_connection_close(self):
        super().on_connection_close()
        self.code = ResultCode.CALLER_GONE
        self.on_finish()


class CompletionHandler(_ServingHandler):
    """OpenAI-compatible completions, buffered or as SSE; see ``completion``."""

    task = None

    def on_connection_close(self):
        super().on_connection_close()
        if self.task is not None:
            # The client left: closing the upstream connection stops the engine's work.
            self.task.cancel()

    async def post(self, route):
        completion = self._completion(route)
        if completion is None:
            return
        self.set_header(defaults.REQUEST_ID_HEADER, completion.request_id)
        decision = completion.decide_admission(time.monotonic())
        if not decision.admitted:
            self.code = ResultCode.SHED
            message = "the engines can't answer this class in time now"
            self.refuse(503, self.code, message, retry_after=decision.retry_after)
            return
        self.task = asyncio.ensure_future(completion.run())
        try:
            self.code = await self.task
        except asyncio.CancelledError:
            if not self.client_left:
                raise
            self.code = ResultCode.CALLER_GONE
            return
        if completion.first_event_at is not None:
            self.daemon.metrics.first_byte.labels(self.tenant, self.klass.name).observe(
                completion.first_event_at - self.arrived
            )
        if self.code in UNSERVED_STATUS:
            retry_after = defaults.RETRY_AFTER_SECONDS
            if self.code is ResultCode.QUARANTINED:
                retry_after = int(FUTILE_RETRY_SECONDS)
            self.refuse(
                UNSERVED_STATUS[self.code],
                self.code,
                f"no engine could serve model {completion.model!r}",
                retry_after=retry_after,
            )

    def _completion(self, route):
        """Return the requested completion, None after refusing a malformed body."""
        self.request.body = self.request.body or b"{}"
        try:
            body = json.loads(self.request.body)
            int(body.get("max_tokens", 0))
        except (ValueError, TypeError, AttributeError, RecursionError):
            self.code = ResultCode.BAD_REQUEST
            self.refuse(400, self.code, "body is not a JSON completion request")
            return None
        return Completion.from_request(self, route, body)


class ServiceHandler(_ServingHandler):
    """``/v1/services/<kind>/<route>``: calls to an application service instance."""

    async def get(self, kind, route):
        await self._forward(kind, route)

    async def post(self, kind, route):
        await self._forward(kind, route)

    async def _forward(self, kind, route):
        router = self.daemon.services.get(kind)
        if router is None:
            self.code = ResultCode.UNKNOWN_ROUTE
            self.refuse(404, ResultCode.UNKNOWN_ROUTE, f"no service {kind!r}")
            return
        call = IdempotentCall.for_request(self, kind, route)
        outcome = await call.run(time.monotonic())
        self.code = outcome.code
        if outcome.retry_after is not None:
            self.set_header("Retry-After", str(outcome.retry_after))
        self.set_status(outcome.status)
        self.set_header("Content-Type", "application/json")
        self.set_header(defaults.RESULT_HEADER, str(int(outcome.code)))
        self.finish(outcome.body)
