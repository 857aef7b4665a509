"""The entry VM's daemon on the platform's protocol, under failure.

Real daemon processes; the store, engines and services are our stand-ins.
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

from mulberrydock.platform import wire
from mulberrydock.standin.platform_engine import Fault

#: Seconds between two events, so that each is relayed before a fault strikes.
EVENT_SECONDS = 0.05


@pytest.fixture
def fleet(tmp_path):
    """A store with a configuration, two of each kind of instance, one daemon."""
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
    """Return the runs of one request at all instances."""
    return [r for e in fleet.engines.values() for r in e.runs if r.id == request_id]


@pytest.mark.parametrize(
    "prefix", [RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH]
)
def test_ordinary_request(fleet, prefix):
    """A client sends one request and gets the instance's own whole answer,
    with its signature; the instance ran it once, with path, query and body
    unchanged and the instance it was meant for named."""
    response = fleet.request(prefix, "r1")
    assert response.status == 200
    assert response.getheader(wire.SIGNATURE)
    assert response.getheader(wire.ATTEMPT_ID) == "r1"
    (run,) = runs(fleet, "r1")
    assert (run.method, run.target, run.body) == ("POST", f"{prefix}x?q=1", b"prompt")
    assert run.headers["Host"] == HOST
    assert 0 < int(run.headers[wire.DEADLINE]) <= 3000
    assert run.headers[wire.EXPECT_INSTANCE] in fleet.engines


def test_system_headers_of_a_client_are_dropped(fleet):
    """A client sends headers that are the system's to set: another instance,
    a KV source, a backup. None of them reaches the engine, which would fetch
    foreign memory or refuse the request."""
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


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.CUT_MID_EVENT, Fault.STALL])
def test_resumable_stream_goes_on_elsewhere(fleet, fault):
    """An engine ends, dies inside an event or falls silent in the middle of a
    letter. The client gets every event once and in order, the rest of them
    from the other engine, which was asked to go on after the last whole one."""
    for engine in ("d1", "d2"):
        fleet.engines[engine].event_interval_seconds = EVENT_SECONDS
    fleet.fail_next("llm", fault)
    response = fleet.request(RESUMABLE_PATH, "r3")
    assert response.whole and event_ids(response.text) == [1, 2, 3, 4]
    first, second = sorted(runs(fleet, "r3"), key=lambda r: r.last_event_id)
    assert (first.last_event_id, second.last_event_id) == (0, 2)
    assert response.getheader(wire.SIGNATURE) == (
        f"signature-of-{first.headers[wire.EXPECT_INSTANCE]}"
    )


@pytest.mark.parametrize("prefix", [RESUMABLE_PATH, IDEMPOTENT_PATH])
def test_silent_instance_is_kept_when_there_is_no_other(fleet, prefix):
    """An instance is silent for longer than usual and then goes on. Every
    other one is leaving. Ending the answer would lose it for nothing, so the
    daemon waits and the client gets it whole."""
    for engine in ("d2", "a2"):
        fleet.write(
            f"servers/{engine}", fleet.engines[engine].store_document("draining")
        )
    wait_until(lambda: len(fleet.log_records("instance draining")) == 2)
    fleet.fail_next("llm", Fault.PAUSE)
    fleet.fail_next("app", Fault.PAUSE)
    response = fleet.request(prefix, "sp1")
    assert (response.status, response.whole) == (200, True)
    assert len(runs(fleet, "sp1")) == 1


def test_stream_that_may_not_be_repeated_is_cut_not_completed(fleet):
    """An engine dies in the middle of a kiosk query, which may run only once.
    The client sees a stream that ends early, never one that looks complete,
    and no other engine runs it."""
    for engine in ("d1", "d2"):
        fleet.engines[engine].event_interval_seconds = EVENT_SECONDS
    fleet.fail_next("llm", Fault.CUT)
    response = fleet.request(STREAM_PATH, "r5")
    assert not response.whole
    assert len(runs(fleet, "r5")) == 1


@pytest.mark.parametrize(
    "fault",
    [Fault.CRASH_BEFORE_ANSWER, Fault.CUT, Fault.UNSIGNED],
)
def test_non_idempotent_call_whose_instance_dies_runs_once(fleet, fault):
    """The registry dies after it took a renewal, or its answer is spoiled.
    Whether the renewal is recorded is unknown: the client gets 502, which
    promises nothing, and no second instance is asked."""
    fleet.fail_next("app", fault)
    response = fleet.request(NON_IDEMPOTENT_PATH, "r6")
    assert response.status == 502
    assert len(runs(fleet, "r6")) == 1


@pytest.mark.parametrize(
    "prefix", [NON_IDEMPOTENT_PATH, IDEMPOTENT_PATH, STREAM_PATH, RESUMABLE_PATH]
)
def test_refused_request_goes_to_another_instance(fleet, prefix):
    """An instance is full and says that it did not run the request. Another
    one is asked, also for a renewal: nothing ran yet."""
    fleet.fail_next("app", Fault.REFUSE)
    fleet.fail_next("llm", Fault.REFUSE)
    assert fleet.request(prefix, "r7").status == 200
    assert len(runs(fleet, "r7")) == 1


@pytest.mark.parametrize(
    "prefix", [NON_IDEMPOTENT_PATH, IDEMPOTENT_PATH, STREAM_PATH, RESUMABLE_PATH]
)
def test_request_that_ran_nowhere_gets_a_promise(fleet, prefix):
    """Every instance is full. The client gets 503 with a time to come back,
    and the request never runs."""
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
def test_idempotent_call_is_repeated(fleet, fault):
    """A status lookup fails at one instance in some way. The client gets the
    other instance's whole answer in time."""
    left = fleet.fail_next("app", fault)
    response = fleet.request(IDEMPOTENT_PATH, "r9")
    assert (response.status, response.whole) == (200, True)
    assert response.text.endswith(b"r9")
    assert not left


@pytest.mark.parametrize("fault", [Fault.EXTRA, Fault.LATE_OTHER, Fault.UNFRAMED])
def test_strange_answers_never_reach_another_request(fleet, fault):
    """An instance sends a second answer, another request's answer first, or
    one without a length. Each client gets its own answer and nothing else,
    on connections that are kept between requests."""
    for engine in ("a1", "a2"):
        fleet.engines[engine].faults.extend([fault] * 5)
    connection = fleet.connect()
    for number in range(12):
        response = fleet.request(NON_IDEMPOTENT_PATH, f"t{number}", connection)
        assert response.status == 200
        assert response.text.decode().endswith(f"answers t{number}")
    connection.close()


def test_prefill_apart_and_unused_handle_freed(fleet):
    """A long prompt is prefilled by the prefill engine and then decoded from
    its handle. When the client leaves before the first event, the engine
    stops, and a handle that no run took is freed."""
    prefill = fleet.add_instance("p1", "llm", "prefill")
    wait_until(lambda: '"instance":"p1"' in fleet.log())
    long_prompt = {"X_Mulberrydock_Token_Counts": "9000,10"}
    response = fleet.request(RESUMABLE_PATH, "u1", **long_prompt)
    assert response.whole and prefill.prefills == ["u1"]
    (run,) = runs(fleet, "u1")
    assert run.headers[wire.KV_SOURCE] == f"{prefill.address}/h0"
    for engine in ("d1", "d2"):
        fleet.engines[engine].faults.append(Fault.REFUSE)
    response = fleet.request(RESUMABLE_PATH, "u2", **long_prompt)
    wait_until(lambda: "h1" in prefill.released_handles)


def test_decode_engine_that_leaves_during_the_prefill_gets_nothing(fleet):
    """A long prompt waits at a busy prefill engine. Meanwhile every decode
    engine but one announces that it leaves. The stream must start at the one
    that stays, not where it seemed best before the wait."""
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
def test_client_that_leaves_stops_the_work(fleet, prefix):
    """A client closes its connection while an instance works for it. The
    instance's connection is closed at once, so that it drops the work."""
    for engine in fleet.engines.values():
        engine.faults.append(Fault.HANG)
    connection = fleet.connect()
    send(connection, prefix, "v1")
    wait_until(lambda: runs(fleet, "v1"))
    connection.close()
    wait_until(lambda: any(r.ended == "cancelled" for r in runs(fleet, "v1")))


def test_answer_at_the_routes_timeout(fleet):
    """A route's timeout is shorter than the client's patience and the
    instance hangs. The final answer comes at the timeout and promises
    nothing, as the request has been sent."""
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


def test_draining_instance_gets_nothing_new(fleet):
    """An instance announces that it leaves. From the moment at which the
    daemon knows it, every request goes to the other one."""
    fleet.write("servers/a1", fleet.engines["a1"].store_document("draining"))
    wait_until(lambda: fleet.log_records("instance draining"))
    for number in range(6):
        assert fleet.request(IDEMPOTENT_PATH, f"x{number}").status == 200
    assert fleet.engines["a1"].runs == []


def test_address_taken_over_by_another_instance(fleet):
    """An instance ends without a word and its address serves another service.
    The request names the instance it is meant for, is refused there, and goes
    to a sound instance; the dead one is never asked again."""
    old = fleet.engines["a1"]
    fleet.call_on_loop(old.stop)
    fleet.call_on_loop(lambda: old.server.close_all_connections)
    old.id = "stranger"
    fleet.call_on_loop(old.listen)
    for number in range(6):
        response = fleet.request(NON_IDEMPOTENT_PATH, f"y{number}")
        assert response.status == 200
        assert response.text.startswith(b"a2")
    assert old.runs == []


def test_prefill_engine_replaced_at_its_address_is_asked_once(fleet):
    """A prefill engine ends without a word and another engine has its address.
    A long prompt whose prefill is refused there goes on at a decode engine;
    the request doesn't ask the same address again and again."""
    prefill = fleet.add_instance("p1", "llm", "prefill")
    wait_until(lambda: '"instance":"p1"' in fleet.log())
    fleet.call_on_loop(prefill.stop)
    prefill.id = "stranger"
    fleet.call_on_loop(prefill.listen)
    response = fleet.request(
        RESUMABLE_PATH, "pr1", X_Mulberrydock_Token_Counts="9000,10"
    )
    assert event_ids(response.text) == [1, 2, 3, 4]
    assert prefill.misdirected == 1


@pytest.mark.parametrize(("deadline", "seconds"), [("8000", 1.2), ("2000", 0.6)])
def test_client_learns_when_an_engine_will_be_back(fleet, deadline, seconds):
    """Both decode engines have announced that they leave, and no other is
    there. A client that comes back after half a second is refused again and
    gives up; it is told a time by which a stage change or a restart is over,
    within the third of its time left that it would wait. The route's own
    timeout is 4 s."""
    for engine in ("d1", "d2"):
        fleet.write(
            f"servers/{engine}", fleet.engines[engine].store_document("draining")
        )
    wait_until(lambda: len(fleet.log_records("instance draining")) == 2)
    response = fleet.request(RESUMABLE_PATH, "cb1", X_Mulberrydock_Deadline_Ms=deadline)
    assert response.status == 503
    assert float(response.headers["Retry-After"]) == pytest.approx(seconds, abs=0.11)


def test_long_prompt_goes_to_the_other_prefill_engine(fleet):
    """One of two prefill engines refuses a letter. Read by a decode engine in
    its streams' way, it would hold up those; the other prefill engine is free
    and reads it."""
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


def test_prompt_is_not_prefilled_again_and_again(fleet):
    """Both decode engines are under suspicion after failures, and the prefill
    engine refuses what it gets, as another one has its address. The request
    must not go round between them: each round costs a send of the budget that
    all VMs share, hundreds a second."""
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


def test_configuration_never_goes_back(fleet):
    """The store forgets its history and then shows an older version. The
    route of the newer version stays in force."""
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
    assert fleet.request(IDEMPOTENT_PATH, "z1").text.startswith(b"a")
    assert fleet.request(NON_IDEMPOTENT_PATH, "z2").status == 200
    versions = [r["version"] for r in fleet.log_records("configuration in force")]
    assert versions == sorted(versions)


@pytest.mark.parametrize("trouble", ["refusing", "silent"])
def test_store_outage_takes_nothing_from_belief(fleet, trouble):
    """The store is away and every record lapses with it. Requests are served
    all the while. Back again, instances that return within the grace stay;
    one that is still missing after it is gone."""
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


def test_lost_answers_of_the_store_leave_the_vm_registered(fleet):
    """Writes are done and their answers lost while a VM registers. It
    registers again until it knows, and its peers list it."""
    fleet.store.lose_write_answers = 3
    fleet.start("entry-2")
    fleet.wait_ready("entry-2")
    key = "entries/entry-2"
    wait_until(lambda: key in fleet.store.items)
    wait_until(
        lambda: any(r["peer"] == "entry-2" for r in fleet.log_records("peer seen"))
    )


def test_record_dropped_by_the_store_is_written_again(fleet):
    """The store drops a VM's record while its lease lives, and no call shows
    it. The VM sees the removal and registers again."""
    wait_until(lambda: "entries/entry-1" in fleet.store.items)
    revision = fleet.store.items["entries/entry-1"].version
    fleet.remove("entries/entry-1")
    wait_until(lambda: "entries/entry-1" in fleet.store.items)
    assert fleet.store.items["entries/entry-1"].version > revision


def test_daemon_without_configuration_answers_503(tmp_path):
    """A VM starts while the store is away. It isn't ready, and tells clients
    to come back: whether their routes exist isn't known here."""
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


def test_graceful_stop_cuts_nothing(fleet):
    """A VM is told to stop while it answers a stream and a client keeps its
    connection. It is no longer ready nor listed; the stream ends whole, and a
    request on the kept connection is served and told to move elsewhere."""
    fleet.start("entry-2")
    fleet.wait_ready("entry-2")
    for engine in ("d1", "d2"):
        fleet.engines[engine].event_interval_seconds = 0.3
    kept = fleet.connect()
    assert fleet.request(IDEMPOTENT_PATH, "g0", kept).status == 200
    connection = fleet.connect()
    send(connection, RESUMABLE_PATH, "g1")
    wait_until(lambda: runs(fleet, "g1"))
    fleet.daemons["entry-1"].send_signal(signal.SIGTERM)
    wait_until(lambda: not fleet.is_ready())
    front = fleet.settings["entry-1"]["front"]
    directory = fleet.settings["entry-2"]["directory"]
    wait_until(lambda: str(front).encode() not in fleet.get(directory, "/resolve")[1])
    response = fleet.request(IDEMPOTENT_PATH, "g2", kept)
    assert (response.status, response.getheader("Connection")) == (200, "close")
    response = connection.getresponse()
    assert event_ids(response.read()) == [1, 2, 3, 4]
    assert fleet.daemons["entry-1"].wait(10) == 0


def test_late_request_of_a_stopping_vm_is_refused_not_cut(fleet):
    """A VM is told to stop; a client that still keeps a connection sends a
    request so late that its stream would outlast the process. Taken, it would
    be cut when the grace ends. It gets a promise instead and goes elsewhere."""
    kept = fleet.connect()
    assert fleet.request(IDEMPOTENT_PATH, "l0", kept).status == 200
    fleet.daemons["entry-1"].send_signal(signal.SIGTERM)
    wait_until(lambda: fleet.log_records("refusing new requests"))
    response = fleet.request(IDEMPOTENT_PATH, "l1", kept)
    assert response.status == 503
    assert float(response.getheader("Retry-After")) >= 0
    assert runs(fleet, "l1") == []
    assert fleet.daemons["entry-1"].wait(10) == 0


def test_pool_without_prefill_engine_gets_one(fleet):
    """Every engine that prefills has left. The holder of the lease orders one
    decode engine to prefill, once, naming the order count it decided on."""
    orders = wait_until(
        lambda: fleet.engines["d1"].orders + fleet.engines["d2"].orders, seconds=20
    )
    assert len(orders) == 1
    assert orders[0]["stage"] == "prefill"
    assert orders[0]["fencing_token"] > 0


def test_metrics_are_served(fleet):
    """The metrics address shows the configuration version and a histogram of
    the route that served a request."""
    fleet.request(IDEMPOTENT_PATH, "m1")
    status, body = fleet.get(fleet.settings["entry-1"]["metrics"], "/metrics")
    assert status == 200
    assert b"mulberrydock_config_version 3.0" in body
    assert b'mulberrydock_request_seconds_count{code="OK",route="status"} 1.0' in body


def test_bad_settings_end_the_start(tmp_path):
    """A settings file names an unknown key. The daemon ends at once with one
    line that names it."""
    fleet = PlatformFleet(tmp_path)
    try:
        fleet.start(grace='"soon"')
        assert fleet.daemons["entry-1"].wait(15) == 2
        (line,) = fleet.log().splitlines()
        assert "timing.grace_seconds" in line
    finally:
        fleet.stop()


def test_stream_that_would_wait_longer_than_its_client_is_refused_at_once(fleet):
    """A prompt of two million tokens is being read by the only prefill engine.
    The next letter would get its first event long after its client has left;
    held, it would only hold up others. It is refused at once, with a time to
    come back that the client honours, and runs nowhere."""
    gate = asyncio.Event()
    prefill = fleet.add_instance("p1", "llm", "prefill", prefill_gate=gate)
    wait_until(lambda: '"instance":"p1"' in fleet.log())
    connection = fleet.connect()
    send(connection, RESUMABLE_PATH, "u1", X_Mulberrydock_Token_Counts="2000000,10")
    wait_until(lambda: prefill.prefills)
    response = fleet.request(
        RESUMABLE_PATH, "u2", X_Mulberrydock_Token_Counts="12000,10"
    )
    assert response.status == 503
    assert 0 < float(response.headers["Retry-After"]) <= 1.0
    assert runs(fleet, "u2") == []
    fleet.call_on_loop(gate.set)
    assert event_ids(connection.getresponse().read()) == [1, 2, 3, 4]


@pytest.mark.parametrize("raw", [b"\xff\xfe", b"[" * 50_000, b'{"service": 7}'])
def test_spoiled_record_takes_its_instance_alone(fleet, raw):
    """Another writer overwrites an instance's record with bytes that can't be
    read. The daemon goes on with the others, says so once, and sends to that
    instance again as soon as its own record is back."""
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


def test_prefill_of_a_former_start_is_never_continued(fleet):
    """A letter's prompt is read by an engine that crashes and starts again
    under its id before the hand-over. Its handle may now be another prompt's,
    so the prompt is read anew and no run names the old handle."""
    gate = asyncio.Event()
    engine = fleet.add_instance(
        "p1", "llm", "prefill", prefill_gate=gate, started_at_ms=1000
    )
    wait_until(lambda: '"instance":"p1@1000"' in fleet.log())
    connection = fleet.connect()
    send(connection, RESUMABLE_PATH, "reborn", **{wire.TOKEN_COUNTS: "5000,10"})
    wait_until(lambda: engine.prefills)
    # The new start registers while the old one's answer is on its way.
    fleet.write("servers/p1", dict(engine.store_document(), born=2000))
    wait_until(lambda: fleet.log_records("instance gone"))
    fleet.loop.call_soon_threadsafe(gate.set)
    response = connection.getresponse()
    assert (response.status, event_ids(response.read())) == (200, [1, 2, 3, 4])
    sources = [r.headers.get(wire.KV_SOURCE) for r in runs(fleet, "reborn")]
    assert all(source != f"{engine.address}/h0" for source in sources)


def test_stream_whose_engine_starts_again_under_its_id(fleet):
    """An engine crashes in the middle of a letter and starts again under its
    id at the same address. The letter goes on, whole and in order, as a new
    run after the last whole event."""
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


def test_order_is_not_built_on_a_former_start(fleet):
    """A pool needs a prefill engine. The engine to be changed has started again
    under its id, which its report shows before its record does: its order
    count is another one now, so the order waits for the new record."""
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
