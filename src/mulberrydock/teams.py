"""Teams of clients, and the API keys by which their requests are recognised.

No key appears in a log line, an error or a ``repr``.
"""

import enum

import attrs
from expression import Error, Ok
from loguru import logger

#: Scheme of the credentials; schemes are case-insensitive (RFC 9110, section 11.1).
SCHEME = "bearer"
#: Maximum number of characters of a key; longer ones are refused without a lookup.
MAX_KEY_CHARACTERS = 256


@attrs.define(frozen=True)
class Team:
    """A declared team with its API keys.

    ``priority`` goes before that of the route, 0 for the most urgent; None leaves the
    route's priority in force.
    """

    name: str
    keys: tuple = attrs.field(repr=False)
    priority: int | None = None


class KeyProblem(enum.Enum):
    """Why a request isn't authenticated; the value is the reason that is logged."""

    MISSING = "no API key"
    MALFORMED = "credentials are not one API key"
    UNKNOWN = "unknown API key"


@attrs.define(frozen=True)
class TeamDirectory:
    """The teams of one version of the configuration, by API key.

    Create it with :meth:`from_teams`.
    """

    team_by_key: dict = attrs.field(repr=False)

    @classmethod
    def from_teams(cls, teams):
        """Index ``teams`` by key.

        A key that two teams hold belongs to the first one, on every VM alike.
        """
        team_by_key = {}
        for team in teams:
            for key in team.keys:
                holder = team_by_key.setdefault(key, team)
                if holder is not team:
                    logger.warning(
                        "API key of two teams", team=holder.name, ignored=team.name
                    )
        return cls(team_by_key)

    def authenticate(self, authorization, public):
        """Return ``Ok(Team)`` of a request, ``Ok(None)`` when it needs no team.

        A request with a key that isn't known is refused on a public route too.

        :param authorization: values of all its ``Authorization`` headers.
        :param public: True when its route requires no key.
        :returns: otherwise ``Error(KeyProblem)``.
        """
        if not authorization:
            return Ok(None) if public else Error(KeyProblem.MISSING)
        key = _read_key(authorization)
        if key is None:
            return Error(KeyProblem.MALFORMED)
        team = self.team_by_key.get(key)
        return Ok(team) if team else Error(KeyProblem.UNKNOWN)


def _read_key(authorization):
    """Return the key in ``Authorization`` headers, None unless there is just one."""
    if len(authorization) != 1:
        return None
    scheme, _, key = authorization[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not key or not key.isascii():
        return None
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable() or " " in key:
        return None
    return key
