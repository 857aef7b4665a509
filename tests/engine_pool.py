"""A pool of engines in simulated time, under the product's real decisions.

Engines as calibrated against played days: a prefill engine reads one prompt after
the other, the most urgent next, finishes what it has begun, and keeps what it read,
least recently used out first. Decoding takes a fixed time. Several entry VMs choose
by the product's own placement; what one of them learns reaches the others late.
"""

import collections
import heapq
import itertools
import random

import attrs

from mulberrydock import refusal
from mulberrydock.demand import Demand, DemandMeter
from mulberrydock.instances import Instance, InstanceRecord, Stage
from mulberrydock.peer_loads import LoadTracker, PeerReport
from mulberrydock.placement import Placement, Pool, request_hash_fraction
from mulberrydock.prefill_cost import IN_PLACE_SPEED_RATIO, PrefillCost
from mulberrydock.prefix_cache import PrefixCacheIndex

#: Seconds after which a VM's counts and reads reach its peers in a small fleet.
NEWS_SECONDS = 0.2
#: Seconds from the hand-over to the first event.
FIRST_EVENT_SECONDS = 0.03
#: Seconds that an output token takes, in a batch that is half full.
TOKEN_SECONDS = 0.004


@attrs.define(eq=False)
class Job:
    """One request: when it came, and when its first event was made, if it was."""

    name: str
    prompt: object
    route: object
    arrived: float
    plan: object = None
    vm: object = None
    work: object = None
    first_at: float | None = None
    refused: bool = False
    left: bool = False


class Engine:
    """One engine: reads prompts one after the other, or decodes beside them.

    ``taken`` counts the streams begun here, ``beyond`` those that found no place.
    """

    def __init__(self, pool, instance, share):
        self.pool = pool
        self.instance = instance
        self.share = share
        self.queue = []
        self.order = itertools.count()
        self.busy = False
        self.kept = PrefixCacheIndex()
        self.streams = 0
        self.taken = 0
        self.beyond = 0

    def take(self, job, now):
        """Queue a prompt."""
        entry = (job.plan.urgency, next(self.order), job)
        heapq.heappush(self.queue, entry)
        if not self.busy:
            self.begin(now)

    def stream(self, change):
        """A stream begins here (1) or ends (-1)."""
        self.streams += change
        if change > 0:
            self.taken += 1
            self.beyond += self.streams > self.instance.record.slots

    def begin(self, now):
        """Begin with the most urgent prompt whose client is still there."""
        while self.queue:
            _, _, job = heapq.heappop(self.queue)
            if job.left:
                continue
            cached = self.kept.cached_tokens("here", job.prompt)
            tokens = job.prompt.tokens - cached
            seconds = self.pool.cost.seconds(self.pool.cost.work(tokens, cached))
            self.busy = True
            end = now + self.pool.cost.overhead + seconds / self.share
            self.pool.at(end, lambda: self.end(job, end))
            return

    def end(self, job, now):
        """A prompt was read."""
        self.busy = False
        self.kept.record_prefill("here", job.prompt, self.pool.memory)
        self.pool.record_prefill(self, job, now)
        self.begin(now)


class EntryVm:
    """One VM's beliefs, and its placement."""

    def __init__(self, name):
        self.name = name
        self.loads = LoadTracker()
        self.cache = PrefixCacheIndex()
        self.placement = Placement("dc1")
        self.sequence = 0


class EnginePool:
    """The simulation: engines, VMs and a heap of what happens next."""

    def __init__(
        self,
        prefills,
        decoders,
        vms=4,
        cost=None,
        memory=540_000,
        slots=64,
        news_seconds=NEWS_SECONDS,
    ):
        self.news_seconds = news_seconds
        self.demand = DemandMeter()
        self.cost = cost or PrefillCost(0.01, 2e-5, 4e-10)
        self.memory = memory
        self.events = []
        self.order = itertools.count()
        self.now = 0.0
        self.engines = {}
        self.vms = [EntryVm(f"vm{n}") for n in range(vms)]
        for stage, count, share in (
            (Stage.PREFILL, prefills, 1.0),
            (Stage.DECODE, decoders, IN_PLACE_SPEED_RATIO),
        ):
            for n in range(count):
                name = f"{stage.value}{n}"
                record = InstanceRecord(name, "llm", "h:1", "dc1", slots, False, stage)
                self.engines[name] = Engine(self, Instance(record), share)
        self.jobs = []

    def at(self, moment, action):
        """Let ``action`` happen at ``moment``."""
        heapq.heappush(self.events, (moment, next(self.order), action))

    def instances(self, stage):
        """Return the engines of one stage."""
        engines = (engine.instance for engine in self.engines.values())
        return [i for i in engines if i.record.stage is stage]

    def run(self, arrivals, seconds):
        """Play (moment, route, prompt) arrivals; return the jobs."""
        rng = random.Random(5)
        for number, (moment, route, prompt) in enumerate(arrivals):
            job = Job(f"r{number}", prompt, route, moment)
            self.jobs.append(job)
            vm = rng.choice(self.vms)
            self.at(moment, lambda job=job, vm=vm: self.arrive(job, vm))
        for n, vm in enumerate(self.vms):
            start = n * self.news_seconds / len(self.vms)
            self.at(start, lambda vm=vm: self.tell(vm))
        while self.events and self.events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.jobs

    def tell(self, vm):
        """Let a VM's peers know what it has in flight and had read."""
        vm.sequence += 1
        news = vm.cache.take_updates()
        report = PeerReport(
            vm.sequence, self.now, vm.loads.own(), interval=self.news_seconds
        )
        for peer in self.vms:
            if peer is vm:
                continue
            peer.loads.receive(vm.name, report)
            for engine, rows in news.items():
                peer.cache.apply_update(engine, rows, self.memory)
        self.at(self.now + self.news_seconds, lambda: self.tell(vm))

    def known_to(self, vm):
        """Return the :class:`Pool` as a VM knows it."""
        demand = self.demand.own(self.now)
        prefills = self.instances(Stage.PREFILL)
        return Pool(
            prefills,
            self.instances(Stage.DECODE),
            vm.loads.total(self.now),
            self.cost,
            vm.cache,
            busy=self.cost.seconds(demand.prefill_engine_work) / max(1, len(prefills)),
            decoders_busy=0.1,
            streams=demand.streams,
            report_delay=vm.loads.report_delay(self.now),
        )

    def arrive(self, job, vm):
        """Plan a request as a VM does: refuse it, or send its prompt."""
        pool = self.known_to(vm)
        job.vm = vm
        job.plan = vm.placement.plan(
            job.prompt, job.route, pool, request_hash_fraction(job.name)
        )
        patience, left = job.route.client_idle_timeout, job.route.timeout
        if refusal.refuse(job.plan, patience, True, left) is not None:
            job.refused = True
            return
        apart = job.plan.tokens if job.plan.prefill else 0.0
        self.demand.record(Demand(streams=1.0, prefill_engine_work=apart), self.now)
        reader = job.plan.prefill or job.plan.target
        job.work = vm.loads.begin(reader.id, job.plan.tokens, job.plan.urgency)
        self.engines[reader.id].take(job, self.now)
        self.at(self.now + patience, lambda: self.leave(job))

    def leave(self, job):
        """The client leaves if nothing has come."""
        if job.first_at is None:
            job.left = True
            job.work.end()

    def record_prefill(self, engine, job, now):
        """A prompt was read: its stream begins, if its client is there."""
        job.work.end()
        job.vm.cache.record_prefill(engine.instance.id, job.prompt, self.memory)
        if job.left:
            return
        target = job.plan.target
        if job.plan.prefill:
            pool = self.known_to(job.vm)
            drawn = request_hash_fraction(job.name)
            target = job.vm.placement.choose_decoder(
                pool, job.prompt.tokens, job.plan.prefill, drawn
            )
        job.first_at = now + FIRST_EVENT_SECONDS
        stream = job.vm.loads.begin(target.id, 0)
        decoder = self.engines[target.id]
        decoder.stream(1)
        seconds = job.prompt.max_output_tokens * TOKEN_SECONDS
        self.at(now + seconds, lambda: self.finish(stream, decoder))

    def finish(self, stream, decoder):
        """A stream has ended."""
        stream.end()
        decoder.stream(-1)


def served(jobs, chosen=lambda job: True):
    """Return the share of the chosen jobs that got a first event."""
    rows = [job.first_at is not None for job in jobs if chosen(job)]
    return sum(rows) / len(rows)


def in_time(jobs, chosen=lambda job: True):
    """Return the share of the chosen jobs whose first event was in time."""
    rows = [
        job.first_at is not None
        and job.first_at - job.arrived <= job.route.latency_objective
        for job in jobs
        if chosen(job)
    ]
    return sum(rows) / len(rows)


def by_document(jobs):
    """Return the jobs of each document."""
    groups = collections.defaultdict(list)
    for job in jobs:
        groups[job.prompt.parts[0].id].append(job)
    return groups
