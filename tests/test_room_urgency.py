"""The order in which requests of different teams and routes compete for an engine.

Load: most teams have the same priority, and their long documents and short questions
ask for the same engines.
"""

import hypothesis
import hypothesis.strategies as st
import pytest

from mulberrydock.request import (
    PRIORITY_MAX,
    Kind,
    Route,
    RoutingConfig,
    ServiceSpec,
    Split,
)
from mulberrydock.room.urgency import UrgencyScale
from mulberrydock.route_table import RouteTable
from mulberrydock.teams import Team

SERVICES = {
    "llm": ServiceSpec("llm", 100, kv_tokens=1000),
    "app": ServiceSpec("app", 9),
}


def route(priority, service="llm"):
    splits = (Split(service, 1),)
    return Route(
        f"r{priority}",
        "h",
        f"/{priority}/",
        Kind.STREAMING,
        splits,
        9,
        0.5,
        0.3,
        priority,
        2,
        True,
    )


def config(route_priorities, team_priorities, app_priority=7):
    """Return a configuration with one route to a plain service as well."""
    routes = [route(p) for p in route_priorities] + [route(app_priority, "app")]
    teams = None
    if team_priorities is not None:
        teams = tuple(
            Team(f"t{n}", (f"k{n}",), p) for n, p in enumerate(team_priorities)
        )
    return RoutingConfig(1, tuple(routes), SERVICES, None, teams)


# Guards against a short question that waits behind long documents, because both have
# the priority of a team that nobody hurries for.
@pytest.mark.parametrize(
    ("teams", "more_urgent", "less_urgent"),
    [
        pytest.param((1, 1, 0), (1, 0), (1, 2), id="routes-of-equal-teams"),
        pytest.param((1, 1, 0), (0, 2), (1, 0), id="team-goes-before-route"),
        pytest.param((1, None), (1, 1), (1, 2), id="teams-without-a-priority"),
        pytest.param((1, None), (0, 0), (1, 0), id="route-counts-without-a-team"),
        pytest.param((0, 1, 2, 3), (0, 2), (3, 0), id="more-pairs-than-urgencies"),
    ],
)
def test_order_of_requests_from_teams(teams, more_urgent, less_urgent):
    scale = UrgencyScale.from_config(config((0, 1, 2), teams))
    assert scale.urgency(*more_urgent) < scale.urgency(*less_urgent)


# Guards against another order in deployments whose teams have no priorities.
@pytest.mark.parametrize("teams", [None, (), (None, None)])
@pytest.mark.parametrize("priority", [0, 2, 5, 12])
def test_without_priorities_of_teams_the_routes_priority_counts(teams, priority):
    table = RouteTable()
    table.accept(config((0, 2, 5, 12), teams))
    ranked = table.ranked(route(priority))
    assert ranked.urgency == min(PRIORITY_MAX, priority)


PRIORITIES = st.lists(st.integers(0, 9), min_size=1, max_size=6)


@hypothesis.given(routes=PRIORITIES, teams=PRIORITIES)
def test_no_request_goes_before_a_more_urgent_one(routes, teams):
    """Guards against an order that puts a less urgent request first, however many
    priorities teams and routes have."""
    scale = UrgencyScale.from_config(config(routes, teams))
    pairs = sorted({(t, r) for t in teams for r in routes})
    urgencies = [scale.urgency(*pair) for pair in pairs]
    assert urgencies == sorted(urgencies)
    assert all(0 <= urgency <= PRIORITY_MAX for urgency in urgencies)
