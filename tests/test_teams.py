"""Teams and API keys: which team sent a request, and which requests are refused."""

import json

import attrs
import pytest
import tornado.httputil

from mulberrydock.exceptions import SettingsError
from mulberrydock.instances import InstanceRegistry
from mulberrydock.metrics import ServeMetrics
from mulberrydock.platform import CONFIG_PREFIX, PlatformWire, read_config, wire
from mulberrydock.ports import Sink
from mulberrydock.relay import Relay
from mulberrydock.request import SendOptions
from mulberrydock.route_table import RouteTable
from mulberrydock.teams import KeyProblem, Team, TeamDirectory

CLERKS = Team("clerks", ("key-a", "key-b"), 0)
KIOSKS = Team("kiosks", ("key-c",))
IDLE = Team("idle", ())
CONFIG_KEY = CONFIG_PREFIX + "config"


def document(version=1, **fields):
    """Return a configuration document with one route to each of two services."""
    rows = [
        {
            "name": path,
            "host": "h",
            "path_prefix": path,
            "kind": "idempotent",
            "timeout_ms": 1000,
            "priority": priority,
            "service": service,
            "public": public,
        }
        for path, service, priority, public in (
            ("/a/", "app", 2, False),
            ("/p/", "web", 3, True),
        )
    ]
    services = [{"name": "app"}, {"name": "web"}]
    return {"version": version, "routes": rows, "services": services} | fields


def tenants(*teams):
    """Return the ``tenants`` of a document."""
    rows = [{"name": team.name, "api_keys": list(team.keys)} for team in teams]
    for row, team in zip(rows, teams):
        if team.priority is not None:
            row["priority"] = team.priority
    return rows


def load(**fields):
    """Return the routing configuration of a document."""
    return read_config(CONFIG_KEY, json.dumps(document(**fields)))


@pytest.mark.parametrize(
    ("authorization", "public", "expected"),
    [
        (("Bearer key-a",), False, CLERKS),
        (("bearer  key-c ",), False, KIOSKS),
        (("Bearer key-a",), True, CLERKS),
        ((), True, None),
        ((), False, KeyProblem.MISSING),
        (("Bearer key-x",), False, KeyProblem.UNKNOWN),
        (("Bearer key-x",), True, KeyProblem.UNKNOWN),
        (("Bearer KEY-A",), False, KeyProblem.UNKNOWN),
        (("Basic key-a",), False, KeyProblem.MALFORMED),
        (("Bearer",), False, KeyProblem.MALFORMED),
        (("key-a",), False, KeyProblem.MALFORMED),
        (("Bearer key-a key-b",), False, KeyProblem.MALFORMED),
        (("Bearer key-a", "Bearer key-a"), False, KeyProblem.MALFORMED),
        (("Bearer ключ",), False, KeyProblem.MALFORMED),
        (("Bearer key\x00a",), False, KeyProblem.MALFORMED),
        (("Bearer " + "k" * 100_000,), False, KeyProblem.MALFORMED),
    ],
)
def test_key_identifies_the_team(authorization, public, expected):
    directory = TeamDirectory.from_teams([CLERKS, KIOSKS, IDLE])
    result = directory.authenticate(authorization, public)
    assert (result.ok if result.is_ok() else result.error) == expected


def test_key_of_two_teams_belongs_to_the_first_one():
    """Guards against VMs that attribute the same key to different teams."""
    other = Team("other", ("key-b", "key-d"))
    directory = TeamDirectory.from_teams([CLERKS, other])
    assert directory.team_by_key["key-b"] is CLERKS
    assert directory.team_by_key["key-d"] is other


@pytest.mark.parametrize(
    ("teams", "most_urgent"),
    [
        (None, {"app": 2, "web": 3}),
        ((), {"app": 2, "web": 3}),
        ((KIOSKS,), {"app": 2, "web": 3}),
        ((CLERKS, KIOSKS), {"app": 0, "web": 0}),
        ((Team("late", ("k",), 9),), {"app": 2, "web": 3}),
    ],
)
def test_team_priority_counts_among_the_most_urgent(teams, most_urgent):
    fields = {} if teams is None else {"tenants": tenants(*teams)}
    table = RouteTable()
    assert table.accept(load(**fields))
    assert table.most_urgent == most_urgent
    for service, priority in most_urgent.items():
        assert table.is_most_urgent(priority, service)
        assert not table.is_most_urgent(priority + 1, service)


@pytest.mark.parametrize(
    "rows",
    [
        "secret",
        None,
        [{"name": "t"}],
        [{"name": "", "api_keys": []}],
        [{"name": "t", "api_keys": [17]}],
        [{"name": "t", "api_keys": "secret"}],
        [{"name": "t", "api_keys": [""]}],
        [{"name": "t", "api_keys": ["secret", {"secret": 1}]}],
        [{"name": "t", "api_keys": ["secret"], "priority": "urgent"}],
        ["secret"],
    ],
)
def test_unreadable_teams_refuse_the_version_without_showing_a_key(rows):
    """Guards against a version that is applied without its teams, which would serve
    requests without a key, and against keys in an error text."""
    with pytest.raises(SettingsError) as raised:
        load(tenants=rows)
    assert "secret" not in str(raised.value)


def test_keys_are_in_no_repr():
    config = load(tenants=tenants(CLERKS))
    table = RouteTable()
    table.accept(config)
    request = read("Bearer key-a")
    for shown in (config, table.teams, request):
        assert "key-" not in repr(shown)


def read(*authorization, path="/a/x"):
    """Return the request of a client with these ``Authorization`` headers."""
    headers = tornado.httputil.HTTPHeaders(
        {"Host": "h", wire.ATTEMPT_ID: "r1", wire.TEAM: "forged"}
    )
    for value in authorization:
        headers.add(wire.AUTHORIZATION, value)
    start = tornado.httputil.RequestStartLine("GET", path, "HTTP/1.1")
    return PlatformWire().read_request(start, headers, b"", 0.0)


@attrs.define
class FakeFleet:
    """The part of a fleet's state that :meth:`Relay.authenticate` uses."""

    routes: RouteTable
    configuration_current: bool = True
    instances: InstanceRegistry = attrs.field(factory=InstanceRegistry)


class Answer(Sink):
    """Records the status of a response."""

    status = None
    headers = ()

    def respond(self, status, headers, body):
        self.status, self.headers = status, headers

    def begin(self, status, headers):
        raise AssertionError("no stream expected")

    write = finish = abort = begin


def relay(teams, current=True):
    """Return a relay whose configuration has ``teams``, None for no ``tenants``."""
    table = RouteTable()
    fields = {} if teams is None else {"tenants": tenants(*teams)}
    table.accept(load(**fields))
    return Relay(FakeFleet(table, current), PlatformWire(), ServeMetrics())


@pytest.mark.parametrize(
    ("teams", "current", "authorization", "status", "retryable"),
    [
        ((CLERKS,), True, (), 401, False),
        ((CLERKS,), True, ("Bearer key-c",), 401, False),
        ((), True, ("Bearer key-c",), 401, False),
        # The key may have been added since this VM last heard of a version: the client
        # would not retry elsewhere after 401.
        ((CLERKS,), False, ("Bearer key-c",), 503, True),
        ((CLERKS,), False, ("Basic key-c",), 401, False),
        ((CLERKS,), False, (), 401, False),
    ],
)
def test_request_without_a_known_key_is_refused(
    teams, current, authorization, status, retryable
):
    """Guards against requests that run although no configuration holds their key."""
    answer, request = Answer(), read(*authorization)
    front = relay(teams, current)
    route = front.fleet.routes.match("h", "/a/x")
    assert front.authenticate(request, route, answer) is None
    assert answer.status == status
    assert ("Retry-After" in dict(answer.headers)) is retryable


@pytest.mark.parametrize(
    ("teams", "authorization", "team", "priority", "passed_on"),
    [
        ((CLERKS, KIOSKS), "Bearer key-a", "clerks", 0, None),
        ((CLERKS, KIOSKS), "Bearer key-c", "kiosks", 2, None),
        (None, "Bearer key-a", None, 2, "Bearer key-a"),
    ],
)
def test_engine_gets_the_team_but_not_the_key(
    teams, authorization, team, priority, passed_on
):
    """Guards against keys that reach an engine, and teams that a client names itself.

    Without teams in the configuration the client's credentials are for the engine.
    """
    request, front = read(authorization), relay(teams)
    route = front.fleet.routes.match("h", "/a/x")
    route = front.authenticate(request, route, Answer())
    assert route.priority == priority
    for options in (
        SendOptions("i", 1000),
        SendOptions("i", 1000, prefill_only=True),
        SendOptions("i", 1000, last_event_id=3),
    ):
        headers = PlatformWire().upstream_headers(request, options)
        assert headers.get(wire.TEAM) == team
        assert headers.get(wire.AUTHORIZATION) == passed_on


def test_removed_key_never_returns_with_an_older_version():
    """Guards against a late or older response of the store that brings a key back."""
    table = RouteTable()
    table.accept(load(version=5, tenants=tenants(KIOSKS)))
    table.accept(load(version=4, tenants=tenants(CLERKS, KIOSKS)))
    assert "key-a" not in table.teams.team_by_key
    assert table.accept(load(version=6, tenants=tenants(CLERKS)))
    assert set(table.teams.team_by_key) == set(CLERKS.keys)


def test_lookup_takes_the_same_steps_for_any_number_of_keys():
    """Guards against a search through a thousand keys for each request."""

    class CountedKey(str):
        compared = 0

        def __eq__(self, other):
            CountedKey.compared += 1
            return str.__eq__(self, other)

        __hash__ = str.__hash__

    keys = tuple(CountedKey(f"key-{number}") for number in range(1000))
    directory = TeamDirectory.from_teams([Team("t", keys)])
    CountedKey.compared = 0
    assert directory.authenticate(("Bearer key-999",), False).ok.name == "t"
    assert CountedKey.compared <= 5
