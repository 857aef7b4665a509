"""Requests that crash the engines that run them, against real daemons.

A client's request ends with an engine's connection, its VM sends it to the next
engine, and that one ends as well; the client sends the same again, to another VM,
which has never seen it. Every engine of the pool is down within a second, again and
again, and with them everything else that runs there.

The cause: a VM remembered failures of engines, but nothing of the requests that they
failed under, so each attempt began with a clean slate, at its own VM as at any other.
What proved it: under each of four engines that ended in a row was a request of one size
whose prompt another one like it had left whole in the cache, each with a new id at
another VM; and these tests, which failed with 7 to 9 calls after the third crash.
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

#: A body whose run crashes the engine, and one that no engine minds.
CRASHING = b"crash"
SOUND = b"prompt"
VMS = ("entry-1", "entry-2")
#: Engines that may end under a request before no VM in touch sends it on.
CRASHES = 3
#: Seconds within which all VMs in touch must know, as in the daemons' settings.
CONTACT_SECONDS = 2.2
#: Calls that may reach engines after that.
SENDS_AFTER = 3
#: Seconds for which a stream has run when its engine ends, well over those within which
#: it could be to blame.
HARMLESS_SECONDS = 0.4
#: Seconds until engines that have just crashed are back and known again.
BACK_SECONDS = 1.2


@pytest.fixture
def fleet(tmp_path):
    """A store, a pool and a plain service, two daemons."""
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
        crash_marker=CRASHING,
        on_restart=lambda engine: fleet.store.write(
            f"servers/{name}", engine.store_document()
        ),
    )


def crashes(fleet):
    return sum(engine.crashes for engine in fleet.engines.values())


def arrivals(fleet):
    """Return how many calls reached engines, prefill calls among them."""
    return sum(len(engine.arrived_ids) for engine in fleet.engines.values())


def crash_engines(fleet, prefix):
    """Send the same request, to one VM after the other, until it crashed three."""
    sent = 0
    end = time.monotonic() + 20.0
    while crashes(fleet) < CRASHES and time.monotonic() < end:
        name = VMS[sent % len(VMS)]
        fleet.request(prefix, f"crashing-{sent}", name=name, body=CRASHING)
        sent += 1
        time.sleep(0.2)
    assert crashes(fleet) >= CRASHES


@pytest.mark.parametrize(
    "prefix", [RESUMABLE_PATH, STREAM_PATH, IDEMPOTENT_PATH, NON_IDEMPOTENT_PATH]
)
def test_request_that_crashed_three_engines_is_sent_on_by_no_vm(fleet, prefix):
    """A client's request crashes every engine that runs it, and the client sends it
    again and again, to whichever VM: those that saw the crashes, one that saw none of
    them, one that has just started. Engines go on ending under it."""
    crash_engines(fleet, prefix)
    time.sleep(CONTACT_SECONDS)
    fleet.start("entry-3")
    wait_until(lambda: fleet.is_ready("entry-3"))
    before = arrivals(fleet)
    for turn in range(3):
        for name in (*VMS, "entry-3"):
            request_id = f"again-{name}-{turn}"
            fleet.request(prefix, request_id, name=name, body=CRASHING)
        time.sleep(BACK_SECONDS)
    assert arrivals(fleet) - before <= SENDS_AFTER
    wait_until(lambda: fleet.request(prefix, "sound", body=SOUND).status == 200, 5.0)


def test_stream_that_ran_beside_a_crashing_request_is_not_blamed(tmp_path):
    """Three times in a row an engine ends under a stream that it has been writing for a
    while, as another request, each time another one, crashes it. The stream's client
    sends it a fourth time: it is served, as it would have ended its engine at once."""
    fleet = PlatformFleet(tmp_path)
    fleet.write("op/config", config(3))
    add(fleet, "d1", "llm", "decode")
    engine = fleet.engines["d1"]
    engine.events, engine.event_interval_seconds = 20, 0.05
    fleet.start()
    try:
        fleet.wait_ready(instances=["d1@1"])
        for turn in range(CRASHES):
            connection = fleet.connect()
            send(connection, STREAM_PATH, f"bystander-{turn}", body=SOUND)
            connection.getresponse().read(1)
            time.sleep(HARMLESS_SECONDS)
            fleet.request(
                STREAM_PATH, f"crash-{turn}", body=CRASHING + str(turn).encode()
            )
            assert engine.crashes == turn + 1
            wait_until(lambda: len(fleet.log_records("instance seen")) == turn + 2)
        assert fleet.request(STREAM_PATH, "bystander", body=SOUND).status == 200
    finally:
        fleet.stop()
