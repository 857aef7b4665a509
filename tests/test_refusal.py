"""Which requests are refused at once under overload, and when clients should retry."""

import attrs
import pytest

from mulberrydock import refusal
from mulberrydock.fleet_view import FleetView
from mulberrydock.request import Kind, Route, RoutingConfig, Split

URGENT = Route(
    "r", "h", "/", Kind.STREAMING, (Split("llm", 1),), 9, 0.5, 0.3, 0, 2, True
)
ROUTES = (URGENT, attrs.evolve(URGENT, priority=1))


@pytest.mark.parametrize(
    ("found", "pause", "left", "seconds"),
    [
        (True, 0.0, 8.0, 0.5),
        (False, 0.0, 30.0, 3.0),
        (False, 0.0, 8.0, 2.4),
        (False, 0.0, 2.0, 0.6),
        (False, 0.0, -1.0, 0.0),
        (True, 2.0, 8.0, 2.0),
        (False, 2.0, 8.0, 2.0),
        (True, 0.1, 8.0, 0.5),
        (True, 3600.0, 8.0, 2.4),
        (True, 2.0, -1.0, 0.0),
    ],
)
def test_retry_time_covers_a_stage_change_or_a_pause(found, pause, left, seconds):
    """Guards against retries after half a second while another engine replaces the last
    decode engine, which takes 3 s: the client is refused again and gives up."""
    assert refusal.retry_after(found, pause, left) == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("priority", "service", "expected"),
    [(0, "llm", True), (1, "llm", False), (1, "other", True)],
)
def test_most_urgent_route_of_a_service(priority, service, expected):
    """Guards against a route that is compared with the routes of other services."""
    fleet = FleetView("dc1", None, lambda: 1, lambda instance_id: None)
    assert fleet.routes.accept(RoutingConfig(1, ROUTES, {}, None))
    assert fleet.routes.is_most_urgent(priority, service) is expected


# Guards against clients that were refused in one moment and all return in one.
@pytest.mark.parametrize(
    ("found", "left", "lot", "seconds"),
    [
        (True, 8.0, 0.5, 0.625),
        (False, 30.0, 0.5, 3.75),
        (False, 8.0, 0.5, 2.4),
        (True, 0.9, 0.5, 0.27),
    ],
)
def test_refused_clients_return_spread_within_their_time(found, left, lot, seconds):
    assert refusal.retry_after(found, 0.0, left, lot) == pytest.approx(seconds)
