"""Counts what a part that crashes engines costs the store and the peers.

    python benchmarks/crash_costs.py --vms 195

Three engines crash under one part, each beside sound requests of some other VMs that
have the first part of their prompts in common with all. The table says how many calls
and records the store takes from all VMs, how many messages are sent early, and the
bytes that crashes and successes add to all messages.
"""

import asyncio
import random

import attrs
import defopt
from expression import Ok
from loguru import logger

from mulberrydock import peer_messages
from mulberrydock.peer_loads import PeerReport
from mulberrydock.peer_messages import CrashReport, PeerUpdate, SoundWork
from mulberrydock.peers import PEERS_AT_FULL_RATE, SEND_INTERVAL_SECONDS
from mulberrydock.quarantine import Quarantine
from mulberrydock.quarantine_sync import QuarantineSync

#: Seconds of one step, and steps of the run and between two crashes.
STEP_SECONDS = 0.1
STEPS = 120
CRASH_INTERVAL_STEPS = 13
CRASHES = 3
#: VMs of which an engine that crashes runs a request, and data centres.
WITNESSES = 5
DATA_CENTRES = 3
MAX_DIRECT_VMS = 25
#: Steps from a crash until a request with the first part is served again.
SERVED_AGAIN_STEPS = 4


@attrs.define
class Store:
    """Counts calls and records; what is written is read by all VMs a step later."""

    calls: int = 0
    changes: list = attrs.field(factory=list)

    async def write_all(self, values, removals):
        self.calls += 1
        self.changes += [(key, 1000.0) for key in values]
        self.changes += [(key, None) for key in removals]
        return Ok(1)


@attrs.define(eq=False)
class Vm:
    """One VM: its quarantine, and what it has sent."""

    name: str
    group: int
    sync: QuarantineSync
    next_send_at: float
    early: bool = False

    @property
    def quarantine(self):
        return self.sync.quarantine

    def message(self, now):
        """Return the crashes and successes of the next message."""
        crashes = [
            CrashReport(crash, now - self.quarantine.crashed_at(crash))
            for crash in self.quarantine.take_updates(now)
        ]
        works = self.quarantine.take_sound_reports(now)
        return crashes, [SoundWork(*row) for row in works]


def size(crashes=(), sound_works=()):
    """Return the bytes of a message with these rows."""
    update = PeerUpdate(
        "entry", PeerReport(1, 0.0, {}, False), crashes=crashes, sound_works=sound_works
    )
    return len(peer_messages.encode(update))


class Fleet:
    """All VMs and the store, in simulated time."""

    def __init__(self, count):
        self.random = random.Random(1)
        self.store = Store()
        groups = 1 if count <= MAX_DIRECT_VMS else DATA_CENTRES
        peers = count / groups
        self.interval = SEND_INTERVAL_SECONDS * max(1.0, peers / PEERS_AT_FULL_RATE)
        self.vms = [self.vm(number, number % groups) for number in range(count)]
        self.early_messages = self.added_bytes = 0

    def vm(self, number, group):
        sync = QuarantineSync(Quarantine(), self.store, f"vm{number}", lambda: False)
        vm = Vm(sync.name, group, sync, self.random.uniform(0, self.interval))
        sync.quarantine.on_report = lambda: setattr(vm, "early", True)
        sync.quarantine.record_request_end("all", True, 0.0)
        return vm

    def crash(self, number, now):
        """Crash an engine under the deadly part, beside sound requests."""
        for index, vm in enumerate(self.random.sample(self.vms, WITNESSES)):
            part = "deadly" if index == 0 else f"subject {number} {index}"
            for work in ("all", part):
                vm.quarantine.record_crash(work, f"e{number}", now, shared=True)

    def send(self, vm, now):
        crashes, sound_works = vm.message(now)
        receivers = [v for v in self.vms if v.group == vm.group and v is not vm]
        if crashes or sound_works:
            added = size(crashes, sound_works) - size()
            self.added_bytes += added * len(receivers)
        for receiver in receivers:
            for report in crashes:
                jitter = self.random.random()
                receiver.quarantine.apply_peer_crash(
                    report.crash, jitter, now, report.age
                )
            for sound in sound_works:
                receiver.quarantine.apply_peer_sound(sound.work, now - sound.age, now)

    async def step(self, now):
        changes, self.store.changes = self.store.changes, []
        for vm in self.vms:
            for key, written_at in changes:
                vm.quarantine.apply(key, written_at, now)
            if vm.early:
                vm.early = False
                self.early_messages += 1
                self.send(vm, now)
            if now >= vm.next_send_at:
                vm.next_send_at += self.interval
                self.send(vm, now)
            await vm.sync.step(now, 1000.0 + now)
        return len(changes)

    async def run(self):
        """Run; return the number of records that the store took."""
        records = 0
        for index in range(STEPS):
            now = 1.0 + index * STEP_SECONDS
            crash, since = divmod(index, CRASH_INTERVAL_STEPS)
            if crash < CRASHES and not since:
                self.crash(crash, now)
            if since == SERVED_AGAIN_STEPS:
                vm = self.random.choice(self.vms)
                vm.quarantine.record_request_end("all", True, now, now)
            records += await self.step(now)
        return records


def main(*, vms: int = 8):
    """Print the costs of three crashes.

    :param vms: entry VMs.
    """
    logger.remove()
    fleet = Fleet(vms)
    records = asyncio.run(fleet.run())
    blamed = {frozenset(vm.quarantine.evidence.blamed) for vm in fleet.vms}
    print(f"{vms} VMs, {CRASHES} crashes, blamed: {[sorted(b) for b in blamed]}")
    print(f"store: {fleet.store.calls} calls, {records} records and removals")
    print(f"early messages: {fleet.early_messages}; bytes added: {fleet.added_bytes}")


if __name__ == "__main__":
    defopt.run(main)
