"""A hypothesis state machine: the configuration in force never goes back.

Operators patch concurrently, the store has outages and loses the responses to
writes that took effect, and followers see versions late, twice or out of order.
In every case, a follower's version only increases, an invalid version is never
accepted, and once the store is reachable, the follower reaches the newest valid
version.
"""

import asyncio

import hypothesis.strategies as st
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from mulberrydock import defaults
from mulberrydock.configuration import (
    ConfigFollower,
    patch_config,
    read_config,
    seed_config,
)
from mulberrydock.exceptions import ResultCode
from mulberrydock.settings import default_settings_text, parse_settings
from mulberrydock.standin.store import DirectStore, StoreState

SETTINGS = parse_settings(default_settings_text("lagos"))
ENGINES = [e.name for e in SETTINGS.engines]


def _text(version_label, leaving):
    rows = "".join(
        f'[[engines]]\nengine = "{name}"\nmodel = "m-{version_label}"\n'
        for name in ENGINES
    )
    return f"leaving = {list(leaving)!r}\n".replace("'", '"') + rows


class ConfigurationMachine(RuleBasedStateMachine):
    """Writes to a versioned key, which two followers see in any order."""

    def __init__(self):
        super().__init__()
        self.written = []
        self.followers = [ConfigFollower(None, SETTINGS) for _ in range(2)]
        self.seen = [0, 0]
        self.clock = 0.0

    @rule(label=st.integers(0, 99), leaving=st.sampled_from([[], ["engine-1"]]))
    def operator_writes(self, label, leaving):
        self.written.append((len(self.written) + 1, _text(label, leaving), True))

    @rule()
    def operator_writes_invalid(self):
        text = _text(0, ["no-such-vm"])
        self.written.append((len(self.written) + 1, text, False))

    @precondition(lambda self: self.written)
    @rule(follower=st.integers(0, 1), pick=st.integers(0, 10**6))
    def follower_sees_any_version(self, follower, pick):
        version, text, _ = self.written[pick % len(self.written)]
        self.clock += 0.1
        self.followers[follower].accept(version, text, self.clock)

    @rule(follower=st.integers(0, 1))
    def follower_catches_up(self, follower):
        for version, text, _ in self.written:
            self.followers[follower].accept(version, text, self.clock)
        newest_valid = max((v for v, _, ok in self.written if ok), default=0)
        assert self.followers[follower].version == newest_valid

    @invariant()
    def versions_never_go_back(self):
        for index, follower in enumerate(self.followers):
            assert follower.version >= self.seen[index]
            self.seen[index] = follower.version

    @invariant()
    def only_valid_versions_are_in_force(self):
        valid = {v for v, _, ok in self.written if ok} | {0}
        for follower in self.followers:
            assert follower.version in valid


ConfigurationMachine.TestCase.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
TestConfiguration = ConfigurationMachine.TestCase


def test_follower_keeps_last_version_through_outage():
    # Guards against losing the configuration in an outage: the store fails after
    # version 1 is in force, and the follower's watch fails repeatedly.
    class DownStore:
        calls = 0
        era = 0

        async def get(self, key):
            from expression import Error

            from mulberrydock.exceptions import StoreError

            DownStore.calls += 1
            return Error(StoreError("outage"))

        range = watch = get

    follower = ConfigFollower(DownStore(), SETTINGS)
    follower.accept(1, _text(1, []), 0.0)

    async def run_briefly():
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.6)
        task.cancel()

    asyncio.run(run_briefly())
    assert DownStore.calls >= 2
    assert follower.version == 1
    assert follower.declared.engines[0].model == "m-1"


class PatchMachine(RuleBasedStateMachine):
    """Two operators patch one store that loses responses and fails reads.

    Each patch sets a model name of its own, so that the store's history shows which
    patches took effect.
    """

    def __init__(self):
        super().__init__()
        self.state = StoreState()
        self.store = DirectStore(self.state)
        self.known = [0, 0]
        self.marks = {}
        asyncio.run(seed_config(self.store, SETTINGS))

    def _landed(self, mark):
        return any(mark in item.value for _, _, item in self.state.history if item)

    @rule(operator=st.integers(0, 1))
    def operator_reads(self, operator):
        self.known[operator] = asyncio.run(read_config(self.store)).ok[0]

    @rule(
        operator=st.integers(0, 1),
        lost=st.integers(0, 2),
        failing=st.integers(0, 3),
        racing=st.booleans(),
    )
    def operator_patches(self, operator, lost, failing, racing):
        mark = f"model-{len(self.marks)}"
        text = f'[[engines]]\nengine = "engine-1"\nmodel = "{mark}"\n'
        expected = self.known[operator]

        async def patch():
            self.store.lost_writes = lost
            done = asyncio.ensure_future(
                patch_config(self.store, SETTINGS, text, expected)
            )
            await asyncio.sleep(0)
            self.store.failing_reads = failing
            if racing:
                version, now = (await read_config(DirectStore(self.state))).ok
                await DirectStore(self.state).put("config", now + "\n", version)
            return await done

        result = asyncio.run(patch())
        self.store.lost_writes = self.store.failing_reads = 0
        self.marks[mark] = result
        if result.is_ok():
            assert self._landed(mark), "reported success, but it never took effect"
            self.known[operator] = result.ok
        elif result.error.code == ResultCode.STALE_VERSION:
            assert not self._landed(mark), "reported as stale, but it took effect"

    @invariant()
    def versions_only_grow(self):
        versions = [revision for revision, key, _ in self.state.history]
        assert versions == sorted(versions)


def test_result_of_concurrent_patches_is_correct(monkeypatch):
    # Guards against a wrong result of a patch when operators patch concurrently and the
    # store loses responses: success means that it took effect, a stale version that it
    # did not, and anything else that the outcome is unknown.
    monkeypatch.setattr(defaults, "STORE_RETRY_SECONDS", 0.0)
    run_state_machine_as_test(
        PatchMachine,
        settings=hypothesis_settings(
            max_examples=100, stateful_step_count=15, deadline=None
        ),
    )
