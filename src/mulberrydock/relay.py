"""The life of one request: choose, send, relay, resume, final answer.

Status promises: 429 and 503 say that the request has not run and never will;
after a send that may have run, a non-idempotent request ends with 502 or 504.
"""

import asyncio
import time

import attrs
from loguru import logger

from .connections import ConnectionPool, Listener, WholeAnswer
from .exceptions import ResultCode, UpstreamError
from .request import Kind, SendOptions
from .sse import EventSplitter

#: Seconds without a sign of an engine, beyond the estimate, before its first
#: event. Clients give a stream up after 2.4 s of silence, so a second engine
#: must have answered by then.
FIRST_EVENT_SECONDS = 0.9
#: Seconds between two events of a stream after which the engine is given up.
EVENT_GAP_SECONDS = 0.7
#: Seconds for a plain service's answer to a repeatable call: ten times its
#: usual work.
PLAIN_ANSWER_SECONDS = 0.45
#: Seconds for a prefill answer beyond the estimate.
PREFILL_SECONDS = 0.6
#: Seconds for a call that frees an unused handle.
RELEASE_SECONDS = 1.0
#: Seconds told to a client whose request found no place.
RETRY_AFTER_SECONDS = 0.5
#: Multiple of the estimated wait that an engine may take.
WAIT_MARGIN = 2.0
#: Seconds left below which a send can't be answered in time any more.
LEAST_SECONDS = 0.01


@attrs.define
class Attempts:
    """What the sends of one request showed so far."""

    sends: int = 0
    prefills: int = 0
    tried: set = attrs.field(factory=set)
    may_have_run: bool = False
    answer: object = None
    cause: str = "no instance serves the route"


@attrs.define
class StreamState:
    """A streamed answer to the client: begun or not, and its last event."""

    splitter: EventSplitter
    begun: bool = False


class _StreamListener(Listener):
    """Relays one engine's stream to the client, whole events only."""

    def __init__(self, relay, request, sink, state):
        self.relay = relay
        self.request = request
        self.sink = sink
        self.state = state
        self.status = 0
        self.headers = None
        self.marks = None
        self.chunks = []
        self.progress_at = None
        self.error = None
        self.work = None
        state.splitter.buffer = b""

    def on_headers(self, status, headers):
        self.status = status
        self.headers = headers
        self.marks = self.relay.wire.read_marks(headers)

    @property
    def good(self):
        """True when the answer is a signed stream of this request."""
        return self.status == 200 and self.marks.signed

    def on_data(self, chunk):
        if not self.good:
            self.chunks.append(chunk)
            return None
        try:
            events = self.state.splitter.feed(chunk)
        except UpstreamError as error:
            self.error = error
            raise
        if not events:
            return None
        if self.progress_at is None:
            self.work.prefilled()
        self.progress_at = time.monotonic()
        if not self.state.begun:
            self.state.begun = True
            self.sink.begin(self.status, self.relay.wire.answer_headers(self.headers))
        return self.sink.write(events)


class Relay:
    """Serves requests over the instances that ``fleet`` believes in.

    :param fleet: a :class:`~mulberrydock.fleet_view.FleetView`.
    :param wire: a :class:`~mulberrydock.ports.Wire`.
    :param metrics: counters of the process.
    """

    def __init__(self, fleet, wire, metrics):
        self.fleet = fleet
        self.wire = wire
        self.metrics = metrics
        self.pools = {}
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
        pool = self.pools.pop(instance_id, None)
        if pool is not None:
            pool.close()

    async def serve(self, request, sink):
        """Answer ``request`` through ``sink``."""
        route = self.fleet.routes.match(request.host, request.path)
        if self.fleet.routes.config is None:
            self._reject(request, sink, 503, ResultCode.NOT_READY, "no configuration")
            return
        if route is None:
            self._reject(request, sink, 404, ResultCode.UNKNOWN_ROUTE, "no route")
            return
        if not request.id:
            self._reject(request, sink, 400, ResultCode.BAD_REQUEST, "no request id")
            return
        deadline = min(request.deadline, request.arrived + route.timeout)
        service = self.fleet.routes.service_for(route)
        attempts = Attempts()
        state = StreamState(EventSplitter(request.last_event_id))
        self.fleet.budget(service).note_request(request.arrived)
        try:
            async with asyncio.timeout_at(_loop_time(deadline)):
                code = await self._serve(
                    request, route, service, deadline, attempts, state, sink
                )
        except TimeoutError:
            code = self._expire(request, attempts, state, sink)
        self._log_end(request, route, service, attempts, code)

    async def _serve(self, request, route, service, deadline, attempts, state, sink):
        while True:
            now = time.monotonic()
            plan = self._next(request, route, service, attempts, now)
            if plan is None:
                return self._give_up(request, attempts, state, sink)
            if route.kind is Kind.STREAMING:
                done = await self._stream(
                    request, route, service, plan, deadline, attempts, state, sink
                )
            else:
                done = await self._call(request, route, plan, deadline, attempts, sink)
            if done:
                return ResultCode.OK
            if attempts.may_have_run and not route.repeatable:
                return self._give_up(request, attempts, state, sink)

    def _next(self, request, route, service, attempts, now):
        """Choose where the next attempt goes, None when there is no other."""
        if attempts.sends >= route.max_attempts and attempts.may_have_run:
            return None
        if attempts.sends > route.max_attempts:
            return None
        plan = self.fleet.plan(request, service, attempts.tried, now)
        if plan is None:
            return None
        if attempts.sends or attempts.prefills:
            # Only a request's first prefill call and first send are free.
            extra = 2 if plan.prefill is not None and attempts.prefills else 1
            if not self.fleet.budget(service).allow(now, extra):
                attempts.cause += "; retry budget spent"
                return None
        return plan

    async def _call(self, request, route, plan, deadline, attempts, sink):
        """One send of a plain call; True when the client was answered."""
        limit = None
        if self._may_move(route, attempts):
            limit = PLAIN_ANSWER_SECONDS
        answer = WholeAnswer()
        if not await self._send(
            request, route, plan, deadline, attempts, answer, None, limit
        ):
            return False
        marks = self.wire.read_marks(answer.headers)
        if not self._accept(plan, marks, answer.status, attempts):
            return False
        failed = answer.status >= 500
        attempts.answer = answer
        if failed and route.repeatable and attempts.sends < route.max_attempts:
            attempts.cause = f"status {answer.status}"
            return False
        self._respond(sink, answer)
        return True

    async def _stream(
        self, request, route, service, plan, deadline, attempts, state, sink
    ):
        """One run of a streamed request; True when the client was answered."""
        handle, prefill = None, plan.prefill
        if prefill is not None:
            attempts.prefills += 1
            attempts.tried.add(prefill.id)
            handle = await self._prefill(request, route, service, plan, deadline)
            # The prefill may have waited for seconds: the decode engine that
            # was best before may be leaving or busy now, and one that leaves
            # must get nothing new a moment after its notice.
            plan = self.fleet.decode_plan(
                service, plan, attempts.tried, time.monotonic()
            )
            if plan is None:
                if handle is not None:
                    self._release(prefill, handle)
                return False
        taken = False
        try:
            listener = _StreamListener(self, request, sink, state)
            limit = None
            if self._may_move(route, attempts):
                limit = FIRST_EVENT_SECONDS + WAIT_MARGIN * plan.wait
            sent = await self._send(
                request,
                route,
                plan,
                deadline,
                attempts,
                listener,
                handle,
                limit,
                state,
            )
            taken = listener.good if listener.marks else False
        finally:
            if handle is not None and not taken:
                self._release(prefill, handle)
        if not sent:
            return False
        if listener.good:
            sink.finish()
            return True
        if not self._accept(plan, listener.marks, listener.status, attempts):
            return False
        answer = WholeAnswer(listener.status, listener.headers, listener.chunks)
        attempts.answer = answer
        if state.begun:
            attempts.cause = f"status {listener.status} on resume"
            return False
        if listener.status >= 500 and route.repeatable:
            attempts.cause = f"status {listener.status}"
            return False
        self._respond(sink, answer)
        return True

    def _may_move(self, route, attempts):
        """True when a silent instance may be left for another one.

        On the last attempt that is allowed there is nothing to gain: an
        answer may still come.
        """
        return route.repeatable and attempts.sends + 1 < route.max_attempts

    def _accept(self, plan, marks, status, attempts):
        """False when the answer says that the request did not run there."""
        now = time.monotonic()
        if status == 421:
            self._misdirected(plan.target, marks)
            attempts.cause = "421"
            return False
        if marks.not_executed:
            self.fleet.suspicion.full(plan.target.id, now)
            attempts.cause = f"{plan.target.id} refused"
            return False
        attempts.may_have_run = True
        if not marks.signed:
            # Not an answer of the engine's own: nothing of it may be passed on.
            attempts.cause = f"unsigned answer {status}"
            self.fleet.suspicion.failed(plan.target.id, now)
            return False
        if status < 500:
            self.fleet.suspicion.answered(plan.target.id)
        return True

    def _misdirected(self, instance, marks):
        """An instance refused a request as not meant for it.

        Either another one has its address now, or its stage is not what its
        record says yet; in both cases it is of no use for the moment.
        """
        if marks.instance and marks.instance != instance.id:
            self.fleet.instances.left(instance.id, "address reused")
        else:
            self.fleet.suspicion.failed(instance.id, time.monotonic(), True)

    async def _send(
        self,
        request,
        route,
        plan,
        deadline,
        attempts,
        listener,
        handle,
        limit,
        state=None,
    ):
        """Send once; False when no whole answer came (``attempts`` says why)."""
        target = plan.target
        now = time.monotonic()
        attempts.sends += 1
        attempts.tried.add(target.id)
        resumed = state.splitter.last_id if state else 0
        options = SendOptions(
            instance=target.id,
            deadline_ms=int((deadline - now) * 1000),
            priority=min(9, route.priority),
            last_event_id=resumed,
            kv_source=handle,
        )
        tokens = plan.tokens if handle is None else 0
        logger.info(
            "send",
            request=request.id,
            instance=target.id,
            attempt=attempts.sends,
            prefilled=handle is not None,
            wait=round(plan.wait, 3),
            config=self.fleet.routes.version,
        )
        work = self.fleet.loads.begin(target.id, tokens)
        if state is not None:
            listener.work = work
        self.metrics.sends.labels(target.record.service).inc()
        try:
            exchange = self.pool(target).exchange(
                request.method,
                request.target,
                self.wire.upstream_headers(request, options),
                request.body,
                listener,
                accepts=lambda headers: self._is_answer(request, headers),
                keep_alive=self._keep_alive,
            )
            await self._watch(exchange, listener, limit, target)
        except UpstreamError as error:
            self._failed(request, target, error, attempts)
            return False
        finally:
            work.end()
        return True

    async def _watch(self, exchange, listener, limit, target):
        """Run ``exchange``; end it when it shows no progress for too long."""
        task = asyncio.ensure_future(exchange)
        started = time.monotonic()
        seen = None
        try:
            while not task.done():
                wait = limit
                if limit is not None:
                    progress = getattr(listener, "progress_at", None)
                    edge = started + limit
                    if progress is not None:
                        edge = progress + EVENT_GAP_SECONDS
                    wait = edge - time.monotonic()
                    if wait <= 0:
                        raise UpstreamError(
                            f"{target.address} made no progress",
                            ResultCode.STREAM_CUT,
                        )
                await asyncio.wait([task], timeout=wait)
                seen = task.done()
            if seen or task.done():
                task.result()
            error = getattr(listener, "error", None)
            if error is not None:
                raise error
            state = getattr(listener, "state", None)
            if state is not None and listener.good and not state.splitter.clean:
                raise UpstreamError("ended inside an event", ResultCode.STREAM_CUT)
        finally:
            if not task.done():
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    def _failed(self, request, target, error, attempts):
        now = time.monotonic()
        not_sent = error.code == ResultCode.NOT_RUN
        if not not_sent:
            attempts.may_have_run = True
        attempts.cause = str(error)
        suspected = self.fleet.suspicion.failed(target.id, now, unreachable=not_sent)
        logger.warning(
            "attempt failed",
            request=request.id,
            instance=target.id,
            error=str(error),
            suspected=suspected,
        )

    def _is_answer(self, request, headers):
        named = self.wire.read_marks(headers).request_id
        return not named or named == request.id

    def _keep_alive(self, headers):
        marks = self.wire.read_marks(headers)
        return 0 if marks.closing else marks.keep_alive_seconds

    async def _prefill(self, request, route, service, plan, deadline):
        """Prefill apart; return the handle, or None when the decode engine must."""
        engine = plan.prefill
        now = time.monotonic()
        options = SendOptions(
            instance=engine.id,
            deadline_ms=int((deadline - now) * 1000),
            priority=min(9, route.priority),
            prefill_only=True,
        )
        answer = WholeAnswer()
        work = self.fleet.loads.begin(engine.id, plan.tokens)
        limit = min(PREFILL_SECONDS + WAIT_MARGIN * plan.wait, deadline - now)
        try:
            await asyncio.wait_for(
                self.pool(engine).exchange(
                    request.method,
                    request.target,
                    self.wire.upstream_headers(request, options),
                    request.body,
                    answer,
                    accepts=lambda headers: self._is_answer(request, headers),
                    keep_alive=self._keep_alive,
                ),
                limit,
            )
            if answer.status != 200:
                # A refused prefill call counts as a repeat, the first as well.
                self.fleet.budget(service).spend(time.monotonic())
                if answer.status == 421:
                    self._misdirected(engine, self.wire.read_marks(answer.headers))
                raise UpstreamError(f"prefill status {answer.status}")
            handle = self.wire.read_handle(engine.address, answer.body)
        except (UpstreamError, asyncio.TimeoutError) as error:
            self.fleet.suspicion.failed(engine.id, time.monotonic())
            logger.warning(
                "prefill failed",
                request=request.id,
                instance=engine.id,
                error=repr(error),
            )
            return None
        finally:
            work.end()
        self.fleet.suspicion.answered(engine.id)
        return handle

    def _release(self, engine, handle):
        """Free a handle that no run took, apart from its request."""
        task = asyncio.ensure_future(self._release_handle(engine, handle))
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _release_handle(self, engine, handle):
        answer = WholeAnswer()
        call = self.wire.release(handle)
        try:
            await asyncio.wait_for(
                self.pool(engine).exchange(
                    call.method,
                    call.target,
                    call.headers,
                    call.body,
                    answer,
                    keep_alive=self._keep_alive,
                ),
                RELEASE_SECONDS,
            )
        except (UpstreamError, asyncio.TimeoutError) as error:
            logger.info("handle not freed", instance=engine.id, error=repr(error))

    def _respond(self, sink, answer):
        sink.respond(
            answer.status, self.wire.answer_headers(answer.headers), answer.body
        )

    def _reject(self, request, sink, status, code, reason):
        headers = []
        if status == 503:
            headers.append(("Retry-After", str(RETRY_AFTER_SECONDS)))
        logger.info("rejected", request=request.id, status=status, reason=reason)
        self.metrics.rejected.labels(code.name).inc()
        sink.respond(status, headers, b"")

    def _give_up(self, request, attempts, state, sink):
        """Final answer when no attempt is left."""
        if state.begun:
            sink.abort()
            return ResultCode.STREAM_CUT
        if attempts.answer is not None:
            self._respond(sink, attempts.answer)
            return ResultCode.UPSTREAM_FAILED
        if attempts.may_have_run:
            self._reject(request, sink, 502, ResultCode.UPSTREAM_FAILED, attempts.cause)
            return ResultCode.UPSTREAM_FAILED
        self._reject(request, sink, 503, ResultCode.NO_UPSTREAM, attempts.cause)
        return ResultCode.NO_UPSTREAM

    def _expire(self, request, attempts, state, sink):
        """Final answer at the deadline, while an attempt was under way."""
        if state.begun:
            sink.abort()
            return ResultCode.STREAM_CUT
        if attempts.sends:
            self._reject(request, sink, 504, ResultCode.OUTCOME_UNKNOWN, "deadline")
            return ResultCode.OUTCOME_UNKNOWN
        self._reject(request, sink, 503, ResultCode.SHED, "deadline")
        return ResultCode.SHED

    def _log_end(self, request, route, service, attempts, code):
        seconds = time.monotonic() - request.arrived
        self.metrics.latency.labels(route.name, code.name).observe(seconds)
        logger.info(
            "answered",
            request=request.id,
            route=route.name,
            service=service,
            code=code.name,
            sends=attempts.sends,
            seconds=round(seconds, 4),
            cause=attempts.cause if code is not ResultCode.OK else "",
        )


def _loop_time(moment):
    """Return a monotonic moment on the running loop's clock."""
    loop = asyncio.get_running_loop()
    return loop.time() + moment - time.monotonic()
