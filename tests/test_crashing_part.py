"""Parts of prompts that crash the engines that begin to write on them, at real daemons.

No two requests with such a part are alike, they come at any VM, and sound requests
share their route and their other parts. Evidence that is kept under the whole request
never adds up, so engines keep crashing.
"""

import itertools
import threading
import time

import attrs
import pytest
from platform_fleet import RESUMABLE_PATH, PlatformFleet, config, send, wait_until

VMS = ("entry-1", "entry-2", "entry-3")
#: Parts that crash engines.
DEADLY = frozenset({"d1", "d2"})
#: Crashes after which the contact time begins in which all VMs must hear of them.
LIMIT = 5
#: Seconds within which all VMs in contact must know, as in the daemons' settings.
CONTACT_SECONDS = 2.2
#: Calls with a deadly part that may reach engines after that.
MAX_CALLS_AFTER_LIMIT = 3
#: Seconds from the first crash after which sound requests must be served again.
RECOVERY_SECONDS = 2.0
#: Share of the sound requests that must be served at their first attempt from then on.
SOUND_SHARE = 0.9
#: Seconds for which clients send, and between two requests of one client.
STORM_SECONDS = 9.0
REQUEST_INTERVAL_SECONDS = 0.12
#: One request of each client in this many has a deadly part.
DEADLY_EVERY = 4
#: Prompts as parts before the last one: deadly ones beside sound ones that share every
#: other part, in each position.
PROMPTS = {
    "first part": [("d1", "b")],
    "second part": [("a", "d1")],
    "second of three": [("a", "d1", "c")],
    "third part": [("a", "b", "d1")],
    "two parts": [("a", "d1"), ("a", "b", "d2")],
    "two parts in one prompt": [("a", "d1", "d2")],
}


@attrs.define
class Storm:
    """Clients that send deadly and sound requests to all VMs of ``fleet``.

    ``sound`` holds (time sent, whether it was served) of each sound request.
    """

    fleet: PlatformFleet
    prompts: list
    ids: itertools.count = attrs.field(factory=itertools.count)
    sound: list = attrs.field(factory=list)

    def request(self, name, deadly):
        """Send one request that differs from all others; return its response."""
        number = next(self.ids)
        parts = self.prompts[number % len(self.prompts)]
        if not deadly:
            parts = [f"s-{part}" if part in DEADLY else part for part in parts]
        prefix = ",".join(f"{part}:40" for part in (*parts, f"own{number}"))
        connection = self.fleet.connect(name)
        try:
            send(
                connection,
                RESUMABLE_PATH,
                f"{'deadly' if deadly else 'sound'}-{number}",
                body=f"prompt {number}".encode(),
                X_Mulberrydock_Prompt_Prefix=prefix,
            )
            response = connection.getresponse()
            response.read()
            return response.status
        except Exception as error:  # http.client raises undocumented exceptions
            return repr(error)
        finally:
            connection.close()

    def run_client(self, name, seconds):
        """Send requests to ``name`` one after the other."""
        end, turn = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            turn += 1
            deadly = turn % DEADLY_EVERY == 0
            sent_at = time.monotonic()
            status = self.request(name, deadly)
            if not deadly:
                self.sound.append((sent_at, status == 200))
            time.sleep(REQUEST_INTERVAL_SECONDS)

    def run(self, names, seconds=STORM_SECONDS):
        """Send requests to each of ``names`` at the same time."""
        clients = [
            threading.Thread(target=self.run_client, args=(name, seconds))
            for name in names
        ]
        for client in clients:
            client.start()
        for client in clients:
            client.join()

    def crash_times(self):
        """Return when engines crashed, in order."""
        engines = self.fleet.engines.values()
        return sorted(at for engine in engines for at in engine.crash_times)

    def late_calls(self):
        """Return the calls with a deadly part that came after the contact time."""
        crashes = self.crash_times()
        if len(crashes) < LIMIT:
            return []
        known_at = crashes[LIMIT - 1] + CONTACT_SECONDS
        return [
            request_id
            for engine in self.fleet.engines.values()
            for request_id, at in zip(engine.arrived_ids, engine.arrival_times)
            if request_id.startswith("deadly") and at > known_at
        ]

    def sound_share(self):
        """Return the share of sound requests served at once after the recovery time."""
        crashes = self.crash_times()
        served = [ok for at, ok in self.sound if at > crashes[0] + RECOVERY_SECONDS]
        return sum(served) / len(served)


@pytest.fixture
def fleet(tmp_path):
    """A store, a pool of engines and daemons."""
    running = PlatformFleet(tmp_path)
    running.write("op/config", config(3))
    for number in range(5):
        add_engine(running, f"e{number}", "decode")
    add_engine(running, "p0", "prefill")
    for name in VMS:
        running.start(name)
    try:
        for name in VMS:
            running.wait_ready(name, [f"{engine}@1" for engine in running.engines])
        yield running
    finally:
        running.stop()


def add_engine(fleet, name, stage):
    fleet.add_instance(
        name,
        "llm",
        stage,
        started_at_ms=1,
        crash_parts=DEADLY,
        event_interval_seconds=0.01,
        on_restart=lambda engine: fleet.store.write(
            f"servers/{name}", engine.store_document()
        ),
    )


@pytest.mark.parametrize("prompts", PROMPTS.values(), ids=PROMPTS.keys())
def test_part_that_crashes_engines_is_stopped_and_sound_requests_are_served(
    fleet, prompts
):
    """Engines crash under requests that share one part of their prompts.

    A VM that starts during the storm has seen none of the crashes.
    """
    storm = Storm(fleet, prompts)
    storm.run(VMS[:2], STORM_SECONDS / 3)
    fleet.start("entry-4")
    wait_until(lambda: fleet.is_ready("entry-4"))
    storm.run((*VMS, "entry-4"), STORM_SECONDS)
    assert storm.crash_times()
    assert len(storm.late_calls()) <= MAX_CALLS_AFTER_LIMIT
    assert storm.sound_share() >= SOUND_SHARE


def silence_store(fleet):
    """The store answers nothing while the first engines crash."""
    fleet.store.silent = True
    yield
    fleet.store.silent = False


def kill_all_vms(fleet):
    """All VMs lose power once engines have crashed, and start again."""
    yield
    for name in VMS:
        fleet.daemons[name].kill()
        fleet.daemons[name].wait()
    for name in VMS:
        fleet.start(name)
    for name in VMS:
        wait_until(lambda: fleet.is_ready(name))


@pytest.mark.parametrize("disturbance", [silence_store, kill_all_vms])
def test_part_is_stopped_although_evidence_may_get_lost(fleet, disturbance):
    """Engines crash under a part while the evidence can't be kept, or is forgotten."""
    storm = Storm(fleet, PROMPTS["second part"])
    steps = disturbance(fleet)
    next(steps)
    storm.run(VMS, STORM_SECONDS / 3)
    next(steps, None)
    storm.run(VMS, STORM_SECONDS)
    assert storm.crash_times()
    assert len(storm.late_calls()) <= MAX_CALLS_AFTER_LIMIT
