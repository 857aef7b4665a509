"""All VMs lose power at once, and clients take up their streams at new processes.

The daemons are real processes; the store and the instances are stand-ins.
"""

import platform_fleet
import pytest
from platform_fleet import wait_until
from version_fleet import VMS, Stream, started_fleet

from mulberrydock.defaults import ORIGIN_PREFIX, VERSIONS_KEY

#: Streams of each case; by chance alone, one of them goes on at another version.
STREAMS = 6
ONE_VERSION = (("prefill", "v1"), ("decode", "v1"), ("decode", "v1"))


def begin(fleet):
    """Begin streams at all VMs and read the first event of each."""
    return [
        Stream(fleet, f"s{number}").request(VMS[number % len(VMS)], until=1)
        for number in range(STREAMS)
    ]


def keys(fleet, prefix):
    return [key for key in list(fleet.store.items) if key.startswith(prefix)]


def written_streams(fleet):
    """Return the number of streams that the VMs have written to the store."""
    rows = [row for vm in VMS for row in fleet.log_records("origins written", vm)]
    newest = {row["key"]: row["streams"] for row in rows}
    return sum(newest.values())


def kill_all(fleet):
    for vm in VMS:
        fleet.daemons[vm].kill()
    for vm in VMS:
        fleet.daemons[vm].wait()


def start_all(fleet):
    for vm in VMS:
        fleet.start(vm)
    for vm in VMS:
        wait_until(lambda: fleet.is_ready(vm))


def take_up(fleet, streams):
    """Take each stream up at another VM than the one that began it."""
    for number, stream in enumerate(streams):
        stream.leave()
        stream.request(VMS[(number + 1) % len(VMS)])


def once(fleet):
    kill_all(fleet)
    start_all(fleet)


def twice(fleet):
    once(fleet)
    once(fleet)


def with_a_silent_store(fleet):
    fleet.store.silent = True
    kill_all(fleet)
    for vm in VMS:
        fleet.start(vm)
    wait_until(lambda: all(fleet.log_records("store lost", vm) for vm in VMS))
    fleet.store.silent = False
    for vm in VMS:
        wait_until(lambda: fleet.is_ready(vm))


# Guards against streams that nobody takes up after all VMs were killed, although their
# version serves, and against text that is joined from two versions.
@pytest.mark.parametrize("lose_all", [once, twice, with_a_silent_store])
def test_streams_go_on_at_their_versions_after_all_vms_were_lost(tmp_path, lose_all):
    with started_fleet(tmp_path) as fleet:
        streams = begin(fleet)
        wait_until(lambda: written_streams(fleet) >= STREAMS)
        lose_all(fleet)
        take_up(fleet, streams)
        assert [s.versions for s in streams if len(s.versions) != 1] == []
        assert all(stream.complete for stream in streams)


# Guards against text that is joined from two versions, where the store lacks a stream
# or its version has left.
@pytest.mark.parametrize("missing", ["records", "engines"])
def test_streams_end_where_their_version_is_unknown_or_gone(tmp_path, missing):
    with started_fleet(tmp_path) as fleet:
        streams = begin(fleet)
        wait_until(lambda: written_streams(fleet) >= STREAMS)
        kill_all(fleet)
        if missing == "records":
            for key in keys(fleet, ORIGIN_PREFIX):
                fleet.remove(key)
        gone = {b"v1", b"v2"} if missing == "engines" else {b"v1", b"v1.1", b"v2"}
        if missing == "engines":
            for engine in list(fleet.engines):
                if f"-{fleet.engines[engine].version}-" in "-v1- -v2-":
                    fleet.remove(f"servers/{engine}")
        start_all(fleet)
        for stream in streams:
            began = set(stream.versions)
            take_up(fleet, [stream])
            assert stream.versions == began
            assert stream.complete is not bool(began & gone)


# Guards against streams that nobody takes up after all VMs were killed, where all are
# of one version: nothing is written for each stream then.
def test_streams_of_the_only_version_go_on_after_all_vms_were_lost(tmp_path):
    with started_fleet(tmp_path, ONE_VERSION) as fleet:
        wait_until(lambda: keys(fleet, VERSIONS_KEY))
        streams = begin(fleet)
        kill_all(fleet)
        start_all(fleet)
        take_up(fleet, streams)
        assert all(stream.complete for stream in streams)
        assert keys(fleet, ORIGIN_PREFIX) == []


# Guards against a guess by VMs that start for the first time on a store without a
# record, before services whose former versions they don't know.
def test_streams_end_where_former_versions_are_unknown(tmp_path, monkeypatch):
    settings = platform_fleet.SETTINGS.replace("{first_start}", "false")
    monkeypatch.setattr(platform_fleet, "SETTINGS", settings)
    with started_fleet(tmp_path, ONE_VERSION) as fleet:
        streams = begin(fleet)
        once(fleet)
        take_up(fleet, streams)
        assert not any(stream.complete for stream in streams)
        assert keys(fleet, VERSIONS_KEY) == []
