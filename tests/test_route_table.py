"""Which requests count as the most urgent of their service."""

import attrs
import pytest

from mulberrydock.fleet_view import FleetView
from mulberrydock.request import Kind, Route, RoutingConfig, Split

URGENT = Route(
    "r", "h", "/", Kind.STREAMING, (Split("llm", 1),), 9, 0.5, 0.3, 0, 2, True
)
ROUTES = (URGENT, attrs.evolve(URGENT, priority=1))


@pytest.mark.parametrize(
    ("priority", "service", "expected"),
    [(0, "llm", True), (1, "llm", False), (1, "other", True)],
)
def test_most_urgent_route_of_a_service(priority, service, expected):
    """Guards against a route that is compared with the routes of other services."""
    fleet = FleetView("dc1", None, lambda: 1, lambda instance_id: None)
    assert fleet.routes.accept(RoutingConfig(1, ROUTES, {}, None))
    assert fleet.routes.is_most_urgent(priority, service) is expected
