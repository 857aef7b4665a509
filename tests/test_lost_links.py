"""A VM loses its links to the instances, while clients, store and peers reach it.

The daemons are real processes; the store, the instances and the links are stand-ins.
"""

import signal
import time

import pytest
from link_fleet import (
    PATHS,
    Load,
    forward,
    is_served,
    lose_links,
    lost_services,
    started_fleet,
)
from platform_fleet import (
    HOST,
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    send,
    wait_until,
)

from mulberrydock.request import Request
from mulberrydock.standin.pair_link import CUTS

VMS = ("entry-1", "entry-2", "entry-3")
#: Time in which VMs must notice lost links, also on a busy machine. VMs whose open
#: connections go on may not need new ones and so not notice.
NOTICE_TIMEOUT_SECONDS = 8.0
#: For how long requests are sent after that.
LOAD_SECONDS = 4.0
#: Minimum share of the requests that are served.
MIN_SERVED_SHARE = 2 / 3
#: Time after which a peer whose messages have stopped gets no more requests.
PEER_EXPIRY_SECONDS = 2.0
#: Seconds for an event of a slow stream: shorter than an engine may be silent.
SLOW_EVENT_SECONDS = 0.4


@pytest.fixture
def fleet(tmp_path):
    with started_fleet(tmp_path, VMS) as running:
        yield running


# Guards against a VM that fails its clients' requests when it can't connect to any
# instance, although its peers can.
@pytest.mark.parametrize("cut", CUTS)
def test_vm_without_links_to_instances_serves_through_its_peers(fleet, cut):
    with Load(fleet, VMS) as load:
        time.sleep(1.0)
        fleet.cut({"entry-1", "entry-2"}, CUTS[cut])
        wait_for_notice(fleet, {"entry-1", "entry-2"})
        since = time.monotonic()
        time.sleep(LOAD_SECONDS)
    for name in VMS:
        assert load.served_share(name, since) >= MIN_SERVED_SHARE


def runs_of(fleet, request_id):
    """Return (instance, run) of each run of a request."""
    return [
        (engine, run)
        for engine in fleet.engines.values()
        for run in engine.runs
        if run.id == request_id
    ]


def wait_for_notice(fleet, names):
    """Wait until VMs have lost their links to all services, if they notice."""
    try:
        wait_until(
            lambda: all(len(lost_services(fleet, name)) == 2 for name in names),
            NOTICE_TIMEOUT_SECONDS,
        )
    except AssertionError:
        return


# Guards against requests that run twice, or run after a promise that they haven't, when
# they go on through a peer.
@pytest.mark.parametrize("cut", CUTS)
def test_promises_hold_when_links_are_lost_and_back(fleet, cut):
    with Load(fleet, VMS) as load:
        for _ in range(2):
            time.sleep(0.7)
            fleet.cut({"entry-1", "entry-2"}, CUTS[cut])
            time.sleep(1.5)
            fleet.restore()
    for result in load.results:
        runs = runs_of(fleet, result.id)
        if result.path in (STREAM_PATH, NON_IDEMPOTENT_PATH):
            assert len(runs) <= 1
        if result.status in (429, 503):
            assert not runs


# Guards against a VM that still forwards, or holds back, after its links are back.
@pytest.mark.parametrize("cut", ["silent", "refused, reset"])
def test_vm_uses_its_own_links_again_once_they_are_back(fleet, cut):
    lose_links(fleet, {"entry-1"}, cut)
    fleet.restore()
    wait_until(lambda: not lost_services(fleet, "entry-1"))
    forwards = len(fleet.log_records("forward", "entry-1"))
    for path in PATHS:
        assert is_served(fleet.request(path, f"after{path}"))
    assert len(fleet.log_records("forward", "entry-1")) == forwards


# Guards against a VM that goes on trying its own links for a service while those to
# another are up, and the other way round.
def test_links_to_each_service_are_lost_by_themselves(fleet):
    with Load(fleet, {"entry-1"}):
        fleet.cut({"entry-1"}, CUTS["silent"], {"a1", "a2"})
        wait_until(lambda: lost_services(fleet, "entry-1") == {"app"})
    for path in PATHS:
        assert is_served(fleet.request(path, f"r{path}"))
    forwarded = {row["service"] for row in fleet.log_records("forward")}
    assert forwarded == {"app"}


# Guards against a request that waits, or is sent in vain, when no VM has links.
def test_request_is_refused_at_once_when_no_vm_has_links(fleet):
    lose_links(fleet, set(VMS))
    wait_until(lambda: _is_refused_at_once(fleet, "probe"))
    for path in PATHS:
        assert _is_refused_at_once(fleet, f"r{path}", path)


def _is_refused_at_once(fleet, request_id, path=IDEMPOTENT_PATH):
    """Return whether a request was refused without any send or hop."""
    response = fleet.request(path, request_id)
    sent = [
        row
        for event in ("send", "prefill", "forward")
        for row in fleet.log_records(event)
        if row["request"] == request_id
    ]
    has_time = float(response.getheader("Retry-After", 0)) > 0
    return response.status == 503 and has_time and not sent


# Guards against a stream that ends because the links of its VM are lost on the way.
@pytest.mark.parametrize("cut", ["silent", "refused, reset"])
def test_stream_goes_on_through_a_peer(fleet, cut):
    for engine in fleet.engines.values():
        engine.event_interval_seconds = SLOW_EVENT_SECONDS
    connection = fleet.connect("entry-1")
    headers = {"X_Mulberrydock_Deadline_Ms": "9000"}
    send(connection, RESUMABLE_PATH, "stream", **headers)
    response = connection.getresponse()
    fleet.cut({"entry-1"}, CUTS[cut])
    response.content, response.complete = response.read(), True
    assert is_served(response)


# Guards against work that goes on at an instance after the client of a forwarded
# request has left.
def test_instance_stops_when_the_client_of_a_forwarded_request_leaves(fleet):
    lose_links(fleet, {"entry-1"})
    for engine in fleet.engines.values():
        engine.event_interval_seconds = SLOW_EVENT_SECONDS
    connection = fleet.connect("entry-1")
    send(connection, RESUMABLE_PATH, "left")
    connection.getresponse()
    ((_, run),) = runs_of(fleet, "left")
    connection.close()
    wait_until(lambda: run.ended == "cancelled")


# Guards against a request that fails because the peer that it went through is killed.
@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGTERM])
def test_request_goes_on_when_its_peer_is_stopped(fleet, how):
    lose_links(fleet, {"entry-1"})
    with Load(fleet, {"entry-1"}) as load:
        time.sleep(0.5)
        fleet.daemons["entry-2"].send_signal(how)
        fleet.daemons["entry-2"].wait()
        time.sleep(PEER_EXPIRY_SECONDS)
        since = time.monotonic()
        time.sleep(2.0)
    assert load.served_share("entry-1", since) == 1.0


# Guards against a stranger who presents a request as one that a VM has admitted.
def test_forwarded_request_without_a_valid_signature_is_declined(fleet):
    request = Request("x", "POST", "/letters/x", HOST, [], b"", 0.0, 9.0)
    _, response = forward(fleet, "entry-1", request, b"guess")
    assert response.status == 503
    assert not runs_of(fleet, "x")


# Guards against sound work that is quarantined: connections that are reset and then
# refused look like crashes of the instances that ran it.
def test_lost_links_are_not_taken_for_crashes(fleet):
    for engine in fleet.engines.values():
        engine.event_interval_seconds = SLOW_EVENT_SECONDS
    connections = [fleet.connect("entry-1") for _ in range(4)]
    for number, connection in enumerate(connections):
        send(connection, RESUMABLE_PATH, f"stream-{number}")
        connection.getresponse()
    fleet.cut({"entry-1"}, CUTS["refused, reset"])
    wait_until(lambda: len(fleet.log_records("attempt failed")) >= len(connections))
    wait_until(lambda: "llm" in lost_services(fleet, "entry-1"))
    assert not fleet.log_records("instance crashed")


# Guards against engines that get no orders, as the leader can't reach them while its
# lease holds.
def test_leader_without_links_hands_over(fleet):
    wait_until(lambda: leaders(fleet))
    (leader,) = leaders(fleet)
    lose_links(fleet, {leader})
    wait_until(lambda: len(leaders(fleet)) > 1)


def leaders(fleet):
    """Return the VMs that have become the leader so far."""
    return {name for name in VMS if fleet.log_records("control active", name)}
