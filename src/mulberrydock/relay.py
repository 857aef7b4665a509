"""Takes requests to the instances: routes them, keeps connections, logs ends."""

import asyncio
import time

from loguru import logger

from .connections import BufferedResponse, ConnectionPool
from .crash_probe import CrashProbe
from .exceptions import ResultCode, UpstreamError
from .refusal import RETRY_AFTER_SECONDS
from .serving import Serving

#: Seconds for a call that frees an unused handle.
RELEASE_SECONDS = 1.0


class Relay:
    """Serves requests over the instances that ``fleet`` believes in.

    :param fleet: a :class:`~mulberrydock.fleet_view.FleetView`.
    :param wire: a :class:`~mulberrydock.ports.Wire`.
    :param metrics: a :class:`~mulberrydock.metrics.ServeMetrics`.
    """

    def __init__(self, fleet, wire, metrics):
        self.fleet = fleet
        self.wire = wire
        self.metrics = metrics
        self.pools = {}
        self.probe = CrashProbe(self.pool)
        self.background = set()

    def pool(self, instance):
        """Return the connections to one incarnation of an instance."""
        pool = self.pools.get(instance.id)
        if pool is None:
            pool = ConnectionPool(instance.address)
            self.pools[instance.id] = pool
        # The share of the cap shrinks as more entry VMs become known.
        pool.limit = self.fleet.connection_limit(instance)
        return pool

    def forget(self, instance_id):
        """Close the kept connections of an instance that is gone."""
        self.probe.forget(instance_id)
        pool = self.pools.pop(instance_id, None)
        if pool is not None:
            pool.close()

    async def serve(self, request, sink):
        """Answer ``request`` through ``sink``."""
        routes = self.fleet.routes
        if routes.config is None:
            reason = "no configuration yet"
            self.reject(request, sink, 503, reason, RETRY_AFTER_SECONDS)
            return
        route = routes.match(request.host, request.path)
        if route is None:
            self.reject(request, sink, 404, "no route")
            return
        if not request.id:
            self.reject(request, sink, 400, "no request id")
            return
        service = routes.service_for(route)
        serving = Serving(self, request, route, service, sink)
        try:
            code = await serving.run()
        except asyncio.CancelledError:
            logger.info("client left", **self._summary(serving))
            raise
        finally:
            self.fleet.quarantine.record_request_end(
                request.fingerprint, serving.served, time.monotonic()
            )
        self._log_end(serving, code)

    def exchange(self, instance, request, options, listener):
        """Return the coroutine of one exchange about ``request``."""
        sent_at = time.monotonic()
        self.fleet.limits.take(instance.id, sent_at)
        return self.pool(instance).exchange(
            request.method,
            request.target,
            self.wire.upstream_headers(request, options),
            request.body,
            listener,
            accepts=lambda headers: self._accept(instance, request, sent_at, headers),
            keep_alive=self._keep_alive,
        )

    def _accept(self, instance, request, sent_at, headers):
        """Return whether an answer is one to ``request``; learn a limit from it."""
        marks = self.wire.read_metadata(headers)
        if marks.request_id not in ("", request.id):
            return False
        own = marks.instance in ("", instance.record.id)
        # A refusal without a limit doesn't show that the limit is over.
        if own and (marks.limit is not None or not marks.not_executed):
            now = time.monotonic()
            self.fleet.limits.observe(instance.id, marks.limit, sent_at, now)
        return True

    def _keep_alive(self, headers):
        marks = self.wire.read_metadata(headers)
        return 0 if marks.closing else marks.keep_alive_seconds

    def _apart(self, coroutine):
        """Run ``coroutine`` apart from any request; return its task."""
        task = asyncio.ensure_future(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        return task

    async def examine(self, request, instance):
        """The connection to ``instance`` was cut under ``request``: find out why.

        Also when the client leaves meanwhile, as one does whose request is never
        answered: what it sends again is recognised by what was seen now.
        """
        await asyncio.shield(self._apart(self._examine(request, instance)))

    async def _examine(self, request, instance):
        if instance.leaving:
            # One that leaves ends what it couldn't finish.
            return
        crashed = await self.probe.crashed(instance)
        now = time.monotonic()
        book, work = self.fleet.quarantine, request.fingerprint
        if crashed:
            book.record_crash(work, instance.id, now)
        elif crashed is None:
            book.record_cut(work, instance.id, now)

    def release(self, engine, handle):
        """Free a handle that no run took, apart from its request."""
        self._apart(self._release(engine, handle))

    async def _release(self, engine, handle):
        await self.call(engine, self.wire.release_call(handle), RELEASE_SECONDS)

    async def call(self, instance, call, seconds):
        """Make one :class:`~mulberrydock.request.UpstreamCall` at an instance.

        :param seconds: how long its answer may take.
        :returns: the :class:`BufferedResponse`, None when none came.
        """
        answer = BufferedResponse()
        exchange = self.pool(instance).exchange(
            call.method,
            call.target,
            call.headers,
            call.body,
            answer,
            keep_alive=self._keep_alive,
        )
        try:
            await asyncio.wait_for(exchange, seconds)
        except (UpstreamError, asyncio.TimeoutError) as error:
            logger.warning(
                "instance call failed",
                instance=instance.id,
                method=call.method,
                target=call.target,
                error=repr(error),
            )
            return None
        return answer

    def reject(self, request, sink, status, reason, retry_after=None):
        """Give an answer of this process's own; ``retry_after`` in seconds."""
        headers = []
        if retry_after is not None:
            headers.append(("Retry-After", f"{retry_after:.1f}"))
        logger.info("rejected", request=request.id, status=status, reason=reason)
        self.metrics.rejected.labels(str(status)).inc()
        sink.respond(status, headers, b"")

    def _log_end(self, serving, code):
        seconds = time.monotonic() - serving.request.arrived
        self.metrics.latency.labels(serving.route.name, code.name).observe(seconds)
        logger.info(
            "answered",
            **self._summary(serving),
            code=code.name,
            cause="" if code is ResultCode.OK else serving.cause,
        )

    def _summary(self, serving):
        """Return what the log says of a request that is over."""
        arrived = serving.request.arrived
        first = serving.stream.begun_at
        return {
            "request": serving.request.id,
            "fingerprint": serving.request.fingerprint,
            "route": serving.route.name,
            "service": serving.service,
            "tokens": serving.request.prompt.tokens,
            "output": serving.request.prompt.max_output_tokens,
            "prefills": serving.prefills.made,
            "sends": serving.sends.made,
            "first_event": None if first is None else round(first - arrived, 4),
            "seconds": round(time.monotonic() - arrived, 4),
        }
