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
from mulberrydock.room.urgency import LEVELS, PromptSizes, UrgencyScale
from mulberrydock.route_table import RouteTable
from mulberrydock.teams import Team

#: Monotonic seconds.
NOW = 100.0
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
    assert scale.urgencies(*more_urgent).first < scale.urgencies(*less_urgent).first


# Guards against another order in deployments whose teams have no priorities, and
# against long prompts of one priority that go behind those of the next.
@pytest.mark.parametrize("teams", [None, (), (None, None)])
def test_without_priorities_of_teams_the_routes_priorities_count(teams):
    table = RouteTable()
    table.accept(config((0, 2, 5, 12), teams))
    levels = [table.ranked(route(p)).urgencies for p in (0, 2, 5, 12)]
    assert [level.first for level in levels] == [0, 2, 5, 7]
    assert [level.of_size(9) for level in levels] == [1, 4, 6, 9]


@pytest.mark.parametrize(
    ("work", "doublings"), [(10, 0), (300, 0), (301, 1), (600, 1), (601, 2), (9999, 6)]
)
def test_size_of_a_prompt_is_told_by_the_average(work, doublings):
    """Guards against an order by lengths that fit the prompts of one deployment, or by
    what an operator declares for a route beside its priority."""
    sizes = PromptSizes()
    assert sizes.doublings(2, work, NOW) == 0
    for n in range(200):
        sizes.record(2, (100, 500)[n % 2], NOW)
    assert sizes.doublings(2, work, NOW) == doublings
    assert sizes.doublings(5, work, NOW) == 0


PRIORITIES = st.lists(st.integers(0, 9), min_size=1, max_size=6)


@hypothesis.given(routes=PRIORITIES, teams=PRIORITIES)
def test_no_request_goes_before_a_more_urgent_one(routes, teams):
    """Guards against an order that puts a less urgent request first, however many
    priorities teams and routes have."""
    scale = UrgencyScale.from_config(config(routes, teams))
    pairs = sorted({(t, r) for t in teams for r in routes})
    levels = [scale.urgencies(*pair) for pair in pairs]
    firsts = [level.first for level in levels]
    assert firsts == sorted(firsts)
    assert all(0 <= level.first <= PRIORITY_MAX for level in levels)
    # Nor does a short prompt go before a long one of a higher priority, where there
    # are levels for all.
    if len(scale.levels) <= LEVELS:
        lasts = [level.of_size(PRIORITY_MAX) for level in levels]
        assert all(last < first for last, first in zip(lasts, firsts[1:]))
