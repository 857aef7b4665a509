"""Compares ways to blame parts of prompts for crashes, in simulated time.

    python benchmarks/crash_blame.py --vms 8 --engines 3 --seeds 20

Requests share parts of their prompts, and one part crashes the engines that begin to
write on it. Every way sees the same requests. The table says how many engines crash,
which share of the sound requests is served at the first attempt after the first crash,
and how many of them are refused because of a part.
"""

import collections
import heapq
import itertools
import random

import attrs
import defopt

from mulberrydock.crash_evidence import Crash, CrashEvidence
from mulberrydock.rendezvous import rank

#: Seconds of one run, and until the deadly requests begin.
RUN_SECONDS = 40.0
DEADLY_FROM_SECONDS = 8.0
#: Seconds until a crashed engine is back.
RESTART_SECONDS = 3.0
#: Maximum seconds until a message that waits for its interval, or is sent early,
#: reaches the peers of a data centre.
INTERVAL_SECONDS = 0.25
EARLY_SECONDS = 0.04
#: Limits of the seconds until the other data centres hear through the store.
STORE_SECONDS = (0.2, 0.8)
#: Seconds from a send to the first event, and from that to a crash or the end.
BEGIN_SECONDS = (0.03, 0.15)
CRASH_SECONDS = (0.02, 0.1)
ANSWER_SECONDS = 0.3
#: Seconds after the first event within which a request is blamed for a crash.
BLAME_SECONDS = 0.25
#: Subjects of requests, each a part of the prompt; some are asked for far more often.
SUBJECTS = 60
#: Maximum number of VMs that all send to each other.
MAX_DIRECT_VMS = 25


class Counting(CrashEvidence):
    """Blames everything with enough crashes since its last success."""

    def _find_blamed(self):
        for work, crashes in self.crashes.items():
            if self._reaches_limit(work, crashes):
                yield work


@attrs.define(frozen=True)
class Policy:
    """One way: ``evidence`` decides what is blamed.

    With ``withhold``, a VM doesn't send a request on whose engine has crashed if
    nothing shows that one of its parts is sound. Such a part is sent nowhere for
    ``pause_seconds`` after a crash, and with ``isolate`` to the same engine from all
    VMs. A message takes at most ``message_seconds`` to the peers of a data centre.
    """

    name: str
    evidence: type = CrashEvidence
    withhold: bool = False
    pause_seconds: float = 0.0
    message_seconds: float = INTERVAL_SECONDS
    isolate: bool = False


POLICIES = [
    Policy("count", Counting),
    Policy("explain"),
    Policy("explain, withhold", withhold=True),
    Policy("explain, early", message_seconds=EARLY_SECONDS),
    Policy("explain, pause", pause_seconds=1.0),
    Policy("explain, pause, early", pause_seconds=1.0, message_seconds=EARLY_SECONDS),
    Policy(
        "count, pause, early, isolate",
        Counting,
        pause_seconds=1.0,
        message_seconds=EARLY_SECONDS,
        isolate=True,
    ),
    Policy(
        "all: the product's",
        pause_seconds=1.0,
        message_seconds=EARLY_SECONDS,
        isolate=True,
    ),
]


@attrs.define(eq=False)
class Request:
    """A request: its parts, the VM that has it, and its attempts so far."""

    parts: tuple
    deadly: bool
    vm: int
    attempts: int = 0
    client_attempts: int = 0
    began_at: float | None = None


@attrs.define(slots=False)
class World:
    """Engines, VMs and clients under one policy."""

    policy: Policy
    vm_count: int
    engine_count: int
    rate: float
    deadly_share: float
    turning: bool
    seed: int
    now: float = 0.0

    def __attrs_post_init__(self):
        self.random = random.Random(self.seed)
        self.order = itertools.count()
        self.events = []
        self.vms = [self.policy.evidence() for _ in range(self.vm_count)]
        self.running = {engine: set() for engine in range(self.engine_count)}
        self.down_until = dict.fromkeys(self.running, 0.0)
        self.starts = collections.Counter()
        self.crashes = []
        self.sound = []
        self.refused = collections.Counter()

    def at(self, seconds, function, *args):
        """Call ``function`` in that many seconds."""
        heapq.heappush(
            self.events, (self.now + seconds, next(self.order), function, args)
        )

    def run(self):
        """Run to the end."""
        for arrives_at, request in self.requests():
            self.at(arrives_at, self.arrive, request)
        while self.events and self.now < RUN_SECONDS:
            self.now, _, function, args = heapq.heappop(self.events)
            function(*args)
        return self

    def requests(self):
        """Yield (time, request), the same for each policy."""
        rng, at = random.Random(f"requests {self.seed}"), 0.0
        weights = [1 / (rank + 1) for rank in range(SUBJECTS)]
        while at < RUN_SECONDS - 1:
            at += rng.expovariate(self.rate)
            subject = rng.choices(range(SUBJECTS), weights)[0]
            deadly = at > DEADLY_FROM_SECONDS and rng.random() < self.deadly_share
            parts = ("all", "deadly" if deadly else f"subject {subject}")
            if self.turning and not deadly and rng.random() < 0.1:
                parts = ("all", "deadly") if at < DEADLY_FROM_SECONDS else parts
            yield at, Request(parts, deadly, rng.randrange(self.vm_count))

    def arrive(self, request):
        """Send a request that a client has sent to its VM."""
        request.client_attempts += 1
        evidence = self.vms[request.vm]
        held = any(self.is_held(evidence, part) for part in request.parts)
        up = [engine for engine, at in self.down_until.items() if at <= self.now]
        if held and not request.deadly:
            self.refused[request.parts] += 1
        if held or not up:
            self.end(request, False)
            return
        request.attempts += 1
        engine = self.choose(evidence, request, up)
        self.running[engine].add(request)
        request.began_at = None
        incarnation = self.starts[engine]
        delay = self.random.uniform(*BEGIN_SECONDS)
        self.at(delay, self.begin, request, engine, incarnation)

    def is_held(self, evidence, part):
        """Return whether a part isn't to be sent now."""
        if part in evidence.blamed:
            return True
        if not evidence.is_unproven(part):
            return False
        return self.now - evidence.last_crash_at(part) < self.policy.pause_seconds

    def choose(self, evidence, request, engines):
        """Return the engine of the next attempt."""
        suspects = [part for part in request.parts if evidence.is_unproven(part)]
        if self.policy.isolate and suspects:
            return min(engines, key=lambda engine: rank(suspects[0], str(engine)))
        return self.random.choice(engines)

    def begin(self, request, engine, incarnation):
        """Begin to write the answer."""
        if self.starts[engine] != incarnation:
            return
        request.began_at = self.now
        if request.deadly:
            delay = self.random.uniform(*CRASH_SECONDS)
            self.at(delay, self.crash, engine, incarnation)
        else:
            self.at(ANSWER_SECONDS, self.answer, request, engine, incarnation)

    def answer(self, request, engine, incarnation):
        """End an answer with success."""
        if self.starts[engine] != incarnation:
            return
        self.running[engine].discard(request)
        evidence = self.vms[request.vm]
        for part in request.parts:
            told = evidence.count(part)
            self.clear(evidence, part, request.began_at)
            if told:
                self.tell(request.vm, self.clear, part, request.began_at)
        self.end(request, True)

    def clear(self, evidence, part, at):
        for crash in evidence.record_served(part, at):
            evidence.remove(crash)

    def crash(self, engine, incarnation):
        """Crash an engine with everything that runs on it."""
        if self.starts[engine] != incarnation:
            return
        self.starts[engine] += 1
        self.down_until[engine] = self.now + RESTART_SECONDS
        self.crashes.append((self.now, engine))
        running, self.running[engine] = self.running[engine], set()
        for request in sorted(running, key=lambda r: (r.vm, r.parts)):
            began_at = request.began_at
            if began_at is None or self.now - began_at <= BLAME_SECONDS:
                self.accuse(request, f"{engine}@{incarnation}")
            self.after_crash(request)

    def accuse(self, request, instance):
        for part in request.parts:
            self.add(self.vms[request.vm], Crash(part, instance))
            self.tell(request.vm, self.add, Crash(part, instance))

    def add(self, evidence, crash):
        evidence.add(crash, self.now)

    def tell(self, sender, function, *args):
        """Apply something to the evidence of the other VMs."""
        for vm, evidence in enumerate(self.vms):
            direct = self.vm_count <= MAX_DIRECT_VMS or vm % 3 == sender % 3
            limits = (0.0, self.policy.message_seconds) if direct else STORE_SECONDS
            delay = self.random.uniform(*limits)
            if vm != sender:
                self.at(delay, function, evidence, *args)

    def after_crash(self, request):
        """Send a request on, or let its client try once more at another VM."""
        evidence = self.vms[request.vm]
        unproven = any(evidence.is_unproven(part) for part in request.parts)
        if request.attempts < 2 and not (self.policy.withhold and unproven):
            request.client_attempts -= 1
            self.arrive(request)
            return
        self.end(request, False)

    def end(self, request, served):
        if request.client_attempts == 1 and not request.deadly and self.crashes:
            self.sound.append(served)
        if not served and request.client_attempts < 2:
            request.vm = self.random.randrange(self.vm_count)
            request.attempts = 0
            self.at(0.02, self.arrive, request)


def main(
    *,
    vms: int = 8,
    engines: int = 3,
    rate: float = 37.0,
    deadly_share: float = 0.06,
    turning: bool = False,
    seeds: int = 20,
):
    """Print a table of the policies.

    :param vms: entry VMs.
    :param engines: engines that decode.
    :param rate: requests per second.
    :param deadly_share: share of the requests with a part that crashes engines.
    :param turning: that part was served well before.
    :param seeds: runs of each policy.
    """
    print(f"{'policy':<30} crashes: mean  max  sound served  sound refused a run")
    for policy in POLICIES:
        worlds = [
            World(policy, vms, engines, rate, deadly_share, turning, seed).run()
            for seed in range(seeds)
        ]
        crashes = [len(world.crashes) for world in worlds]
        sound = [ok for world in worlds for ok in world.sound]
        refused = sum(sum(world.refused.values()) for world in worlds) / seeds
        print(
            f"{policy.name:<30} {sum(crashes) / seeds:13.1f} {max(crashes):4d}"
            f" {sum(sound) / max(1, len(sound)):13.3f} {refused:20.1f}"
        )


if __name__ == "__main__":
    defopt.run(main)
