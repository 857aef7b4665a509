"""Measure the processor time of one entry VM of a large fleet for a second, by part.

One VM of 84 in six data centres, with 60 engines, gets the messages that its peers send
in a second, sends its own, and decides for its clients' requests; all in this process,
without network. Prints microseconds by part and in all; ``--profile`` prints the
functions that take longest. Run ``python benchmarks/fleet_costs.py``.
"""

import cProfile
import pstats
import random
import sys
import time

import attrs
from loguru import logger

from mulberrydock import peer_messages, peers
from mulberrydock.demand import Demand
from mulberrydock.estimates import PoolUpdate
from mulberrydock.fleet_view import FleetView
from mulberrydock.instances import InstanceRecord, Stage
from mulberrydock.membership import Membership, Peer
from mulberrydock.peer_groups import PeerGroups
from mulberrydock.peer_loads import Load, PeerReport
from mulberrydock.peer_messages import PeerUpdate
from mulberrydock.peers import SEND_INTERVAL_SECONDS, SUM_INTERVAL_SECONDS, PeerLink
from mulberrydock.prefill_cost import PrefillCost
from mulberrydock.prefix_cache import part_key
from mulberrydock.request import (
    Kind,
    Prompt,
    PromptPart,
    Request,
    Route,
    ServiceSpec,
    Split,
)
from mulberrydock.serve import EntryVm

DATA_CENTRES = [f"dc{number}" for number in range(6)]
VMS_PER_DATA_CENTRE = 14
PREFILL_ENGINES, DECODE_ENGINES = 13, 47
#: Requests of this VM's clients in a second, and how many run at once.
REQUESTS = 10
RUNNING = 20
DOCUMENTS = 200
#: Passes a second over the pools: stages, and engines ordered.
PASSES = 6
#: Seconds played, each a little later than the one before.
ROUNDS = 20
SERVICE = "llm"


@attrs.define
class Timing:
    """The settings that the retry budget reads."""

    retry_budget_ratio: float = 0.2
    retry_budget_window_seconds: float = 10.0
    retry_budget_floor: float = 50.0


@attrs.define
class Clock:
    """The time of the seconds that are played."""

    now: float = 0.0

    def monotonic(self):
        return self.now

    def time(self):
        return self.now


CLOCK = Clock()


@attrs.define
class Transport:
    """Drops what is sent."""

    sent: int = 0

    def sendto(self, data, address):
        self.sent += 1


class Vm:
    """The VM that is measured."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.name = f"{DATA_CENTRES[0]}-0"
        membership = Membership(None, EntryVm(self.name, self.name, DATA_CENTRES[0]))
        count = len(DATA_CENTRES) * VMS_PER_DATA_CENTRE
        self.fleet = FleetView(DATA_CENTRES[0], Timing(), lambda: count, str)
        self.fleet.routes.config = Config()
        for number in range(PREFILL_ENGINES + DECODE_ENGINES):
            stage = Stage.PREFILL if number < PREFILL_ENGINES else Stage.DECODE
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            record = InstanceRecord(
                f"e{number}", SERVICE, "a:1", data_centre, 16, False, stage
            )
            self.fleet.instances.put(record, 0.0)
        self.groups = PeerGroups(membership, self.fleet.loads, DATA_CENTRES[0])
        self.link = PeerLink(
            self.name,
            self.fleet.loads,
            self.groups,
            bool,
            self.fleet.estimates,
            self.fleet.avoided,
            self.fleet.quarantine,
            self.fleet.limits,
            instances=self.fleet.instances,
        )
        self.link.transport = Transport()
        for data_centre in DATA_CENTRES:
            for number in range(VMS_PER_DATA_CENTRE):
                name = f"{data_centre}-{number}"
                membership.peers[name] = Peer(name, data_centre, f"{name}:7380")
        self.running = []
        self.seconds = {}
        self.sequence = 0

    def timed(self, part, function, *args):
        """Call ``function`` and add its time to a part."""
        started = time.process_time()
        result = function(*args)
        self.seconds[part] = self.seconds.get(part, 0.0) + time.process_time() - started
        return result

    def datagram(self, sender, data_centre, share, with_pools):
        """Return a message of a VM, or of a data centre's sum."""
        self.sequence += 1
        names = [f"e{n}" for n in range(PREFILL_ENGINES + DECODE_ENGINES)]
        chosen = self.random.sample(names, int(len(names) * share))
        tokens = self.random.randrange
        loads = {
            name: Load(tokens(1, 5), (tokens(9000), 0, tokens(9000)), tokens(9000))
            for name in chosen
        }
        interval = SUM_INTERVAL_SECONDS if data_centre else SEND_INTERVAL_SECONDS
        report = PeerReport(self.sequence, 0.0, loads, interval=interval)
        demand = Demand(*(self.random.uniform(1, 9000) for _ in attrs.fields(Demand)))
        pools = [PoolUpdate(SERVICE, demand, PrefillCost(0.02, 1e-5, 1e-10))]
        key = part_key(f"doc{self.random.randrange(DOCUMENTS)}")
        prefills = {self.random.choice(chosen): [(key, 700)]}
        update = PeerUpdate(
            sender, report, data_centre, prefills, pools if with_pools else []
        )
        return peer_messages.encode(update)

    def datagrams(self):
        """Return the (sender, bytes) of the messages of one second, in turn."""
        rows = []
        for turn in range(int(1 / SEND_INTERVAL_SECONDS)):
            for number in range(1, VMS_PER_DATA_CENTRE):
                sender = f"{DATA_CENTRES[0]}-{number}"
                rows.append((sender, self.datagram(sender, "", 0.25, turn == 0)))
        for turn in range(int(1 / SUM_INTERVAL_SECONDS)):
            for data_centre in DATA_CENTRES[1:]:
                sender = f"{data_centre}-1"
                data = self.datagram(sender, data_centre, 0.9, True)
                rows.append((sender, data))
        return rows

    def request(self, number):
        """Return a request whose prompt has a document that others share."""
        parts = (
            PromptPart("rules", 300),
            PromptPart(f"doc{self.random.randrange(DOCUMENTS)}", 4000),
            PromptPart(f"own{number}", 1500),
        )
        prompt = Prompt(5800, 40, parts)
        return Request(f"r{number}", "POST", "/l/x", "h", [], b"", 0.0, 8.0, prompt)

    def serve(self, request, now):
        """Decide for one request as its lifecycle does."""
        fleet = self.fleet
        self.timed("demand", fleet.record_demand, request.prompt, ROUTE, SERVICE, now)
        plan = self.timed("plan", fleet.plan, request, ROUTE, SERVICE, set(), now, "")
        if plan.prefill is not None:
            fleet.estimates.record_prefill(plan.prefill.id, request.prompt)
            plan = self.timed(
                "decode plan", fleet.decode_plan, request, SERVICE, plan, set(), now
            )
        self.running.append(fleet.loads.begin(plan.target.id, plan.tokens))
        if len(self.running) > RUNNING:
            self.running.pop(0).end()

    def play(self, now):
        """Play one second of messages, requests and passes that begins at ``now``."""
        events = [
            (self.serve, self.request(f"{now}-{number}")) for number in range(REQUESTS)
        ]
        events += [(self.make_pass, None)] * PASSES
        events += [(self.send, None)] * int(1 / SEND_INTERVAL_SECONDS)
        places = [self.random.random() for _ in events]
        # Messages arrive in the order in which they were sent.
        messages = [(self.receive, row) for row in self.datagrams()]
        places += [number / len(messages) for number in range(len(messages))]
        rows = zip(places, events + messages)
        for place, (function, argument) in sorted(rows, key=lambda row: row[0]):
            CLOCK.now = now + place
            function(argument, CLOCK.now)

    def receive(self, row, now):
        sender, data = row
        self.timed("receive", self.link.datagram_received, data, (sender, 7380))

    def send(self, _, now):
        self.timed("send", self.link.send)
        self.timed("send sum", self.link.send_sum, now)

    def make_pass(self, _, now):
        self.timed("pass", self.fleet.loads.total, now)
        spec = self.fleet.routes.config.services[SERVICE]
        self.timed("pass", self.fleet.stage_needs, spec, now)


@attrs.define
class Config:
    """A configuration with one pool of engines."""

    services: dict = attrs.field(
        factory=lambda: {SERVICE: ServiceSpec(SERVICE, 600, 580_000, 16)}
    )


ROUTE = Route(
    "l", "h", "/l/", Kind.STREAMING, (Split(SERVICE, 1),), 8, 0.4, 0.15, 2, 2, True
)


def main():
    logger.remove()
    vm = Vm(1)
    profile = cProfile.Profile() if "--profile" in sys.argv else None
    peers.time = CLOCK
    if profile:
        profile.enable()
    for number in range(ROUNDS):
        vm.play(float(number))
    if profile:
        profile.disable()
        pstats.Stats(profile).sort_stats("tottime").print_stats(25)
    for part, seconds in sorted(vm.seconds.items(), key=lambda row: -row[1]):
        print(f"{part:12} {seconds / ROUNDS * 1e6:9.0f} us a second")
    total = sum(vm.seconds.values())
    print(f"{'all':12} {total / ROUNDS * 1e6:9.0f} us a second")


if __name__ == "__main__":
    main()
