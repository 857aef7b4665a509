"""Inbound connections that change in any order, against what must always hold."""

import asyncio

import attrs
import hypothesis.stateful
from hypothesis import strategies as st
from inbound_table import LIMITS, FakeStream, Table

from mulberrydock.inbound.connection import Phase

sizes = st.integers(1, 700_000)
reading_phases = st.sampled_from([Phase.IDLE, Phase.HEAD, Phase.BODY, Phase.REFUSED])


class ConnectionsMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Connections that receive, are served, read slowly and leave, in any order."""

    connections = hypothesis.stateful.Bundle("connections")

    def __init__(self):
        super().__init__()
        self.table = Table(attrs.evolve(LIMITS, connections=6, waiting=3))
        self.loop = asyncio.new_event_loop()

    def teardown(self):
        self.loop.close()

    def on_loop(self, function, *args):
        async def call():
            function(*args)

        self.loop.run_until_complete(call())

    @hypothesis.stateful.rule(target=connections)
    def connect(self):
        connection = self.table.add(self.table.bounds, self.table.now)
        if connection is None:
            return hypothesis.stateful.multiple()
        connection.stream = FakeStream()
        return connection

    @hypothesis.stateful.rule(connection=connections, count=sizes)
    def receive(self, connection, count):
        if not connection.closed:
            self.on_loop(connection.add_received, count)

    @hypothesis.stateful.rule(connection=connections, phase=reading_phases)
    def enter(self, connection, phase):
        if connection.phase is not Phase.WHOLE:
            connection.enter(phase, self.table.now, 5.0)

    @hypothesis.stateful.rule(connection=connections)
    def finish(self, connection):
        if connection.phase in (Phase.HEAD, Phase.BODY):
            self.table.admit_whole(connection, self.table.now)

    @hypothesis.stateful.rule(connection=connections, count=sizes, sent=sizes)
    def answer(self, connection, count, sent):
        if connection.phase is Phase.WHOLE:
            connection.add_unsent(count)
            connection.record_sent(min(sent, connection.pending))
            connection.check_unsent()

    @hypothesis.stateful.rule(connection=connections)
    def begin(self, connection):
        connection.begin_request(self.table.now)

    @hypothesis.stateful.rule(connection=connections)
    def leave(self, connection):
        self.table.remove(connection)

    @hypothesis.stateful.rule(seconds=st.floats(0.0, 70.0))
    def wait(self, seconds):
        self.table.now += seconds
        self.table.sweep(self.table.now)

    @hypothesis.stateful.invariant()
    def totals_are_sums(self):
        table = self.table
        whole = [c for c in table.open if c.phase is Phase.WHOLE]
        assert table.held == sum(c.held for c in table.open)
        assert table.waiting == len(whole) <= table.limits.waiting
        assert table.whole == sum(c.whole for c in whole)
        assert set(table.closable) == table.open - set(whole)
        assert len(table.open) <= table.limits.connections

    @hypothesis.stateful.invariant()
    def nothing_that_may_be_closed_exceeds_the_limit(self):
        table = self.table
        if table.held > table.limits.held_bytes:
            assert not any(c.may_be_closed for c in table.open)


TestConnections = ConnectionsMachine.TestCase
