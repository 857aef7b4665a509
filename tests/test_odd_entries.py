"""Entries that another writer left among those of the instances, in whole VMs.

Each is a key and the bytes of a value that the platform's store may hold.
"""

import asyncio
import json
import time
import types

import pytest
import tornado.http1connection
import tornado.httputil
from expression import Ok
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_fleet import (
    HOST,
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    SETTINGS,
    STREAM_PATH,
    PlatformFleet,
    config,
    wait_until,
)

from mulberrydock import peer_messages
from mulberrydock.connections import CONNECTION_PARAMS
from mulberrydock.forward_messages import VERSION_HEADER
from mulberrydock.log import LineSink
from mulberrydock.origin_records import decode as decode_origins
from mulberrydock.request import Prompt, Request, SendOptions
from mulberrydock.serve import ServeDaemon
from mulberrydock.serve_settings import parse_serve_settings
from mulberrydock.stream_origins import StreamOrigin
from mulberrydock.version_history import is_stated

VMS = ("entry-1", "entry-2")
PATHS = (RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH)
#: Seconds for which an odd entry stays: more than the intervals at which VMs write what
#: they know of the instances.
STAY_SECONDS = 0.5
#: Events that the log of a sound VM has none of.
FAULT_EVENTS = ("task ended", "request fault", "peer message not sent")
VALID = {
    "service": "llm",
    "address": "127.0.0.1:9",
    "zone": "dc1",
    "slots": 4,
    "state": "ready",
    "stage": "decode",
    "version": "v1",
}


def entry(name="servers/odd", **fields):
    return name, json.dumps(VALID | fields).encode()


ODD_ENTRIES = [
    ("servers/odd", b"[" * 200_000),
    ("servers/odd", b'{"a":' * 50_000),
    ("servers/odd", b"\xff\xfe\x00"),
    ("servers/odd", b'{"slots": 1e999, "service": "llm"}'),
    ("servers/odd", b'{"slots": %s}' % (b"9" * 5000)),
    entry(slots=2**53),
    entry(slots=10**400),
    entry(born=10**400),
    entry(address="127.0.0.1:65536"),
    entry(address="127.0.0.1:0"),
    entry(address="127.0.0.1:٨٠٨٠"),
    entry(address="255.255.255.255:80"),
    entry(address="0.0.0.0:80"),
    entry(version="v\ud800"),
    entry(version="v\0"),
    entry(version="é"),
    entry(service="s\ud800"),
    entry(service="s" * 70_000),
    entry(zone="z\udc80"),
    entry(zone="z\n"),
    entry(zone="z" * 70_000),
    entry("servers/o\udc80"),
    entry("servers/o\nX: y"),
    entry("servers/é"),
    entry("servers/"),
    entry("servers/d1@5"),
    entry("servers/o@5", born=5),
    entry("servers/o/p"),
]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """A fleet of two engines and a plain instance, for :func:`start_vms`."""
    running = PlatformFleet(tmp_path_factory.mktemp("fleet"))
    running.write("op/config", config(3))
    for name, service, stage in (("d1", "llm", "decode"), ("d2", "llm", "decode")):
        running.add_instance(name, service, stage)
    running.add_instance("a1", "app")
    try:
        yield running
    finally:
        running.stop()


def start_vms(fleet):
    """Start the VMs that don't run; return once all are ready."""
    for name in VMS:
        if name not in fleet.daemons or fleet.daemons[name].poll() is not None:
            fleet.start(name)
    for name in VMS:
        fleet.wait_ready(name)


# Guards against VMs that end again and again, stop following the list or close their
# clients' connections, as one odd entry is among those of the engines.
@pytest.mark.parametrize("number", range(len(ODD_ENTRIES)))
def test_vms_serve_and_follow_the_list_beside_an_odd_entry(fleet, number):
    start_vms(fleet)
    key, raw = ODD_ENTRIES[number]
    # Requests that are sent to it arrive at an engine that isn't the one they name.
    raw = raw.replace(b"127.0.0.1:9", fleet.engines["d1"].address.encode())
    marker, earlier = f"marker-{number}", {name: len(fleet.log(name)) for name in VMS}
    fleet.call_on_loop(fleet.store.write_bytes, key, raw)
    fleet.write(f"servers/{marker}", VALID | {"service": "other"})
    for name in VMS:
        wait_until(lambda: fleet._knows(name, marker))
    time.sleep(STAY_SECONDS)
    for name in VMS:
        for path in PATHS * 2:
            response = fleet.request(path, f"r-{number}", name=name)
            assert (response.status, response.complete) == (200, True)
        status, metrics = fleet.get(fleet.settings[name]["metrics"], "/metrics")
        assert status == 200 and b"mulberrydock" in metrics
        assert fleet.daemons[name].poll() is None
        log = fleet.log(name)[earlier[name] :]
        assert not [event for event in FAULT_EVENTS if event in log]
    fleet.remove(key)


class MemoryStore:
    """Takes the writes of a VM; ``values`` holds the last one of each key."""

    def __init__(self):
        self.values = {}

    async def put(self, key, value, expect_version=None, lease=0):
        self.values[key] = value
        return Ok(len(self.values))


def write_head(headers):
    """Return the head of a request as it is sent."""
    written = []
    stream = types.SimpleNamespace(
        closed=lambda: False,
        set_close_callback=lambda callback: None,
        write=lambda data: written.append(data) or asyncio.Future(),
    )
    connection = tornado.http1connection.HTTP1Connection(
        stream, True, CONNECTION_PARAMS
    )
    line = tornado.httputil.RequestStartLine("GET", "/", "HTTP/1.1")
    connection.write_headers(line, tornado.httputil.HTTPHeaders(headers))
    return b"".join(written)


def make_daemon():
    """Return a VM that knows the engine ``e2``; it has no connections."""
    ports = dict(front=1, ready=2, directory=3, metrics=4, peer=5, grace=3.0)
    text = SETTINGS.format(
        name="entry-1", store="127.0.0.1:6", first_start="true", **ports
    )
    daemon = ServeDaemon.from_settings(parse_serve_settings(text), LineSink(1))
    daemon._on_item("op/config", json.dumps(config(3)), 1)
    daemon._on_item(*entry_text(*entry("servers/e2")), 1)
    return daemon


def entry_text(key, raw):
    """Return the key and the text that a watch returns for an entry."""
    return key, raw.decode(errors="surrogateescape")


def send_all_of(daemon, instance, now):
    """Send in every way what a VM may say of an instance; return the datagram."""
    record, wire = instance.record, daemon.relay.wire
    request = Request("r", "POST", "/", HOST, [], b"", now, now + 5, Prompt(100, 10))
    for headers in (
        wire.upstream_headers(request, SendOptions(record.id, 5000)),
        wire.report_call(record).headers,
        wire.move_call(record, "r", record, True).headers,
        wire.stage_order_call(record, "decode", 0, "entry-1", 1).headers,
        {VERSION_HEADER: record.version},
    ):
        assert write_head(headers).count(b"\r\n") == len(headers) + 2
    origin = StreamOrigin("00" * 16, record.stream_version)
    daemon.origin_records.write(origin, now)
    for _, segment in daemon.origin_records.segments.values():
        assert decode_origins(segment.encode())
    daemon.relay.count_send(record)
    daemon.fleet.loads.begin(instance.id, 100)
    daemon.fleet.loads.cordon(instance.id, now + 5)
    daemon.fleet.limits.observe(instance.id, 3.0, now, now)
    daemon.fleet.suspicion.record_failure(instance.id, now, unreachable=True)
    daemon.fleet.quarantine.record_crash("w", instance.id, now)
    daemon.fleet.estimates.record_prefill(instance.id, request.prompt)
    daemon.fleet.instances.mark_leaving(instance.id, "peer", now)
    return daemon.peers.message(now)


TEXT = st.text(st.characters(codec=None), min_size=1, max_size=300)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | TEXT,
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=6,
)
FIELDS = st.dictionaries(st.sampled_from([*VALID, "born", "spot"]), JSON | TEXT)
KEYS = TEXT.map("servers/{}".format) | st.just("servers/odd")
ENTRIES = st.one_of(
    st.tuples(KEYS, st.binary()),
    st.builds(lambda key, fields: entry(key, **fields), KEYS, FIELDS),
)


# Guards against a VM that an entry ends later, where a text of it is sent on: in a
# header, a datagram, a record in the store or the metrics.
@settings(max_examples=150, deadline=None)
@given(st.lists(ENTRIES, max_size=3))
def test_whatever_an_entry_holds_can_be_sent_on(entries):
    async def scenario():
        daemon, now = make_daemon(), time.monotonic()
        for key, raw in entries:
            daemon._on_item(*entry_text(key, raw), 2)
        instances = daemon.fleet.instances
        assert "e2" in instances.instances
        for instance in list(instances.instances.values()):
            message = send_all_of(daemon, instance, now)
            update = peer_messages.decode(message, now)
            assert instance.id in update.report.loads
            assert instances.get_incarnation(instance.id) is instance
        records = daemon.version_records
        records.store, records.is_leader = MemoryStore(), lambda: True
        instances.versions.observe(instances.instances.values(), now)
        records.finish_reload()
        await records.step(now)
        # What an instance without a version has begun isn't recorded.
        stated = all(map(is_stated, instances.versions.seen("llm")))
        assert ("llm" in records.versions.recorded) is stated
        assert b"mulberrydock" in daemon.metrics.render()

    asyncio.run(scenario())
