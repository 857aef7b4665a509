"""State that one VM derives by itself: instances, authority, suspicion and routes."""

import datetime
import json
import os
import tomllib

import pytest

from mulberrydock.instances import (
    STORE_RECOVERY_GRACE_SECONDS,
    InstanceRecord,
    InstanceRegistry,
    Stage,
)
from mulberrydock.lease import Authority
from mulberrydock.log import MAX_LINES_PER_SECOND, LineSink
from mulberrydock.request import Kind, Route, RoutingConfig, Split
from mulberrydock.route_table import RouteTable
from mulberrydock.sse import EventSplitter
from mulberrydock.stage_controller import StageController
from mulberrydock.suspicion import FIRST_SUSPICION_SECONDS, MAX_DOUBLINGS, Suspicion


def record(instance_id, draining=False):
    """Return an instance's record."""
    return InstanceRecord(instance_id, "s", "h:1", "dc1", 4, draining, Stage.NONE)


def make_registry(*ids):
    """Return a registry that holds the given instances."""
    registry = InstanceRegistry()
    for instance_id in ids:
        registry.put(record(instance_id), 0.0)
    return registry


def serving(registry):
    """Return the ids of the instances that may take new work."""
    return {i.id for i in registry.serving("s")}


def test_removed_record_ends_its_instance_at_once():
    """An instance's record is removed while the store is available: the instance has
    left and must get nothing from then on.
    """
    registry = make_registry("a", "b")
    registry.remove("a", 10.0)
    assert serving(registry) == {"b"}


@pytest.mark.parametrize(
    ("back", "sweep_after", "left"),
    [
        (True, STORE_RECOVERY_GRACE_SECONDS + 1, {"a", "b"}),
        (False, STORE_RECOVERY_GRACE_SECONDS / 2, {"a", "b"}),
        (False, STORE_RECOVERY_GRACE_SECONDS + 1, {"b"}),
    ],
)
def test_instances_survive_the_expiry_of_records_in_an_outage(back, sweep_after, left):
    """The store is unavailable and drops the records of running instances. These must
    stay in use; after the outage they have the grace period to register again.
    """
    registry = make_registry("a", "b")
    registry.mark_store_unavailable(10.0)
    registry.remove("a", 11.0)
    assert serving(registry) == {"a", "b"}
    registry.mark_store_available(20.0)
    if back:
        registry.put(record("a"), 20.5)
    registry.sweep(20.0 + sweep_after)
    assert serving(registry) == left


def test_stale_record_does_not_bring_back_an_instance():
    """This VM sees that another instance answers at an address: the former owner has
    terminated, which takes effect at once. A stale read of the store must not bring it
    back, nor an instance that is draining.
    """
    registry = make_registry("a", "b")
    registry.mark_terminated(registry.instances["a"], "address reused")
    registry.put(record("a"), 5.0)
    assert serving(registry) == {"b"}
    registry.put(record("b", draining=True), 5.0)
    registry.put(record("b"), 6.0)
    assert serving(registry) == set()


@pytest.mark.parametrize(
    ("acquired", "renewed", "now", "may"),
    [
        (0.0, 2.9, 2.95, False),
        (0.0, 3.0, 3.1, True),
        (0.0, 10.0, 11.7, True),
        (0.0, 10.0, 11.9, False),
    ],
)
def test_orders_only_within_the_safe_part_of_the_lease(acquired, renewed, now, may):
    """A new leader must not order before a whole lease has passed, as its predecessor's
    last order may still be in transit. A leader that loses the store or is suspended,
    and so does not renew, must stop well before the store would grant the lease to
    another.
    """

    class Lease:
        authority = Authority(7, 41, renewed, acquired)

        def valid(self, moment):
            return self.authority.valid(moment, 3.0)

    controller = StageController(None, None, None, Lease(), "entry-1", 3.0)
    assert controller.may_order(now) is may


@pytest.mark.parametrize(
    ("failures", "unreachable", "suspected"),
    [(1, False, False), (2, False, True), (1, True, True)],
)
def test_suspicion_after_failures_and_its_end(failures, unreachable, suspected):
    """An engine fails requests while its health check passes. A single failure happens
    on healthy engines too; a second in a row, or a refused connection, must send work
    to other engines for a while, and a response ends the suspicion.
    """
    suspicion = Suspicion()
    registry = make_registry("a", "b")
    for _ in range(failures):
        suspicion.record_failure("a", 10.0, unreachable)
    pool = registry.serving("s")
    healthy = {i.id for i in suspicion.healthy(pool, 10.1)}
    assert healthy == ({"b"} if suspected else {"a", "b"})
    later = 10.0 + FIRST_SUSPICION_SECONDS + 0.1
    assert len(suspicion.healthy(pool, later)) == 2
    suspicion.record_failure("a", 20.0, unreachable)
    suspicion.record_success("a")
    assert len(suspicion.healthy(pool, 20.1)) == 2


# Guards against requests without an answer: the time for which an instance is avoided
# grows with its failures, beyond the range of a float after a thousand in a row.
def test_instance_that_fails_for_long_is_still_avoided_for_seconds():
    suspicion, now = Suspicion(), 0.0
    for _ in range(5000):
        now += 0.01
        assert suspicion.record_failure("a", now, unreachable=True)
    left = suspicion.seconds_left("a", now)
    assert left == pytest.approx(FIRST_SUSPICION_SECONDS * 2**MAX_DOUBLINGS)


def route(prefix, host="h.example"):
    """Return a route with a path prefix."""
    return Route(
        prefix, host, prefix, Kind.IDEMPOTENT, (Split("s", 1),), 1, 1, 1, 0, 1, False
    )


@pytest.mark.parametrize(
    ("host", "path", "found"),
    [
        ("h.example", "/a/b/c", "/a/b/"),
        ("H.EXAMPLE:80", "/a/x", "/a/"),
        ("h.example", "/ab", None),
        ("other.example", "/a/b/", None),
    ],
)
def test_longest_path_prefix_on_the_host_matches(host, path, found):
    """Routes overlap: the longest path prefix on the request's host must match. An
    older configuration that is read late must change nothing.
    """
    table = RouteTable()
    routes = (route("/a/"), route("/a/b/"))
    assert table.accept(RoutingConfig(5, routes, {}, None))
    assert not table.accept(RoutingConfig(4, (), {}, None))
    match = table.match(host, path)
    assert (match and match.name) == found


@pytest.mark.parametrize("size", [1, 3, 7, 1000])
def test_only_complete_events_are_passed_on_once(size):
    """A stream arrives in chunks that end anywhere. Only complete events must be passed
    on, and a repeated event must be refused.
    """
    stream = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 6))
    splitter = EventSplitter()
    out = b""
    for start in range(0, len(stream), size):
        out += splitter.feed(stream[start : start + size])
    assert (out, splitter.last_id, splitter.clean) == (stream, 5, True)
    with pytest.raises(Exception, match="event 5 after 5"):
        splitter.feed(b"id: 5\ndata: x\n\n")


def test_full_pipe_and_flood_drop_lines_without_blocking():
    """The log's reader stops reading, or a flood of lines comes. The process must not
    block, and counts the lines that it dropped.
    """

    class Message:
        record = {}

    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    sink = LineSink(writer)
    level = type("Level", (), {"no": 20, "name": "INFO"})
    for number in range(MAX_LINES_PER_SECOND * 3):
        message = Message()
        message.record = {
            "time": datetime.datetime.now(datetime.timezone.utc),
            "level": level,
            "message": "x" * 1000,
            "extra": {"number": number},
            "exception": None,
        }
        sink.write(message)
    assert sink.dropped > 0
    first = os.read(reader, 4096).split(b"\n")[0]
    assert json.loads(first)["number"] == 0
    os.close(reader)
    os.close(writer)


def test_requirements_file_matches_the_dependencies():
    """The deploy file's build installs requirements.txt. If it differs from the
    package's dependencies, the daemon does not start on a clean machine.
    """
    root = os.path.join(os.path.dirname(__file__), "..")
    with open(os.path.join(root, "pyproject.toml"), "rb") as handle:
        declared = tomllib.load(handle)["project"]["dependencies"]
    with open(os.path.join(root, "requirements.txt"), encoding="utf-8") as handle:
        assert handle.read().split() == declared
