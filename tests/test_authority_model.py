"""A hypothesis state machine: orders of controllers that compete for the lease.

Two controllers acquire, renew and lose the leader lease, are paused and resumed,
and send orders that may arrive at any later time; engines restart. In every case,
an engine that a leader has fenced applies no order of an earlier one, whether it
checks tokens or not, and never two conflicting orders with one token.
"""

import asyncio

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mulberrydock.control import Controller
from mulberrydock.lease import LeaderLease
from mulberrydock.rollout import EngineView, Target
from mulberrydock.standin.batch import EngineConfig
from mulberrydock.standin.engine import EngineState
from mulberrydock.standin.store import DirectStore, StoreState

TTL = 5.0


class AuthorityMachine(RuleBasedStateMachine):
    """Two controllers, an engine that checks tokens and one that doesn't.

    A controller that "seals" an engine fences it, as :meth:`Controller.fence` does.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.store = StoreState()
        self.leases = [
            LeaderLease(DirectStore(self.store, lambda: self.now), f"c{i}", TTL)
            for i in (0, 1)
        ]
        self.paused = [False, False]
        self.engines = [
            EngineState(EngineConfig("a", checks_fencing=True)),
            EngineState(EngineConfig("b", checks_fencing=False)),
        ]
        self.fenced_by = [0, 0]
        self.in_transit = []

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.0, 4.0, 6.0]))
    def time_passes(self, seconds):
        self.now += seconds
        self.store.expire(self.now)

    @rule(who=st.integers(0, 1))
    def controller_keeps_or_takes_the_lease(self, who):
        if self.paused[who]:
            return
        lease = self.leases[who]
        step = lease.renew if lease.authority.token else lease.acquire
        asyncio.run(step(self.now))

    @rule(who=st.integers(0, 1))
    def pause_or_wake(self, who):
        self.paused[who] = not self.paused[who]

    def _send(self, who, engine, version, fence):
        lease, state = self.leases[who], self.engines[engine]
        if self.paused[who] or not lease.valid(self.now):
            return
        # The fields that Controller.order sends, from a state that was just read.
        body = {
            "order_id": f"{who}-{version}",
            "fencing_token": lease.authority.token,
            "expected_sequence": state.sequence,
            "expected_instance": state.instance,
            "model": state.model if fence else "m",
            "version": state.version if fence else version,
        }
        self.in_transit.append((engine, body, fence))

    @rule(who=st.integers(0, 1), engine=st.integers(0, 1))
    def controller_seals(self, who, engine):
        self._send(who, engine, "", True)

    @rule(who=st.integers(0, 1), engine=st.integers(0, 1), version=st.integers(1, 9))
    def controller_orders(self, who, engine, version):
        self._send(who, engine, str(version), False)

    @rule(who=st.integers(0, 1))
    def controller_takes_over_and_seals(self, who):
        # A usual failover as one step, so that most runs contain one while older
        # orders are in transit.
        self.paused = [index != who for index in (0, 1)]
        self.time_passes(TTL + 1.0)
        for _ in range(2):
            self.controller_keeps_or_takes_the_lease(who)
        for engine in (0, 1):
            sent = len(self.in_transit)
            self.controller_seals(who, engine)
            if len(self.in_transit) > sent:
                self._arrive(self.in_transit.pop())

    @rule(pick=st.integers(0, 10**6))
    def order_arrives(self, pick):
        if self.in_transit:
            self._arrive(self.in_transit.pop(pick % len(self.in_transit)))

    def _arrive(self, row):
        engine, body, fence = row
        state, token = self.engines[engine], body["fencing_token"]
        applied, _ = state.apply(body, self.now)
        if applied:
            assert token >= self.fenced_by[engine], "a stale order was applied"
            if fence:
                self.fenced_by[engine] = token

    @rule(engine=st.integers(0, 1))
    def engine_restarts(self, engine):
        self.engines[engine] = EngineState(self.engines[engine].config)
        self.fenced_by[engine] = 0

    @invariant()
    def one_controller_may_order_at_a_time(self):
        valid = [lease for lease in self.leases if lease.valid(self.now)]
        assert len(valid) <= 1

    @invariant()
    def at_most_one_order_applies_to_each_state(self):
        for state in self.engines:
            applied = [o for o in state.orders if o.applied]
            assert len(applied) == state.sequence


AuthorityMachine.TestCase.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestAuthority = AuthorityMachine.TestCase


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("engine", [0, 1])
def test_order_delayed_beyond_a_failover_changes_nothing(engine, restarts):
    # Guards against a delayed order of a former leader. The next leader takes over
    # while it is in transit, and the engine may restart meanwhile, which resets its
    # token and its order count. The engine checks tokens or doesn't.
    machine = AuthorityMachine()
    machine.controller_takes_over_and_seals(0)
    machine.controller_orders(0, engine, 5)
    if restarts:
        machine.engine_restarts(engine)
    machine.controller_takes_over_and_seals(1)
    machine.order_arrives(0)
    assert machine.engines[engine].version == ""


def test_order_carries_token_sequence_and_instance():
    # Guards against a difference between Controller.order and the state machine above,
    # which builds its orders itself.
    sent = {}

    async def go():
        from mulberrydock.settings import default_settings_text, parse_settings

        settings = parse_settings(default_settings_text("lagos"))
        controller = Controller(settings, "c", None)
        controller.lease.authority = attrs.evolve(
            controller.lease.authority, token=7, renewed_at=1e18
        )

        async def fetch(request, **_):
            import json

            sent.update(json.loads(request.body))
            return attrs.make_class("R", ["code", "body", "error"])(200, b"{}", None)

        controller.http = attrs.make_class("H", ["fetch"])(fetch)
        view = EngineView("engine-1", "inst", sequence=3)
        return await controller.order(view, Target("m", "2", "", "both"))

    assert asyncio.run(go())
    assert sent["fencing_token"] == 7
    assert (sent["expected_sequence"], sent["expected_instance"]) == (3, "inst")
    assert (sent["model"], sent["version"], sent["role"]) == ("m", "2", "both")
