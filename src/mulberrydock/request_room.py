"""Asks for room in a pool of engines for one request.

Gathers what :mod:`mulberrydock.room` decides from for a
:class:`~mulberrydock.serving.RequestLifecycle`.
"""

import math

import attrs
from loguru import logger

from .forwarding import ForwardPlan
from .placement import request_hash_fraction
from .room.admission import CallerTime, ExpectedWork, decide, return_after
from .stopping import TimeLeft


def ask_for_room(lifecycle, plan, now):
    """Return why a request is refused before a send, None to attempt it.

    A request that an instance may have run can no longer be refused.

    :param plan: the :class:`~mulberrydock.placement.Plan` of the attempt.
    :returns: a :class:`~mulberrydock.refusal.Refusal` or None.
    """
    request, route, service = lifecycle.request, lifecycle.route, lifecycle.service
    fleet = lifecycle.fleet
    if lifecycle.may_have_run:
        return None
    time = caller_time(lifecycle, now)
    work = expected_work(lifecycle, plan, now)
    lot = request_hash_fraction(request.id)
    refused = decide(time, work, lot)
    if refused is None:
        return None
    expected, event = refused, "room refused"
    if fleet.catch_up_seconds(now) > 0:
        # The ends of other requests may lie unread, so nothing is known of them.
        refused = decide(time, work.alone, lot)
        event = "room unknown" if refused is None else event
    if refused is not None:
        lifecycle.relay.metrics.room_refusals.labels(service, route.name).inc()
    logger.info(
        event,
        request=request.id,
        reason=(refused or expected).reason,
        urgency=route.urgency,
        attempts=lifecycle.sends.made + lifecycle.prefills.made,
        first_event=_rounded(work.first_event),
        queue=round(work.queue, 3),
        place_wait=_rounded(work.place_wait),
        own=round(work.own, 3),
        stream=round(work.stream, 3),
        **attrs.asdict(plan.places),
        patience=round(time.patience, 3),
        left=round(time.left, 3),
        retry_after=None if refused is None else round(refused.retry_after, 3),
        since_pause=_rounded(now - fleet.pauses.ended_at),
    )
    return refused


def can_end(lifecycle, now, plan=None, seconds=None):
    """Return whether a request can end at this VM, which may be stopping.

    A stream of which the client has a part can: it goes on for as long as possible.

    :param plan: that of its next attempt, None before there is one.
    :param seconds: for which it is expected to last, None to expect what responses of
        its service took.
    """
    in_progress = lifecycle.relay.in_progress
    if not in_progress.is_stopping or lifecycle.stream.has_started:
        return True
    service = lifecycle.service
    planned = 0.0
    if plan is not None and not isinstance(plan, ForwardPlan):
        planned = expected_work(lifecycle, plan, now).end
    time = TimeLeft(
        in_progress.ends_at - now,
        lifecycle.seconds_left(now),
        seconds or in_progress.expected_seconds(service, lifecycle, now),
        planned,
    )
    if not time.is_enough:
        logger.info(
            "request can't end before the stop",
            request=lifecycle.request.id,
            service=service,
            **{name: _rounded(value) for name, value in attrs.asdict(time).items()},
        )
    return time.is_enough


def expected_work(lifecycle, plan, now):
    """Return the :class:`~mulberrydock.room.admission.ExpectedWork` of an attempt."""
    fleet, route, service = lifecycle.fleet, lifecycle.route, lifecycle.service
    return ExpectedWork.from_plan(
        plan,
        fleet.place_wait(service, route, plan.places, now),
        fleet.held_seconds(service, route, now),
        fleet.estimates.pool(service).cost_model.is_measured(now),
    )


def return_seconds(lifecycle, now):
    """Return the seconds after which the client of a refused request should return.

    That is when an instance is expected to take it: once one is back or ends its pause,
    is no longer avoided because it refused, and has room.
    """
    fleet, route, service = lifecycle.fleet, lifecycle.route, lifecycle.service
    plan = fleet.plan(
        lifecycle.request, route, service, set(), now, lifecycle.version.fixed
    )
    if plan is None or fleet.links.is_lost(service):
        seconds = fleet.pause_seconds(service, now)
        seconds = seconds or fleet.outages.seconds_left(service, now)
        stream = fleet.held_seconds(service, route, now)
        work = ExpectedWork(0.0, seconds, 0.0, stream, in_place=True)
    else:
        work = expected_work(lifecycle, plan, now)
        place_wait = max(work.place_wait, fleet.avoided_seconds(service, now))
        work = attrs.evolve(work, place_wait=place_wait)
    lot = request_hash_fraction(lifecycle.request.id)
    return return_after(caller_time(lifecycle, now), work, lot)


def caller_time(lifecycle, now):
    """Return the :class:`~mulberrydock.room.admission.CallerTime` of a request."""
    return CallerTime.from_request(lifecycle.request, lifecycle.route, now)


def _rounded(seconds):
    """Return ``seconds`` for the log, None if they are infinite or unknown."""
    return None if seconds is None or math.isinf(seconds) else round(seconds, 3)
