"""What an entry VM believes of its fleet, and the choices made from it."""

import attrs

from .admission import RetryBudget
from .estimates import FleetEstimates
from .instances import InstanceRegistry, Stage
from .peer_loads import LoadTracker
from .placement import (
    REMOTE_TRANSFER_FACTOR,
    Placement,
    Plan,
    Pool,
    is_short,
    request_hash_fraction,
)
from .prefill_cost import IN_PLACE_SPEED_RATIO
from .quarantine import Quarantine
from .rate_limits import RateLimits
from .route_table import RouteTable
from .stages import MAX_DECODE_UTILIZATION, StageNeeds, sustainable_streams
from .suspicion import Suspicion

#: Share of the connection cap of an instance that the entry VMs use together;
#: the rest covers VMs that come and go.
CONNECTION_SHARE = 0.8
#: Requests a second below which a pool counts as idle: what so few of them ask
#: says nothing about the mix.
LEAST_STREAMS = 1.0
#: Share of the fleet-wide retry budget that the VMs spend together: their
#: windows and views of each other never quite agree.
RETRY_BUDGET_SHARE = 0.7


class FleetView:
    """Routes, instances, loads and suspicion of one entry VM.

    :param timing: the ``[timing]`` settings, for the retry budget.
    :param peers: returns the number of entry VMs, this one included.
    :param limits: the :class:`RateLimits` of instances, None for a VM of its own.
    """

    def __init__(self, data_centre, timing, peers, on_gone, limits=None):
        self.routes = RouteTable()
        self.instances = InstanceRegistry(on_gone)
        self.loads = LoadTracker()
        self.suspicion = Suspicion()
        self.limits = limits or RateLimits()
        self.quarantine = Quarantine()
        self.placement = Placement(data_centre)
        self.estimates = FleetEstimates(self._capacity)
        self.timing = timing
        self.peers = peers
        self.budgets = {}

    def forget(self, instance_id):
        """Drop what is known of an incarnation that is over."""
        self.suspicion.forget(instance_id)
        self.limits.forget(instance_id)
        self.loads.forget(instance_id)
        self.estimates.cache.forget(instance_id)

    def record_misdirected(self, instance, answering, now):
        """An instance refused a call as not meant for it.

        Either another one has its address now, or its stage is not what its
        record says yet; in both cases it is of no use for the moment.

        :param answering: id of the instance that answered, empty if unknown.
        """
        if answering and answering != instance.record.id:
            self.instances.mark_terminated(instance, "address reused")
        else:
            self.suspicion.record_refusal(instance.id, now)

    def budget(self, service):
        """Return this VM's retry budget for a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self.timing.retry_budget_ratio * RETRY_BUDGET_SHARE,
                window_seconds=self.timing.retry_budget_window_seconds,
            )
            self.budgets[service] = budget
        share = self.timing.retry_budget_floor * RETRY_BUDGET_SHARE / self.peers()
        budget.floor = share
        return budget

    def connection_limit(self, instance):
        """Connections this VM may open to one instance."""
        spec = self.routes.config.services.get(instance.record.service)
        cap = spec.max_connections if spec else 100
        return max(2, int(cap * CONNECTION_SHARE / self.peers()))

    def _fresh(self, service, tried, now):
        excluded = tried | self.loads.cordoned(now)
        serving = self.instances.serving(service)
        permits = self.limits.permits
        return [i for i in serving if i.id not in excluded and permits(i.id, now)]

    def is_rate_limited(self, service, now):
        """True when an instance's rate limit leaves this VM no request to it now."""
        serving = self.instances.serving(service)
        return not all(self.limits.permits(i.id, now) for i in serving)

    def _split(self, engines, now):
        """Return the (prefill, decode) engines to choose from, the sound ones
        of each stage where there are any."""
        prefills = [i for i in engines if i.record.stage is Stage.PREFILL]
        # Decode engines read what no prefill engine takes.
        prefills = self.suspicion.accepting(prefills, now)
        decoders = [i for i in engines if i.record.stage is not Stage.PREFILL]
        suspected_by_peers = self.loads.suspected_by_peers(now)
        sound = self.suspicion.healthy
        return sound(prefills, now, suspected_by_peers), sound(
            decoders, now, suspected_by_peers
        )

    def _healthy(self, instances, now):
        """Return those that may be used, by this VM's word and its peers'."""
        return self.suspicion.healthy(
            instances, now, self.loads.suspected_by_peers(now)
        )

    def is_most_urgent(self, route, service):
        """True when no route of the service is more urgent than ``route``."""
        config = self.routes.config
        return not any(
            other.priority < route.priority
            for other in config.routes
            if any(split.service == service for split in other.splits)
        )

    def _spec(self, service):
        config = self.routes.config
        return config.services.get(service) if config else None

    def _capacity(self, instance_id):
        """Return the tokens of an engine's memory, 0 when it isn't known."""
        instance = self.instances.named(instance_id)
        spec = self._spec(instance.record.service) if instance else None
        return spec.kv_tokens if spec else 0

    def _pool(self, service, tried, now):
        fresh = self._fresh(service, tried, now)
        prefills, decoders = self._split(fresh, now)
        spec = self._spec(service)
        knowledge = self.estimates.pool(service)
        demand = knowledge.demand.total(now)
        cost = knowledge.cost_model.cost
        return Pool(
            prefills,
            decoders,
            self.loads.total(now),
            cost,
            self.estimates.cache,
            spec.transfer_seconds_per_token if spec else 0.0,
            cost.seconds(demand.prefill_engine_work) / max(1, len(prefills)),
            self._decoders_busy(knowledge, demand, spec, len(decoders)),
            demand.streams,
            self.loads.report_delay(now),
        )

    def _decoders_busy(self, knowledge, demand, spec, count):
        """Return the utilization of ``count`` decode engines."""
        in_place = (
            knowledge.cost_model.cost.seconds(demand.decode_engine_work)
            / IN_PLACE_SPEED_RATIO
        )
        decoding = self._decoding(knowledge, demand, spec) if spec else 0.0
        return (in_place + decoding) / max(1, count)

    def _decoding(self, knowledge, demand, spec):
        """Return the engines' worth of decoding that is asked of a pool.

        Decode engines are short of whatever runs out first: the link over which
        KV cache comes, places, or memory. All three are counted so that an engine
        that bears no more is at the utilization at which one more of them is asked
        for; one with few places bears a smaller share of them.
        """
        link = (
            demand.transferred_tokens
            * spec.transfer_seconds_per_token
            * REMOTE_TRANSFER_FACTOR
        )
        streams = demand.streams * (knowledge.stream_seconds or 0.0)
        places = 0.0
        if spec.slots:
            places = streams / sustainable_streams(spec.slots) * MAX_DECODE_UTILIZATION
        memory = 0.0
        if demand.streams and spec.kv_tokens:
            memory = (
                streams * demand.transferred_tokens / demand.streams / spec.kv_tokens
            )
        return max(link, places, memory)

    def decode_plan(self, request, service, plan, tried, now):
        """Return ``plan`` with the decode engine that is best now, or None."""
        pool = self._pool(service, tried, now)
        moved = request.prompt.tokens
        target = self.placement.choose_decoder(
            pool, moved, plan.prefill, request_hash_fraction(request.id)
        )
        return target and attrs.evolve(plan, target=target)

    def record_demand(self, prompt, route, service, now):
        """A client asks for a prompt's completion, whether it is served or not."""
        engines = self.instances.serving(service)
        cached = max(
            (self.estimates.cache.cached_tokens(e.id, prompt) for e in engines),
            default=0,
        )
        cost = self.estimates.pool(service).cost_model.cost
        work = cost.work(prompt.tokens - cached, cached)
        short = is_short(cost.seconds(work), route.latency_objective)
        self.estimates.record_demand(service, prompt, work, short, now)

    def stage_needs(self, spec, now):
        """Return the :class:`StageNeeds` of a pool, from the demand of all VMs,
        None while nobody has asked anything of it."""
        knowledge = self.estimates.pool(spec.name)
        demand = knowledge.demand.total(now)
        if demand.streams < LEAST_STREAMS:
            return None
        seconds = knowledge.cost_model.cost.seconds
        decoding = self._decoding(knowledge, demand, spec)
        return StageNeeds(
            seconds(demand.prefill_work), decoding, seconds(demand.short_prefill_work)
        )

    def plan(self, request, route, service, tried, now):
        """Return the :class:`Plan` of one attempt, or None.

        :param tried: ids of instances that this request was sent to before.
        """
        if not request.prompt.tokens:
            fresh = self._fresh(service, tried, now)
            sound = self._healthy(fresh, now)
            if not sound:
                return None
            return Plan(self.placement.least_loaded(sound, self.loads.total(now)))
        pool = self._pool(service, tried, now)
        return self.placement.plan(
            request.prompt, route, pool, request_hash_fraction(request.id)
        )
