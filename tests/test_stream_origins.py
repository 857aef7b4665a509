"""Who knows which version began a stream, in fleets of 8 to 195 VMs."""

import asyncio
import collections
import random

import pytest

from mulberrydock import peer_messages
from mulberrydock.hash_ring import HashRing
from mulberrydock.instances import Instance, InstanceRecord, InstanceRegistry
from mulberrydock.membership import Peer
from mulberrydock.origin_exchange import TOLD_PEERS, OriginExchange
from mulberrydock.stream_origins import (
    MAX_ORIGINS,
    RETENTION_SECONDS,
    StreamOrigin,
    StreamOrigins,
    origin_key,
)
from mulberrydock.version_history import MAX_GAP_SECONDS, VersionHistory

SIZES = [
    {"a": 3, "b": 3, "c": 2},
    {"a": 9},
    {"a": 39, "b": 41, "c": 36, "d": 40, "e": 39},
]
STREAMS = 100


class Groups:
    """The peers that one VM knows."""

    def __init__(self, name, members):
        self.name = name
        self.data_centre = members[name]
        self.peers = {n: Peer(n, dc, n) for n, dc in members.items() if n != name}

    def known_peers(self):
        return dict(self.peers)


class Network:
    """VMs whose datagrams arrive at once, are lost by chance, or meet a dead VM."""

    def __init__(self, sizes, loss=0.0):
        members = {f"{dc}-{n}": dc for dc, size in sizes.items() for n in range(size)}
        self.random = random.Random(7)
        self.loss = loss
        self.dead = set()
        self.received = collections.Counter()
        self.vms = {name: self._vm(name, members) for name in members}

    def _vm(self, name, members):
        return OriginExchange(
            StreamOrigins(),
            Groups(name, members),
            lambda peers, data: [
                self._deliver(name, peer.peer_address, data) for peer in peers
            ],
        )

    def restart(self, name):
        """Start a VM again: it has forgotten all streams."""
        self.vms[name].origins.origins.clear()

    def _deliver(self, sender, receiver, data):
        if receiver in self.dead or self.random.random() < self.loss:
            return
        self.received[receiver] += 1
        message = peer_messages.decode(data, 0.0)
        self.vms[receiver].receive(
            message, lambda answer: self._deliver(receiver, sender, answer), 0.0
        )

    def begin(self, count=STREAMS):
        """Begin streams at random VMs; return (VM, key) of each."""
        rows = []
        for number in range(count):
            name = self.random.choice(list(self.vms))
            key = origin_key(f"{number}")
            self.vms[name].record(StreamOrigin(key, f"v{number % 3}"), 0.0)
            rows.append((name, key))
        return rows

    def find(self, rows, asker=lambda name: None):
        """Return the versions that VMs find, and whether each was final."""

        async def find_all():
            alive = [name for name in self.vms if name not in self.dead]
            return [
                await self.vms[asker(name) or self.random.choice(alive)].find(key, 0.0)
                for name, key in rows
            ]

        return asyncio.run(find_all())


def expected(count=STREAMS):
    return [(f"v{number % 3}", True) for number in range(count)]


# Guards against a stream whose version is lost with the VM that began it.
@pytest.mark.parametrize("sizes", SIZES)
def test_any_vm_finds_the_version_after_the_first_one_was_killed(sizes):
    network = Network(sizes)
    for number in range(20):
        name, key = network.begin(1)[0]
        network.dead = {name}
        assert network.find([(name, key)]) == expected(1)
        network.dead = set()


# Guards against streams that nobody knows after a third of the VMs was killed.
@pytest.mark.parametrize("sizes", SIZES)
@pytest.mark.parametrize("back", [True, False])
def test_versions_outlive_a_third_of_the_vms(sizes, back):
    network = Network(sizes)
    rows = network.begin()
    killed = set(network.random.sample(list(network.vms), len(network.vms) // 3))
    for name in killed:
        network.restart(name)
    if not back:
        network.dead = killed
    found = network.find(rows)
    known = sum(a == b for a, b in zip(found, expected()))
    assert known >= 0.95 * STREAMS
    assert all(
        not version or (version, True) == e
        for (version, _), e in zip(found, expected())
    )


# Guards against streams that nobody knows as datagrams are lost.
@pytest.mark.parametrize("sizes", SIZES)
def test_versions_are_found_though_datagrams_are_lost(sizes):
    network = Network(sizes, loss=0.2)
    found = network.find(network.begin())
    assert sum(a == b for a, b in zip(found, expected())) >= 0.95 * STREAMS


# Guards against a cost per VM that grows with the fleet.
@pytest.mark.parametrize("sizes", SIZES)
def test_a_stream_costs_as_many_datagrams_in_any_fleet(sizes):
    network = Network(sizes)
    network.begin()
    assert sum(network.received.values()) == TOLD_PEERS * STREAMS
    network.received.clear()
    network.find([("", origin_key("unknown"))])
    assert sum(network.received.values()) <= 2 * min(len(network.vms) - 1, 24)


# Guards against a refusal that says that nobody knows a stream while a peer that may
# know it hasn't answered.
def test_unknown_is_final_once_all_peers_have_answered():
    network = Network(SIZES[0])
    rows = [("", origin_key("unknown"))]
    assert network.find(rows) == [("", True)]
    network.dead = {"a-0"}
    assert network.find(rows, lambda name: "b-0") == [("", False)]


# Guards against streams that other VMs hold as VMs start and leave: a change of the
# fleet moves those of the changed VM only.
def test_ring_keeps_its_order_when_a_vm_leaves():
    members = {f"vm-{n}": f"dc{n % 3}" for n in range(30)}
    before = HashRing.from_data_centres(members)
    gone = "vm-7"
    after = HashRing.from_data_centres({n: d for n, d in members.items() if n != gone})
    for key in map(str, range(50)):
        names = list(before.names(key))
        assert sorted(names) == sorted(members)
        assert len({members[name] for name in names[:3]}) == 3
        old = [n for n in names[:6] if n != gone]
        assert set(old[:TOLD_PEERS]) <= set(list(after.names(key))[:6])


# Guards against memory that grows with the streams, and against another version for a
# stream that is known.
def test_origins_are_bounded_and_final():
    origins = StreamOrigins()
    for number in range(MAX_ORIGINS + 10):
        origins.record(StreamOrigin(str(number), "v1"), 0.0)
    assert len(origins.origins) == MAX_ORIGINS
    last = str(MAX_ORIGINS)
    assert origins.record(StreamOrigin(last, "v2"), 1.0) == "v1"
    assert origins.get(last, RETENTION_SECONDS) == "v1"
    assert origins.get(last, RETENTION_SECONDS + 2.0) == ""
    origins.record(StreamOrigin("new", "v2"), RETENTION_SECONDS + 2.0)
    assert list(origins.origins) == ["new"]


def instance(version, number=1):
    record = InstanceRecord(
        f"i{number}", "llm", "h:1", "dc1", 4, False, version=version
    )
    return Instance(record)


def observe(history, instances, start, seconds):
    for step in range(int(seconds) + 1):
        history.observe(instances, start + step)
    return start + seconds


# Guards against a guess at the version of a stream: by a VM that has just started, that
# was frozen, or that has seen a second version of late.
@pytest.mark.parametrize(
    ("case", "found"),
    [
        ("long enough", "v1"),
        ("just started", ""),
        ("frozen", ""),
        ("store silent", ""),
        ("store read in full", ""),
        ("second version gone", ""),
        ("second version long gone", "v1"),
        ("none stated", ""),
    ],
)
def test_sole_version_of_a_service(case, found):
    history, one = VersionHistory(), [instance("v1")]
    now = observe(history, one, 0.0, 2 * RETENTION_SECONDS)
    if case == "just started":
        history, now = VersionHistory(), observe(history, one, 0.0, 10.0)
    if case == "frozen":
        now += MAX_GAP_SECONDS + 1
    if case == "store silent":
        history.restart(now)
    if case == "store read in full":
        # A version may have come and gone since the changes that are missing.
        registry = InstanceRegistry()
        registry.versions = history
        registry.finish_reload(now)
    if case.startswith("second version"):
        now = observe(history, [*one, instance("v2", 2)], now, 5.0)
        long_gone = case.endswith("long gone")
        now = observe(history, one, now, 2 * RETENTION_SECONDS if long_gone else 5.0)
    if case == "none stated":
        unstated = [instance("", 1), instance("", 2)]
        history = VersionHistory()
        observe(history, unstated, 0.0, 2 * RETENTION_SECONDS)
    assert history.sole_version("llm", now) == found


# Guards against a VM that tells and asks nobody right after its start, as it was asked
# for its peers once before it had read of them.
@pytest.mark.parametrize("sizes", SIZES)
def test_vm_that_has_just_read_of_its_peers_uses_them(sizes):
    network = Network(sizes)
    for vm in network.vms.values():
        peers, vm.groups.peers = vm.groups.peers, {}
        assert not set(vm.names("key", 0.0)) - {vm.groups.name}
        vm.groups.peers = peers
    rows = network.begin()
    assert network.find(rows) == expected()
    for name, key in rows:
        network.dead = {name}
        assert network.find([(name, key)]) == [expected()[rows.index((name, key))]]
