"""Asks for room in a pool of engines for one request.

Gathers what :mod:`mulberrydock.room` decides from for a
:class:`~mulberrydock.serving.RequestLifecycle`.
"""

import math

import attrs
from loguru import logger

from .placement import request_hash_fraction
from .refusal import refuse
from .room.admission import Ask, decide


def ask_for_room(lifecycle, plan, now):
    """Return why a request is refused before its first send, None to attempt it.

    Only a request without an earlier attempt is refused. Where no team has a priority,
    nobody competes for a queue beyond the places, and it would only make all late.

    :param plan: the :class:`~mulberrydock.placement.Plan` of the attempt.
    :returns: a :class:`~mulberrydock.refusal.Refusal` or None.
    """
    if lifecycle.sends.made or lifecycle.prefills.made:
        return None
    request, route, service = lifecycle.request, lifecycle.route, lifecycle.service
    if not request.prompt.tokens:
        return None
    fleet = lifecycle.fleet
    ask = Ask(
        route,
        request.deadline - request.arrived,
        lifecycle.seconds_left(now),
        request_hash_fraction(request.id),
        fleet.routes.shortest_objective(service),
    )
    place_wait = fleet.place_wait(service, route, plan.places, now)
    most_urgent = route.is_taken_up or fleet.routes.is_most_urgent(
        route.priority, service
    )
    if fleet.routes.scale.orders_teams:
        refused = decide(ask, plan, place_wait, most_urgent)
    else:
        refused = refuse(plan, route.client_idle_timeout, most_urgent, ask.left)
    if refused is not None:
        lifecycle.relay.metrics.room_refusals.labels(service, route.name).inc()
        logger.info(
            "room refused",
            request=request.id,
            reason=refused.reason,
            urgency=route.urgency,
            returned=ask.has_returned,
            wait=round(plan.wait, 3),
            place_wait=_rounded(place_wait),
            **attrs.asdict(plan.places),
            left=round(ask.left, 3),
            retry_after=round(refused.retry_after, 3),
        )
    return refused


def _rounded(seconds):
    """Return ``seconds`` for the log, None if they are unknown or infinite."""
    if seconds is None or math.isinf(seconds):
        return None
    return round(seconds, 3)
