"""Orders the requests for an engine: by priority, then by the work of their prompts.

A team's priority goes before that of its route. Where most teams have the same
priority, their requests would all be equally urgent, and a short question would wait
behind long documents that nobody hurries for; the routes' priorities order them. Of
equal priority, a prompt with less work goes first: it delays the others for less time
than they would delay it.
"""

import math

import attrs

from ..demand import Rate
from ..request import PRIORITY_MAX

#: Number of urgencies that an engine tells apart.
LEVELS = PRIORITY_MAX + 1


def _is_for_engines(route, services):
    """Return whether a route leads to a pool of engines, which serve by urgency."""
    specs = (services.get(split.service) for split in route.splits)
    return any(spec is not None and spec.is_engine_pool for spec in specs)


@attrs.define(frozen=True)
class Urgencies:
    """The ``span`` urgencies from ``first`` on that requests of one priority share."""

    first: int
    span: int = 1

    def of_size(self, doublings):
        """Return the urgency of a prompt with so many doublings of the usual work."""
        return min(PRIORITY_MAX, self.first + min(doublings, self.span - 1))


@attrs.define(frozen=True)
class UrgencyScale:
    """The urgencies at an engine, 0 for the first, by declared priorities.

    ``levels`` maps pairs to their :class:`Urgencies`: the priority of a request's team,
    or of its route if the team has none, and the priority of its route. A pair that it
    doesn't hold has its first number as urgency. Create it with :meth:`from_config`.
    """

    levels: dict = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, config):
        """Build the scale of a :class:`~mulberrydock.request.RoutingConfig`."""
        teams = {t.priority for t in config.teams or () if t.priority is not None}
        routes = {
            route.priority
            for route in config.routes
            if _is_for_engines(route, config.services)
        }
        pairs = {(team, route) for team in teams for route in routes}
        ordered = sorted(pairs | {(route, route) for route in routes})
        # Neighbours share a level if there are more pairs than levels.
        firsts = [n * LEVELS // len(ordered) for n in range(len(ordered))] + [LEVELS]
        spans = [max(1, after - first) for first, after in zip(firsts, firsts[1:])]
        return cls(dict(zip(ordered, map(Urgencies, firsts, spans))))

    def urgencies(self, priority, route_priority):
        """Return the :class:`Urgencies` of a request.

        :param priority: the priority of its team, or of its route if there is none.
        :param route_priority: the priority of its route.
        """
        alone = Urgencies(min(PRIORITY_MAX, priority))
        return self.levels.get((priority, route_priority), alone)


class PromptSizes:
    """The average prefill work of the prompts that clients send, by first urgency.

    Work is in tokens without context, times are monotonic seconds.
    """

    def __init__(self):
        self.rates = {}

    def record(self, urgency, work, now):
        """Record a prompt, whether it is served or not."""
        counts, works = self.rates.setdefault(urgency, (Rate(), Rate()))
        counts.record(1.0, now)
        works.record(work, now)

    def doublings(self, urgency, work, now):
        """Return how often the average work has to be doubled to reach ``work``.

        It is 0 for a prompt up to the average, or if no other one is known.
        """
        counts, works = self.rates.get(urgency, (Rate(), Rate()))
        count = counts.average(now)
        if not count:
            return 0
        ratio = work * count / max(works.average(now), 1e-9)
        return max(0, math.ceil(math.log2(ratio))) if ratio > 1 else 0
