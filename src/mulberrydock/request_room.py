"""Asks for room in a pool of engines for one request.

Gathers what :mod:`mulberrydock.room` decides from for a
:class:`~mulberrydock.serving.RequestLifecycle`.
"""

import math

import attrs
from loguru import logger

from .placement import request_hash_fraction
from .room.admission import CallerTime, ExpectedWork, decide


def ask_for_room(lifecycle, plan, now):
    """Return why a request is refused before a send, None to attempt it.

    A request that an instance may have run can no longer be refused.

    :param plan: the :class:`~mulberrydock.placement.Plan` of the attempt.
    :returns: a :class:`~mulberrydock.refusal.Refusal` or None.
    """
    request, route, service = lifecycle.request, lifecycle.route, lifecycle.service
    if lifecycle.may_have_run or not request.prompt.tokens:
        return None
    time = CallerTime.from_route(
        route, lifecycle.seconds_left(now), now - request.arrived
    )
    work = expected_work(lifecycle, plan, now)
    refused = decide(time, work, request_hash_fraction(request.id))
    if refused is not None:
        lifecycle.relay.metrics.room_refusals.labels(service, route.name).inc()
        logger.info(
            "room refused",
            request=request.id,
            reason=refused.reason,
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
            retry_after=round(refused.retry_after, 3),
        )
    return refused


def expected_work(lifecycle, plan, now):
    """Return the :class:`~mulberrydock.room.admission.ExpectedWork` of an attempt."""
    fleet, route, service = lifecycle.fleet, lifecycle.route, lifecycle.service
    return ExpectedWork.from_plan(
        plan,
        fleet.place_wait(service, route, plan.places, now),
        fleet.stream_seconds(service, route, now),
    )


def _rounded(seconds):
    """Return ``seconds`` for the log, None if they are infinite."""
    return None if math.isinf(seconds) else round(seconds, 3)
