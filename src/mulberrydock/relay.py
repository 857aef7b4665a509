"""Relays requests to instances: matches routes, pools connections, logs outcomes."""

import asyncio
import functools
import math
import time

from loguru import logger

from .connections import BufferedResponse, ConnectionPool
from .crash_probe import CrashProbe
from .defaults import STORE_RETRY_SECONDS
from .exceptions import (
    CallRefused,
    CallWithheld,
    ConnectionCut,
    ResultCode,
    UpstreamError,
)
from .forward_messages import ForwardOutcome
from .incarnation_check import CheckOutcome, read_outcome
from .link_monitor import LinkMonitor
from .moves import Mover
from .origin_exchange import OriginExchange
from .refusal import OTHER_VM_RETRY_SECONDS
from .response_room import ResponseRoom
from .serving import RequestLifecycle
from .stopping import RequestsInProgress
from .teams import KeyProblem

#: Seconds for a call that releases an unused KV handle.
RELEASE_TIMEOUT_SECONDS = 1.0
#: Seconds for the answer that shows that an instance lives, after a response whose end
#: nothing marks: a sound one may be silent for a second or so. No client gives a stream
#: up earlier than after two seconds without an event.
ALIVE_TIMEOUT_SECONDS = 2.0


async def _no_store():
    """Return that no store has answered."""
    return False


class Relay:
    """Serves requests on the instances of ``fleet``.

    :param fleet: a :class:`~mulberrydock.fleet_view.FleetView`.
    :param wire: a :class:`~mulberrydock.ports.Wire`.
    :param metrics: a :class:`~mulberrydock.metrics.ServeMetrics`.

    An owner may set ``on_begin``: it is called with a team and the seconds since its
    request began at an instance, once for each request of a team; and ``forwarding``, a
    :class:`~mulberrydock.forwarding.Forwarding`, without which nothing is forwarded;
    and ``claim_trial``, the
    :meth:`~mulberrydock.quarantine_sync.QuarantineSync.claim_trial` of this VM; and
    ``origins``, the :class:`~mulberrydock.origin_exchange.OriginExchange` with the
    peers; and ``response_room``, the
    :class:`~mulberrydock.response_room.ResponseRoom` of this process, without which the
    sum of all responses has no limit; and ``catch_up``, the
    :meth:`~mulberrydock.store_view.StoreView.catch_up` of this VM, without which its
    view of the store counts as outdated.
    """

    def __init__(self, fleet, wire, metrics):
        self.fleet = fleet
        self.wire = wire
        self.metrics = metrics
        self.on_begin = lambda team, age: None
        self.forwarding = None
        self.claim_trial = None
        self.origins = OriginExchange()
        self.catch_up = _no_store
        self.connection_pools = {}
        self.link_monitor = LinkMonitor(fleet, self)
        self.crash_probe = CrashProbe(self.connection_pool, self.link_monitor)
        self.background_tasks = set()
        self.in_progress = RequestsInProgress()
        self.response_room = ResponseRoom(math.inf)
        self.mover = Mover(self)
        fleet.instances.leave_notices.on_new = self.mover.record_leave

    def connection_pool(self, instance):
        """Return the connection pool of one incarnation of an instance."""
        pool = self.connection_pools.get(instance.id)
        if pool is None:
            pool = ConnectionPool(instance.address)
            pool.on_connect = functools.partial(self._record_connect, instance)
            pool.on_new = lambda reason: self.metrics.connections.labels(
                reason.value
            ).inc()
            self.connection_pools[instance.id] = pool
        # This VM's share of the cap shrinks as more entry VMs become known.
        pool.limit = self.fleet.connection_limit(instance)
        return pool

    def _record_connect(self, instance, connected, seconds):
        """Record an attempt to connect to an instance, which took so many seconds."""
        now = time.monotonic()
        self.link_monitor.record(instance, connected, now)
        if connected:
            self.fleet.distances.record(instance.record.data_centre, seconds, now)

    def count_send(self, record):
        """Count a send to an instance, and whether it is one of another region."""
        self.metrics.sends.labels(record.service).inc()
        if not self.fleet.distances.is_near(record.data_centre):
            self.metrics.far_sends.labels(record.service).inc()

    def forget(self, instance_id):
        """Close the idle connections of a terminated instance."""
        self.link_monitor.forget(instance_id)
        self.crash_probe.forget(instance_id)
        pool = self.connection_pools.pop(instance_id, None)
        if pool is not None:
            pool.close()
        self.mover.record_leave(instance_id)

    async def serve(self, request, sink):
        """Answer ``request`` through ``sink``."""
        routes = self.fleet.routes
        if routes.config is None:
            reason = "no configuration yet"
            self.reject(request, sink, 503, reason, STORE_RETRY_SECONDS)
            return
        route = routes.match(request.host, request.path)
        if route is None:
            self.reject(request, sink, 404, "no route")
            return
        if not request.id:
            self.reject(request, sink, 400, "no request id")
            return
        route = self.authenticate(request, route, sink)
        if route is None:
            return
        service = routes.service_for(route, request.stream_id)
        lifecycle = RequestLifecycle(self, request, route, service, sink)
        code = await self._run(lifecycle)
        seconds = time.monotonic() - request.arrived
        self.metrics.latency.labels(route.name, code.name).observe(seconds)

    async def serve_forwarded(self, forwarded, sink):
        """Answer a request that a peer has forwarded; it isn't forwarded again.

        :param forwarded: the
            :class:`~mulberrydock.forward_messages.ForwardedRequest`.
        :returns: the :class:`~mulberrydock.forward_messages.ForwardOutcome`.
        """
        request, routes = forwarded.request, self.fleet.routes
        logger.info("forwarded request", request=request.id, sender=forwarded.sender)
        route = routes.match(request.host, request.path) if routes.config else None
        service = forwarded.service
        if route is not None and not service:
            # A peer of an earlier release doesn't state it.
            service = routes.service_for(route, request.stream_id)
        if route is None or not self.fleet.links.can_run(service):
            cause = "no links to the instances" if route else "no route"
            self.reject(request, sink, 503, cause)
            return ForwardOutcome(ResultCode.NO_UPSTREAM, cause=cause)
        route = routes.ranked(route, forwarded.priority)
        lifecycle = RequestLifecycle(
            self, request, route, service, sink, forwarded.prior
        )
        code = await self._run(lifecycle)
        return ForwardOutcome.from_lifecycle(lifecycle, code)

    async def _run(self, lifecycle):
        """Run a request's lifecycle; return its :class:`ResultCode`."""
        try:
            with self.in_progress.track(lifecycle):
                code = await lifecycle.run()
        except asyncio.CancelledError:
            logger.info("client left", **self._summary(lifecycle))
            raise
        finally:
            lifecycle.response_share.release()
            lifecycle.quarantine.record_end(lifecycle, time.monotonic())
        self._record_time(lifecycle, code, time.monotonic())
        logger.info(
            "answered",
            **self._summary(lifecycle),
            code=code.name,
            cause="" if code is ResultCode.OK else lifecycle.cause,
        )
        return code

    def _record_time(self, lifecycle, code, now):
        """Record how long a response took, or that it took longer than its limit."""
        if lifecycle.served or code is ResultCode.OUTCOME_UNKNOWN:
            seconds = now - lifecycle.request.arrived
            self.in_progress.record_response(lifecycle.service, seconds, now)

    def authenticate(self, request, route, sink):
        """Find the team that sent ``request`` and remove its key.

        :returns: the route with the team's priority, None if the request was refused.
        """
        routes = self.fleet.routes
        result = routes.authenticate(request, route)
        if result.is_error():
            self._reject_credentials(request, sink, result.error)
            return None
        if routes.teams is not None:
            # The key must not reach an instance.
            request.authorization = ()
        team = result.ok
        if team is None:
            return routes.ranked(route)
        request.team = team.name
        return routes.ranked(route, team.priority)

    def _reject_credentials(self, request, sink, problem):
        """Refuse a request that isn't authenticated.

        A VM that the store doesn't answer may lack keys that were added since: it sends
        the client elsewhere, as clients don't retry after 401.
        """
        if problem is KeyProblem.UNKNOWN and not self.fleet.configuration_current:
            reason = "API key not known here, configuration may be outdated"
            self.reject(request, sink, 503, reason, OTHER_VM_RETRY_SECONDS)
        else:
            self.reject(request, sink, 401, problem.value)

    def record_begin(self, request, begun_at):
        """Record that an instance began to run ``request`` (monotonic seconds)."""
        if request.team:
            self.on_begin(request.team, time.monotonic() - begun_at)

    def exchange(self, instance, request, options, listener, check=None):
        """Return the coroutine that sends ``request`` to ``instance`` once.

        :param check: its :class:`~mulberrydock.incarnation_check.IncarnationCheck`,
            None for none.
        """
        sent_at = time.monotonic()
        self.fleet.limits.take(instance.id, sent_at)
        check_send = self.fleet.check_send
        if options.kv_source and options.kv_source.address == instance.address:
            # An engine that leaves may go on with what it has stopped for a move.
            check_send = self.fleet.check_call
        return self.connection_pool(instance).exchange(
            request.method,
            request.target,
            self.wire.upstream_headers(request, options),
            request.body,
            listener,
            accept_response=lambda status, headers: self._accept_response(
                instance, request, sent_at, status, headers
            ),
            keep_alive=self._keep_alive,
            check_send=lambda: check_send(instance, time.monotonic()),
            check=check,
        )

    def _accept_response(self, instance, request, sent_at, status, headers):
        """Return whether a response belongs to ``request``; record what it states."""
        metadata = self._observe(instance, request.id, status, headers)
        if metadata.request_id not in ("", request.id):
            return False
        own = metadata.instance in ("", instance.record.id)
        # A refusal that names no limit doesn't show that the limit has been lifted.
        if own and metadata.limit is None and not metadata.not_executed:
            self.fleet.limits.observe(instance.id, None, sent_at, time.monotonic())
        return True

    def accept_call_response(self, instance, call, status, headers):
        """Record what the response to a call of this system states.

        :returns: whether it is the call's own: one that names a request came late.
        """
        name = f"{call.method} {call.target}"
        metadata = self._observe(instance, name, status, headers)
        if metadata.request_id:
            logger.warning(
                "late response skipped",
                instance=instance.id,
                request=metadata.request_id,
                call=name,
            )
        return not metadata.request_id

    def _observe(self, instance, request_id, status, headers):
        """Record what any response states about the instance that gave it.

        That also holds for a response to another request, or to a call of this system.

        :param request_id: the request or call that is in progress, for the log.
        :returns: the response's :class:`~mulberrydock.request.ResponseMetadata`.
        """
        metadata = self.wire.read_metadata(headers)
        now = time.monotonic()
        self._log_refusal(instance, request_id, status, metadata)
        self.fleet.record_response(instance, status, metadata, now)
        return metadata

    def _log_refusal(self, instance, request_id, status, metadata):
        if metadata.not_executed or status == 421:
            logger.info(
                "call refused",
                instance=instance.id,
                request=request_id,
                status=status,
                retry_after=metadata.retry_after,
            )

    def _keep_alive(self, headers):
        metadata = self.wire.read_metadata(headers)
        return 0 if metadata.closing else metadata.keep_alive_seconds

    def run_in_background(self, coroutine):
        """Run ``coroutine`` independently of any request; return its task."""
        task = asyncio.ensure_future(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        return task

    async def check_link(self, instance, error):
        """Find out whether a failed call shows that this VM has lost its links.

        :param error: the :class:`~mulberrydock.exceptions.UpstreamError` of the call.
        """
        if isinstance(error, CallWithheld | CallRefused | ConnectionCut):
            return
        if error.code == ResultCode.NOT_RUN:
            await self.link_monitor.settle(instance.record.service, time.monotonic())
        else:
            self.link_monitor.doubt(instance)

    async def probe_after_cut(self, request, instance, with_parts=True):
        """Probe whether ``instance`` crashed: its connection was cut in ``request``.

        Completes also when the client leaves meanwhile, as clients do whose request is
        never answered: the result identifies the same work when it is sent again.

        :param with_parts: as for :meth:`record_crash`.
        """
        probe = self._probe_after_cut(request, instance, with_parts)
        await asyncio.shield(self.run_in_background(probe))

    async def _probe_after_cut(self, request, instance, with_parts):
        if instance.leaving:
            # An instance that is leaving cuts what it couldn't finish in time.
            return
        crashed = await self.crash_probe.has_crashed(instance)
        now = time.monotonic()
        if crashed:
            self.record_crash(request, instance, now, with_parts)
        elif crashed is None:
            self.record_cut(request, instance, now, with_parts)

    def record_crash(self, request, instance, now, with_parts=True):
        """Record that ``instance`` crashed under the works of ``request``.

        :param with_parts: whether a part of the prompt may be to blame: an engine that
            only prefills a prompt isn't harmed by its parts.
        """
        quarantine = self.fleet.quarantine
        quarantine.record_crash(request.fingerprint, instance.id, now)
        for work in request.part_works if with_parts else ():
            quarantine.record_crash(work, instance.id, now, shared=True)

    def record_cut(self, request, instance, now, with_parts=True):
        """Record that ``instance`` cut ``request`` off, for an unknown cause.

        :param with_parts: as for :meth:`record_crash`.
        """
        quarantine = self.fleet.quarantine
        quarantine.record_cut(request.fingerprint, instance.id, now)
        for work in request.part_works if with_parts else ():
            quarantine.record_cut(work, instance.id, now, shared=True)

    def release_handle(self, engine, handle):
        """Release an unused KV handle, independently of its request."""
        self.run_in_background(self._release_handle(engine, handle))

    async def _release_handle(self, engine, handle):
        await self.call(engine, self.wire.release_call(handle), RELEASE_TIMEOUT_SECONDS)

    async def call(self, instance, call, timeout, is_certain=False):
        """Make one :class:`~mulberrydock.request.UpstreamCall` to an instance.

        :param timeout: seconds for the whole call.
        :param is_certain: whether the response must be the call's own beyond doubt, not
            a late copy of an earlier call's, which nothing tells from it.
        :returns: the :class:`BufferedResponse`, None when none came.
        """
        response = BufferedResponse()
        exchange = self.connection_pool(instance).exchange(
            call.method,
            call.target,
            call.headers,
            call.body,
            response,
            accept_response=lambda status, headers: self.accept_call_response(
                instance, call, status, headers
            ),
            keep_alive=self._keep_alive,
            check_send=lambda: self.fleet.check_call(instance, time.monotonic()),
            has_id=False,
            is_certain=is_certain,
        )
        try:
            await asyncio.wait_for(exchange, timeout)
        except (UpstreamError, asyncio.TimeoutError) as error:
            logger.warning(
                "instance call failed",
                instance=instance.id,
                method=call.method,
                target=call.target,
                error=repr(error),
            )
            return None
        return response

    async def is_alive(self, instance):
        """Return whether an instance is still the process that is known here.

        An accepted connection doesn't show that: the kernel closes the listening socket
        of a process that has ended after its connections. Any answer does.
        """
        now = time.monotonic()
        if not self.fleet.backoffs.permits(instance.id, now):
            # It wants no calls.
            return await self.crash_probe.has_crashed(instance) is False
        call = self.wire.report_call(instance.record)
        response = await self.call(instance, call, ALIVE_TIMEOUT_SECONDS)
        alive = False
        if response is not None:
            outcome, _ = read_outcome(self, instance, response)
            alive = outcome in (CheckOutcome.CONFIRMED, CheckOutcome.UNKNOWN)
        logger.info("end of a response checked", instance=instance.id, alive=alive)
        return alive

    def read_report(self, instance, response):
        """Return the :class:`~mulberrydock.engine_report.EngineReport` in a response.

        :param response: the :class:`BufferedResponse` to a report call, None for none.
        :returns: None when it holds no report.
        """
        if response is None or response.status != 200:
            return None
        try:
            return self.wire.read_report(response.body)
        except UpstreamError as error:
            logger.warning("report refused", instance=instance.id, error=str(error))
            return None

    def reject(self, request, sink, status, reason, retry_after=None):
        """Answer with an error of this process's own.

        :param retry_after: seconds for the ``Retry-After`` header, None for no header.
        """
        headers = []
        if retry_after is not None:
            headers.append(("Retry-After", f"{retry_after:.1f}"))
        logger.info("rejected", request=request.id, status=status, reason=reason)
        self.metrics.rejected.labels(str(status)).inc()
        sink.respond(status, headers, b"")

    def _summary(self, lifecycle):
        """Return the log fields that describe a finished request."""
        arrived = lifecycle.request.arrived
        first = lifecycle.stream.first_event_at
        return {
            "request": lifecycle.request.id,
            "fingerprint": lifecycle.request.fingerprint,
            "parts": lifecycle.request.prompt.shared_ids,
            "route": lifecycle.route.name,
            "service": lifecycle.service,
            "priority": lifecycle.route.priority,
            "urgency": lifecycle.route.urgency,
            "limit": round(lifecycle.request.deadline - arrived, 3),
            "tokens": lifecycle.request.prompt.tokens,
            "output": lifecycle.request.prompt.max_output_tokens,
            "prefills": lifecycle.prefills.made,
            "sends": lifecycle.sends.made,
            "forwards": lifecycle.forwards,
            "first_event": None if first is None else round(first - arrived, 4),
            "seconds": round(time.monotonic() - arrived, 4),
        }
