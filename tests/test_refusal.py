"""Who is refused at once under a burst, and when clients come back."""

import attrs
import pytest

from mulberrydock import refusal
from mulberrydock.fleet_view import FleetView
from mulberrydock.placement import Plan
from mulberrydock.request import Kind, Route, RoutingConfig, Split

URGENT = Route(
    "r", "h", "/", Kind.STREAMING, (Split("llm", 1),), 9, 0.5, 0.3, 0, 2, True
)
ROUTES = (URGENT, attrs.evolve(URGENT, priority=1))


@pytest.mark.parametrize(
    ("wait", "reading", "left", "seconds"),
    [
        # In time, or perhaps in time: waits are rarely over twice the estimate.
        (0.3, 0.1, 10.0, None),
        (4.7, 0.1, 10.0, None),
        # Its client leaves after 2.4 s: it comes back when the queue is short,
        # but no later than a client still does.
        (5.0, 0.1, 10.0, 3.0),
        (5.0, 0.1, 20.0, 3.8),
        # Late by its own length: another time is no better.
        (9.0, 6.0, 10.0, None),
        # Little time left: patience can't be longer than that.
        (1.1, 0.1, 0.5, 0.15),
    ],
)
def test_stream_is_refused_when_its_client_would_have_left(
    wait, reading, left, seconds
):
    """Three letters of 50,000 tokens wait at the last prefill engine. The next
    one would be read after its client has left; told so at once, the client
    comes back to a shorter queue."""
    plan = Plan(None, None, 0, wait, reading)
    refused = refusal.refuse(plan, 2.4, False, left)
    assert (refused and refused.retry_after) == pytest.approx(seconds)


# Guards against more streams than decode engines have places for: all of them are slow
# then, and the longest answers are cut at their deadline.
@pytest.mark.parametrize(
    ("crowded", "most_urgent", "refused"),
    [(False, False, False), (True, False, True), (True, True, False)],
)
def test_streams_without_a_place_are_refused_but_the_most_urgent(
    crowded, most_urgent, refused
):
    plan = Plan(None, None, 0, 0.3, 0.1, crowded=crowded)
    answer = refusal.refuse(plan, 2.4, most_urgent, 10.0)
    assert (answer is not None) is refused


@pytest.mark.parametrize(
    ("found", "left", "seconds"),
    [
        (True, 8.0, 0.5),
        (False, 30.0, 3.0),
        (False, 8.0, 2.4),
        (False, 2.0, 0.6),
        (False, -1.0, 0.0),
    ],
)
def test_time_to_come_back(found, left, seconds):
    """The last decode engine leaves and another is changed to take its place,
    which takes 3 s. A client that comes back after half a second is refused
    again and gives up."""
    assert refusal.retry_after(found, left) == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("priority", "service", "expected"),
    [(0, "llm", True), (1, "llm", False), (1, "other", True)],
)
def test_most_urgent_route_of_a_service(priority, service, expected):
    """Urgency is compared among the routes of one service only."""
    fleet = FleetView("dc1", None, lambda: 1, lambda instance_id: None)
    fleet.routes.config = RoutingConfig(1, ROUTES, {}, None)
    route = attrs.evolve(URGENT, priority=priority)
    assert fleet.is_most_urgent(route, service) is expected
