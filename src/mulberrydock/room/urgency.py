"""Orders the requests of all teams and routes by urgency, as engines take it.

A team's priority goes before that of its route. Where most teams have the same
priority, their requests would all be equally urgent, and a short question would wait
behind long documents that nobody hurries for; the routes' priorities order them.
"""

import attrs

from ..request import PRIORITY_MAX

#: Number of urgencies that an engine tells apart.
LEVELS = PRIORITY_MAX + 1


def _is_for_engines(route, services):
    """Return whether a route leads to a pool of engines, which serve by urgency."""
    specs = (services.get(split.service) for split in route.splits)
    return any(spec is not None and spec.is_engine_pool for spec in specs)


@attrs.define(frozen=True)
class UrgencyScale:
    """The urgencies at an engine, 0 for the first, by declared priorities.

    ``levels`` maps pairs to an urgency: the priority of a request's team, or of its
    route if the team has none, and the priority of its route. A pair that it doesn't
    hold has its first number as urgency. Create it with :meth:`from_config`.
    """

    levels: dict = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, config):
        """Build the scale of a :class:`~mulberrydock.request.RoutingConfig`.

        Without a team that has a priority, urgencies are the routes' priorities.
        """
        teams = {t.priority for t in config.teams or () if t.priority is not None}
        if not teams:
            return cls()
        routes = {
            route.priority
            for route in config.routes
            if _is_for_engines(route, config.services)
        }
        pairs = {(team, route) for team in teams for route in routes}
        ordered = sorted(pairs | {(route, route) for route in routes})
        # Neighbours share a level if there are more pairs than levels.
        scale = min(1.0, LEVELS / max(1, len(ordered)))
        return cls({pair: int(n * scale) for n, pair in enumerate(ordered)})

    @property
    def orders_teams(self):
        """Whether teams with priorities compete for the engines."""
        return bool(self.levels)

    def urgency(self, priority, route_priority):
        """Return the urgency of a request.

        :param priority: the priority of its team, or of its route if there is none.
        :param route_priority: the priority of its route.
        """
        urgency = self.levels.get((priority, route_priority), priority)
        return min(PRIORITY_MAX, urgency)
