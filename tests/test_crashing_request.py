"""Requests that crash the engines that run them, against real daemons.

A request crashes its engine, so its VM sends it to the next engine, which crashes as
well; the client sends it again, with a new id, to another VM, which has never seen it.
All engines of the pool are down within a second, again and again, with everything else
that runs on them. It comes about when a VM remembers failures only by engine, not by
the request that caused them: without the quarantine 7 to 9 calls still reach engines
after the third crash. Four engines in a row crashed under requests of one size, each
with a new id at another VM, whose prompt an earlier request had left complete in the
engine's cache.
"""

import time

import pytest
from platform_fleet import (
    IDEMPOTENT_PATH,
    NON_IDEMPOTENT_PATH,
    RESUMABLE_PATH,
    STREAM_PATH,
    PlatformFleet,
    config,
    send,
    wait_until,
)

#: A body that crashes the engine that runs it, and one that does no harm.
CRASHING_BODY = b"crash"
HARMLESS_BODY = b"prompt"
VMS = ("entry-1", "entry-2")
#: Engines that may crash under a request before no VM in contact sends it any more.
CRASH_LIMIT = 3
#: Seconds within which all VMs in contact must know, as in the daemons' settings.
CONTACT_SECONDS = 2.2
#: Calls that may reach engines after that.
MAX_SENDS_AFTER_LIMIT = 3
#: Seconds for which a stream has run when its engine crashes, well above those within
#: which the stream could be to blame.
STREAM_RUN_SECONDS = 0.4
#: Seconds until engines that have just crashed have restarted and registered.
RECOVERY_SECONDS = 1.2


@pytest.fixture
def fleet(tmp_path):
    """A store, a pool of engines, a plain service and two daemons."""
    running = PlatformFleet(tmp_path)
    running.write("op/config", config(3))
    for name in ("d1", "d2", "d3"):
        add(running, name, "llm", "decode")
    add(running, "p1", "llm", "prefill")
    for name in ("a1", "a2", "a3"):
        add(running, name, "app")
    for name in VMS:
        running.start(name)
    try:
        for name in VMS:
            running.wait_ready(name, [f"{engine}@1" for engine in running.engines])
        yield running
    finally:
        running.stop()


def add(fleet, name, service, stage=""):
    fleet.add_instance(
        name,
        service,
        stage,
        started_at_ms=1,
        crash_marker=CRASHING_BODY,
        on_restart=lambda engine: fleet.store.write(
            f"servers/{name}", engine.store_document()
        ),
    )


def crashes(fleet):
    return sum(engine.crashes for engine in fleet.engines.values())


def arrivals(fleet):
    """Return how many calls reached engines, including prefill calls."""
    return sum(len(engine.arrived_ids) for engine in fleet.engines.values())


def crash_engines(fleet, prefix):
    """Send the same request to the VMs in turn until it has crashed three engines."""
    sent = 0
    end = time.monotonic() + 20.0
    while crashes(fleet) < CRASH_LIMIT and time.monotonic() < end:
        name = VMS[sent % len(VMS)]
        fleet.request(prefix, f"crashing-{sent}", name=name, body=CRASHING_BODY)
        sent += 1
        time.sleep(0.2)
    assert crashes(fleet) >= CRASH_LIMIT


@pytest.mark.parametrize(
    "prefix", [RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH]
)
def test_request_that_crashed_three_engines_is_sent_by_no_vm(fleet, prefix):
    """A client repeats a request that crashes every engine that runs it.

    It is sent to VMs that saw the crashes, that saw none of them and that have just
    started. Without the quarantine, engines keep crashing under it.
    """
    crash_engines(fleet, prefix)
    time.sleep(CONTACT_SECONDS)
    fleet.start("entry-3")
    wait_until(lambda: fleet.is_ready("entry-3"))
    before = arrivals(fleet)
    for turn in range(3):
        for name in (*VMS, "entry-3"):
            request_id = f"again-{name}-{turn}"
            fleet.request(prefix, request_id, name=name, body=CRASHING_BODY)
        time.sleep(RECOVERY_SECONDS)
    assert arrivals(fleet) - before <= MAX_SENDS_AFTER_LIMIT
    wait_until(
        lambda: fleet.request(prefix, "sound", body=HARMLESS_BODY).status == 200, 5.0
    )


def test_stream_that_ran_beside_a_crashing_request_is_not_blamed(tmp_path):
    """Three times an engine crashes, by another request each time, during one stream.

    The stream had been running for a while each time. It must be served when it is sent
    a fourth time: had it been to blame, the engine would have crashed at once.
    """
    fleet = PlatformFleet(tmp_path)
    fleet.write("op/config", config(3))
    add(fleet, "d1", "llm", "decode")
    engine = fleet.engines["d1"]
    engine.events, engine.event_interval_seconds = 20, 0.05
    fleet.start()
    try:
        fleet.wait_ready(instances=["d1@1"])
        for turn in range(CRASH_LIMIT):
            connection = fleet.connect()
            send(connection, STREAM_PATH, f"bystander-{turn}", body=HARMLESS_BODY)
            connection.getresponse().read(1)
            time.sleep(STREAM_RUN_SECONDS)
            fleet.request(
                STREAM_PATH, f"crash-{turn}", body=CRASHING_BODY + str(turn).encode()
            )
            assert engine.crashes == turn + 1
            wait_until(lambda: len(fleet.log_records("instance seen")) == turn + 2)
        assert fleet.request(STREAM_PATH, "bystander", body=HARMLESS_BODY).status == 200
    finally:
        fleet.stop()
