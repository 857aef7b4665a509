"""A VM is out of step while instances of a new version join, and gets their streams.

The daemons are real processes; the store and the instances are stand-ins. A VM is cut
off from its peers by stopping these.
"""

import concurrent.futures
import contextlib
import signal

import pytest
from platform_fleet import wait_until
from version_fleet import Stream, started_fleet

#: So many that half of them only follow the store through the others.
VMS = tuple(f"entry-{number}" for number in range(1, 7))
ONE_VERSION = (("prefill", "v1"), ("decode", "v1"), ("decode", "v1"))
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
    names = [f"{stage}-{version}" for stage in ("prefill", "decode")]
    options = next(iter(fleet.engines.values()))
    for name in names:
        stage = name.partition("-")[0]
        fleet.add_instance(
            name,
            "llm",
            stage,
            version=version,
            event_interval_seconds=options.event_interval_seconds,
        )
    wait_until(lambda: all(fleet._knows(vm, name) for name in names))


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
