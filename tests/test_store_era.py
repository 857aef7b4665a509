"""The store is restored from a copy some seconds old while real daemons run.

Writes acknowledged after the copy are lost, as are leases; revisions and lease ids
are assigned again. The operator and the instances write their values again.
"""

import asyncio
import time

import pytest
from platform_fleet import RESUMABLE_PATH, PlatformFleet, config, wait_until

from mulberrydock.crash_evidence import CRASH_LIMIT, Crash
from mulberrydock.instances import (
    STORE_RECOVERY_GRACE_SECONDS,
    UNCONFIRMED_SECONDS,
    InstanceRecord,
    InstanceRegistry,
    Stage,
)
from mulberrydock.lease import VERSIONS_PER_ERA, LeaderLease
from mulberrydock.quarantine import PEER_CRASH_WRITE_DELAY_SECONDS, Quarantine
from mulberrydock.standin.platform_store import PlatformStoreState
from mulberrydock.standin.store import DirectStore

#: Number of configurations that are lost and whose revisions are assigned again.
VERSIONS = 8


@pytest.fixture
def fleet(tmp_path):
    """A store with a configuration, two decode engines and two daemons."""
    running = PlatformFleet(tmp_path)
    running.write("op/config", config(3))
    for instance_id in "d1", "d2":
        running.add_instance(instance_id, "llm", "decode")
    for name in "entry-1", "entry-2":
        running.start(name)
    try:
        for name in "entry-1", "entry-2":
            running.wait_ready(name)
        yield running
    finally:
        running.stop()


def restore_store(fleet, snapshot, documents=()):
    """Restore the store from ``snapshot`` and write ``documents``, (key, value) pairs.

    Its revisions then exceed the ones that the daemons have seen.
    """

    def restore():
        known = fleet.store.revision
        fleet.store.restore(snapshot)
        for key, document in documents:
            fleet.store.write(key, document)
        while fleet.store.revision <= known:
            fleet.store.write("op/other", {})

    fleet.call_on_loop(restore)


def in_force(fleet, name, version):
    """Return whether the daemon has logged that a configuration is in force."""
    events = fleet.log_records("configuration in force", name)
    return any(event["version"] == version for event in events)


# Guards against a follower that misses changes whose revisions are assigned again, and
# against one that goes back to an older configuration.
def test_configuration_is_followed_after_the_store_lost_versions(fleet):
    snapshot = fleet.call_on_loop(fleet.store.snapshot)
    for version in range(4, 4 + VERSIONS):
        fleet.write("op/config", config(version))
    last = 3 + VERSIONS
    for name in fleet.daemons:
        wait_until(lambda: in_force(fleet, name, last))
    restore_store(fleet, snapshot, [("op/config", config(last + 1))])
    for name in fleet.daemons:
        wait_until(lambda: in_force(fleet, name, last + 1))
        events = fleet.log_records("configuration in force", name)
        versions = [event["version"] for event in events]
        assert versions == sorted(versions)


# Guards against VMs that stay unregistered, or renew another VM's lease.
def test_daemons_register_again_and_serve(fleet):
    before = {f"entries/{name}" for name in fleet.daemons}
    wait_until(lambda: before <= set(fleet.store.items))
    snapshot = fleet.call_on_loop(fleet.store.snapshot)
    for key in before:
        snapshot.items.pop(key)
    snapshot.leases.clear()
    restore_store(fleet, snapshot)

    def registered():
        keys = {key for key in fleet.store.items if key.startswith("entries/")}
        leases = [fleet.store.items[key].lease for key in keys]
        return keys == before and len(set(leases)) == len(leases)

    wait_until(registered)
    assert fleet.request(RESUMABLE_PATH, "r1").status == 200


# Guards against work for a draining engine whose record in the copy says it is ready.
def test_draining_engine_gets_no_work_after_a_restore(fleet):
    snapshot = fleet.call_on_loop(fleet.store.snapshot)
    fleet.write("servers/d1", fleet.engines["d1"].store_document("draining"))
    for name in fleet.daemons:
        wait_until(lambda: fleet.log_records("instance draining", name))
    restore_store(fleet, snapshot)
    for name in fleet.daemons:
        wait_until(lambda: fleet.log_records("store restored from an older copy", name))
    for number in range(6):
        assert fleet.request(RESUMABLE_PATH, f"r{number}").status == 200
    assert not fleet.engines["d1"].runs


# Guards against a leader whose fencing token is lower than its predecessor's.
def test_fencing_tokens_rise_over_eras():
    async def go():
        state = PlatformStoreState()
        store = DirectStore(state)
        tokens = []
        snapshot = state.snapshot()
        for era in range(3):
            store.era = era
            lease = LeaderLease(store, f"entry-{era}", 10.0)
            for _ in range(5 - era):
                await store.put("other", "x")
            assert await lease.acquire(time.monotonic())
            tokens.append(lease.authority.token)
            state.restore(snapshot)
        return tokens

    tokens = asyncio.run(go())
    assert tokens == sorted(set(tokens))
    assert [token // VERSIONS_PER_ERA for token in tokens] == [0, 1, 2]


# Guards against a leader whose lease was lost by a restore while it was acquired.
def test_lease_lost_while_it_is_acquired_gives_no_authority():
    async def go():
        store = DirectStore(PlatformStoreState())
        lease = LeaderLease(store, "entry-1", 10.0)
        put = store.put

        async def put_before_restore(*args, **options):
            written = await put(*args, **options)
            store.era += 1
            return written

        store.put = put_before_restore
        return await lease.acquire(time.monotonic()), lease.authority.token

    assert asyncio.run(go()) == (False, 0)


def record(instance_id, draining=False):
    """Return an instance's record."""
    return InstanceRecord(
        instance_id, "s", "h:1", "dc1", 4, draining, Stage.NONE, started_at_ms=1
    )


# Guards against work for an instance that has left but whose record is in an older
# copy, and against never using an instance again that is alive and keeps that record.
@pytest.mark.parametrize(
    ("removed_again", "seconds", "expected"),
    [
        (False, 0.1, {"a"}),
        (False, UNCONFIRMED_SECONDS + 0.1, {"a", "b"}),
        (True, UNCONFIRMED_SECONDS + 0.1, {"a"}),
    ],
)
def test_restored_record_of_a_removed_instance(removed_again, seconds, expected):
    registry = InstanceRegistry()
    for name in "a", "b":
        registry.put(record(name), 0.0)
    registry.remove("b", 10.0)
    registry.handle_store_restored(12.0)
    registry.begin_reload()
    for name in "a", "b":
        registry.put(record(name), 12.1)
    registry.finish_reload(12.1)
    if removed_again:
        registry.remove("b", 15.0)
    registry.sweep(12.0 + seconds)
    assert {i.record.id for i in registry.serving("s")} == expected


# Guards against dropping engines at once when the copy is older than their records.
@pytest.mark.parametrize("back", [True, False])
def test_instance_that_the_copy_lacks_has_time_to_register_again(back):
    registry = InstanceRegistry()
    for name in "a", "b":
        registry.put(record(name), 0.0)
    registry.handle_store_restored(10.0)
    registry.begin_reload()
    registry.put(record("a"), 10.1)
    registry.finish_reload(10.1)
    registry.sweep(10.0 + STORE_RECOVERY_GRACE_SECONDS / 2)
    assert len(registry.serving("s")) == 2
    if back:
        registry.put(record("b"), 11.0)
    registry.sweep(10.1 + STORE_RECOVERY_GRACE_SECONDS)
    assert len(registry.serving("s")) == 1 + back


# Guards against crashing work that leaves quarantine because the store lost its crash
# records, and against cleared work that returns to quarantine.
@pytest.mark.parametrize("served", [False, True])
def test_quarantine_is_unchanged_by_a_restore(served):
    quarantine, now = Quarantine(), 100.0
    crashes = [Crash("w", f"e{number}") for number in range(CRASH_LIMIT)]
    for crash in crashes:
        quarantine.apply(crash.key, 1000.0, now)
    if served:
        quarantine.record_request_end("w", True, now)
        assert quarantine.removals == set(crashes)
        quarantine.removals.clear()
    quarantine.handle_store_restored()
    quarantine.begin_reload()
    for crash in crashes if served else crashes[:1]:
        quarantine.apply(crash.key, 1000.0, now)
    quarantine.finish_reload(0.5, now)
    assert quarantine.is_quarantined("w") is not served
    if served:
        assert quarantine.removals == set(crashes)
        return
    assert not quarantine.due_writes(now)
    assert set(quarantine.due_writes(now + 2 * PEER_CRASH_WRITE_DELAY_SECONDS)) == set(
        crashes[1:]
    )
