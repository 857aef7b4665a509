"""To which peer a VM without links forwards a request."""

import asyncio
import collections
import time

import pytest
from move_fleet import DECODERS, ClientSink, on_loop, started_fleet
from platform_fleet import HOST, RESUMABLE_PATH
from tornado.httputil import HTTPHeaders, RequestStartLine

from mulberrydock import forward_messages
from mulberrydock.exceptions import ResultCode
from mulberrydock.forward_messages import ForwardOutcome
from mulberrydock.forwarding import (
    AVOID_SECONDS,
    MAX_REFUSALS,
    Forwarding,
    ForwardPlan,
)
from mulberrydock.membership import Membership, Peer
from mulberrydock.peer_groups import PeerGroups
from mulberrydock.peer_loads import Load, LoadTracker, PeerReport
from mulberrydock.platform import wire
from mulberrydock.serve import EntryVm
from mulberrydock.standin.platform_engine import Fault

NOW = 100.0
#: How a peer without a call for a request answers it.
CODES = (ResultCode.UPSTREAM_FAILED, ResultCode.NO_UPSTREAM)


def make_forwarding(peers, reports, **sums):
    """Return the forwarding of VM ``vm`` in data centre ``dc1``.

    :param peers: data centre by name.
    :param reports: fields of the report of each peer that sends to this VM.
    :param sums: VMs without links by data centre.
    """
    membership = Membership(None, EntryVm("vm", "vm", "dc1"))
    for name, data_centre in peers.items():
        membership.peers[name] = Peer(name, data_centre, f"{name}:1", b"key")
    tracker = LoadTracker()
    for name, fields in reports.items():
        fields = {"loads": {}} | fields
        tracker.receive(name, PeerReport(1, NOW, **fields))
    for data_centre, names in sums.items():
        report = PeerReport(1, NOW, {}, vms_without_links=frozenset(names))
        tracker.receive_sum(data_centre, f"{data_centre}-0", report)
    return Forwarding(PeerGroups(membership, tracker, "dc1"))


def choose(forwarding, request_id="r1", refused=(), now=NOW):
    plan = forwarding.choose("llm", request_id, refused, now)
    return plan and plan.name


# Guards against a request that goes to a VM which can't serve it either.
@pytest.mark.parametrize(
    ("reports", "chosen"),
    [
        ({"a": {}, "b": {}, "c": {"lost_services": frozenset({"llm"})}}, {"a", "b"}),
        ({"a": {}, "b": {"lost_services": frozenset({"app"})}}, {"a", "b"}),
        ({"a": {}, "b": {"leaving": True}}, {"a"}),
        ({"a": {"lost_services": frozenset({"llm"})}}, {None}),
    ],
)
def test_only_peers_with_links_are_chosen(reports, chosen):
    forwarding = make_forwarding(dict.fromkeys("abc", "dc1"), reports)
    assert {choose(forwarding, f"r{number}") for number in range(30)} == chosen


def test_peer_that_refused_is_not_asked_again():
    forwarding = make_forwarding(dict.fromkeys("ab", "dc1"), {"a": {}, "b": {}})
    assert choose(forwarding, refused={"a"}) == "b"
    forwarding.avoid("b", "llm", NOW)
    assert choose(forwarding, refused={"a"}) is None
    assert choose(forwarding, refused={"a"}, now=NOW + AVOID_SECONDS) == "b"


# Guards against a request that asks every VM of a large fleet in turn.
def test_number_of_peers_that_are_asked_is_bounded():
    names = [f"vm-{number}" for number in range(10)]
    forwarding = make_forwarding(dict.fromkeys(names, "dc1"), {n: {} for n in names})
    assert choose(forwarding, refused=set(names[: MAX_REFUSALS - 1]))
    assert choose(forwarding, refused=set(names[:MAX_REFUSALS])) is None


def test_less_busy_peer_is_preferred():
    busy = {"loads": {"i1": Load(3), "i2": Load(2)}}
    forwarding = make_forwarding(dict.fromkeys("ab", "dc1"), {"a": busy, "b": {}})
    assert {choose(forwarding, f"r{number}") for number in range(20)} == {"b"}
    forwarding.in_flight["b"] = 6
    assert choose(forwarding) == "a"


def test_peer_in_the_same_data_centre_is_preferred_unless_it_is_busier():
    forwarding = make_forwarding({"a": "dc1", "b": "dc2"}, {"a": {}, "b": {}})
    assert choose(forwarding) == "a"
    forwarding.in_flight["a"] = 10
    assert choose(forwarding) == "b"


# Guards against a data centre that is cut off as a whole and forwards to itself, or all
# to the same VM, in a fleet whose data centres send each other only sums.
def test_data_centre_without_links_forwards_to_the_others():
    peers = {
        f"{data_centre}-{number}": data_centre
        for data_centre in ("dc1", "dc2", "dc3")
        for number in range(39)
    }
    lost = {"lost_services": frozenset({"llm"})}
    reports = {name: lost for name, place in peers.items() if place == "dc1"}
    forwarding = make_forwarding(peers, reports, dc2=["dc2-0", "dc2-1"])
    counts = collections.Counter(choose(forwarding, f"r{n}") for n in range(800))
    assert {peers[name] for name in counts} == {"dc2", "dc3"}
    assert not {"dc2-0", "dc2-1"} & counts.keys()
    assert len(counts) == 76


class RefusingPeers:
    """The forwarding to the peers ``a`` and ``b``, which make no call."""

    name = "vm"

    def __init__(self, code):
        self.outcome = ForwardOutcome(code, cause="retry budget spent")
        self.attempts = collections.Counter()
        self.prior = []

    def choose(self, service, request_id, refused, now):
        names = [name for name in "ab" if name not in refused]
        return ForwardPlan(names[0], None) if names else None

    def silent_at(self, name):
        return None

    def avoid(self, name, service, now):
        """Accept that a peer is to get no requests for a while."""

    async def exchange(self, plan, data, listener):
        self.attempts[plan.name] += 1
        self.prior.append(forward_messages.decode(data, time.monotonic()).prior)
        listener.on_headers(502, HTTPHeaders(dict(self.outcome.headers())))
        # A peer needs some time; without it a loop would never end.
        await asyncio.sleep(0.01)


async def serve_through(fleet, peers):
    """Serve a request whose first send fails as the VM loses its links.

    :returns: the client's sink.
    """
    for name in DECODERS:
        fleet.engines[name].faults = [Fault.ERROR]
    runs = [engine.runs for engine in fleet.engines.values()]
    fleet.relay.forwarding = peers
    fleet.view.links.is_lost = lambda service: any(runs)
    fields = {
        "Host": HOST,
        wire.ATTEMPT_ID: "r",
        wire.DEADLINE: "1500",
        wire.TOKEN_COUNTS: "100,10",
        wire.PROMPT_PREFIX: "aa:50,bb:50",
    }
    line = RequestStartLine("POST", f"{RESUMABLE_PATH}x", "HTTP/1.1")
    now, sink = time.monotonic(), ClientSink()
    request = fleet.relay.wire.read_request(line, HTTPHeaders(fields), b"prompt", now)
    await fleet.relay.serve(request, sink)
    return sink


# Guards against a request that is forwarded without end to a peer that makes no call
# for it, such as one whose retry budget is spent.
@pytest.mark.parametrize("code", CODES)
@on_loop
async def test_peer_that_made_no_call_is_asked_once(code):
    async with started_fleet() as fleet:
        peers = RefusingPeers(code)
        await serve_through(fleet, peers)
    assert peers.attempts == {"a": 1, "b": 1}
