"""Instance records that are unreadable, outdated, or of a restarted instance."""

import base64
import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mulberrydock.exceptions import SettingsError, UpstreamError
from mulberrydock.fleet_view import FleetView
from mulberrydock.instance_feed import MAX_REFUSED_IDS, InstanceFeed
from mulberrydock.instances import InstanceRegistry
from mulberrydock.platform import documents, read_config, read_instance
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
    """Return the (key, value) that a watch returns for bytes in the store."""
    row = {"key": key, "revision": 5, "value": base64.b64encode(raw).decode()}
    event = _event(row)
    return event.key, event.value


def feed():
    """Return a feed whose registry contains the engines e1 and e2."""
    known = InstanceFeed(InstanceRegistry())
    for name in ("e1", "e2"):
        known.apply(f"servers/{name}", json.dumps(GOOD), 1, 0.0)
    return known


def serving(known):
    """Return the wire ids of the engines that accept new work."""
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
def test_unreadable_record_only_stops_new_work_for_its_engine(raw):
    """Guards against a watch that fails when other bytes are written under an engine's
    key. That engine gets no new work until its next valid record; others do."""
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
        ("service", "ll\ud800m"),
        ("service", "ll\nm"),
        ("service", "l" * 100_000),
        ("address", "10.0.0.1"),
        ("address", "somewhere:80"),
        ("address", "10.0.0.1:99999"),
        ("address", "10.0.0.1:-1"),
        ("address", "10.0.0.1:²"),
        ("address", "10.0.0.1:٨٠٨٠"),
        ("address", "10.0.0.1:" + "9" * 5000),
        ("address", "10.0.0.1:8080\r\nX: y"),
        ("address", {"host": "10.0.0.1"}),
        ("zone", 3),
        ("zone", "dc\udc80"),
        ("zone", "dc\0"),
        ("zone", "d" * 100_000),
        ("slots", "64"),
        ("slots", True),
        ("slots", -1),
        ("slots", 1.5),
        ("slots", 10**400),
        ("slots", math.inf),
        ("slots", math.nan),
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
def test_record_with_an_invalid_field_is_rejected(field, value):
    """Guards against requests to a guessed address: a record lacks a field that routing
    needs, or has it with another type or an unknown value."""
    row = dict(GOOD, **{field: value})
    if value is None and field != "born":
        del row[field]
    with pytest.raises(SettingsError):
        read_instance(KEY, json.dumps(row))


# Guards against requests that end as a fault of this VM, as no header can name their
# instance, and against an id that is taken for another instance's incarnation.
@pytest.mark.parametrize(
    "name",
    [
        "",
        " ",
        "e ",
        "e\udc80",
        "e\ud800",
        "é",
        "e\n",
        "e\r\nX: y",
        "e\0",
        "e@1",
        "e" * 201,
    ],
)
def test_record_under_an_invalid_id_is_rejected(name):
    with pytest.raises(SettingsError):
        read_instance(f"servers/{name}", json.dumps(GOOD))


@pytest.mark.parametrize("field", ["version", "models", "cold_remaining_ms", "new"])
@pytest.mark.parametrize("value", [None, 7, "x", [], {"a": [1]}])
def test_unused_fields_of_a_record_are_ignored(field, value):
    """Guards against rejecting a record for fields that are unknown or not used."""
    assert read_instance(KEY, json.dumps(dict(GOOD, **{field: value}))).id == "e1"


# Guards against instances of different software that count as one version, and against
# a version that no datagram holds.
@pytest.mark.parametrize(
    ("value", "version", "stream_version"),
    [
        ("v1.1", "v1.1", "v1.1"),
        (None, "", "@e1"),
        ("", "", "@e1"),
        (7, "", "@e1"),
        (["v1"], "", "@e1"),
        ("v" * 100_000, "", "@e1"),
        ("v\ud800", "", "@e1"),
        ("v\n1", "", "@e1"),
        ("v1 ", "", "@e1"),
        ("é", "", "@e1"),
    ],
)
def test_version_of_an_instance(value, version, stream_version):
    record = read_instance(KEY, json.dumps(dict(GOOD, version=value)))
    assert (record.version, record.stream_version) == (version, stream_version)


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
def test_no_record_affects_another(rows):
    """Guards against an error, or the loss of e2, on any bytes under other keys in any
    order; every engine that accepts work has a complete record."""
    known = feed()
    for number, (name, raw) in enumerate(rows):
        known.apply(*written(raw, f"servers/{name}"), number, float(number))
    assert "e2" in serving(known)
    for instance in known.registry.instances.values():
        record = instance.record
        assert record.id and record.service and record.slots >= 0
        assert documents._address(record.address)


def test_number_of_remembered_unreadable_records_is_bounded():
    """Guards against memory exhaustion when a writer floods the store with unreadable
    records."""
    known = feed()
    for number in range(MAX_REFUSED_IDS * 2):
        known.apply(f"servers/x{number}", "?", number, 0.0)
    assert len(known.refused_ids) == MAX_REFUSED_IDS
    known.apply("servers/x1", None, 1, 0.0)
    assert len(known.refused_ids) == MAX_REFUSED_IDS - 1


def test_unreadable_record_in_a_full_read_is_not_a_removal():
    """Guards against closing an engine's connections and streams because its record is
    unreadable while the store's history is lost: the full read still finds its key."""
    known = feed()
    known.registry.begin_reload()
    known.apply("servers/e1", "?", 7, 1.0)
    known.apply("servers/e2", json.dumps(GOOD), 7, 1.0)
    known.registry.finish_reload(1.0)
    assert set(known.registry.instances) == {"e1", "e2"}
    assert serving(known) == {"e2"}


def record_started_at(moment, **fields):
    """Return a valid record of an engine that started at ``moment``."""
    return json.dumps(dict(GOOD, born=moment, **fields))


@pytest.mark.parametrize(
    ("records", "current", "dropped"),
    [
        ([record_started_at(1), record_started_at(1)], 1, []),
        ([record_started_at(1), record_started_at(2)], 2, ["e1@1"]),
        ([record_started_at(2), record_started_at(1)], 2, []),
        (
            [
                record_started_at(1),
                record_started_at(2),
                record_started_at(1),
                record_started_at(3),
            ],
            3,
            ["e1@1", "e1@2"],
        ),
        # Without a start time, another address means another incarnation.
        ([json.dumps(GOOD), record_started_at(1)], 1, ["e1"]),
        (
            [json.dumps(GOOD), json.dumps(dict(GOOD, address="10.0.0.9:1"))],
            None,
            ["e1"],
        ),
    ],
)
def test_restarted_engine_replaces_its_former_incarnation(records, current, dropped):
    """Guards against state of an incarnation that terminated: an engine restarts under
    the same id, and older records may be read late; those change nothing."""
    removed = []
    known = InstanceFeed(InstanceRegistry(removed.append))
    for number, text in enumerate(records):
        known.apply(KEY, text, number, float(number))
    (instance,) = known.registry.serving("llm")
    assert instance.record.started_at_ms == current
    assert removed == dropped


def test_draining_of_the_former_incarnation_does_not_apply_to_the_new_one():
    """Guards against a restarted engine without work because its former incarnation was
    draining, whose record may be read late."""
    known = InstanceFeed(InstanceRegistry())
    known.apply(KEY, record_started_at(1, state="draining"), 1, 0.0)
    assert serving(known) == set()
    known.apply(KEY, record_started_at(2), 2, 1.0)
    known.apply(KEY, record_started_at(1, state="draining"), 3, 2.0)
    assert serving(known) == {"e1"}


def test_restart_that_the_engine_reports_before_its_record_does():
    """Guards against work for an engine that reports a later start than its record: it
    gets none until its new record is read, even if the old one is read again."""
    known = InstanceFeed(InstanceRegistry())
    known.apply(KEY, record_started_at(1), 1, 0.0)
    known.registry.mark_restarted(known.registry.instances["e1"], 2)
    known.apply(KEY, record_started_at(1), 2, 1.0)
    assert serving(known) == set()
    known.apply(KEY, record_started_at(2), 3, 2.0)
    assert serving(known) == {"e1"}


def test_restart_during_a_store_outage():
    """Guards against taking a restarted engine for its former incarnation: its record
    expires in an outage, and the new one is written within the grace period."""
    removed = []
    known = InstanceFeed(InstanceRegistry(removed.append))
    known.apply(KEY, record_started_at(1), 1, 0.0)
    known.registry.mark_store_unavailable(1.0)
    known.apply(KEY, None, 2, 2.0)
    assert serving(known) == {"e1"}
    known.registry.mark_store_available(3.0)
    known.apply(KEY, record_started_at(2), 3, 3.5)
    known.registry.sweep(9.0)
    assert serving(known) == {"e1"}
    assert removed == ["e1@1"]


def test_new_incarnation_starts_without_state():
    """Guards against avoiding a restarted engine for the load, cordon and suspicion of
    its former incarnation; a send to that one may end later."""

    class Timing:
        retry_budget_ratio = 0.2

    fleet = FleetView(
        "dc1", Timing(), lambda: 1, lambda instance_id: fleet.forget(instance_id)
    )
    known = InstanceFeed(fleet.instances)
    known.apply(KEY, record_started_at(1), 1, 0.0)
    (former,) = fleet.instances.serving("llm")
    send = fleet.loads.begin(former.id, 5000, 1)
    fleet.loads.cordon(former.id, 99.0)
    fleet.suspicion.record_failure(former.id, 0.0, unreachable=True)
    known.apply(KEY, record_started_at(2), 2, 1.0)
    (current,) = fleet.instances.serving("llm")
    assert former.terminated and not current.terminated
    assert current.id not in fleet.loads.total(1.0)
    assert former.id not in fleet.loads.total(1.0)
    assert current.id not in fleet.loads.cordoned(1.0)
    assert fleet.suspicion.healthy([current], 1.0) == [current]
    send.end()
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
def test_invalid_report_is_rejected(body):
    """Guards against an order that is based on an invalid report."""
    with pytest.raises(UpstreamError):
        documents.read_report(body)


@pytest.mark.parametrize("version", ["1e999", "NaN", '"x"', "null", "[]"])
# Guards against a watch that ends with an error, and a daemon that exits, on a version
# that isn't a number to count with.
def test_configuration_with_an_invalid_version_is_rejected(version):
    text = f'{{"version": {version}, "routes": [], "services": []}}'
    with pytest.raises(SettingsError):
        read_config("op/config", text)
