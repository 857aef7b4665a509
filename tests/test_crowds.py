"""Crowds of clients that don't behave, and what their process holds for all of them.

The daemons are real processes; the store and the instances are stand-ins. The crowds
and the bounds don't depend on the speed of the machine: what is checked is that the
process lives, that its memory and its descriptors stay under the bounds of a small VM,
and that an ordinary request is answered, while the crowd is connected and afterwards.
"""

import http.client
import json
import resource
import signal
import time

import attrs
import pytest
from crowd import SMALL_RECEIVE_BYTES, Crowd, Meter
from platform_fleet import (
    HOST,
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    PlatformFleet,
    config,
    wait_until,
)

from mulberrydock.fleet import LocalFleet
from mulberrydock.platform import wire
from mulberrydock.standin.platform_engine import Fault, PlatformEngine

VM = "entry-1"
#: Memory of a small VM of the platform, in MB.
MAX_MEGABYTES = 300
#: Memory of the smallest VMs of the platform, in MB.
LESS_MEGABYTES = 200
#: Descriptors of a small VM of the platform.
MAX_DESCRIPTORS = 4_100
#: Lowered limit of descriptors, for a crowd that holds nothing but connections.
FEW_DESCRIPTORS = 300
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 5_000,
    "idle_timeout_ms": 15_000,
}
#: How often an ordinary client comes back after a refusal.
MAX_RETURNS = 20
#: Seconds after which it does if the response doesn't say.
RETURN_SECONDS = 0.5
#: Large responses that are more than a VM can hold.
LARGE_RESPONSES = 80
#: Bytes that each connection of a small crowd sends.
LONG_BYTES = 25_000_000
PORTS = ("front", "peer", "directory", "ready", "metrics")
#: An ordinary request to each port but the front, and the status of its answer. The
#: peers' port refuses what no peer has signed, and promises that it hasn't run.
ORDINARY = {
    "peer": ("POST", "/", 503),
    "directory": ("GET", f"/resolve?name={HOST}", 200),
    "ready": ("GET", "/ready", 200),
    "metrics": ("GET", "/metrics", 200),
}


def head(number, framing, path=f"{IDEMPOTENT_PATH}x"):
    """Return the head of a POST request without the empty line at its end."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"{wire.ATTEMPT_ID}: crowd-{number}",
        f"{wire.DEADLINE}: 60000",
        framing,
    ]
    return "\r\n".join(lines).encode()


def chunks(size, total):
    """Return a body of ``total`` bytes in chunks of ``size``, without its end."""
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    return chunk * (total // size)


def chunked(size, total):
    """Return a request with a chunked body that stops short of its end."""
    return head(0, "Transfer-Encoding: chunked") + b"\r\n\r\n" + chunks(size, total)


def announced(length, total):
    """Return a request that announces ``length`` bytes and stops after ``total``."""
    return head(0, f"Content-Length: {length}") + b"\r\n\r\n" + b"x" * total


def unfinished_head(total):
    """Return the first ``total`` bytes of a head that doesn't end."""
    start = head(0, "X-Fill: ")
    return start + b"x" * (total - len(start))


def many_fields(count):
    """Return a request with ``count`` small header fields that stops in its body."""
    fields = "".join(f"{i:x}:\r\n" for i in range(count)).encode()
    return head(0, "Content-Length: 100") + b"\r\n" + fields + b"\r\n" + b"x" * 50


@attrs.define(frozen=True)
class CrowdCase:
    """How many clients there are, and what each of them sends."""

    count: int
    payload: object
    args: tuple


CROWDS = {
    "large-chunks": CrowdCase(32, chunked, (65_536, LONG_BYTES)),
    "small-chunks": CrowdCase(32, chunked, (16, 1_000_000)),
    "tiny-chunks": CrowdCase(32, chunked, (2, 200_000)),
    "announced": CrowdCase(32, announced, (90_000_000, LONG_BYTES)),
    "chunked-inside-the-limit": CrowdCase(200, chunked, (65_536, 4_194_304)),
    "announced-inside-the-limit": CrowdCase(200, announced, (4_194_304, 4_194_303)),
    "many-fields": CrowdCase(1_500, many_fields, (2_000,)),
    "heads": CrowdCase(3_500, unfinished_head, (60_000,)),
}


@pytest.fixture
def fleet(tmp_path):
    """A ready VM with one plain instance, and the limits of the platform's pages."""
    running = PlatformFleet(tmp_path)
    running.write("op/config", config(3) | {"limits": LIMITS})
    running.add_instance("a1", "app")
    try:
        yield running
    finally:
        running.stop()


def start(fleet, max_descriptors=MAX_DESCRIPTORS):
    """Start the VM with a limit of descriptors and wait until it is ready."""
    fleet.max_descriptors = max_descriptors
    fleet.start(VM)
    fleet.wait_ready(VM)
    assert fleet.request(IDEMPOTENT_PATH, "first").status == 200


def meter(fleet):
    """Return the meter of the VM's process."""
    ports = tuple(fleet.settings[VM].values())
    return Meter(fleet.daemons[VM].pid, ports)


def ask(send):
    """Send an idempotent request, again after a failure, as clients do.

    :param send: sends it, given the number of the attempt, and returns the response.
    """
    for attempt in range(1 + MAX_RETURNS):
        response = send(attempt)
        if response.status < 500:
            break
        time.sleep(float(response.getheader("Retry-After", RETURN_SECONDS)))
    return response


def check_ordinary(fleet, port_name):
    """Check that the VM serves an ordinary client, also on the crowd's port."""
    response = ask(lambda n: fleet.request(IDEMPOTENT_PATH, f"ordinary-{n}"))
    assert (response.status, response.complete) == (200, True)
    if port_name not in ORDINARY:
        return
    method, path, status = ORDINARY[port_name]
    port = fleet.settings[VM][port_name]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=15)
    connection.request(method, path)
    assert connection.getresponse().status == status
    connection.close()


def check_bounds(
    fleet, measured, max_descriptors=MAX_DESCRIPTORS, max_megabytes=MAX_MEGABYTES
):
    """Check that the VM lives, and what it has held at most."""
    assert fleet.daemons[VM].poll() is None
    print(measured.figures())
    assert measured.peak_megabytes() < max_megabytes
    assert measured.descriptors < max_descriptors


def meet(fleet, port_name, crowd, **bounds):
    """Let a crowd connect and send; check the VM while it is there and afterwards."""
    with meter(fleet).running() as measured:
        with crowd:
            crowd.connect().send()
            check_ordinary(fleet, port_name)
        check_ordinary(fleet, port_name)
    check_bounds(fleet, measured, **bounds)


# Guards against a VM that runs out of memory by what many clients have sent together,
# whole requests that stop short of their end among them.
@pytest.mark.parametrize("name", CROWDS)
@pytest.mark.parametrize("port_name", PORTS)
def test_crowd_of_unfinished_requests(fleet, port_name, name):
    start(fleet)
    case = CROWDS[name]
    port = fleet.settings[VM][port_name]
    meet(fleet, port_name, Crowd(port, case.count, case.payload(*case.args)))


# Guards against limits that don't follow the machine's own memory.
@pytest.mark.parametrize(
    "name", ["chunked-inside-the-limit", "announced-inside-the-limit", "heads"]
)
def test_crowd_at_a_vm_of_less_memory(fleet, name):
    fleet.extra_settings = f"[machine]\nmemory_megabytes = {LESS_MEGABYTES}\n"
    start(fleet)
    case = CROWDS[name]
    crowd = Crowd(fleet.settings[VM]["front"], case.count, case.payload(*case.args))
    meet(fleet, "front", crowd, max_megabytes=LESS_MEGABYTES)


# Guards against a VM that can't accept, or doesn't rest, once clients that send nothing
# hold all its descriptors.
@pytest.mark.parametrize("port_name", PORTS)
def test_crowd_of_silent_connections(fleet, port_name):
    start(fleet, FEW_DESCRIPTORS)
    crowd = Crowd(fleet.settings[VM][port_name], 400, b"")
    meet(fleet, port_name, crowd, max_descriptors=FEW_DESCRIPTORS + 1)


# Guards against a VM that runs out of memory by whole requests that wait for an answer.
@pytest.mark.parametrize("path", [IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH])
def test_crowd_of_whole_requests(fleet, path):
    start(fleet)
    fleet.add_instance("a2", "app")
    fleet.wait_ready(VM)
    size = LIMITS["max_body_bytes"]
    fleet.fail_next("app", *[Fault.HANG] * 120)

    def whole(number):
        framing = f"Content-Length: {size}"
        return head(number, framing, f"{path}x") + b"\r\n\r\n" + b"x" * size

    with meter(fleet).running() as measured:
        with Crowd(fleet.settings[VM]["front"], 120, whole) as crowd:
            crowd.connect().send()
        fleet.fail_next("app")
        check_ordinary(fleet, "front")
    check_bounds(fleet, measured)


class LargeService(PlatformEngine):
    """A plain service whose answers to a crowd are large."""

    def _whole(self, reader, run, fault):
        large = run.id.startswith("crowd")
        reader.respond(200, self._response_headers(run), b"x" * large * 3_900_000)


# Guards against a VM that runs out of memory by the responses that clients don't read.
def test_crowd_that_reads_no_response(fleet):
    service = LargeService("a2", fleet.engines["a1"].address, "app")
    fleet.call_on_loop(fleet.engines["a1"].stop)
    fleet.remove("servers/a1")
    fleet.engines = {"a2": service}
    fleet.call_on_loop(service.listen)
    fleet.write("servers/a2", service.store_document())
    start(fleet)

    def large(number):
        return head(number, "Content-Length: 0") + b"\r\n\r\n"

    with meter(fleet).running() as measured:
        port = fleet.settings[VM]["front"]
        with Crowd(port, 200, large, SMALL_RECEIVE_BYTES) as crowd:
            crowd.connect().send()
            check_ordinary(fleet, "front")
        check_ordinary(fleet, "front")
    assert len(service.runs) > LARGE_RESPONSES
    check_bounds(fleet, measured)


# Guards against a refusal of a single request that is inside the limits, however its
# body is sent.
@pytest.mark.parametrize("size", [0, 16, 1_000, 65_536, 4_194_304])
def test_single_request_inside_the_limits_is_served(fleet, size):
    start(fleet)
    body = b"x" * LIMITS["max_body_bytes"]
    framing = "Transfer-Encoding: chunked" if size else f"Content-Length: {len(body)}"
    sent = body if size == 0 else chunks(size, len(body))
    end = b"" if size == 0 else rest_of_body(size, len(body))
    port = fleet.settings[VM]["front"]
    with Crowd(port, 1, head(1, framing) + b"\r\n\r\n" + sent + end) as crowd:
        crowd.connect().send()
        (sock,) = crowd.sockets
        sock.settimeout(15)
        assert sock.recv(12) == b"HTTP/1.1 200"
    (run,) = [run for run in fleet.engines["a1"].runs if run.id == "crowd-1"]
    assert run.body == body


def rest_of_body(size, total):
    """Return what is left of a body after its whole chunks, and its end."""
    rest = total % size
    last = b"%x\r\n%s\r\n" % (rest, b"x" * rest) if rest else b""
    return last + b"0\r\n\r\n"


# Guards against a body over the limit that is read to its end and passed on.
@pytest.mark.parametrize("over", [1, LONG_BYTES])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_body_over_the_limit_is_refused(fleet, over, is_chunked):
    start(fleet)
    size = LIMITS["max_body_bytes"] + over
    body = b"x" * size
    connection = fleet.connect(VM)
    connection.putrequest("POST", f"{IDEMPOTENT_PATH}x")
    connection.putheader(wire.ATTEMPT_ID, "large")
    if is_chunked:
        connection.putheader("Transfer-Encoding", "chunked")
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (size, body)
    else:
        connection.putheader("Content-Length", str(size))
    try:
        connection.endheaders(body)
        status = connection.getresponse().status
    except ConnectionError:
        # The connection is closed once the VM has read enough of it.
        status = None
    assert status in ((413,) if over == 1 else (413, None))
    assert "large" not in [run.id for run in fleet.engines["a1"].runs]
    check_ordinary(fleet, "front")


# Guards against bytes of a refused body that are taken for a request.
@pytest.mark.parametrize("is_chunked", [False, True])
def test_rest_of_a_refused_body_is_no_request(fleet, is_chunked):
    start(fleet)
    hidden = head("hidden", "Content-Length: 0") + b"\r\n\r\n"
    body = hidden * (2 * LIMITS["max_body_bytes"] // len(hidden))
    framing = f"Content-Length: {len(body)}"
    if is_chunked:
        framing = "Transfer-Encoding: chunked"
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    payload = head(1, framing) + b"\r\n\r\n" + body
    with Crowd(fleet.settings[VM]["front"], 1, payload) as crowd:
        crowd.connect().send()
        (sock,) = crowd.sockets
        sock.settimeout(15)
        answer = b""
        while part := sock.recv(4096):
            answer += part
    assert answer.count(b"HTTP/1.1") == 1 and answer.startswith(b"HTTP/1.1 413")
    check_ordinary(fleet, "front")
    assert {run.id for run in fleet.engines["a1"].runs} <= {"first", "ordinary-0"}


# Guards against a VM that doesn't end since clients keep their connections open.
def test_vm_stops_while_a_crowd_is_connected(fleet):
    start(fleet)
    process = fleet.daemons[VM]
    port = fleet.settings[VM]["front"]
    silent, unfinished = Crowd(port, 50, b""), Crowd(port, 50, chunked(1_000, 90_000))
    with silent, unfinished:
        silent.connect()
        unfinished.connect().send()
        process.terminate()
        assert process.wait(60) == 0


# Guards against a VM that keeps the limits of the machine that it had at its start.
def test_limits_follow_the_settings_at_a_hangup(fleet):
    start(fleet)
    settings = fleet.directory / f"{VM}.toml"
    settings.write_text(settings.read_text() + "[machine]\nmemory_megabytes = 200\n")
    fleet.daemons[VM].send_signal(signal.SIGHUP)
    wait_until(lambda: fleet.log_records("reloaded", VM))
    _, metrics = fleet.get(fleet.settings[VM]["metrics"], "/metrics")
    assert b'mulberrydock_inbound_limit{limit="held_bytes"} 4e+07' in metrics
    assert b"mulberrydock_response_limit_bytes 2e+07" in metrics


OWN_PATH = "/v1/completions"
OWN_BODY = {"prompt": "hi", "model": "pass-letters-7b", "max_tokens": 2}


@pytest.fixture
def own_fleet(tmp_path):
    """A fleet of the product's own protocols, with one entry."""
    running = LocalFleet(tmp_path, engines=1, entries=1).start()
    try:
        yield running
    finally:
        running.stop()


def check_own_ordinary(address):
    """Check that an entry serves an ordinary client."""

    def send(attempt):
        connection = http.client.HTTPConnection(address, timeout=15)
        connection.request("POST", OWN_PATH, json.dumps(OWN_BODY))
        response = connection.getresponse()
        connection.close()
        return response

    assert ask(send).status == 200


def check_own_bounds(process, measured):
    """Check that an entry lives, and what it has held at most."""
    assert process.poll() is None
    print(measured.figures())
    assert measured.peak_megabytes() < MAX_MEGABYTES
    assert measured.descriptors < MAX_DESCRIPTORS


# Guards against an entry that runs out of memory by what many clients have sent.
@pytest.mark.parametrize("name", CROWDS)
def test_crowd_at_an_entry(own_fleet, name):
    address = own_fleet.settings.entries[0].address
    process = own_fleet.fleet.processes["entry-1"]
    port = int(address.rpartition(":")[2])
    check_own_ordinary(address)
    case = CROWDS[name]
    payload = case.payload(*case.args).replace(f"{IDEMPOTENT_PATH}x".encode(), b"/v1/")
    with Meter(process.pid, (port,)).running() as measured:
        with Crowd(port, case.count, payload) as crowd:
            crowd.connect().send()
            check_own_ordinary(address)
        check_own_ordinary(address)
    check_own_bounds(process, measured)


# Guards against an entry that can't accept once clients that send nothing hold all its
# descriptors.
def test_crowd_of_silent_connections_at_an_entry(own_fleet):
    address = own_fleet.settings.entries[0].address
    process = own_fleet.fleet.processes["entry-1"]
    limits = (FEW_DESCRIPTORS, FEW_DESCRIPTORS)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
    port = int(address.rpartition(":")[2])
    with Meter(process.pid, (port,)).running() as measured:
        with Crowd(port, 400, b"") as crowd:
            crowd.connect().send()
            check_own_ordinary(address)
        check_own_ordinary(address)
    check_own_bounds(process, measured)


def nested():
    """Return a whole completion whose body takes many times its size once parsed."""
    filler = "[" + ",".join(["[]"] * 1_000_000) + "]"
    body = json.dumps(OWN_BODY | {"max_tokens": 400})[:-1] + f', "x": {filler}}}'
    body = body.encode()
    return head(0, f"Content-Length: {len(body)}", OWN_PATH) + b"\r\n\r\n" + body


# Guards against an entry that runs out of memory by bodies that it has parsed.
def test_crowd_of_parsed_requests_at_an_entry(own_fleet):
    address = own_fleet.settings.entries[0].address
    process = own_fleet.fleet.processes["entry-1"]
    port = int(address.rpartition(":")[2])
    payload = nested()
    with Meter(process.pid, (port,)).running() as measured:
        with Crowd(port, 12, payload) as crowd:
            crowd.connect().send()
        check_own_ordinary(address)
    check_own_bounds(process, measured)
