"""Failure tests of a local fleet: real processes, with injected faults."""

import http.client
import json
import signal
import time
import urllib.error

import pytest

from mulberrydock import defaults, records
from mulberrydock.fleet import LocalFleet
from mulberrydock.routing import REPORT_EXPIRY_SECONDS

LETTER_HEADERS = {defaults.TENANT_HEADER: "clerks", defaults.CLASS_HEADER: "letter"}


def _open(address, method, path, body=None, headers=None):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    payload = None if body is None else json.dumps(body)
    connection.request(method, path, payload, headers or {})
    return connection.getresponse()


def _split_events(raw):
    return [e for e in raw.split(b"\n\n") if e.strip()]


def _wait_until(check, timeout=15.0):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = check()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"condition not met within {timeout} s")


def _leader(fleet):
    try:
        item = fleet.get(fleet.settings.store.address, "/v1/kv/control/leader")
    except urllib.error.HTTPError:
        return None, 0
    leader = records.decode(records.LeaderRecord, item["value"]).holder
    return leader, item["version"]


def _send_renewal(fleet, key):
    response = _open(
        fleet.settings.entries[0].address,
        "POST",
        "/v1/services/pass-registry/renewals",
        {"pensioner": 7},
        {defaults.IDEMPOTENCY_HEADER: key, defaults.CLASS_HEADER: "letter"},
    )
    return response, json.loads(response.read() or b"{}")


def _open_stream(fleet, tokens):
    body = {"model": "pass-letters-7b", "prompt": "x", "max_tokens": tokens}
    return _open(
        fleet.settings.entries[0].address,
        "POST",
        "/v1/completions",
        body | {"stream": True},
        LETTER_HEADERS,
    )


# Guards against a lost or repeated part of a stream whose connection to the engine goes
# silent or is closed. The entry resumes it on the other engine after the last event
# that it received; the client gets every event once, in order, and the end.
@pytest.mark.parametrize("mode", ["silent", "kill"])
def test_cut_stream_is_resumed_completely_on_another_engine(local_fleet, mode):
    response = _open_stream(local_fleet, 400)
    first = response.readline() + response.readline()
    assert first.startswith(b"data: ")
    for index in range(len(local_fleet.settings.engines)):
        local_fleet.fault(index, mode)
    events = _split_events(first + response.read())
    assert events.pop() == b"data: [DONE]"
    request_id = response.getheader(defaults.REQUEST_ID_HEADER)
    chunks = [json.loads(e[len(b"data: ") :]) for e in events]
    assert {c["id"] for c in chunks} == {request_id}
    texts = [c["choices"][0]["text"] for c in chunks]
    assert texts == [f" {request_id[:8]}:{i}" for i in range(400)]


# Guards against giving up a stream because every engine was tried. The only engine of
# the pool is healthy, but the connection to it is closed in the middle of a stream: the
# entry resumes on the same engine over a new connection.
def test_cut_stream_is_resumed_on_the_only_engine(tmp_path):
    fleet = LocalFleet(tmp_path, engines=1, entries=1).start()
    try:
        response = _open_stream(fleet, 300)
        first = response.readline() + response.readline()
        fleet.fault(0, "kill")
        events = _split_events(first + response.read())
    finally:
        fleet.stop()
    assert (len(events), events[-1]) == (301, b"data: [DONE]")


# Guards against failed requests around an engine restart. engine-1 crashes, is
# unavailable for longer than its last load report is valid, and starts with no model,
# which the controller then loads. Neither its silence nor its refusals may fail a
# request: engine-2 serves it.
def test_engine_that_crashes_and_returns_empty_fails_no_request(local_fleet):
    local_fleet.signal("engine-1", signal.SIGKILL)
    local_fleet.fleet.processes["engine-1"].wait()

    def served():
        response = _open_stream(local_fleet, 2)
        raw = response.read()
        assert (response.status, raw[-14:]) == (200, b"data: [DONE]\n\n"), raw
        try:
            return local_fleet.engine_state(0)["available"]
        except OSError:
            return False

    away_until = time.monotonic() + REPORT_EXPIRY_SECONDS + 1.0
    while time.monotonic() < away_until:
        served()
    local_fleet.fleet.restart("engine-1")
    _wait_until(served)
    for _ in range(10):
        served()


# Guards against a stream that hangs, or that ends early without an error. A partition
# cuts off every engine in the middle of it: it must end with an error event that names
# the cut, and without [DONE].
def test_stream_that_no_engine_can_resume_is_reported_cut(local_fleet):
    response = _open_stream(local_fleet, 400)
    first = response.readline() + response.readline()
    for index in range(len(local_fleet.settings.engines)):
        local_fleet.fault(index, "partition")
    events = _split_events(first + response.read())
    assert events[-1] != b"data: [DONE]"
    assert json.loads(events[-1][len(b"data: ") :])["error"]["code"] == 401


# Guards against passing on another request's response. An engine responds with the id
# and the content of another request: no byte of that may reach the client, which gets
# its own response from the other engine.
@pytest.mark.parametrize("stream", [False, True])
def test_response_to_another_request_never_reaches_a_client(local_fleet, stream):
    port = local_fleet.engine_ports[0]
    local_fleet.post(f"127.0.0.1:{port}", "/v1/faults", {"crossed_answers": 100})
    body = {"model": "pass-letters-7b", "prompt": "x", "max_tokens": 3}

    def send():
        response = _open(
            local_fleet.settings.entries[0].address,
            "POST",
            "/v1/completions",
            body | {"stream": stream},
            LETTER_HEADERS,
        )
        raw = response.read()
        assert response.status == 200, raw
        request_id = response.getheader(defaults.REQUEST_ID_HEADER)
        for index in range(3):
            assert f" {request_id[:8]}:{index}".encode() in raw
        assert raw.count(b'"id"') == raw.count(request_id.encode())
        return local_fleet.engine_state(0)["counts"].get("started", 0) >= 2

    _wait_until(send)


# Guards against generating for a client that has left. A client disconnects before a
# long response comes: the engine's run must be cancelled within 3 s.
def test_caller_who_leaves_frees_the_engine(local_fleet):
    body = {"model": "pass-letters-7b", "prompt": "x", "max_tokens": 1500}
    host, port = local_fleet.settings.entries[0].address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection.request("POST", "/v1/completions", json.dumps(body), LETTER_HEADERS)

    def counts(name):
        return sum(
            local_fleet.engine_state(i)["counts"].get(name, 0)
            for i in range(len(local_fleet.settings.engines))
        )

    _wait_until(lambda: counts("started"))
    connection.close()
    _wait_until(lambda: counts("cancelled") == 1, timeout=3.0)


# Guards against losing an unstreamed response when the engine's connection goes silent.
# Nothing has reached the client yet and generating may be repeated, so the entry sends
# the request to the other engine, and the client gets one complete response of its own.
def test_unstreamed_response_comes_from_another_engine(local_fleet):
    body = {"model": "pass-letters-7b", "prompt": "x", "max_tokens": 100}
    address = local_fleet.settings.entries[0].address
    connection = http.client.HTTPConnection(*address.split(":"), timeout=30)
    connection.request("POST", "/v1/completions", json.dumps(body), LETTER_HEADERS)
    busy = _wait_until(
        lambda: [
            i
            for i in range(len(local_fleet.settings.engines))
            if local_fleet.get(f"127.0.0.1:{local_fleet.control_ports[i]}", "/faults")[
                "open"
            ]
        ]
    )
    local_fleet.fault(busy[0], "silent")
    response = connection.getresponse()
    document = json.loads(response.read())
    assert response.status == 200
    request_id = response.getheader(defaults.REQUEST_ID_HEADER)
    assert document["id"] == request_id
    expected = "".join(f" {request_id[:8]}:{i}" for i in range(100))
    assert document["choices"][0]["text"] == expected


# Guards against running a non-idempotent call twice, or losing its response, when the
# store applies writes but loses their responses (of the claim, the completion, or
# both). A repeat with the same key must get the stored response without a second run.
@pytest.mark.parametrize("lost", [1, 2, 3])
def test_renewal_runs_once_when_store_responses_are_lost(local_fleet, lost):
    local_fleet.store_faults(lose_answers=lost)
    response, first = _send_renewal(local_fleet, f"lost-{lost}")
    assert response.status == 200, first
    again, second = _send_renewal(local_fleet, f"lost-{lost}")
    assert again.status == 200
    assert again.getheader(defaults.RESULT_HEADER) == "1"
    assert second == first
    assert local_fleet.executions() == {f"lost-{lost}": 1}


# Guards against running a non-idempotent call without its idempotency record. The store
# is unavailable, so the record can't be made: the entry must not call the service, and
# answers "not run" with Retry-After. After the outage the same key runs exactly once.
def test_renewal_during_store_outage_is_not_run_then_runs_once(local_fleet):
    local_fleet.store_faults(outage=True)
    response, document = _send_renewal(local_fleet, "outage")
    assert response.status == 503
    assert document["error"]["code"] == 300
    assert response.getheader("Retry-After")
    assert local_fleet.executions() == {}
    local_fleet.store_faults(outage=False)
    response, document = _send_renewal(local_fleet, "outage")
    assert response.status == 200
    assert local_fleet.executions() == {"outage": 1}


# Guards against holding a request until near its deadline when a partition cuts off
# every engine. The client must get its final response at once, with Retry-After and the
# result code that says the request did not run.
def test_request_without_reachable_engine_gets_503_at_once(local_fleet):
    for index in range(len(local_fleet.settings.engines)):
        local_fleet.fault(index, "partition")
    body = {"model": "pass-letters-7b", "prompt": "x", "max_tokens": 4}
    headers = {defaults.CLASS_HEADER: "letter"}
    started = time.monotonic()
    response = _open(
        local_fleet.settings.entries[0].address,
        "POST",
        "/v1/completions",
        body,
        headers,
    )
    document = json.loads(response.read())
    assert response.status == 503
    assert document["error"]["code"] == 202
    assert int(response.getheader("Retry-After")) >= 1
    # Far below the 20 s deadline of the class "letter": the response was not held.
    assert time.monotonic() - started < 10


def _announce_leaving(fleet, how, name):
    """Make ``name`` leaving and wait until every entry knows."""
    if how == "declared":
        drained = fleet.ctl("vm", "drain", name)
        assert drained.returncode == 0, drained.stderr
    else:
        address = fleet.settings.vm_list.address
        fleet.post(address, f"/v1/vms/{name}", {"state": "leaving"})
    for entry in fleet.settings.entries:
        _wait_until(lambda: name in fleet.get(entry.address, "/v1/health")["leaving"])


# Guards against sending requests to an engine that is leaving, whether an operator
# drains it or only the platform's VM list, which lags, says so. Once the entries know,
# no new request reaches it.
@pytest.mark.parametrize("how", ["declared", "listed"])
def test_leaving_engine_gets_no_new_work(local_fleet, how):
    _announce_leaving(local_fleet, how, "engine-1")
    before = local_fleet.engine_state(0)["counts"].get("started", 0)
    body = {"model": "pass-letters-7b", "prompt": "x", "max_tokens": 2}
    for index in range(10):
        entry = local_fleet.settings.entries[index % 2].address
        response = _open(entry, "POST", "/v1/completions", body, LETTER_HEADERS)
        assert response.status == 200
        response.read()
    assert local_fleet.engine_state(0)["counts"].get("started", 0) == before


# Guards against serving new requests on an entry that is leaving. Clients still cache
# an entry list that names it: it refuses their requests as not run, and no list names
# it any more.
@pytest.mark.parametrize("how", ["declared", "listed"])
def test_leaving_entry_refuses_new_requests(local_fleet, how):
    _announce_leaving(local_fleet, how, "entry-1")
    body = {"model": "pass-letters-7b", "prompt": "x", "max_tokens": 2}
    first, second = (e.address for e in local_fleet.settings.entries)
    response = _open(first, "POST", "/v1/completions", body, LETTER_HEADERS)
    assert (response.status, response.getheader(defaults.RESULT_HEADER)) == (503, "201")
    for address in (first, second):
        listed = local_fleet.get(address, "/v1/entries")["entries"]
        assert [e["name"] for e in listed] == ["entry-2"]


# Guards against serving from an outdated settings file. engine-1 was drained by
# declaration, the store is unavailable, and entry-1 crashes and restarts with a file in
# which engine-1 is in use. It must get the version in force from entry-2, and send
# engine-1 nothing meanwhile.
def test_entry_restarted_in_an_outage_keeps_the_configuration(local_fleet):
    _announce_leaving(local_fleet, "declared", "engine-1")
    entry = local_fleet.settings.entries[0].address
    version = local_fleet.get(entry, "/v1/health")["config_version"]
    before = local_fleet.engine_state(0)["counts"].get("started", 0)
    local_fleet.store_faults(outage=True)
    local_fleet.signal("entry-1", signal.SIGKILL)
    local_fleet.fleet.restart("entry-1")
    body = {"model": "pass-letters-7b", "prompt": "x", "max_tokens": 2}

    def served():
        try:
            response = _open(entry, "POST", "/v1/completions", body, LETTER_HEADERS)
        except OSError:
            return False
        assert (response.status, response.read()[:1]) in ((200, b"{"), (503, b"{"))
        return response.status == 200

    _wait_until(served)
    assert local_fleet.get(entry, "/v1/health")["config_version"] == version
    assert local_fleet.engine_state(0)["counts"].get("started", 0) == before


# Guards against running a non-idempotent call twice after its entry was killed during
# the call. The client repeats it with the same key through entry-2: it gets IN_PROGRESS
# while the call may still be running, then OUTCOME_UNKNOWN, so that it does not repeat
# the call for ever.
def test_renewal_whose_entry_was_killed_never_runs_again(local_fleet):
    service = f"127.0.0.1:{local_fleet.ports['service']}"
    local_fleet.post(service, "/v1/faults", {"latency_seconds": 1.5})
    headers = {defaults.IDEMPOTENCY_HEADER: "k", defaults.CLASS_HEADER: "status"}
    first, second = (e.address for e in local_fleet.settings.entries)
    path = "/v1/services/pass-registry/renewals"
    host, port = first.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    connection.request("POST", path, "{}", headers)
    store = local_fleet.settings.store.address
    _wait_until(
        lambda: local_fleet.get(store, "/v1/range?prefix=idempotency/")["items"]
    )
    time.sleep(0.5)
    local_fleet.signal("entry-1", signal.SIGKILL)

    def repeat():
        return json.loads(_open(second, "POST", path, {}, headers).read())

    assert repeat()["error"]["type"] == "IN_PROGRESS"
    _wait_until(lambda: local_fleet.executions() == {"k": 1})
    _wait_until(lambda: repeat()["error"]["type"] == "OUTCOME_UNKNOWN")
    assert local_fleet.executions() == {"k": 1}


def _declare_engine(fleet, index, key, value):
    """Patch the declaration so that engine ``index`` has ``key = value``."""
    shown = json.loads(fleet.ctl("config", "show").stdout)
    patch = fleet.path.parent / "change.toml"
    rows = [
        f'[[engines]]\nengine = "engine-{i + 1}"\nmodel = "pass-letters-7b"\n'
        + (f'{key} = "{value}"\n' if i == index else "")
        for i in range(len(fleet.settings.engines))
    ]
    patch.write_text("".join(rows))
    version = str(shown["version"])
    patched = fleet.ctl("config", "patch", str(patch), "--version", version)
    assert patched.returncode == 0, patched.stderr


# Guards against failing requests when the prefill engine is cut off or its connections
# go silent. engine-1 prefills long prompts for engine-2 (mode "pass"); after the fault
# they must still be answered completely, with engine-2 prefilling them itself.
@pytest.mark.parametrize("mode", ["pass", "partition", "silent"])
def test_failing_prefill_engine_fails_no_request(local_fleet, mode):
    _declare_engine(local_fleet, 0, "role", "prefill")
    _wait_until(lambda: local_fleet.engine_state(0)["role"] == "prefill")
    body = {"model": "pass-letters-7b", "max_tokens": 5, "stream": True}
    local_fleet.fault(0, mode)

    def send(index):
        prompt = " ".join(f"{index}-{i}" for i in range(400))
        address = local_fleet.settings.entries[0].address
        request = body | {"prompt": prompt}
        response = _open(address, "POST", "/v1/completions", request, LETTER_HEADERS)
        events = _split_events(response.read())
        assert (len(events), events[-1]) == (6, b"data: [DONE]")
        counts = [local_fleet.engine_state(i)["counts"] for i in (0, 1)]
        return counts[0].get("finished", 0), counts[1].get("finished", 0)

    def handoff_seen():
        return send(time.monotonic())[0] if mode == "pass" else True

    _wait_until(handoff_seen)
    for index in range(3):
        send(index)


# Guards against cutting a stream by a planned change of what its engine runs. The
# controller cordons the engine, so that nothing new reaches it, waits until its reports
# show the stream finished, and only then sends the order. No run is cut anywhere, and
# the stream needs no resume.
@pytest.mark.parametrize("key, value", [("version", "2"), ("role", "prefill")])
def test_planned_change_waits_for_the_stream_in_flight(local_fleet, key, value):
    response = _open_stream(local_fleet, 600)
    first = response.readline() + response.readline()
    counts = [local_fleet.engine_state(i)["counts"] for i in (0, 1)]
    busy = next(i for i in (0, 1) if counts[i].get("started"))
    _declare_engine(local_fleet, busy, key, value)
    events = _split_events(first + response.read())
    assert events[-1] == b"data: [DONE]"
    assert len(events) == 601
    _wait_until(lambda: local_fleet.engine_state(busy)[key] == value)
    for index in (0, 1):
        counts = local_fleet.engine_state(index)["counts"]
        assert counts.get("cut", 0) + counts.get("cancelled", 0) == 0
    assert _open_stream(local_fleet, 3).read().endswith(b"data: [DONE]\n\n")


# Guards against a stream that is joined from the output of two versions of its model,
# as it is cut while the other engine already runs the next version.
@pytest.mark.parametrize("mode", ["silent", "kill"])
def test_cut_stream_goes_on_at_the_version_that_began_it(local_fleet, mode):
    response = _open_stream(local_fleet, 900)
    first = response.readline() + response.readline()
    counts = [local_fleet.engine_state(i)["counts"] for i in (0, 1)]
    busy = next(i for i in (0, 1) if counts[i].get("started"))
    other = 1 - busy
    _declare_engine(local_fleet, other, "version", "2")
    _wait_until(lambda: local_fleet.engine_state(other)["version"] == "2")
    _wait_until(lambda: local_fleet.engine_state(other)["available"])
    local_fleet.fault(busy, mode)
    events = _split_events(first + response.read())
    assert not local_fleet.engine_state(other)["counts"].get("started")
    assert local_fleet.engine_state(busy)["version"] == "1"
    assert (len(events), events[-1]) == (901, b"data: [DONE]")


# Guards against cutting a stream by a planned stop of its entry. The stream must arrive
# complete; a new request to the draining entry is refused as not run, so that the
# client asks another one.
def test_sigterm_drains_without_cutting_a_stream(local_fleet):
    body = {"model": "pass-letters-7b", "prompt": "x", "max_tokens": 300}
    entry = local_fleet.settings.entries[0].address
    response = _open(
        entry, "POST", "/v1/completions", body | {"stream": True}, LETTER_HEADERS
    )
    first = response.readline() + response.readline()
    local_fleet.signal("entry-1", signal.SIGTERM)
    refused = _wait_until(
        lambda: _open(
            entry, "POST", "/v1/completions", body | {"max_tokens": 1}, LETTER_HEADERS
        ).getheader(defaults.RESULT_HEADER)
        == "201"
    )
    assert refused
    events = _split_events(first + response.read())
    assert events[-1] == b"data: [DONE]"
    assert len(events) == 301
    listed = local_fleet.get(local_fleet.settings.entries[1].address, "/v1/entries")
    assert [e["name"] for e in listed["entries"]] == ["entry-2"]


@pytest.fixture
def two_controllers(tmp_path):
    running = LocalFleet(tmp_path).start(controllers=2)
    yield running
    running.stop()


# Guards against orders of a controller that has lost its lease. The active one is
# frozen (SIGSTOP) past its lease; the other takes the lease with a higher fencing token
# and carries out version 2. The frozen one wakes during a store outage, so that it
# still has version 1 and cannot get a newer one. It must change nothing on any engine:
# neither on those that check the token nor on those that ignore it.
def test_paused_controller_changes_nothing_after_losing_its_lease(two_controllers):
    fleet = two_controllers
    leader, old_token = _leader(fleet)
    fleet.signal(leader, signal.SIGSTOP)
    new_leader, new_token = _wait_until(
        lambda: (lambda h: h if h[0] not in (leader, None) else None)(_leader(fleet))
    )
    assert new_token > old_token
    # Let the frozen controller's pending watch time out empty, so that it has not
    # received version 2.
    time.sleep(defaults.WATCH_TIMEOUT_SECONDS + 1)
    shown = json.loads(fleet.ctl("config", "show").stdout)
    patch = fleet.path.parent / "v2.toml"
    patch.write_text(
        "".join(
            f'[[engines]]\nengine = "{e.name}"\nmodel = "pass-letters-7b"'
            '\nversion = "2"\n'
            for e in fleet.settings.engines
        )
    )
    patched = fleet.ctl(
        "config", "patch", str(patch), "--version", str(shown["version"])
    )
    assert patched.returncode == 0, patched.stderr
    for index in range(len(fleet.settings.engines)):
        _wait_until(lambda: fleet.engine_state(index)["version"] == "2")
    fleet.store_faults(outage=True)
    fleet.signal(leader, signal.SIGCONT)
    time.sleep(2 * fleet.settings.control.lease_ttl_seconds)
    fleet.store_faults(outage=False)
    for index in range(len(fleet.settings.engines)):
        state = fleet.engine_state(index)
        assert state["version"] == "2"
        orders = state["orders"]
        first = next(i for i, o in enumerate(orders) if o["fencing_token"] == new_token)
        stale = [
            o
            for o in orders[first:]
            if o["fencing_token"] != new_token and o["applied"]
        ]
        assert stale == [], f"engine {index} applied a stale controller's order"
