"""Failure tests of the entry VM's daemon on the platform's protocol.

The daemons are real processes; the store, the engines and the services are stand-ins.
"""

import asyncio
import signal
import time

import pytest
from platform_fleet import (
    HOST,
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    PlatformFleet,
    config,
    event_ids,
    route,
    send,
    wait_until,
)

from mulberrydock.outages import UNKNOWN_OUTAGE_SECONDS
from mulberrydock.platform import wire
from mulberrydock.standin.platform_engine import Fault

#: Pause between two events of a stream, so that each is relayed before the fault.
EVENT_INTERVAL_SECONDS = 0.05


@pytest.fixture
def fleet(tmp_path):
    """A store with a configuration, two instances of each kind, one daemon."""
    running = PlatformFleet(tmp_path)
    running.write("op/config", config(3))
    running.add_instance("d1", "llm", "decode")
    running.add_instance("d2", "llm", "decode")
    running.add_instance("a1", "app")
    running.add_instance("a2", "app")
    running.start()
    try:
        running.wait_ready()
        yield running
    finally:
        running.stop()


def runs(fleet, request_id):
    """Return the runs of one request on all instances."""
    return [r for e in fleet.engines.values() for r in e.runs if r.id == request_id]


@pytest.mark.parametrize(
    "prefix", [RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH]
)
def test_request_is_served_once_and_passed_on_unchanged(fleet, prefix):
    """A request runs once, on the instance that it names, with path, query and body
    unchanged. The client gets that instance's complete response with its signature.
    """
    response = fleet.request(prefix, "r1")
    assert response.status == 200
    assert response.getheader(wire.SIGNATURE)
    assert response.getheader(wire.ATTEMPT_ID) == "r1"
    (run,) = runs(fleet, "r1")
    assert (run.method, run.target, run.body) == ("POST", f"{prefix}x?q=1", b"prompt")
    assert run.headers["Host"] == HOST
    assert 0 < int(run.headers[wire.DEADLINE]) <= 3000
    assert run.headers[wire.EXPECT_INSTANCE] in fleet.engines


def test_system_headers_from_client_are_dropped(fleet):
    """A client sends headers that only the system may set: another instance, a KV
    source, a backup. If they reached the engine, it would fetch another
    request's KV cache or refuse the request.
    """
    forged = {
        wire.EXPECT_INSTANCE: "someone-else",
        wire.KV_SOURCE: "127.0.0.1:1/h",
        wire.STAGE: "prefill",
        "X-Mulberrydock-Kv-Backup": "127.0.0.1:1",
        "X-Mulberrydock-Kv-Hold": "1",
        "X-Mulberrydock-Pin-Ms": "4000",
        "X-Mulberrydock-Expect-Version": "9",
        "Connection": "X-Mulberrydock-Token-Counts",
    }
    connection = fleet.connect()
    send(
        connection,
        RESUMABLE_PATH,
        "r2",
        **{k.replace("-", "_"): v for k, v in forged.items()},
    )
    assert connection.getresponse().status == 200
    (run,) = runs(fleet, "r2")
    assert run.headers[wire.EXPECT_INSTANCE] in ("d1", "d2")
    for name in list(forged)[1:7]:
        assert name not in run.headers
    assert run.headers[wire.TOKEN_COUNTS] == "100,10"


def test_keys_added_and_removed_by_a_version_are_in_force(fleet):
    """Guards against a removed key that still runs, and a new one that is refused."""

    def status(request_id, key):
        authorization = {"Authorization": f"Bearer {key}", wire.TEAM: "forged"}
        return fleet.request(IDEMPOTENT_PATH, request_id, **authorization).status

    for version, name, keys in ((4, "t1", ["old"]), (6, "t2", ["new"])):
        teams = [{"name": name, "api_keys": keys}]
        fleet.write("op/config", config(version) | {"tenants": teams})
        wait_until(
            lambda: fleet.log_records("configuration in force")[-1]["version"]
            == version
        )
        assert status(f"v{version}", keys[0]) == 200
        (run,) = runs(fleet, f"v{version}")
        assert run.headers[wire.TEAM] == name
        assert wire.AUTHORIZATION not in run.headers
    assert status("removed", "old") == 401
    assert fleet.request(IDEMPOTENT_PATH, "none").status == 401
    assert not runs(fleet, "removed") + runs(fleet, "none")
    assert "Bearer" not in fleet.log()


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.CUT_MID_EVENT, Fault.STALL])
def test_interrupted_stream_is_resumed_on_another_engine(fleet, fault):
    """An engine closes a resumable stream early, dies inside an event, or stops
    sending. The client must get every event once and in order: the other engine is
    asked to resume after the last complete event.
    """
    for engine in ("d1", "d2"):
        fleet.engines[engine].event_interval_seconds = EVENT_INTERVAL_SECONDS
    fleet.fail_next("llm", fault)
    response = fleet.request(RESUMABLE_PATH, "r3")
    assert response.complete and event_ids(response.content) == [1, 2, 3, 4]
    first, second = sorted(runs(fleet, "r3"), key=lambda r: r.last_event_id)
    assert (first.last_event_id, second.last_event_id) == (0, 2)
    assert response.getheader(wire.SIGNATURE) == (
        f"signature-of-{first.headers[wire.EXPECT_INSTANCE]}"
    )


@pytest.mark.parametrize("prefix", [RESUMABLE_PATH, IDEMPOTENT_PATH])
def test_silent_instance_is_awaited_when_it_is_the_only_one(fleet, prefix):
    """An instance sends nothing for longer than the progress timeout and then goes on,
    while every other one is draining. Abandoning it would lose the response for
    nothing: the daemon waits and the client gets the complete response.
    """
    for engine in ("d2", "a2"):
        fleet.write(
            f"servers/{engine}", fleet.engines[engine].store_document("draining")
        )
    wait_until(lambda: len(fleet.log_records("instance draining")) == 2)
    fleet.fail_next("llm", Fault.PAUSE)
    fleet.fail_next("app", Fault.PAUSE)
    response = fleet.request(prefix, "sp1")
    assert (response.status, response.complete) == (200, True)
    assert len(runs(fleet, "sp1")) == 1


def test_non_resumable_stream_is_truncated_when_its_engine_dies(fleet):
    """An engine dies in the middle of a stream that may run only once. The client must
    see a truncated stream, not one that looks complete, and no other engine runs it.
    """
    for engine in ("d1", "d2"):
        fleet.engines[engine].event_interval_seconds = EVENT_INTERVAL_SECONDS
    fleet.fail_next("llm", Fault.CUT)
    response = fleet.request(STREAM_PATH, "r5")
    assert not response.complete
    assert len(runs(fleet, "r5")) == 1


@pytest.mark.parametrize(
    "fault",
    [Fault.CRASH_BEFORE_ANSWER, Fault.CUT, Fault.UNSIGNED],
)
def test_non_idempotent_call_whose_instance_dies_runs_once(fleet, fault):
    """The instance dies after it took a non-idempotent call, or its response is
    damaged. The outcome is unknown: the client gets 502, which does not say that the
    call did not run, and no second instance is asked.
    """
    fleet.fail_next("app", fault)
    response = fleet.request(NON_IDEMPOTENT_PATH, "r6")
    assert response.status == 502
    assert len(runs(fleet, "r6")) == 1


@pytest.mark.parametrize(
    "prefix", [NON_IDEMPOTENT_PATH, IDEMPOTENT_PATH, STREAM_PATH, RESUMABLE_PATH]
)
def test_refused_request_goes_to_another_instance(fleet, prefix):
    """An instance is full and answers that it did not run the request. Another one is
    asked, for a non-idempotent call too, as nothing has run yet.
    """
    fleet.fail_next("app", Fault.REFUSE)
    fleet.fail_next("llm", Fault.REFUSE)
    assert fleet.request(prefix, "r7").status == 200
    assert len(runs(fleet, "r7")) == 1


@pytest.mark.parametrize(
    "prefix", [NON_IDEMPOTENT_PATH, IDEMPOTENT_PATH, STREAM_PATH, RESUMABLE_PATH]
)
def test_request_refused_by_every_instance_gets_503_and_never_runs(fleet, prefix):
    """Every instance is full. The client gets 503 with Retry-After, which guarantees
    that the request has not run and will not.
    """
    for engine in fleet.engines.values():
        engine.faults.extend([Fault.REFUSE] * 4)
    response = fleet.request(prefix, "r8")
    assert response.status == 503
    assert float(response.getheader("Retry-After")) > 0
    assert runs(fleet, "r8") == []


@pytest.mark.parametrize(
    "fault",
    [
        Fault.CRASH_BEFORE_ANSWER,
        Fault.CUT,
        Fault.HANG,
        Fault.ERROR,
        Fault.UNSIGNED,
        Fault.REFUSE,
    ],
)
def test_idempotent_call_is_retried_on_another_instance(fleet, fault):
    """An idempotent call fails on one instance. The client gets the other instance's
    complete response within the deadline.
    """
    remaining_faults = fleet.fail_next("app", fault)
    response = fleet.request(IDEMPOTENT_PATH, "r9")
    assert (response.status, response.complete) == (200, True)
    assert response.content.endswith(b"r9")
    assert not remaining_faults


@pytest.mark.parametrize("fault", [Fault.EXTRA, Fault.LATE_OTHER, Fault.UNFRAMED])
def test_malformed_responses_never_reach_another_request(fleet, fault):
    """An instance sends a second response, first another request's response, or one
    without a length. On reused connections each client must get its own response and
    nothing else.
    """
    for engine in ("a1", "a2"):
        fleet.engines[engine].faults.extend([fault] * 5)
    connection = fleet.connect()
    for number in range(12):
        response = fleet.request(NON_IDEMPOTENT_PATH, f"t{number}", connection)
        assert response.status == 200
        assert response.content.decode().endswith(f"answers t{number}")
    connection.close()


@pytest.mark.parametrize(
    "fault, runs_expected",
    [
        (Fault.UNFRAMED, 1),
        (Fault.UNFRAMED_CRASH, 2),
        (Fault.UNFRAMED_CRASH_AT_ONCE, 2),
    ],
)
def test_stream_without_a_length_is_whole_unless_its_engine_crashed(
    fleet, fault, runs_expected
):
    """A stream has no length and ends with its connection, also when its engine crashes
    between two events or before the first. The client must get every event once.
    """
    assert fleet.request(RESUMABLE_PATH, "v0").status == 200
    fleet.fail_next("llm", fault)
    response = fleet.request(RESUMABLE_PATH, "v1")
    assert (response.status, response.complete) == (200, True)
    assert event_ids(response.content) == [1, 2, 3, 4]
    assert len(runs(fleet, "v1")) == runs_expected


@pytest.mark.parametrize("fault", [Fault.UNFRAMED_CRASH, Fault.UNFRAMED_CRASH_AT_ONCE])
def test_stream_without_a_length_that_a_crash_ends_does_not_look_whole(fleet, fault):
    """As above, for a stream that may run only once."""
    fleet.fail_next("llm", fault)
    response = fleet.request(STREAM_PATH, "v2")
    assert response.status == 502 or not response.complete
    assert len(runs(fleet, "v2")) == 1


@pytest.mark.parametrize(
    "prefix, status", [(NON_IDEMPOTENT_PATH, 502), (IDEMPOTENT_PATH, 200)]
)
def test_response_without_a_length_that_a_crash_ends_is_not_passed_on(
    fleet, prefix, status
):
    """An instance crashes within a response whose length isn't stated. The client must
    not get the part that arrived as the whole response.
    """
    assert fleet.request(prefix, "v0").status == 200
    fleet.fail_next("app", Fault.UNFRAMED_CRASH)
    response = fleet.request(prefix, "v3")
    assert response.status == status
    if status == 200:
        assert response.content.decode().endswith("answers v3")
        assert response.content.startswith(b"a")


def test_remote_prefill_and_release_of_unused_handle(fleet):
    """A long prompt is prefilled by the prefill engine and decoded from its handle.
    When no decode engine takes the handle, it must be released, or the prefill engine's
    KV cache fills up.
    """
    prefill = fleet.add_instance("p1", "llm", "prefill")
    wait_until(lambda: '"instance":"p1"' in fleet.log())
    long_prompt = {"X_Mulberrydock_Token_Counts": "9000,10"}
    response = fleet.request(RESUMABLE_PATH, "u1", **long_prompt)
    assert response.complete and prefill.prefills == ["u1"]
    (run,) = runs(fleet, "u1")
    assert run.headers[wire.KV_SOURCE] == f"{prefill.address}/h0"
    for engine in ("d1", "d2"):
        fleet.engines[engine].faults.append(Fault.REFUSE)
    response = fleet.request(RESUMABLE_PATH, "u2", **long_prompt)
    wait_until(lambda: "h1" in prefill.released_handles)


def test_decode_engine_draining_during_prefill_gets_no_stream(fleet):
    """A long prompt waits at a busy prefill engine, and meanwhile every decode engine
    but one starts draining. The stream must start on the remaining one, not on the
    engine that was chosen before the wait.
    """
    gate = asyncio.Event()
    prefill = fleet.add_instance("p1", "llm", "prefill", prefill_gate=gate)
    wait_until(lambda: '"instance":"p1"' in fleet.log())
    connection = fleet.connect()
    send(connection, RESUMABLE_PATH, "q1", X_Mulberrydock_Token_Counts="200000,10")
    wait_until(lambda: prefill.prefills)
    fleet.add_instance("d3", "llm", "decode")
    for engine in ("d1", "d2"):
        fleet.write(
            f"servers/{engine}", fleet.engines[engine].store_document("draining")
        )
    wait_until(lambda: len(fleet.log_records("instance draining")) == 2)
    fleet.call_on_loop(gate.set)
    assert event_ids(connection.getresponse().read()) == [1, 2, 3, 4]
    assert [r.id for r in fleet.engines["d3"].runs] == ["q1"]


@pytest.mark.parametrize(
    "prefix", [RESUMABLE_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH]
)
def test_client_disconnect_cancels_the_run(fleet, prefix):
    """A client closes its connection while an instance works on its request. The
    connection to the instance must be closed at once, so that the instance cancels the
    run.
    """
    for engine in fleet.engines.values():
        engine.faults.append(Fault.HANG)
    connection = fleet.connect()
    send(connection, prefix, "v1")
    wait_until(lambda: runs(fleet, "v1"))
    connection.close()
    wait_until(lambda: any(r.ended == "cancelled" for r in runs(fleet, "v1")))


def test_hanging_instance_gives_504_at_the_route_timeout(fleet):
    """An instance hangs and the route's timeout is shorter than the client's deadline.
    The final response comes at the timeout, and is 504: the call was sent and may have
    run.
    """
    rows = [route(NON_IDEMPOTENT_PATH, "non_idempotent", "app", timeout_ms=400)]
    fleet.write("op/config", config(4, rows))
    wait_until(
        lambda: any(
            r["version"] == 4 for r in fleet.log_records("configuration in force")
        )
    )
    for engine in ("a1", "a2"):
        fleet.engines[engine].faults.append(Fault.HANG)
    assert fleet.request(NON_IDEMPOTENT_PATH, "w1").status == 504


def test_draining_instance_gets_no_new_requests(fleet):
    """An instance announces that it is draining. Once the daemon knows, every request
    goes to the other one.
    """
    fleet.write("servers/a1", fleet.engines["a1"].store_document("draining"))
    wait_until(lambda: fleet.log_records("instance draining"))
    for number in range(6):
        assert fleet.request(IDEMPOTENT_PATH, f"x{number}").status == 200
    assert fleet.engines["a1"].runs == []


def test_request_is_not_run_by_a_new_owner_of_the_address(fleet):
    """An instance terminates without notice and another service's instance gets its
    address. A request names the instance that it is meant for, is refused there and
    goes to a healthy instance; the terminated one is never asked again.
    """
    old = fleet.engines["a1"]
    fleet.call_on_loop(old.stop)
    fleet.call_on_loop(lambda: old.server.close_all_connections)
    old.id = "stranger"
    fleet.call_on_loop(old.listen)
    for number in range(6):
        response = fleet.request(NON_IDEMPOTENT_PATH, f"y{number}")
        assert response.status == 200
        assert response.content.startswith(b"a2")
    assert old.runs == []


def test_replaced_prefill_engine_is_asked_once(fleet):
    """A prefill engine terminates without notice and another engine gets its address. A
    long prompt whose prefill is refused there is prefilled by a decode engine; the
    request must not ask the same address repeatedly.
    """
    prefill = fleet.add_instance("p1", "llm", "prefill")
    wait_until(lambda: '"instance":"p1"' in fleet.log())
    fleet.call_on_loop(prefill.stop)
    prefill.id = "stranger"
    fleet.call_on_loop(prefill.listen)
    response = fleet.request(
        RESUMABLE_PATH, "pr1", X_Mulberrydock_Token_Counts="9000,10"
    )
    assert event_ids(response.content) == [1, 2, 3, 4]
    assert prefill.misdirected == 1


# Guards against a client that returns before an engine is back and is refused again.
@pytest.mark.parametrize("deadline", ["8000", "2000", "900"])
def test_retry_after_names_when_an_engine_is_expected_back(fleet, deadline):
    for engine in ("d1", "d2"):
        fleet.write(
            f"servers/{engine}", fleet.engines[engine].store_document("draining")
        )
    wait_until(lambda: len(fleet.log_records("instance draining")) == 2)
    started = time.monotonic()
    response = fleet.request(RESUMABLE_PATH, "cb1", X_Mulberrydock_Deadline_Ms=deadline)
    assert response.status == 503
    seconds = float(response.headers["Retry-After"])
    assert UNKNOWN_OUTAGE_SECONDS <= seconds <= 1.5 * UNKNOWN_OUTAGE_SECONDS
    # One that lasts is expected to last as long again.
    time.sleep(2.0)
    response = fleet.request(RESUMABLE_PATH, "cb2", X_Mulberrydock_Deadline_Ms=deadline)
    lasted = time.monotonic() - started
    assert 2.0 <= float(response.headers["Retry-After"]) <= 1.5 * lasted + 0.1


def test_refused_prefill_goes_to_the_other_prefill_engine(fleet):
    """One of two prefill engines refuses a long prompt. Prefilled by a decode engine,
    it would delay that engine's streams; the other prefill engine is free and takes it.
    """
    refusals = [True]
    engines = [
        fleet.add_instance(name, "llm", "prefill", prefill_refusals=refusals)
        for name in ("p1", "p2")
    ]
    wait_until(lambda: all(f'"instance":"p{n}"' in fleet.log() for n in (1, 2)))
    response = fleet.request(
        RESUMABLE_PATH, "po1", X_Mulberrydock_Token_Counts="9000,10"
    )
    assert response.status == 200 and not refusals
    assert sorted(len(engine.prefills) for engine in engines) == [0, 1]
    (run,) = runs(fleet, "po1")
    assert wire.KV_SOURCE in run.headers


def test_refused_prefill_is_not_retried_in_a_loop(fleet):
    """Both decode engines are suspected after failures, and the prefill engine's
    address now belongs to another one, which refuses. The request must not alternate
    between them: each round, of hundreds a second, would take a send from the budget
    that all VMs share.
    """
    prefill = fleet.add_instance("p1", "llm", "prefill")
    wait_until(lambda: '"instance":"p1"' in fleet.log())
    fleet.call_on_loop(prefill.stop)
    prefill.id = "stranger"
    for number in range(4):
        fleet.fail_next("llm", *[Fault.CRASH_BEFORE_ANSWER] * 2)
        fleet.request(RESUMABLE_PATH, f"pr2-{number}")
    fleet.fail_next("llm")
    fleet.call_on_loop(prefill.listen)
    response = fleet.request(
        RESUMABLE_PATH, "pr3", X_Mulberrydock_Token_Counts="9000,10"
    )
    assert response.status == 200
    assert prefill.misdirected == 1


def test_older_configuration_never_comes_into_force(fleet):
    """The store compacts its history and then shows an older configuration, which the
    daemon reads in full. The newer version, with its route, stays in force.
    """
    fleet.write("op/config", config(9))
    wait_until(
        lambda: any(
            r["version"] == 9 for r in fleet.log_records("configuration in force")
        )
    )
    fleet.call_on_loop(fleet.store.compact_history)
    rows = [route(IDEMPOTENT_PATH, "idempotent", "llm")]
    fleet.write("op/config", config(5, rows))
    time.sleep(0.5)
    assert fleet.request(IDEMPOTENT_PATH, "z1").content.startswith(b"a")
    assert fleet.request(NON_IDEMPOTENT_PATH, "z2").status == 200
    versions = [r["version"] for r in fleet.log_records("configuration in force")]
    assert versions == sorted(versions)


@pytest.mark.parametrize("trouble", ["refusing", "silent"])
def test_instances_stay_in_use_during_store_outage(fleet, trouble):
    """The store is unavailable and all records expire with it. Requests are served
    throughout. After the outage, instances that register again within the grace period
    stay; one that is still missing afterwards is removed.
    """
    setattr(fleet.store, trouble, True)
    wait_until(lambda: fleet.log_records("store lost"))
    for instance in list(fleet.engines):
        fleet.remove(f"servers/{instance}")
    assert fleet.request(IDEMPOTENT_PATH, "o1").status == 200
    setattr(fleet.store, trouble, False)
    wait_until(lambda: len(fleet.log_records("store answers")) > 1)
    assert fleet.request(IDEMPOTENT_PATH, "o2").status == 200
    for instance in ("d1", "d2", "a1"):
        fleet.write(f"servers/{instance}", fleet.engines[instance].store_document())
    wait_until(
        lambda: any(r["instance"] == "a2" for r in fleet.log_records("instance gone"))
    )
    assert {r["instance"] for r in fleet.log_records("instance gone")} == {"a2"}
    assert fleet.request(IDEMPOTENT_PATH, "o3").status == 200


def test_vm_registers_despite_lost_store_responses(fleet):
    """While a VM registers, the store applies its writes but loses the responses. The
    VM retries until it gets a response, and its peers list it.
    """
    fleet.store.lose_write_answers = 3
    fleet.start("entry-2")
    fleet.wait_ready("entry-2")
    key = "entries/entry-2"
    wait_until(lambda: key in fleet.store.items)
    wait_until(
        lambda: any(r["peer"] == "entry-2" for r in fleet.log_records("peer seen"))
    )


def test_record_dropped_by_the_store_is_written_again(fleet):
    """The store drops a VM's record while its lease is valid, and no call fails. The VM
    sees the removal on its watch and registers again.
    """
    wait_until(lambda: "entries/entry-1" in fleet.store.items)
    revision = fleet.store.items["entries/entry-1"].version
    fleet.remove("entries/entry-1")
    wait_until(lambda: "entries/entry-1" in fleet.store.items)
    assert fleet.store.items["entries/entry-1"].version > revision


def test_daemon_without_configuration_answers_503(tmp_path):
    """A VM starts while the store is unavailable. It is not ready, and answers 503 so
    that clients retry: it cannot know yet whether their routes exist.
    """
    fleet = PlatformFleet(tmp_path)
    fleet.store.refusing = True
    fleet.start()
    try:
        wait_until(lambda: fleet.log_records("store lost"))
        assert not fleet.is_ready()
        assert fleet.request(IDEMPOTENT_PATH, "n1").status == 503
        fleet.store.refusing = False
        fleet.write("op/config", config(1))
        wait_until(lambda: fleet.is_ready())
    finally:
        fleet.stop()


# Guards against a directory that sends all its clients to a VM that can't serve them.
def test_directory_without_configuration_lists_no_addresses(tmp_path):
    """A VM starts while the store fails. It knows neither routes nor other VMs, so its
    directory answers 503 until it has read them, and clients ask another one.
    """
    fleet = PlatformFleet(tmp_path)
    fleet.store.refusing = True
    fleet.start()
    try:
        wait_until(lambda: fleet.log_records("store lost"))
        directory = fleet.settings["entry-1"]["directory"]
        status, body = fleet.get(directory, "/resolve")
        assert (status, body) == (503, b"")
        fleet.store.refusing = False
        fleet.write("op/config", config(1))
        wait_until(lambda: fleet.is_ready())
        status, body = fleet.get(directory, "/resolve")
        assert status == 200
        assert str(fleet.settings["entry-1"]["front"]).encode() in body
    finally:
        fleet.stop()


def test_graceful_stop_completes_streams_and_moves_connections(fleet):
    """A VM is stopped while it answers a stream and a client holds an idle connection.
    It is no longer ready nor listed; the stream completes, and a request on the idle
    connection is served with ``Connection: close``, so that the client moves to another
    VM.
    """
    fleet.start("entry-2")
    fleet.wait_ready("entry-2")
    for engine in ("d1", "d2"):
        fleet.engines[engine].event_interval_seconds = 0.3
    idle_connection = fleet.connect()
    assert fleet.request(IDEMPOTENT_PATH, "g0", idle_connection).status == 200
    connection = fleet.connect()
    send(connection, RESUMABLE_PATH, "g1")
    wait_until(lambda: runs(fleet, "g1"))
    fleet.daemons["entry-1"].send_signal(signal.SIGTERM)
    wait_until(lambda: not fleet.is_ready())
    front = fleet.settings["entry-1"]["front"]
    directory = fleet.settings["entry-2"]["directory"]
    wait_until(lambda: str(front).encode() not in fleet.get(directory, "/resolve")[1])
    response = fleet.request(IDEMPOTENT_PATH, "g2", idle_connection)
    assert (response.status, response.getheader("Connection")) == (200, "close")
    response = connection.getresponse()
    assert event_ids(response.read()) == [1, 2, 3, 4]
    assert fleet.daemons["entry-1"].wait(10) == 0


def test_stopping_vm_refuses_late_requests(fleet):
    """A VM is stopping, and a client sends a request on an open connection so late that
    its stream would outlast the process and be cut when the grace period ends. It gets
    503, which guarantees that it has not run, and the client asks another VM.
    """
    idle_connection = fleet.connect()
    assert fleet.request(IDEMPOTENT_PATH, "l0", idle_connection).status == 200
    fleet.daemons["entry-1"].send_signal(signal.SIGTERM)
    wait_until(lambda: fleet.log_records("refusing new requests"))
    response = fleet.request(IDEMPOTENT_PATH, "l1", idle_connection)
    assert response.status == 503
    assert float(response.getheader("Retry-After")) >= 0
    assert runs(fleet, "l1") == []
    assert fleet.daemons["entry-1"].wait(10) == 0


def test_pool_without_prefill_engine_gets_one(fleet):
    """Every prefill engine has left. The leader orders one decode engine to
    prefill, once, with the order count on which it decided.
    """
    orders = wait_until(
        lambda: fleet.engines["d1"].orders + fleet.engines["d2"].orders, seconds=20
    )
    assert len(orders) == 1
    assert orders[0]["stage"] == "prefill"
    assert orders[0]["fencing_token"] > 0


def test_metrics_are_served(fleet):
    """The metrics address shows the configuration version and the histogram of the
    route that served a request.
    """
    fleet.request(IDEMPOTENT_PATH, "m1")
    status, body = fleet.get(fleet.settings["entry-1"]["metrics"], "/metrics")
    assert status == 200
    assert b"mulberrydock_config_version 3.0" in body
    assert b'mulberrydock_request_seconds_count{code="OK",route="status"} 1.0' in body


def test_invalid_settings_end_the_daemon(tmp_path):
    """The settings file has a value of the wrong type. The daemon exits at once with
    one line that names the key.
    """
    fleet = PlatformFleet(tmp_path)
    try:
        fleet.start(grace='"soon"')
        assert fleet.daemons["entry-1"].wait(15) == 2
        (line,) = fleet.log().splitlines()
        assert "timing.grace_seconds" in line
    finally:
        fleet.stop()


def test_stream_beyond_the_client_idle_timeout_is_refused_at_once(fleet):
    """The only prefill engine is busy with a long prompt. The next stream would get its
    first event after its client has given up, and would delay others while queued. It
    is refused at once, until the long prompt is expected to end, and runs nowhere.
    """
    gate = asyncio.Event()
    prefill = fleet.add_instance("p1", "llm", "prefill", prefill_gate=gate)
    wait_until(lambda: '"instance":"p1"' in fleet.log())
    connection = fleet.connect()
    # Before any sample, 60,000 tokens a second and 2.5e-5 more for each one before.
    send(connection, RESUMABLE_PATH, "u1", X_Mulberrydock_Token_Counts="90000,10")
    wait_until(lambda: prefill.prefills)
    response = fleet.request(
        RESUMABLE_PATH, "u2", X_Mulberrydock_Token_Counts="12000,10"
    )
    assert response.status == 503
    queue = 90000 * (1 + 2.5e-5 * 45000) / 60000
    assert queue <= float(response.headers["Retry-After"]) <= 1.5 * queue + 0.1
    assert runs(fleet, "u2") == []
    fleet.call_on_loop(gate.set)
    assert event_ids(connection.getresponse().read()) == [1, 2, 3, 4]


@pytest.mark.parametrize("raw", [b"\xff\xfe", b"[" * 50_000, b'{"service": 7}'])
def test_unreadable_record_affects_only_its_instance(fleet, raw):
    """Another writer overwrites an instance's record with bytes that cannot be parsed.
    The daemon goes on with the other instances, logs the error once, and sends to that
    instance again as soon as its own record is back.
    """
    fleet.call_on_loop(fleet.store.write_bytes, "servers/a1", raw)
    wait_until(lambda: fleet.log_records("instance refused"))
    for number in range(4):
        assert fleet.request(NON_IDEMPOTENT_PATH, f"s{number}").status == 200
    assert [len(runs(fleet, f"s{n}")) for n in range(4)] == [1] * 4
    assert not fleet.engines["a1"].runs
    fleet.write("servers/a1", fleet.engines["a1"].store_document())
    fleet.remove("servers/a2")
    wait_until(lambda: fleet.request(NON_IDEMPOTENT_PATH, "again").status == 200)
    assert len(fleet.log_records("instance refused")) == 1
    assert not fleet.log_records("task ended")


def test_kv_handle_of_a_previous_incarnation_is_never_used(fleet):
    """The engine that prefills a prompt crashes and restarts under its id before the
    handoff. Its handle may now belong to another prompt, so the prompt is prefilled
    again and no run names the old handle.
    """
    gate = asyncio.Event()
    engine = fleet.add_instance(
        "p1", "llm", "prefill", prefill_gate=gate, started_at_ms=1000
    )
    wait_until(lambda: '"instance":"p1@1000"' in fleet.log())
    connection = fleet.connect()
    send(connection, RESUMABLE_PATH, "reborn", **{wire.TOKEN_COUNTS: "5000,10"})
    wait_until(lambda: engine.prefills)
    # The new incarnation registers while the old one's prefill response is pending.
    fleet.write("servers/p1", dict(engine.store_document(), born=2000))
    wait_until(lambda: fleet.log_records("instance gone"))
    fleet.loop.call_soon_threadsafe(gate.set)
    response = connection.getresponse()
    assert (response.status, event_ids(response.read())) == (200, [1, 2, 3, 4])
    sources = [r.headers.get(wire.KV_SOURCE) for r in runs(fleet, "reborn")]
    assert all(source != f"{engine.address}/h0" for source in sources)


def test_stream_goes_on_after_its_engine_restarts_under_its_id(fleet):
    """An engine crashes in the middle of a stream and restarts under its id at the same
    address. The stream goes on, complete and in order, as a new run after the last
    complete event.
    """
    for engine in list(fleet.engines.values()):
        if engine.service == "llm":
            engine.event_interval_seconds = 0.2
            engine.started_at_ms = 1000
            fleet.write(f"servers/{engine.id}", engine.store_document())
    wait_until(lambda: len(fleet.log_records("instance gone")) == 2)
    connection = fleet.connect()
    send(connection, RESUMABLE_PATH, "mid")
    wait_until(lambda: runs(fleet, "mid"))
    (run,) = runs(fleet, "mid")
    engine = next(e for e in fleet.engines.values() if run in e.runs)
    time.sleep(0.3)
    fleet.call_on_loop(engine.restart, 2000)
    fleet.write(f"servers/{engine.id}", engine.store_document())
    response = connection.getresponse()
    assert event_ids(response.read()) == [1, 2, 3, 4]
    assert len(runs(fleet, "mid")) == 2


def test_order_waits_for_the_record_of_the_new_incarnation(fleet):
    """A pool needs a prefill engine, and the engine to be changed has restarted under
    its id, which its report shows before its record does. A restart resets the engine's
    order count, so the order must wait for the new record.
    """
    for name in ("d1", "d2"):
        engine = fleet.engines[name]
        engine.started_at_ms = 1000
        fleet.write(f"servers/{name}", engine.store_document())
        engine.started_at_ms = 2000
    wait_until(
        lambda: any("d1@1000" in r["instance"] for r in fleet.log_records("order"))
        or len(fleet.log_records("instance gone")) >= 3
    )
    assert not fleet.engines["d1"].orders and not fleet.engines["d2"].orders
    for name in ("d1", "d2"):
        fleet.write(f"servers/{name}", fleet.engines[name].store_document())
    wait_until(lambda: fleet.engines["d1"].orders or fleet.engines["d2"].orders)
