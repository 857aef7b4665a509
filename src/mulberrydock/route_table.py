"""Routing table: finds a request's route by host and longest path prefix."""

import hashlib
import math

import attrs
from expression import Ok

from .request import RoutingConfig
from .room.urgency import UrgencyScale
from .teams import TeamDirectory

#: Number of the hashes of which a service's score is computed.
HASH_RANGE = 2**64


class RouteTable:
    """The newest routing configuration, indexed by host.

    Versions only increase: an older or equal one is ignored, so that a late or
    reordered response of the store never reverts a route.
    """

    def __init__(self):
        self.config: RoutingConfig | None = None
        self.by_host = {}
        self.teams: TeamDirectory | None = None
        self.most_urgent = {}
        self.scale = UrgencyScale()

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
        self.teams = None
        if config.teams is not None:
            self.teams = TeamDirectory.from_teams(config.teams)
        self.most_urgent = _most_urgent(config)
        self.scale = UrgencyScale.from_config(config)
        return True

    def match(self, host, path):
        """Return the :class:`~mulberrydock.request.Route`, or None."""
        name = host.lower().partition(":")[0]
        for route in self.by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def authenticate(self, request, route):
        """Find the team of a request whose route requires it.

        :returns: ``Ok(Team)``, or ``Ok(None)`` when no team is needed, or
            ``Error(KeyProblem)``.
        """
        if self.teams is None:
            return Ok(None)
        return self.teams.authenticate(request.authorization, route.public)

    def ranked(self, route, priority=None):
        """Return ``route`` as it holds for one request.

        :param priority: the priority of the request's team, None for the route's own.
        """
        if priority is None:
            priority = route.priority
        urgencies = self.scale.urgencies(priority, route.priority)
        return attrs.evolve(route, priority=priority, urgencies=urgencies)

    def is_most_urgent(self, priority, service):
        """Return whether no request to ``service`` can have priority over this one."""
        return priority <= self.most_urgent.get(service, priority)

    def service_for(self, route, stream_id):
        """Return the service's name for one request, chosen by weight.

        Every VM chooses the same one for all requests of a stream, which can't go on at
        another service. If weights change, only the share that they shift moves.

        :param stream_id: the request's :attr:`~mulberrydock.request.Request.stream_id`.
        """
        if len(route.splits) == 1:
            return route.splits[0].service
        return max(route.splits, key=lambda split: _score(split, stream_id)).service


def _score(split, stream_id):
    """Return the score of a service for a stream; the highest is chosen.

    This is weighted rendezvous hashing.
    """
    if split.weight <= 0:
        return -math.inf
    name = f"{stream_id}/{split.service}".encode(errors="replace")
    number = int.from_bytes(hashlib.blake2b(name, digest_size=8).digest())
    return math.log((number + 1) / HASH_RANGE) / split.weight


def _most_urgent(config):
    """Return the most urgent priority that a request may have, by service.

    A team's priority goes before its route's; a request without a team, or of a team
    that has none, has that of its route.
    """
    teams = config.teams or ()
    overrides = [team.priority for team in teams if team.priority is not None]
    override = min(overrides, default=math.inf)
    most_urgent = {}
    for route in config.routes:
        for split in route.splits:
            known = most_urgent.get(split.service, override)
            most_urgent[split.service] = min(known, route.priority)
    return most_urgent
