"""Which requests count as the most urgent of their service."""

import collections

import attrs
import pytest

from mulberrydock.fleet_view import FleetView
from mulberrydock.request import Kind, Request, Route, RoutingConfig, Split
from mulberrydock.route_table import RouteTable

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


def split_route(**weights):
    """Return a route that is split between services by weight."""
    splits = tuple(Split(service, weight) for service, weight in weights.items())
    return attrs.evolve(URGENT, splits=splits)


# Guards against a stream that its client takes up and that goes on at another service.
@pytest.mark.parametrize(
    ("fields", "stream_id"),
    [
        ({}, "r1"),
        ({"resumes": "r0"}, "r1"),
        ({"last_event_id": 3}, "r1"),
        ({"last_event_id": 3, "resumes": "r0"}, "r0"),
    ],
)
def test_requests_of_a_stream_have_one_service(fields, stream_id):
    request = Request("r1", "POST", "/", "h", [], b"", 0.0, 5.0, **fields)
    assert request.stream_id == stream_id
    route = split_route(a=1, b=1, c=1)
    services = {RouteTable().service_for(route, request.stream_id) for _ in range(20)}
    assert len(services) == 1


# Guards against services that get another share of the requests than the split says.
@pytest.mark.parametrize(
    "weights",
    [
        {"a": 1, "b": 1},
        {"a": 9, "b": 1},
        {"a": 0.2, "b": 0.7, "c": 0.1},
        {"a": 0, "b": 5},
    ],
)
def test_services_get_their_shares(weights):
    table, route = RouteTable(), split_route(**weights)
    ids = [f"r{number}" for number in range(4000)]
    chosen = collections.Counter(table.service_for(route, name) for name in ids)
    total = sum(weights.values())
    for service, weight in weights.items():
        assert chosen[service] / len(ids) == pytest.approx(weight / total, abs=0.03)
        assert weight or not chosen[service]


# Guards against streams that change their service for a shift of other streams.
def test_shift_of_weights_moves_only_its_share():
    table, ids = RouteTable(), [f"r{number}" for number in range(4000)]
    before, after = split_route(a=1, b=1), split_route(a=1, b=3)
    rows = [(table.service_for(before, i), table.service_for(after, i)) for i in ids]
    assert ("b", "a") not in rows
    assert rows.count(("a", "b")) / len(ids) == pytest.approx(0.25, abs=0.03)
