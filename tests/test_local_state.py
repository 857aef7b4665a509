"""What a VM believes of instances and of its own authority, over time."""

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
from mulberrydock.suspicion import FIRST_SUSPICION_SECONDS, Suspicion


def record(instance_id, draining=False):
    """Return an instance's record."""
    return InstanceRecord(instance_id, "s", "h:1", "dc1", 4, draining, Stage.NONE)


def registry(*ids):
    """Return a registry that knows the given instances."""
    known = InstanceRegistry()
    for instance_id in ids:
        known.put(record(instance_id), 0.0)
    return known


def serving(known):
    """Return the ids of the instances that may take work."""
    return {i.id for i in known.serving("s")}


def test_record_removed_while_the_store_is_sound():
    """An instance's record disappears while the store answers: the instance
    leaves and gets nothing from that moment on."""
    known = registry("a", "b")
    known.remove("a", 10.0)
    assert serving(known) == {"b"}


@pytest.mark.parametrize(
    ("back", "sweep_after", "left"),
    [
        (True, STORE_RECOVERY_GRACE_SECONDS + 1, {"a", "b"}),
        (False, STORE_RECOVERY_GRACE_SECONDS / 2, {"a", "b"}),
        (False, STORE_RECOVERY_GRACE_SECONDS + 1, {"b"}),
    ],
)
def test_record_lapsed_with_the_store(back, sweep_after, left):
    """The store is away and drops records of instances that live. They stay in
    use; after its return they have the grace to come back."""
    known = registry("a", "b")
    known.mark_store_unavailable(10.0)
    known.remove("a", 11.0)
    assert serving(known) == {"a", "b"}
    known.mark_store_available(20.0)
    if back:
        known.put(record("a"), 20.5)
    known.sweep(20.0 + sweep_after)
    assert serving(known) == left


def test_what_this_vm_saw_itself_binds_at_once():
    """Another instance answers at an address. Its former owner is over, also
    when a late read of the store still shows it."""
    known = registry("a", "b")
    known.mark_terminated(known.instances["a"], "address reused")
    known.put(record("a"), 5.0)
    assert serving(known) == {"b"}
    known.put(record("b", draining=True), 5.0)
    known.put(record("b"), 6.0)
    assert serving(known) == set()


@pytest.mark.parametrize(
    ("acquired", "renewed", "now", "may"),
    [
        (0.0, 2.9, 2.95, False),
        (0.0, 3.0, 3.1, True),
        (0.0, 10.0, 11.7, True),
        (0.0, 10.0, 11.9, False),
    ],
)
def test_orders_only_well_inside_the_lease(acquired, renewed, now, may):
    """A holder of the duty takes over, and later loses the store or is
    suspended. Its first order waits for a whole lease, as its predecessor's
    last one may still be on its way; without a renewal it stops long before
    the store would let another holder begin."""

    class Lease:
        authority = Authority(7, 41, renewed, acquired)

        def valid(self, moment):
            return self.authority.valid(moment, 3.0)

    duty = StageController(None, None, None, Lease(), "entry-1", 3.0)
    assert duty.may_order(now) is may


@pytest.mark.parametrize(
    ("failures", "unreachable", "suspected"),
    [(1, False, False), (2, False, True), (1, True, True)],
)
def test_suspicion(failures, unreachable, suspected):
    """An engine fails requests while its health check is good. One failure
    happens at sound engines too; a second in a row, or a refused connection,
    sends work elsewhere for a while, and an answer ends it."""
    suspicion = Suspicion()
    known = registry("a", "b")
    for _ in range(failures):
        suspicion.record_failure("a", 10.0, unreachable)
    pool = known.serving("s")
    sound = {i.id for i in suspicion.healthy(pool, 10.1)}
    assert sound == ({"b"} if suspected else {"a", "b"})
    later = 10.0 + FIRST_SUSPICION_SECONDS + 0.1
    assert len(suspicion.healthy(pool, later)) == 2
    suspicion.record_failure("a", 20.0, unreachable)
    suspicion.record_success("a")
    assert len(suspicion.healthy(pool, 20.1)) == 2


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
def test_longest_prefix_of_the_host(host, path, found):
    """Routes overlap; the longest prefix of the request's host takes it, and
    an older version that is read late changes nothing."""
    table = RouteTable()
    routes = (route("/a/"), route("/a/b/"))
    assert table.accept(RoutingConfig(5, routes, {}, None))
    assert not table.accept(RoutingConfig(4, (), {}, None))
    match = table.match(host, path)
    assert (match and match.name) == found


@pytest.mark.parametrize("size", [1, 3, 7, 1000])
def test_events_are_handed_on_whole_and_once(size):
    """A stream arrives in pieces that end anywhere. Only whole events are
    passed on; a piece that comes again is refused."""
    stream = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, 6))
    splitter = EventSplitter()
    out = b""
    for start in range(0, len(stream), size):
        out += splitter.feed(stream[start : start + size])
    assert (out, splitter.last_id, splitter.clean) == (stream, 5, True)
    with pytest.raises(Exception, match="event 5 after 5"):
        splitter.feed(b"id: 5\ndata: x\n\n")


def test_full_pipe_and_flood_drop_lines_without_blocking():
    """The log's reader stops reading, or a flood of lines comes. The process
    goes on at once and counts what it dropped."""

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


def test_requirements_are_the_projects_own():
    """The deploy file's build installs requirements.txt; it must name what
    the package depends on, or the daemon doesn't start on a clean machine."""
    root = os.path.join(os.path.dirname(__file__), "..")
    with open(os.path.join(root, "pyproject.toml"), "rb") as handle:
        declared = tomllib.load(handle)["project"]["dependencies"]
    with open(os.path.join(root, "requirements.txt"), encoding="utf-8") as handle:
        assert handle.read().split() == declared
