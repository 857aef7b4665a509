"""Records of instances that are spoiled, foreign, old, or of a new start."""

import base64
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulberrydock.exceptions import SettingsError, UpstreamError
from mulberrydock.fleet_view import FleetView
from mulberrydock.instance_feed import REFUSED_KEPT, InstanceFeed
from mulberrydock.instances import InstanceRegistry
from mulberrydock.platform import documents, read_instance
from mulberrydock.platform.store import _event
from mulberrydock.suspicion import Suspicion

KEY = "servers/e1"
GOOD = {
    "service": "llm",
    "address": "10.0.0.1:8080",
    "zone": "dc1",
    "slots": 64,
    "state": "ready",
    "stage": "prefill",
    "sequence": 3,
}


def written(raw, key=KEY):
    """Return the (key, value) that a watch brings for bytes in the store."""
    row = {"key": key, "revision": 5, "value": base64.b64encode(raw).decode()}
    event = _event(row)
    return event.key, event.value


def feed():
    """Return a feed whose registry knows the sound engines e1 and e2."""
    known = InstanceFeed(InstanceRegistry())
    for name in ("e1", "e2"):
        known.apply(f"servers/{name}", json.dumps(GOOD), 1, 0.0)
    return known


def serving(known):
    """Return the wire ids of the engines that may take work."""
    return {i.record.id for i in known.registry.serving("llm")}


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"\xff\xfe\x00",
        b"not json",
        b"[]",
        b"null",
        b"7",
        b"[" * 200_000,
        b'{"a":' * 50_000,
        b'"' + b"x" * 1_000_000 + b'"',
        json.dumps(GOOD).encode().replace(b"llm", b"ll\xff"),
    ],
)
def test_bytes_that_are_no_record(raw):
    """Another writer puts bytes under an engine's key. The watch that brings
    every other change must go on, the engine gets nothing new, the others do,
    and the engine's own next record puts it back."""
    known = feed()
    known.apply(*written(raw), 5, 1.0)
    assert serving(known) == {"e2"}
    known.apply(*written(json.dumps(GOOD).encode()), 6, 2.0)
    assert serving(known) == {"e1", "e2"}


@pytest.mark.parametrize(
    ("field", "value"),
    [
        *[(name, None) for name in ("service", "address", "zone", "slots", "state")],
        ("service", 7),
        ("service", ""),
        ("service", ["llm"]),
        ("address", "10.0.0.1"),
        ("address", "somewhere:80"),
        ("address", "10.0.0.1:99999"),
        ("address", "10.0.0.1:-1"),
        ("address", "10.0.0.1:²"),
        ("address", {"host": "10.0.0.1"}),
        ("zone", 3),
        ("slots", "64"),
        ("slots", True),
        ("slots", -1),
        ("slots", 1.5),
        ("state", "leaving"),
        ("state", ["ready"]),
        ("stage", "both"),
        ("stage", {}),
        ("born", "1700000000000"),
        ("born", 1.5),
        ("born", None),
        ("born", True),
    ],
)
def test_record_with_a_wrong_field(field, value):
    """A record lacks a field that decides where requests go, or has it in
    another type or with an unknown word. Guessing would send requests to a
    place that nobody named."""
    row = dict(GOOD, **{field: value})
    if value is None and field != "born":
        del row[field]
    with pytest.raises(SettingsError):
        read_instance(KEY, json.dumps(row))


@pytest.mark.parametrize("field", ["version", "models", "cold_remaining_ms", "new"])
@pytest.mark.parametrize("value", [None, 7, "x", [], {"a": [1]}])
def test_fields_that_decide_nothing(field, value):
    """A record carries fields that are unknown here or don't matter. It still
    names its engine."""
    assert read_instance(KEY, json.dumps(dict(GOOD, **{field: value}))).id == "e1"


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
ROWS = st.one_of(
    st.binary(),
    JSON.map(lambda value: json.dumps(value).encode()),
    st.tuples(st.sampled_from([*GOOD, "born"]), JSON).map(
        lambda change: json.dumps(dict(GOOD, **{change[0]: change[1]})).encode()
    ),
)


@given(st.lists(st.tuples(st.sampled_from(["e1", "x", "x/y", ""]), ROWS)))
def test_no_record_harms_another(rows):
    """Any bytes arrive under any keys, in any order. Nothing is raised, every
    engine that may take work has a whole record, and e2, whose key nobody
    touches, stays in use."""
    known = feed()
    for number, (name, raw) in enumerate(rows):
        known.apply(*written(raw, f"servers/{name}"), number, float(number))
    assert "e2" in serving(known)
    for instance in known.registry.instances.values():
        record = instance.record
        assert record.id and record.service and record.slots >= 0
        assert documents._address(record.address)


def test_spoiled_records_are_logged_once_and_remembered_in_bounds():
    """A writer floods the store with unreadable records. What this VM
    remembers of them stays bounded."""
    known = feed()
    for number in range(REFUSED_KEPT * 2):
        known.apply(f"servers/x{number}", "?", number, 0.0)
    assert len(known.refused) == REFUSED_KEPT
    known.apply("servers/x1", None, 1, 0.0)
    assert len(known.refused) == REFUSED_KEPT - 1


def test_spoiled_record_in_a_full_read_is_no_removed_one():
    """The history is lost while an engine's record is spoiled. The full read
    finds the key, so the engine isn't gone: its kept connections and the
    streams on them stay until it says more."""
    known = feed()
    known.registry.begin_reload()
    known.apply("servers/e1", "?", 7, 1.0)
    known.apply("servers/e2", json.dumps(GOOD), 7, 1.0)
    known.registry.finish_reload(1.0)
    assert set(known.registry.instances) == {"e1", "e2"}
    assert serving(known) == {"e2"}


def born(moment, **fields):
    """Return a good record of an engine that started at ``moment``."""
    return json.dumps(dict(GOOD, born=moment, **fields))


@pytest.mark.parametrize(
    ("records", "current", "dropped"),
    [
        ([born(1), born(1)], 1, []),
        ([born(1), born(2)], 2, ["e1@1"]),
        ([born(2), born(1)], 2, []),
        ([born(1), born(2), born(1), born(3)], 3, ["e1@1", "e1@2"]),
        # It never said when it started: another address is another start.
        ([json.dumps(GOOD), born(1)], 1, ["e1"]),
        (
            [json.dumps(GOOD), json.dumps(dict(GOOD, address="10.0.0.9:1"))],
            None,
            ["e1"],
        ),
    ],
)
def test_engine_that_starts_again_under_its_id(records, current, dropped):
    """An engine crashes and starts again under its id, between two records or
    with old ones read late. Everything known of the former start goes at once,
    and an older record changes nothing."""
    gone = []
    known = InstanceFeed(InstanceRegistry(gone.append))
    for number, text in enumerate(records):
        known.apply(KEY, text, number, float(number))
    (instance,) = known.registry.serving("llm")
    assert instance.record.started_at_ms == current
    assert gone == dropped


def test_draining_of_the_former_start_says_nothing_of_the_new_one():
    """An engine said that it leaves, and starts again under its id instead.
    The new start takes work; a late record of the old one doesn't end that."""
    known = InstanceFeed(InstanceRegistry())
    known.apply(KEY, born(1, state="draining"), 1, 0.0)
    assert serving(known) == set()
    known.apply(KEY, born(2), 2, 1.0)
    known.apply(KEY, born(1, state="draining"), 3, 2.0)
    assert serving(known) == {"e1"}


def test_restart_that_the_engine_told_before_its_record():
    """The engine's report shows a later start than its record. It gets nothing
    until the new record is there, also if an old one is read once more."""
    known = InstanceFeed(InstanceRegistry())
    known.apply(KEY, born(1), 1, 0.0)
    known.registry.restarted(known.registry.instances["e1"], 2)
    known.apply(KEY, born(1), 2, 1.0)
    assert serving(known) == set()
    known.apply(KEY, born(2), 3, 2.0)
    assert serving(known) == {"e1"}


def test_restart_with_the_store_away():
    """An engine starts again while the store is away: its record lapses and a
    new one comes within the grace. It is a new start, not the old one back."""
    gone = []
    known = InstanceFeed(InstanceRegistry(gone.append))
    known.apply(KEY, born(1), 1, 0.0)
    known.registry.mark_store_unavailable(1.0)
    known.apply(KEY, None, 2, 2.0)
    assert serving(known) == {"e1"}
    known.registry.mark_store_available(3.0)
    known.apply(KEY, born(2), 3, 3.5)
    known.registry.sweep(9.0)
    assert serving(known) == {"e1"}
    assert gone == ["e1@1"]


def test_nothing_learnt_of_the_former_start_is_used():
    """An engine with work, a hold and suspicion starts again. The new start
    has none of it, here or in a late message of a peer, and work of the old
    one that ends later changes nothing."""

    class Timing:
        retry_budget_ratio = 0.2

    fleet = FleetView("dc1", Timing(), lambda: 1, lambda gone: fleet.forget(gone))
    known = InstanceFeed(fleet.instances)
    known.apply(KEY, born(1), 1, 0.0)
    (former,) = fleet.instances.serving("llm")
    work = fleet.loads.begin(former.id, 5000, 1)
    fleet.loads.cordon(former.id, 99.0)
    fleet.suspicion.record_failure(former.id, 0.0, unreachable=True)
    known.apply(KEY, born(2), 2, 1.0)
    (current,) = fleet.instances.serving("llm")
    assert former.terminated and not current.terminated
    assert current.id not in fleet.loads.total(1.0)
    assert former.id not in fleet.loads.total(1.0)
    assert current.id not in fleet.loads.cordoned(1.0)
    assert fleet.suspicion.healthy([current], 1.0) == [current]
    work.end()
    assert fleet.loads.total(1.0) == {}
    assert isinstance(fleet.suspicion, Suspicion)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"[" * 100_000,
        b'{"stage":"decode","busy":false}',
        b'{"stage":"decode","busy":"no","sequence":1}',
        b'{"stage":"decode","busy":false,"sequence":"1"}',
        b'{"stage":"both","busy":false,"sequence":1}',
        b'{"stage":"decode","busy":false,"sequence":1,"born":"x"}',
    ],
)
def test_report_that_cannot_be_read(body):
    """An engine answers a report with something else. No order is built on it."""
    with pytest.raises(UpstreamError):
        documents.read_report(body)
