"""Routing table: finds a request's route by host and longest path prefix."""

import random

from .request import RoutingConfig


class RouteTable:
    """The newest routing configuration, indexed by host.

    Versions only increase: an older or equal one is ignored, so that a late or
    reordered response of the store never reverts a route.

    :param seed: seeds the choice between a route's services.
    """

    def __init__(self, seed=None):
        self.config: RoutingConfig | None = None
        self.by_host = {}
        self.random = random.Random(seed)

    @property
    def version(self):
        """The version in force, 0 before the first."""
        return self.config.version if self.config else 0

    def accept(self, config):
        """Apply ``config`` if it is newer; return whether it was applied."""
        if config.version <= self.version:
            return False
        by_host = {}
        for route in config.routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda r: len(r.path_prefix), reverse=True)
        self.config = config
        self.by_host = by_host
        return True

    def match(self, host, path):
        """Return the :class:`~mulberrydock.request.Route`, or None."""
        name = host.lower().partition(":")[0]
        for route in self.by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def service_for(self, route):
        """Return the service's name for one request, chosen at random by weight."""
        if len(route.splits) == 1:
            return route.splits[0].service
        weights = [split.weight for split in route.splits]
        return self.random.choices(route.splits, weights)[0].service
