"""A pool of engines in simulated time, under the placement and refusal of mulberrydock.

A prefill engine prefills one prompt after the other, the most urgent next, finishes the
one that it has begun, and evicts the least recently used parts from its cache. Decoding
takes a fixed time. Several entry VMs choose engines, and the updates of one VM reach
the others with a delay. The engines are calibrated against recorded loads.
"""

import collections
import functools
import heapq
import itertools
import random

import attrs

from mulberrydock.demand import Demand, DemandMeter
from mulberrydock.instances import Instance, InstanceRecord, Stage
from mulberrydock.peer_loads import LoadTracker, PeerReport
from mulberrydock.placement import Placement, Pool, request_hash_fraction
from mulberrydock.prefill_cost import IN_PLACE_SPEED_RATIO, PrefillCost
from mulberrydock.prefix_cache import PrefixCacheIndex
from mulberrydock.room.admission import CallerTime, ExpectedWork, decide
from mulberrydock.room.urgency import PromptSizes

#: Seconds between two updates of a VM to its peers in a small fleet.
UPDATE_SECONDS = 0.2
#: Seconds from the handoff to the first event.
FIRST_EVENT_SECONDS = 0.03
#: Seconds for an output token in a batch that is half full.
TOKEN_SECONDS = 0.004


@attrs.define(eq=False)
class Job:
    """One request: when it arrived, and when its first event came, if it did.

    ``work`` is its prefill as counted by its VM; ``left`` is True once the client has
    timed out.
    """

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
    """One engine: prefills prompts one after the other, or decodes beside them.

    ``speed_ratio`` is its prefill speed over that of a prefill engine. ``started``
    counts the streams that began here, ``beyond_slots`` those without a free slot.
    """

    def __init__(self, pool, instance, speed_ratio):
        self.pool = pool
        self.instance = instance
        self.speed_ratio = speed_ratio
        self.queue = []
        self.order = itertools.count()
        self.busy = False
        self.cache = PrefixCacheIndex()
        self.streams = 0
        self.started = 0
        self.beyond_slots = 0

    def take(self, job, now):
        """Queue a prompt."""
        entry = (job.plan.urgency, next(self.order), job)
        heapq.heappush(self.queue, entry)
        if not self.busy:
            self.begin(now)

    def change_streams(self, change):
        """Count a stream that begins here (1) or ends (-1)."""
        self.streams += change
        if change > 0:
            self.started += 1
            self.beyond_slots += self.streams > self.instance.record.slots

    def begin(self, now):
        """Begin to prefill the most urgent prompt whose client hasn't left."""
        while self.queue:
            _, _, job = heapq.heappop(self.queue)
            if job.left:
                continue
            cached = self.cache.cached_tokens("here", job.prompt)
            tokens = job.prompt.tokens - cached
            seconds = self.pool.cost.seconds(self.pool.cost.work(tokens, cached))
            self.busy = True
            end = now + self.pool.cost.overhead + seconds / self.speed_ratio
            self.pool.at(end, lambda: self.end(job, end))
            return

    def end(self, job, now):
        """End the prefill of a prompt and begin the next one."""
        self.busy = False
        self.cache.record_prefill("here", job.prompt, self.pool.memory)
        self.pool.record_prefill(self, job, now)
        self.begin(now)


class EntryVm:
    """State of one VM: loads, cached parts and its placement."""

    def __init__(self, name):
        self.name = name
        self.loads = LoadTracker()
        self.cache = PrefixCacheIndex()
        self.placement = Placement("dc1")
        self.sequence = 0


class EnginePool:
    """The simulation: engines, VMs and a heap of timed events."""

    def __init__(
        self,
        prefills,
        decoders,
        vms=4,
        cost=None,
        memory=540_000,
        slots=64,
        update_seconds=UPDATE_SECONDS,
    ):
        self.update_seconds = update_seconds
        self.demand = DemandMeter()
        self.prompt_sizes = PromptSizes()
        self.cost = cost or PrefillCost(0.01, 2e-5, 4e-10)
        self.memory = memory
        self.events = []
        self.order = itertools.count()
        self.now = 0.0
        self.engines = {}
        self.vms = [EntryVm(f"vm{n}") for n in range(vms)]
        for stage, count, speed_ratio in (
            (Stage.PREFILL, prefills, 1.0),
            (Stage.DECODE, decoders, IN_PLACE_SPEED_RATIO),
        ):
            for n in range(count):
                name = f"{stage.value}{n}"
                record = InstanceRecord(name, "llm", "h:1", "dc1", slots, False, stage)
                self.engines[name] = Engine(self, Instance(record), speed_ratio)
        self.jobs = []

    def at(self, moment, action):
        """Schedule ``action`` at ``moment``."""
        heapq.heappush(self.events, (moment, next(self.order), action))

    def instances(self, stage):
        """Return the engines of one stage."""
        engines = (engine.instance for engine in self.engines.values())
        return [i for i in engines if i.record.stage is stage]

    def run(self, arrivals, seconds):
        """Simulate (moment, route, prompt) arrivals; return the jobs."""
        rng = random.Random(5)
        for number, (moment, route, prompt) in enumerate(arrivals):
            job = Job(f"r{number}", prompt, route, moment)
            self.jobs.append(job)
            vm = rng.choice(self.vms)
            self.at(moment, lambda job=job, vm=vm: self.arrive(job, vm))
        for n, vm in enumerate(self.vms):
            start = n * self.update_seconds / len(self.vms)
            self.at(start, lambda vm=vm: self.send_update(vm))
        while self.events and self.events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.jobs

    def send_update(self, vm):
        """Send a VM's loads and prefills to its peers, and schedule the next update."""
        vm.sequence += 1
        updates = vm.cache.take_updates()
        report = PeerReport(
            vm.sequence, self.now, vm.loads.own(), interval=self.update_seconds
        )
        for peer in self.vms:
            if peer is vm:
                continue
            peer.loads.receive(vm.name, report)
            for engine, rows in updates.items():
                peer.cache.apply_update(engine, rows, self.memory)
        self.at(self.now + self.update_seconds, lambda: self.send_update(vm))

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
            prefill_utilization=self.cost.seconds(demand.prefill_engine_work)
            / max(1, len(prefills)),
            decode_utilization=0.1,
            streams=demand.streams,
            report_delay=vm.loads.report_delay(self.now),
            size_doublings=functools.partial(self.prompt_sizes.doublings, now=self.now),
        )

    def arrive(self, job, vm):
        """Plan a request as its VM does: refuse it, or send its prompt."""
        cached = max(vm.cache.cached_tokens(name, job.prompt) for name in self.engines)
        work = self.cost.work(job.prompt.tokens - cached, cached)
        self.prompt_sizes.record(job.route.urgency, work, self.now)
        pool = self.known_to(vm)
        job.vm = vm
        job.plan = vm.placement.plan(
            job.prompt, job.route, pool, request_hash_fraction(job.name)
        )
        idle_timeout = job.route.client_idle_timeout
        time = CallerTime.from_route(job.route, job.route.timeout, 0.0)
        if decide(time, ExpectedWork.from_plan(job.plan, 0.0, 0.0), 0.0) is not None:
            job.refused = True
            return
        work = job.plan.tokens if job.plan.prefill else 0.0
        self.demand.record(Demand(streams=1.0, prefill_engine_work=work), self.now)
        engine = job.plan.prefill or job.plan.target
        job.work = vm.loads.begin(engine.id, job.plan.tokens, job.plan.urgency)
        self.engines[engine.id].take(job, self.now)
        self.at(self.now + idle_timeout, lambda: self.leave(job))

    def leave(self, job):
        """Let the client leave if no event has come."""
        if job.first_at is None:
            job.left = True
            job.work.end()

    def record_prefill(self, engine, job, now):
        """Record a prefill, and begin the stream if the client hasn't left."""
        job.work.end()
        job.vm.cache.record_prefill(engine.instance.id, job.prompt, self.memory)
        if job.left:
            return
        target = job.plan.target
        if job.plan.prefill:
            pool = self.known_to(job.vm)
            hash_fraction = request_hash_fraction(job.name)
            target = job.vm.placement.choose_decoder(
                pool, job.prompt.tokens, job.plan.prefill, hash_fraction
            )
        job.first_at = now + FIRST_EVENT_SECONDS
        stream = job.vm.loads.begin(target.id, 0)
        decoder = self.engines[target.id]
        decoder.change_streams(1)
        seconds = job.prompt.max_output_tokens * TOKEN_SECONDS
        self.at(now + seconds, lambda: self.finish(stream, decoder))

    def finish(self, stream, decoder):
        """End a stream."""
        stream.end()
        decoder.change_streams(-1)


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
