"""Instances of several software versions serve side by side, and streams go on.

What two versions write doesn't fit together, and instances don't check it. The daemons
are real processes; the store, the instances and the links are stand-ins.
"""

import base64
import signal
import time

import pytest
from link_fleet import forward, lose_links, wait_for_vm
from platform_fleet import HOST, RESUMABLE_PATH, wait_until
from version_fleet import ONE_OF_EACH, VMS, Stream, started_fleet

from mulberrydock import records
from mulberrydock.platform import wire
from mulberrydock.request import Prompt, Request
from mulberrydock.standin.platform_engine import Fault

#: Streams of each case: by chance alone, one of them goes on at another version. The
#: retry budget allows for as many.
STREAMS = 6
#: Prompts that decode engines prefill and prompts that they don't.
TOKEN_COUNTS = ("100,10", "30000,10")


@pytest.fixture
def fleet(tmp_path):
    with started_fleet(tmp_path) as running:
        yield running


def begin(fleet, count=STREAMS, vm="entry-1"):
    """Begin streams at a VM and read the first event of each; return them."""
    return [
        Stream(fleet, f"s{number}", TOKEN_COUNTS[number % 2]).request(vm, until=1)
        for number in range(count)
    ]


def leave_and_take_up(fleet, streams, vm):
    for stream in streams:
        stream.leave()
        stream.request(vm)


def kill(fleet, vm):
    fleet.daemons[vm].send_signal(signal.SIGKILL)
    fleet.daemons[vm].wait()


def fail_streams(fleet, fault):
    for number in range(STREAMS):
        # A prefill call takes a fault without effect.
        fleet.fail_next("llm", *[fault] * (1 + number % 2))
        stream = Stream(fleet, f"s{number}", TOKEN_COUNTS[number % 2])
        yield stream.request("entry-1")


def engine_cuts_stream(fleet):
    return fail_streams(fleet, Fault.CUT)


def engine_falls_silent(fleet):
    return fail_streams(fleet, Fault.STALL)


def taken_up_at_the_same_vm(fleet):
    streams = begin(fleet)
    leave_and_take_up(fleet, streams, "entry-1")
    return streams


def taken_up_at_another_vm(fleet):
    streams = begin(fleet)
    leave_and_take_up(fleet, streams, "entry-2")
    return streams


def taken_up_twice(fleet):
    streams = begin(fleet)
    for stream in streams:
        stream.leave()
        stream.request("entry-2", until=2)
        stream.leave()
        stream.request("entry-3")
    return streams


def taken_up_while_the_first_answer_runs(fleet):
    streams = begin(fleet)
    for stream in streams:
        stream.request("entry-3")
    return streams


def taken_up_after_its_vm_was_killed(fleet):
    streams = begin(fleet)
    kill(fleet, "entry-1")
    leave_and_take_up(fleet, streams, "entry-2")
    return streams


def taken_up_at_its_vm_that_started_again(fleet):
    streams = begin(fleet)
    kill(fleet, "entry-1")
    fleet.start("entry-1")
    wait_for_vm(fleet, "entry-1", VMS)
    leave_and_take_up(fleet, streams, "entry-1")
    return streams


def taken_up_while_the_store_is_silent(fleet):
    streams = begin(fleet)
    fleet.store.silent = True
    leave_and_take_up(fleet, streams, "entry-2")
    fleet.store.silent = False
    return streams


def taken_up_at_a_vm_without_links(fleet):
    lose_links(fleet, {"entry-2"})
    streams = begin(fleet)
    leave_and_take_up(fleet, streams, "entry-2")
    return streams


def begun_through_a_peer(fleet):
    lose_links(fleet, {"entry-2"})
    streams = begin(fleet, vm="entry-2")
    leave_and_take_up(fleet, streams, "entry-1")
    return streams


def begun_for_a_sender_that_went_on_elsewhere(fleet):
    for number in range(STREAMS):
        stream = Stream(fleet, f"s{number}")
        forward_and_leave(fleet, "entry-1", f"{stream.name}/0")
        stream.request("entry-2", until=1)
        stream.leave()
        yield stream.request("entry-1")


def forward_and_leave(fleet, vm, request_id):
    """Forward a request to ``vm`` as a peer does that leaves after the first event."""
    record = base64.b64decode(fleet.store.items[f"entries/{vm}"].value).decode()
    key = records.decode(records.EntryRecord, record).forwardKey
    target = f"{RESUMABLE_PATH}x?q=1"
    headers = [(wire.TOKEN_COUNTS, "100,10")]
    prompt = Prompt(100, 10)
    request = Request(
        request_id, "POST", target, HOST, headers, b"prompt", 0.0, 9.0, prompt
    )
    connection, response = forward(fleet, vm, request, key)
    assert response.status == 200 and response.read1(4096)
    connection.close()


def begun_through_a_peer_and_taken_up_with_links(fleet):
    lose_links(fleet, {"entry-2"})
    streams = begin(fleet, vm="entry-2")
    fleet.restore()
    kill(fleet, "entry-1")
    kill(fleet, "entry-3")
    wait_until(lambda: fleet.log_records("links back", "entry-2"))
    leave_and_take_up(fleet, streams, "entry-2")
    return streams


WAYS = [
    engine_cuts_stream,
    engine_falls_silent,
    taken_up_at_the_same_vm,
    taken_up_at_another_vm,
    taken_up_twice,
    taken_up_while_the_first_answer_runs,
    taken_up_after_its_vm_was_killed,
    taken_up_at_its_vm_that_started_again,
    taken_up_while_the_store_is_silent,
    taken_up_at_a_vm_without_links,
    begun_through_a_peer,
    begun_for_a_sender_that_went_on_elsewhere,
    begun_through_a_peer_and_taken_up_with_links,
]


# Guards against a stream that goes on at an instance of another software version than
# the one that began it, and against one that doesn't go on while its version serves.
@pytest.mark.parametrize("way", WAYS)
def test_stream_goes_on_at_the_version_that_began_it(fleet, way):
    streams = list(way(fleet))
    assert len(streams) == STREAMS
    assert [s.versions for s in streams if len(s.versions) != 1] == []
    assert all(stream.complete for stream in streams)


# Guards against a stream that goes on at another version when the one that began it has
# no other instance.
def test_stream_ends_when_no_instance_of_its_version_is_left(tmp_path):
    with started_fleet(tmp_path, ONE_OF_EACH) as fleet:
        for stream in engine_cuts_stream(fleet):
            assert stream.events == [1, 2] and not stream.complete
            # The client takes it up again, as only the connection had failed.
            assert stream.request("entry-2").complete
            assert len(stream.versions) == 1


# Guards against a request that fails although no client has had an event of it: it may
# begin at any version.
@pytest.mark.parametrize("fault", [Fault.CRASH_BEFORE_ANSWER, Fault.REFUSE])
def test_request_without_an_event_begins_anew_at_any_version(tmp_path, fault):
    with started_fleet(tmp_path, ONE_OF_EACH) as fleet:
        for number in range(STREAMS):
            fleet.fail_next("llm", fault)
            stream = Stream(fleet, f"s{number}").request("entry-1")
            assert stream.complete and len(stream.versions) == 1


# Guards against a guess where nobody knows which version began a stream; the refusal
# comes at once and is true.
@pytest.mark.parametrize(
    "resumes", [None, "", "unknown", "x" * 5000, "s0/1"], ids=lambda r: repr(r)[:12]
)
def test_stream_of_unknown_version_is_refused_at_once(fleet, resumes):
    (stream,) = begin(fleet, 1)
    stream.leave()
    started = time.monotonic()
    stream.request("entry-2", Resumes=resumes)
    assert stream.status == 503 and not stream.runs()
    assert time.monotonic() - started < 1.5


# Guards against streams that don't go on because instances state no valid version: they
# may go on at the instance that began them.
@pytest.mark.parametrize("version", [None, "", 7, ["v1"]])
def test_instances_without_a_version_are_each_a_version(tmp_path, version):
    instances = [(stage, version) for stage in ("prefill", "decode", "decode")]
    with started_fleet(tmp_path, instances) as fleet:
        for stream in begin(fleet):
            stream.leave()
            assert stream.request("entry-2").complete
            # A request without an event may begin anew at another one.
            served = {
                e.id
                for e in fleet.engines.values()
                for r in e.runs
                if r.id in stream.ids and r.made
            }
            assert len(served) == 1


# Guards against an instance that changes its version under its id: a stream that it
# began doesn't go on there.
def test_instance_that_changes_its_version_is_another_one(tmp_path):
    with started_fleet(tmp_path, [("decode", "v1")]) as fleet:
        (stream,) = begin(fleet, 1)
        stream.leave()
        (engine,) = fleet.engines.values()
        engine.version = "v2"
        fleet.write(f"servers/{engine.id}", engine.store_document())
        for name in VMS:
            wait_until(lambda: '"version":"v2"' in fleet.log(name))
        stream.request("entry-2")
        assert stream.status == 503 and not stream.runs()
        assert Stream(fleet, "new").request("entry-2").complete
