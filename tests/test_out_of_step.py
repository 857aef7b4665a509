"""A VM is out of step while instances of a new version join, and gets their streams.

The daemons are real processes; the store and the instances are stand-ins. A VM is cut
off from its peers by stopping these.
"""

import concurrent.futures
import contextlib
import signal

import pytest
from platform_fleet import wait_until
from version_fleet import EVENT_INTERVAL_SECONDS, Stream, started_fleet

#: So many that half of them only follow the store through the others.
VMS = tuple(f"entry-{number}" for number in range(1, 7))
#: Stages of the engines of each version: no stream is refused for want of a place.
STAGES = ("prefill",) + ("decode",) * 6
ONE_VERSION = tuple((stage, "v1") for stage in STAGES)
#: Streams of each case: the VM isn't told of two fifths of them, of which half are of
#: the new version.
STREAMS = 24


@pytest.fixture
def fleet(tmp_path):
    with started_fleet(tmp_path, ONE_VERSION, VMS) as running:
        wait_until(lambda: "control/versions" in running.store.items)
        wait_until(lambda: all(mode(running, vm) for vm in VMS))
        yield running


def mode(fleet, vm):
    """Return how a VM follows the store, None while it does so alone."""
    rows = fleet.log_records("store followed", vm)
    modes = [row["mode"] for row in rows if row["mode"] != "alone"]
    return modes[-1] if modes else None


def vms_by_mode(fleet):
    """Return a VM that follows the store through others, and one that polls it."""
    modes = {vm: mode(fleet, vm) for vm in VMS}
    return [
        next(vm for vm in VMS if modes[vm] == name) for name in ("follower", "observer")
    ]


@contextlib.contextmanager
def stopped(fleet, *names):
    """Stop the processes of VMs for a while, as on a machine that stands still."""
    for name in names:
        fleet.daemons[name].send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for name in names:
            fleet.daemons[name].send_signal(signal.SIGCONT)


def join(fleet, version, vm):
    """Let engines of a version join; wait until ``vm`` knows them."""
    names = []
    for number, stage in enumerate(STAGES):
        names.append(f"{stage}-{version}-{number}")
        fleet.add_instance(
            names[-1],
            "llm",
            stage,
            version=version,
            event_interval_seconds=EVENT_INTERVAL_SECONDS,
        )
    fleet.wait_ready(vm, names)


def begin(fleet, vm):
    """Begin streams at a VM and leave them after the first event."""
    streams = [Stream(fleet, f"s{n}").request(vm, until=1) for n in range(STREAMS)]
    for stream in streams:
        stream.leave()
    return streams


def versions(streams):
    return {version for stream in streams for version in stream.versions}


def mixed(streams):
    return [stream.versions for stream in streams if len(stream.versions) > 1]


def take_up(streams, vm):
    """Take streams up at a VM, all at once."""
    with concurrent.futures.ThreadPoolExecutor(len(streams)) as pool:
        list(pool.map(lambda stream: stream.request(vm), streams))


# Guards against a stream that goes on at another version, at a VM that stood still as a
# second version joined, and then reaches neither the store nor its peers.
@pytest.mark.parametrize("number", [0, 1], ids=["follower", "observer"])
def test_vm_cut_off_does_not_take_a_known_version_for_the_only_one(fleet, number):
    vm = vms_by_mode(fleet)[number]
    others = [name for name in VMS if name != vm]
    with contextlib.ExitStack() as stack:
        with stopped(fleet, vm):
            join(fleet, "v2", others[0])
            streams = begin(fleet, others[0])
            assert len(versions(streams)) == 2
            fleet.store.silent = True
            stack.callback(setattr, fleet.store, "silent", False)
            stack.enter_context(stopped(fleet, *others))
        take_up(streams, vm)
    assert mixed(streams) == []


# Guards against a stream that goes on at another version, at a VM that stood still as a
# second version joined, as the store then comes back from a copy without it.
def test_restored_store_does_not_show_the_only_version(fleet):
    vm, _ = vms_by_mode(fleet)
    others = [name for name in VMS if name != vm]
    copy = fleet.call_on_loop(fleet.store.snapshot)
    with contextlib.ExitStack() as stack:
        with stopped(fleet, vm):
            join(fleet, "v2", others[0])
            streams = begin(fleet, others[0])
            assert len(versions(streams)) == 2
            stack.enter_context(stopped(fleet, *others))
            fleet.call_on_loop(fleet.store.restore, copy)
        take_up(streams, vm)
    assert mixed(streams) == []


def peer_stopped(fleet, vm):
    return stopped(fleet, next(name for name in VMS if name != vm))


def store_silent_before(fleet, vm):
    """Let the store leave calls unanswered for a while."""
    fleet.store.silent = True
    wait_until(lambda: fleet.log_records("store lost", vm))
    fleet.store.silent = False
    wait_until(lambda: fleet.log_records("store answers", vm)[1:])
    return contextlib.nullcontext()


def history_compacted(fleet, vm):
    fleet.call_on_loop(fleet.store.compact_history)
    return contextlib.nullcontext()


# Guards against a VM in touch that refuses streams which no VM remembers, although
# their service has had one version only.
@pytest.mark.parametrize(
    "trouble",
    [
        lambda fleet, vm: contextlib.nullcontext(),
        peer_stopped,
        store_silent_before,
        history_compacted,
    ],
    ids=["calm", "peer-stopped", "store-silent-before", "history-compacted"],
)
@pytest.mark.parametrize("number", [0, 1], ids=["follower", "observer"])
def test_vm_in_touch_goes_on_with_streams_of_the_only_version(fleet, number, trouble):
    vm = vms_by_mode(fleet)[number]
    streams = begin(fleet, next(name for name in VMS if name != vm))
    with trouble(fleet, vm):
        for stream in streams[:4]:
            stream.request(vm, Resumes="forgotten")
    assert all(stream.complete for stream in streams[:4])


# Guards against a VM that is told the version of a stream and refuses to go on, as it
# hasn't read of the instances that joined while it stood still.
@pytest.mark.parametrize("number", [0, 1], ids=["follower", "observer"])
def test_woken_vm_reads_of_the_instances_whose_streams_it_gets(fleet, number):
    vm = vms_by_mode(fleet)[number]
    other = next(name for name in VMS if name != vm)
    with stopped(fleet, vm):
        join(fleet, "v2", other)
        streams = begin(fleet, other)
        assert len(versions(streams)) == 2
    take_up(streams, vm)
    assert {row["code"] for row in fleet.log_records("answered", vm)} == {"OK"}
    assert mixed(streams) == []
    assert all(stream.complete for stream in streams)
