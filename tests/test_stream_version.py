"""From what a VM concludes the version of a stream that a client takes up."""

import asyncio
import time
import types

import pytest
from test_placement import ROUTE
from test_stream_origins import Network

from mulberrydock.metrics import ServeMetrics
from mulberrydock.request import Request
from mulberrydock.store_view import StoreView
from mulberrydock.stream_origins import StreamOrigin, origin_key
from mulberrydock.stream_version import StreamVersion, VersionSearch
from mulberrydock.version_history import VersionHistory

VMS = {"a": 2, "b": 2}


def vm_before_streams(answers, versions=("v1",), on_read=lambda network: None):
    """Return the relay of a VM, and the network that it is in.

    The VM has read the record of versions, which may have changed since.

    :param answers: whether the store answers.
    :param versions: the versions that it then shows.
    :param on_read: called with the network when the store is read.
    """
    network, now = Network(VMS), time.monotonic()
    history = VersionHistory({("llm", "v1"): now}, now, now, {"llm": {"v1"}}, True)
    relay = types.SimpleNamespace(
        fleet=types.SimpleNamespace(instances=types.SimpleNamespace(versions=history)),
        metrics=ServeMetrics(),
        origins=network.vms["a-0"],
        reads=0,
    )

    async def catch_up():
        relay.reads += 1
        if answers:
            for version in versions:
                history.record("llm", version, time.monotonic())
            history.confirm()
            on_read(network)
        return answers

    relay.catch_up = catch_up
    return relay, network


def find(relay):
    """Look for the version of the stream ``s``; return what was found."""
    request = Request("r", "POST", "/", "h", [], b"", 0.0, 5.0)
    request.last_event_id, request.resumes = 7, "s"
    version = StreamVersion(relay, request, ROUTE, "llm", False)
    return asyncio.run(version.find()), version.fixed


def record(network, vm, version):
    network.vms[vm].origins.record(
        StreamOrigin(origin_key("s"), version), time.monotonic()
    )


# Guards against a version that is concluded from an old view of the store, whatever the
# peers say, and against a refusal by a VM in touch.
@pytest.mark.parametrize(
    "answers, versions, silent, fixed, search, reads",
    [
        (True, ("v1",), (), "v1", VersionSearch(True, True), 1),
        (True, ("v1",), ("b-0",), "v1", VersionSearch(False, True), 1),
        (True, ("v1", "v2"), (), "", VersionSearch(True, True), 1),
        (False, ("v1",), (), "", VersionSearch(True, False), 1),
        (False, ("v1",), ("b-0", "b-1", "a-1"), "", VersionSearch(False, False), 1),
    ],
)
def test_only_a_current_view_shows_the_only_version(
    answers, versions, silent, fixed, search, reads
):
    relay, network = vm_before_streams(answers, versions)
    network.dead = set(silent)
    assert find(relay) == (search, fixed)
    assert relay.reads == reads


# Guards against a call to the store for each stream that a peer knows.
def test_store_is_not_read_for_a_stream_that_a_peer_knows():
    relay, network = vm_before_streams(True)
    record(network, "b-1", "v2")
    assert find(relay) == (VersionSearch(True, True), "v2")
    assert relay.reads == 0


# Guards against a VM that has read of no peer yet, and takes that for an answer of all.
def test_vm_without_peers_reads_of_them_before_it_asks():
    def read_of_peers(network):
        network.vms["a-0"].groups.peers = peers

    relay, network = vm_before_streams(True, on_read=read_of_peers)
    record(network, "b-1", "v2")
    groups = network.vms["a-0"].groups
    peers, groups.peers = groups.peers, {}
    assert find(relay)[1] == "v2"


class Watch:
    """A watch whose reads show the changes made before they began."""

    def __init__(self, answers=True):
        self.answers = answers
        self.revision = 0
        self.read = []

    async def catch_up(self):
        begun_at = self.revision
        await asyncio.sleep(0.01)
        self.read.append(begun_at)
        return self.answers


# Guards against a read that began before a change and counts for a caller after it, and
# against a call to the store for each caller.
@pytest.mark.parametrize("callers", [1, 5, 50])
def test_callers_share_a_read_that_begins_after_they_came(callers):
    async def run():
        watch = Watch()
        view = StoreView(watch)
        first = [asyncio.ensure_future(view.catch_up()) for _ in range(callers)]
        while view.reading is None:
            await asyncio.sleep(0)
        watch.revision = 1
        second = [asyncio.ensure_future(view.catch_up()) for _ in range(callers)]
        assert all(await asyncio.gather(*first))
        assert watch.read == [0]
        assert all(await asyncio.gather(*second))
        assert watch.read == [0, 1]

    asyncio.run(run())


# Guards against callers that are told nothing where the store doesn't answer, or where
# one of them has left.
def test_unanswered_read_is_told_to_all_callers():
    async def run():
        view = StoreView(Watch(answers=False), on_current=lambda: pytest.fail())
        calls = [asyncio.ensure_future(view.catch_up()) for _ in range(3)]
        await asyncio.sleep(0)
        calls[0].cancel()
        assert await asyncio.gather(*calls[1:]) == [False, False]

    asyncio.run(run())
