"""Streams of a route whose requests are split between two services.

What the engines of one service write doesn't go on at another one. The daemons are real
processes; the store, the instances and the links are stand-ins.
"""

import contextlib

import pytest
from link_fleet import lose_links, started_fleet
from platform_fleet import RESUMABLE_PATH, config, route, wait_until
from version_fleet import EVENT_INTERVAL_SECONDS, Stream

VMS = ("entry-1", "entry-2")
SERVICES = ("llm", "llm-2")
#: By chance alone, one of them goes on at the other service.
STREAMS = 8


def split_config(version):
    """Return a configuration that splits the resumable route evenly."""
    document = config(version)
    split = [{"service": service, "weight": 1} for service in SERVICES]
    row = route(
        RESUMABLE_PATH,
        "streaming",
        "llm",
        resumable=True,
        target_gap_ms=300,
        traffic_split=split,
    )
    document["routes"][0] = row
    spec = {"max_connections": 100, "engine": {"kv_tokens": 1000}}
    document["services"].append({"name": "llm-2"} | spec)
    return document


@contextlib.contextmanager
def split_fleet(directory, versions):
    """Start a fleet of two engine pools, each of one version."""
    options = {"event_interval_seconds": EVENT_INTERVAL_SECONDS}
    rows = [
        (f"{service}-{number}", service, "decode", options | {"version": version})
        for service, version in zip(SERVICES, versions)
        for number in range(2)
    ]
    with started_fleet(directory, VMS, rows) as fleet:
        fleet.write("op/config", split_config(4))
        for name in VMS:
            wait_until(lambda: follows(fleet, name))
        yield fleet


def follows(fleet, name, version=4):
    """Return whether a VM follows a version of the configuration."""
    records = fleet.log_records("configuration in force", name)
    return any(record["version"] == version for record in records)


def move_route(fleet, version, service):
    """Let the resumable route lead to one service; wait until all VMs follow."""
    document = split_config(version)
    document["routes"][0] |= {"service": service, "traffic_split": None}
    fleet.write("op/config", document)
    for name in VMS:
        wait_until(lambda: follows(fleet, name, version))


def services_of(stream):
    """Return the services whose engines made events for a stream's client."""
    return {
        engine.service
        for engine in stream.fleet.engines.values()
        for run in engine.runs
        if run.id in stream.ids and run.made
    }


# Guards against a stream that its client takes up and that goes on at another service
# of its route, whose engines are of another model or version.
@pytest.mark.parametrize("versions", [("v1", "v1"), ("v1", "v2")])
@pytest.mark.parametrize("has_links", [True, False])
def test_taken_up_stream_goes_on_at_its_service(tmp_path, versions, has_links):
    with split_fleet(tmp_path, versions) as fleet:
        if not has_links:
            lose_links(fleet, {"entry-2"})
        streams = []
        for number in range(STREAMS):
            stream = Stream(fleet, f"s{number}").request("entry-1", until=1)
            stream.leave()
            streams.append(stream.request("entry-2"))
        assert [s.name for s in streams if len(services_of(s)) != 1] == []
        assert all(stream.complete for stream in streams)
        # The split still holds for new streams.
        assert set().union(*map(services_of, streams)) == set(SERVICES)


# Guards against a stream that goes on at another service of its route, as its VM loses
# its links and a peer draws the service anew.
def test_stream_goes_on_at_its_service_through_a_peer(tmp_path):
    with split_fleet(tmp_path, ("v1", "v1")) as fleet:
        lose_links(fleet, {"entry-2"})
        for number in range(STREAMS):
            stream = Stream(fleet, f"s{number}").request("entry-2")
            assert stream.complete and len(services_of(stream)) == 1
            sent = [
                record["service"]
                for record in fleet.log_records("forward", "entry-2")
                if record["request"] == stream.ids[0]
            ]
            assert set(sent) == services_of(stream)


# Guards against a stream that its client takes up and that goes on at the service to
# which its route was moved meanwhile.
@pytest.mark.parametrize("versions", [("v1", "v1"), ("v1", "v2")])
def test_stream_ends_as_its_route_is_moved(tmp_path, versions):
    with split_fleet(tmp_path, versions) as fleet:
        move_route(fleet, 5, SERVICES[0])
        streams = [
            Stream(fleet, f"s{number}").request("entry-1", until=1)
            for number in range(STREAMS)
        ]
        move_route(fleet, 6, SERVICES[1])
        for stream in streams:
            stream.leave()
            stream.request("entry-2")
        assert [s.name for s in streams if len(services_of(s)) != 1] == []
        # New streams are served there.
        assert Stream(fleet, "new").request("entry-2").complete
