"""Moves the streams that this VM relays away from engines that leave."""

import asyncio
import time

import attrs
from loguru import logger

from .decision import (
    Destination,
    LeavingEngine,
    MoveUnfinished,
    StreamState,
    assign,
    remaining_tokens,
)
from .stream import Step

#: Seconds after a notice until its engine is asked when it ends, and until it is asked
#: again if it didn't say so: about one event, by which some streams have ended, and the
#: age of a report.
REPORT_DELAYS_SECONDS = (0.05, 0.25)
#: Seconds for the report of an engine.
REPORT_TIMEOUT_SECONDS = 0.3
#: Seconds between two decisions for the streams of a leaving engine: a few events, and
#: less than the margin that is kept before its end.
DECISION_INTERVAL_SECONDS = 0.1
#: Seconds for a call that stops a run, beyond the estimate of its move. Clients wait
#: for the next event meanwhile.
CALL_MARGIN_SECONDS = 0.3
#: Calls that stop a run before the move counts as failed: an answer may be lost.
STOP_CALLS = 2
#: Outcomes of a call.
COPIED = "copied"
NO_ANSWER = "no answer"
#: Share of the time for which a leaving engine takes requests in which a stopped stream
#: is sent back to it: the request takes some time to arrive.
RETURN_SHARE = 0.9


@attrs.define(eq=False)
class Leave:
    """What is known of an engine's leave; times are monotonic seconds.

    ``learned_at`` is when this VM learned of it, ``ends_at`` when the engine ends; it
    takes requests for ``drain_seconds``. ``running`` are the requests that it has
    reported, of all VMs. ``may_move`` is False if its streams needn't
    move, None until it has been asked; ``task`` empties it.
    """

    instance: object
    learned_at: float
    drain_seconds: float
    ends_at: float
    running: int = 0
    may_move: bool | None = None
    task: object = None

    def permits_return(self, now):
        """Return whether a stream that was stopped may go on at the engine itself."""
        accepts_until = self.learned_at + RETURN_SHARE * self.drain_seconds
        return now < min(self.ends_at, accepts_until)


class Mover:
    """Moves streams of this VM; one for each :class:`~mulberrydock.relay.Relay`.

    ``streams`` maps engine ids to the set of
    :class:`~mulberrydock.moves.stream.StreamMove` that run there, ``leaves`` to the
    :class:`Leave` of those that leave under streams. ``event_tokens`` maps services to
    the tokens of an event.

    :param policy: the :class:`~mulberrydock.moves.decision.MovePolicy`.
    """

    def __init__(self, relay, policy=None):
        self.relay = relay
        self.fleet = relay.fleet
        self.wire = relay.wire
        self.policy = policy or MoveUnfinished()
        self.event_tokens = {}
        self.streams = {}
        self.leaves = {}

    def _spec(self, service):
        config = self.fleet.routes.config
        return config.services.get(service) if config else None

    def applies_to(self, service):
        """Return whether the engines of a service declare moves."""
        spec = self._spec(service)
        return spec is not None and spec.moves

    def add(self, stream):
        """Note that an engine was sent a stream."""
        self.streams.setdefault(stream.source.id, set()).add(stream)
        if stream.source.leaving:
            # The stream was sent as the engine began to leave, or back to it.
            self.record_leave(stream.source.id)

    def remove(self, stream):
        """Note that an engine runs a stream no more."""
        running = self.streams.get(stream.source.id, set())
        running.discard(stream)
        if running:
            return
        self.streams.pop(stream.source.id, None)
        if stream.source.terminated and self.leaves.pop(stream.source.id, None):
            # Drops the connections that were made for the calls.
            self.relay.forget(stream.source.id)

    def record_leave(self, instance_id):
        """Record that an engine leaves: it announced it, or its record is gone."""
        if instance_id not in self.streams:
            self.leaves.pop(instance_id, None)
            return
        leave = self.leaves.get(instance_id)
        if leave is None:
            leave = self.leaves[instance_id] = self._leave(instance_id)
        if leave.task is None or leave.task.done():
            leave.task = self.relay.run_in_background(self._empty(leave))

    def _leave(self, instance_id):
        instance = next(iter(self.streams[instance_id])).source
        notices = self.fleet.instances.leave_notices
        learned_at = notices.learned_at.get(instance_id, time.monotonic())
        drain_seconds = self.fleet.timing.drain_seconds
        return Leave(instance, learned_at, drain_seconds, learned_at + drain_seconds)

    async def _empty(self, leave):
        """Decide for the streams of a leaving engine until none is left."""
        instance_id = leave.instance.id
        if leave.may_move is None:
            for delay in REPORT_DELAYS_SECONDS:
                await asyncio.sleep(delay)
                if instance_id not in self.streams or await self._read_report(leave):
                    break
        while leave.may_move and instance_id in self.streams:
            now = time.monotonic()
            if now >= leave.ends_at:
                break
            self._decide(leave, now)
            await asyncio.sleep(DECISION_INTERVAL_SECONDS)

    def _running(self, instance):
        """Return this VM's streams at an engine that have begun."""
        return [s for s in self.streams.get(instance.id, ()) if s.is_running]

    def _movable(self, instance):
        """Return this VM's streams at an engine that may move now."""
        movable = []
        for stream in self._running(instance):
            if not stream.is_version_known:
                stream.record_stay("its version isn't known")
            elif stream.may_move:
                movable.append(stream)
        return movable

    async def _read_report(self, leave):
        """Ask an engine whether it leaves; return whether it says when it ends.

        An engine whose record is gone may live on without leaving, or have crashed.
        """
        instance = leave.instance
        announced = instance.id in self.fleet.instances.leave_notices
        leave.may_move = announced
        call = self.wire.report_call(instance.record)
        response = await self.relay.call(instance, call, REPORT_TIMEOUT_SECONDS)
        report = self.relay.read_report(instance, response)
        if report is None:
            return False
        now, stated = time.monotonic(), report.leaves_seconds
        if stated is not None:
            leave.ends_at = now + stated
        leave.running = len(report.runs)
        leave.may_move = announced or report.leaving or stated is not None
        self._learn_event_size(instance, report)
        logger.info(
            "engine leaves under streams",
            instance=instance.id,
            streams=len(self._running(instance)),
            runs=len(report.runs),
            may_move=leave.may_move,
            stated=stated,
            seconds_left=round(leave.ends_at - now, 3),
            tokens_per_event=self.event_tokens.get(instance.record.service),
        )
        return stated is not None

    def _learn_event_size(self, instance, report):
        """Learn from an engine's report how many tokens an event has."""
        sizes = []
        for stream in self._running(instance):
            run = report.runs.get(stream.request.id)
            if run is not None and run.events:
                made = run.tokens - stream.request.prompt.tokens
                sizes.append(made / run.events)
        if sizes:
            size = max(1.0, sum(sizes) / len(sizes))
            self.event_tokens[instance.record.service] = round(size, 2)

    def _decide(self, leave, now):
        """Begin the moves that are due."""
        streams = {s.request.id: s for s in self._movable(leave.instance)}
        service = leave.instance.record.service
        spec = self._spec(service)
        if not streams or spec is None:
            return
        cost = self.fleet.estimates.pool(service).cost_model.cost
        states = [self._state(stream, cost, now) for stream in streams.values()]
        token_seconds = spec.transfer_seconds_per_token
        engine = LeavingEngine(leave.ends_at, leave.running)
        due = self.policy.due(states, engine, token_seconds, now)
        for state in states:
            if state not in due:
                streams[state.id].record_stay("may end in time")
        if due:
            self._begin_moves(leave, streams, due, token_seconds, now)

    def _begin_moves(self, leave, streams, due, token_seconds, now):
        """Move the streams ``due`` as far as there are room, time and retries.

        :param streams: the streams by request id.
        """
        record = leave.instance.record
        pool = self.fleet.decode_pool(record.service, record, now)
        engines = {engine.id: engine for engine in pool.decoders}
        refused = set().union(*(streams[state.id].refused_by for state in due))
        destinations = self._destinations(leave.instance, pool)
        destinations = [d for d in destinations if d.id not in refused]
        left = leave.ends_at - now
        moves, staying = assign(due, destinations, token_seconds, left)
        for stream_id, reason in staying.items():
            streams[stream_id].record_stay(reason)
        for move in moves:
            stream = streams[move.stream_id]
            # The request will arrive at a second engine.
            if not stream.reserve_retry(now):
                stream.record_stay("retry budget spent")
                continue
            stream.leave = leave
            stream.attempts += 1
            destination = engines[move.destination_id]
            stream.call = self.relay.run_in_background(
                self._move(stream, destination, move)
            )

    def _destinations(self, source, pool):
        """Return the :class:`Destination` of each engine at which streams may go on."""
        unreported = pool.streams * pool.report_delay / max(1, len(pool.decoders))
        rows = []
        for engine in pool.decoders:
            room = max(1, engine.record.slots) - pool.load(engine).running
            distance = self.fleet.distances.transfer_factor(
                source.record.data_centre, engine.record.data_centre
            )
            rows.append(Destination(engine.id, room - unreported, distance))
        return rows

    def _state(self, stream, cost, now):
        """Return the :class:`StreamState` of a stream."""
        prompt, route = stream.request.prompt, stream.lifecycle.route
        event_tokens = self.event_tokens.get(stream.source.record.service)
        made = stream.splitter.last_id * (event_tokens or 1)
        made_seconds = now - stream.listener.first_progress_at
        remaining = None
        if event_tokens and stream.events > 1:
            left = remaining_tokens(prompt.length_hint, prompt.max_output_tokens, made)
            remaining = left / event_tokens * made_seconds / (stream.events - 1)
        return StreamState(
            id=stream.request.id,
            tokens=int(prompt.tokens + made),
            remaining=remaining,
            gap=route.gap_objective,
            resumable=route.resumable,
            reread_seconds=cost.seconds(prompt.tokens),
            made_seconds=made_seconds,
        )

    async def _move(self, stream, destination, move):
        """Move one stream: copy its memory, stop it, and let it go on elsewhere."""
        started, leave = time.monotonic(), stream.leave
        events = stream.splitter.last_id
        place = self.fleet.loads.begin(destination.id, 0)
        outcome = "failed"
        try:
            outcome = await self._copy_and_stop(stream, destination, move)
        finally:
            place.end()
            stream.call = None
            logger.info(
                "move",
                request=stream.request.id,
                source=leave.instance.id,
                destination=destination.id,
                tokens=stream.request.prompt.tokens,
                events=events,
                copied_first=move.copies_first,
                estimate=round(move.seconds, 3),
                seconds=round(time.monotonic() - started, 3),
                seconds_left=round(leave.ends_at - time.monotonic(), 3),
                outcome=outcome,
            )
            self.count(stream.lifecycle.service, outcome)

    async def _copy_and_stop(self, stream, destination, move):
        """Make the calls of a move; return its outcome for the log."""
        source = stream.source
        if move.copies_first:
            seconds = max(0.0, stream.leave.ends_at - time.monotonic())
            outcome, handle = await self._call(stream, destination, False, seconds)
            if outcome != COPIED:
                return outcome
            # The stream can go on there even if its source crashes from now on.
            stream.steps = [Step(destination, handle, source)]
        for _ in range(STOP_CALLS):
            if not stream.is_running or stream.source is not source:
                break
            seconds = move.seconds + CALL_MARGIN_SECONDS
            outcome, handle = await self._call(stream, destination, True, seconds)
            if outcome != NO_ANSWER:
                break
        return self._end_move(stream, source, destination, outcome, handle)

    def _end_move(self, stream, source, destination, outcome, handle):
        """Let a stopped stream go on, or release its copy if it has ended."""
        steps = []
        if outcome == COPIED:
            steps = [Step(destination, handle, source)]
        if handle is not None:
            steps.append(Step(source, handle, source))
        if not stream.is_running or stream.source is not source:
            stream.steps = []
            if steps:
                self.release(steps[0])
            return "stream ended meanwhile"
        if steps:
            stream.record_stop(steps)
        return "stopped" if outcome == COPIED else outcome

    async def _call(self, stream, destination, last, seconds):
        """Call the source once.

        :param last: whether the source stops the run.
        :returns: the outcome, and the handle or None.
        """
        source = stream.source
        call = self.wire.move_call(
            source.record, stream.request.id, destination.record, last
        )
        stopped_before = stream.may_have_stopped
        stream.may_have_stopped = stopped_before or last
        response = await self.relay.call(source, call, seconds, is_certain=True)
        stream.unanswered = response is None
        if response is None:
            return NO_ANSWER, None
        if self._is_refusal(response):
            # It says nothing about an earlier call that wasn't answered.
            stream.may_have_stopped = stopped_before
        handle = None
        if response.status in (200, 503):
            handle = self.wire.read_move(source.address, response.body)
        if response.status == 200 and handle is not None:
            return COPIED, handle
        if response.status == 503:
            stream.refused_by.add(destination.id)
            return "no room", handle if last else None
        # 421: another instance has the address now.
        stream.run_ended = response.status in (404, 421)
        return f"status {response.status}", None

    def _is_refusal(self, response):
        """Return whether a response says that its call wasn't carried out.

        An engine may fail with another 5xx status after it has stopped the run.
        """
        refused = self.wire.read_metadata(response.headers).not_executed
        return refused or 400 <= response.status < 500

    def release(self, step):
        """Release the memory of a stream that doesn't go on with it."""
        engine = step.instance if step.source.terminated else step.source
        handle = attrs.evolve(step.handle, address=engine.address)
        self.relay.release_handle(engine, handle)

    def count(self, service, outcome):
        """Count a move, or a stream that was sent on, by its outcome."""
        self.relay.metrics.moves.labels(service, outcome).inc()
