"""Engines restart under their ids, at another software version, and streams go on.

The VMs have not read the engines' new records: a store that is slow or silent, a VM
that follows others, and a write on its way look the same to them. The daemons are real
processes; the store, the engines and the links are stand-ins.
"""

import pytest
from link_fleet import lose_links
from platform_fleet import wait_until
from version_fleet import Stream, started_fleet

from mulberrydock.platform import wire
from mulberrydock.standin.platform_engine import Fault

STREAMS = 6
#: Events of a stream under which engines restart: all streams begin, one after the
#: other, before the first one ends.
EVENTS = 14
#: Prompts that decode engines prefill, and those that prefill engines prefill.
SHORT, LONG = "100,10", "30000,10"
STARTED_AT_MS = 1_800_000_000_000


def engines(decoders):
    """Return rows of engines of one version, of which so many decode."""
    return (("prefill", "v1"),) * 2 + (("decode", "v1"),) * decoders


def restart(fleet, names):
    """Let engines restart at another version; no VM reads their new records."""
    for name in names:
        engine = fleet.engines[name]
        engine.version = "v2"
        fleet.call_on_loop(engine.restart, engine.started_at_ms + 5000)


def begin(fleet, tokens=SHORT, vm="entry-1"):
    return [Stream(fleet, f"s{n}", tokens).request(vm, until=1) for n in range(STREAMS)]


def decoders(fleet, count):
    return [name for name in fleet.engines if name.startswith("decode")][:count]


def restart_under_streams(fleet, tokens):
    for engine in fleet.engines.values():
        engine.events = EVENTS
    streams = begin(fleet, tokens)
    runs = [run for engine in fleet.engines.values() for run in engine.running()]
    assert {run.id for run in runs} == {stream.ids[0] for stream in streams}
    restart(fleet, decoders(fleet, 2))
    return [stream.read_on() for stream in streams]


def under_streams(fleet):
    return restart_under_streams(fleet, SHORT)


def under_streams_with_long_prompts(fleet):
    return restart_under_streams(fleet, LONG)


def before_streams_are_taken_up_elsewhere(fleet):
    streams = begin(fleet)
    for stream in streams:
        stream.leave()
    restart(fleet, decoders(fleet, 2))
    return [stream.request("entry-2") for stream in streams]


def before_streams_are_taken_up_through_a_peer(fleet):
    lose_links(fleet, {"entry-2"})
    return before_streams_are_taken_up_elsewhere(fleet)


def cut_streams(fleet, vm):
    """Return streams that their first engines cut; none that ran at v2 goes on."""
    restart(fleet, decoders(fleet, 2))
    fleet.fail_next("llm", *[Fault.CUT] * STREAMS)
    streams = [Stream(fleet, f"s{n}").request(vm) for n in range(STREAMS)]
    assert all(s.complete for s in streams if s.versions != {b"v2"})
    return streams


def before_streams_begin(fleet):
    return cut_streams(fleet, "entry-1")


def before_streams_begin_through_a_peer(fleet):
    lose_links(fleet, {"entry-2"})
    return cut_streams(fleet, "entry-2")


WAYS = [
    under_streams,
    under_streams_with_long_prompts,
    before_streams_are_taken_up_elsewhere,
    before_streams_are_taken_up_through_a_peer,
]


# Guards against streams that go on at an engine that has restarted at another version
# before the VM has read its new record.
@pytest.mark.parametrize("way", WAYS)
def test_stream_goes_on_where_its_version_still_runs(tmp_path, way):
    with started_fleet(tmp_path, engines(4), started_at_ms=STARTED_AT_MS) as fleet:
        streams = way(fleet)
        assert [s.versions for s in streams] == [{b"v1"}] * STREAMS
        assert all(stream.complete for stream in streams)


# Guards against streams that began at a restarted engine, before the VM has found that
# out, and go on at the version of the engine's former record.
@pytest.mark.parametrize(
    ("way", "senders"),
    [(before_streams_begin, 1), (before_streams_begin_through_a_peer, 2)],
)
def test_stream_of_a_restarted_engine_has_one_version(tmp_path, way, senders):
    with started_fleet(tmp_path, engines(4), started_at_ms=STARTED_AT_MS) as fleet:
        streams = way(fleet)
        assert [s for s in streams if len(s.versions) != 1] == []
        # Each sender finds the two engines out by the first streams that they run.
        assert sum(s.versions == {b"v2"} for s in streams) <= 2 * senders


# Guards against streams that go on at another version because nothing else is left.
@pytest.mark.parametrize("way", WAYS)
def test_stream_ends_when_all_engines_have_restarted(tmp_path, way):
    with started_fleet(tmp_path, engines(2), started_at_ms=STARTED_AT_MS) as fleet:
        streams = way(fleet)
        assert [s.versions for s in streams] == [{b"v1"}] * STREAMS
        assert not any(stream.complete for stream in streams)


# Guards against a KV cache that a restarted prefill engine has written at another
# version, for a decode engine that can't use it.
def test_cache_of_a_restarted_prefill_engine_is_not_used(tmp_path):
    with started_fleet(tmp_path, engines(2), started_at_ms=STARTED_AT_MS) as fleet:
        restart(fleet, ["prefill-v1-0", "prefill-v1-1"])
        assert all(stream.events for stream in begin(fleet, LONG))
        runs = [run for engine in fleet.engines.values() for run in engine.runs]
        assert not [run for run in runs if wire.KV_SOURCE in run.headers]
        # Each is found out by its first call, if not before that.
        assert max(len(engine.prefills) for engine in fleet.engines.values()) <= 1


# Guards against an engine that stays unused after its restart was found out.
def test_restarted_engine_serves_once_its_record_is_read(tmp_path):
    with started_fleet(tmp_path, engines(1), started_at_ms=STARTED_AT_MS) as fleet:
        restart(fleet, ["decode-v1-2"])
        refused = Stream(fleet, "early").request("entry-1")
        assert refused.status == 503 and not refused.runs()
        engine = fleet.engines["decode-v1-2"]
        fleet.write(f"servers/{engine.id}", engine.store_document())
        wait_until(lambda: '"version":"v2"' in fleet.log("entry-1"))
        assert Stream(fleet, "late").request("entry-1").versions == {b"v2"}
