"""The state of the fleet as one entry VM knows it, and decisions based on it."""

import functools
import math

import attrs

from .admission import RetryBudget
from .backoffs import Backoffs
from .clock import boot_seconds
from .estimates import FleetEstimates
from .exceptions import CallWithheld
from .instances import InstanceRegistry, Stage
from .links import Links
from .outages import Outages
from .pauses import Pauses
from .peer_loads import LoadTracker
from .placement import (
    Placement,
    Plan,
    Pool,
    is_short,
    request_hash_fraction,
)
from .prefill_cost import IN_PLACE_SPEED_RATIO
from .quarantine import Quarantine
from .rate_limits import RateLimits
from .regions import Distances
from .regions.distances import REMOTE_TRANSFER_FACTOR
from .rendezvous import rank
from .room.admission import CallerTime
from .room.places import Places
from .route_table import RouteTable
from .stages import MAX_DECODE_UTILIZATION, StageNeeds, sustainable_streams
from .suspicion import Suspicion

#: Share of an instance's connection limit that the entry VMs use together; the
#: rest covers VMs that start or leave.
CONNECTION_SHARE = 0.8
#: Requests per second below which a pool counts as idle: so few requests say
#: nothing about the mix of prefill and decode work.
MIN_STREAMS_PER_SECOND = 1.0
#: Share of the fleet-wide retry budget that the VMs spend together: their time
#: windows and their counts of each other differ slightly.
RETRY_BUDGET_SHARE = 0.7
#: Share of the same for processes that have just started, beside that of their
#: predecessors. Both together leave a margin for the differences named above.
START_BUDGET_SHARE = 0.25
#: Statuses whose ``Retry-After`` asks for a pause.
PAUSE_STATUSES = (429, 503)


class FleetView:
    """Routes, instances, loads, suspicions and estimates of one entry VM.

    Methods take the current time as ``now``, in monotonic seconds.

    :param data_centre: the data centre of this VM.
    :param timing: the ``[timing]`` settings, for the retry budget.
    :param vm_count: returns the number of entry VMs, this one included.
    :param on_removed: called with the incarnation of each instance that is removed.
    :param limits: the :class:`~mulberrydock.rate_limits.RateLimits` of the
        instances, None for a VM without peers.
    :param regions: the region of each data centre, None if they lie in one.
    :param recent_vm_count: returns the number of entry VMs that may have spent retries
        in the budget's window, None for ``vm_count``.

    ``configuration_current`` is False while this VM couldn't hear of a new version.
    ``started_at`` is when its process started, -inf if no other one ran before.
    """

    def __init__(
        self,
        data_centre,
        timing,
        vm_count,
        on_removed,
        limits=None,
        regions=None,
        recent_vm_count=None,
    ):
        self.routes = RouteTable()
        self.instances = InstanceRegistry(on_removed)
        self.loads = LoadTracker()
        self.suspicion = Suspicion()
        self.links = Links(self.instances)
        self.limits = limits or RateLimits()
        self.backoffs = Backoffs()
        self.outages = Outages()
        self.pauses = Pauses()
        self.quarantine = Quarantine()
        self.distances = Distances(data_centre, regions)
        self.placement = Placement(data_centre, self.distances)
        self.estimates = FleetEstimates(self._kv_capacity)
        self.timing = timing
        self.vm_count = vm_count
        self.recent_vm_count = recent_vm_count or vm_count
        self.retry_budgets = {}
        self.started_at = -math.inf
        self.configuration_current = True

    def forget(self, instance_id):
        """Drop all state of a terminated incarnation."""
        self.suspicion.forget(instance_id)
        self.links.forget(instance_id)
        self.limits.forget(instance_id)
        self.loads.forget(instance_id)
        self.estimates.cache.forget(instance_id)

    def record_response(self, instance, status, metadata, now):
        """Record what a response states about the instance that gave it.

        :param instance: the one that was called; another one may have responded.
        :param metadata: the :class:`~mulberrydock.request.ResponseMetadata`.
        """
        if metadata.instance not in ("", instance.record.id):
            instance = self.instances.instances.get(metadata.instance)
        if instance is None:
            return
        if metadata.leaving:
            self.instances.mark_leaving(instance.id, "response", now)
        if metadata.limit is not None:
            self.limits.observe(instance.id, metadata.limit, now, now)
        if status in PAUSE_STATUSES and metadata.retry_after is not None:
            self.backoffs.record(instance.id, metadata.retry_after, now)

    def record_misdirected(self, instance, answering, now):
        """Record that ``instance`` refused a call as not meant for it.

        Either another instance has its address now, or its record doesn't have its
        current stage yet; in both cases it can't be used for the moment.

        :param answering: id of the instance that answered, empty if unknown.
        """
        if answering and answering != instance.record.id:
            self.instances.mark_terminated(instance, "address reused")
        else:
            self.suspicion.record_refusal(instance.id, now)

    def catch_up_seconds(self, now):
        """Return the seconds until this VM has read what came while it stood still."""
        return self.pauses.catch_up_seconds(now, boot_seconds())

    def is_measurable(self, since, now):
        """Return whether something that took from ``since`` to ``now`` can be measured.

        What ended while this process stood still was read at the end of the pause.
        """
        return not self.pauses.has_paused(since, now, boot_seconds())

    def budget(self, service):
        """Return this VM's retry budget for a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self.timing.retry_budget_ratio * RETRY_BUDGET_SHARE,
                window_seconds=self.timing.retry_budget_window_seconds,
                started_at=self.started_at,
                start_share=START_BUDGET_SHARE / RETRY_BUDGET_SHARE,
            )
            self.retry_budgets[service] = budget
        floor = self.timing.retry_budget_floor * RETRY_BUDGET_SHARE
        budget.floor = floor / self.recent_vm_count()
        return budget

    def connection_limit(self, instance):
        """Return the number of connections that this VM may open to an instance."""
        spec = self.routes.config.services.get(instance.record.service)
        cap = spec.max_connections if spec else 100
        return max(2, int(cap * CONNECTION_SHARE / self.vm_count()))

    def _candidates(self, service, tried, now, accepts):
        """Return the instances that a request may be sent to.

        :param accepts: returns whether an instance with that record will do.
        """
        excluded = tried | self.loads.cordoned(now)
        return [
            instance
            for instance in self.instances.serving(service)
            if instance.id not in excluded
            and accepts(instance.record)
            and self._permits(instance, now)
        ]

    def _permits(self, instance, now):
        """Return whether an instance accepts a request of this VM for now."""
        return self.backoffs.permits(instance.id, now) and self.limits.permits(
            instance.id, now
        )

    def is_held_back(self, service, now):
        """Return whether this VM may not send to an instance of a service for now."""
        serving = self.instances.serving(service)
        return not all(self._permits(i, now) for i in serving)

    def pause_seconds(self, service, now):
        """Return the seconds until an instance of a service accepts calls again.

        It is 0 when one accepts them now, or when there is no instance.
        """
        pauses = [
            self.backoffs.seconds_left(instance.id, now)
            for instance in self.instances.serving(service)
        ]
        return min(pauses, default=0.0)

    def avoided_seconds(self, service, now):
        """Return the seconds until this VM no longer avoids an instance of a service.

        It is 0 when one isn't, or when there is no instance.
        """
        serving = self.instances.serving(service)
        return min(
            (self.suspicion.seconds_left(i.id, now) for i in serving), default=0.0
        )

    def avoided(self, now):
        """Return the ids of the instances that peers had better avoid as well.

        Failures at instances of a service to which this VM has lost its links say
        nothing about the instances.
        """
        suspects = self.suspicion.suspects(now)
        if self.links.lost_since:
            suspects = {i for i in suspects if not self._is_link_lost(i)}
        return suspects | {self._incarnation(i) for i in self.backoffs.paused(now)}

    def _incarnation(self, instance_id):
        """Return the known incarnation of an instance, or its id if there is none."""
        instance = self.instances.instances.get(instance_id)
        return instance.id if instance else instance_id

    def _is_link_lost(self, instance_id):
        instance = self.instances.get_incarnation(instance_id)
        return instance is not None and self.links.is_lost(instance.record.service)

    def check_call(self, instance, now):
        """Check that an instance hasn't asked this VM for a pause.

        :raises CallWithheld: when it has.
        """
        if not self.backoffs.permits(instance.id, now):
            raise CallWithheld(f"{instance.id} asked for a pause")

    def check_send(self, instance, now):
        """Check that an instance may be sent a request, once a connection is ready.

        What it states may have changed while the connection was made.

        :raises CallWithheld: when it leaves or has asked this VM for a pause.
        """
        if instance.is_going:
            raise CallWithheld(f"{instance.id} leaves")
        self.check_call(instance, now)

    def _split_by_stage(self, engines, now):
        """Return the prefill engines and the decode engines to choose from.

        Those are the healthy engines of each stage, or all if none is healthy.
        """
        prefills = [i for i in engines if i.record.stage is Stage.PREFILL]
        # Decode engines prefill what no prefill engine accepts.
        prefills = self.suspicion.accepting(prefills, now)
        decoders = [i for i in engines if i.record.stage is not Stage.PREFILL]
        return self._healthy(prefills, now), self._healthy(decoders, now)

    def _healthy(self, instances, now):
        """Return the instances that neither this VM nor its peers avoid, or all."""
        avoided = self.loads.suspected_by_peers(now) | self.links.down()
        return self.suspicion.healthy(instances, now, avoided)

    def _spec(self, service):
        config = self.routes.config
        return config.services.get(service) if config else None

    def _kv_capacity(self, instance_id):
        """Return the capacity of an engine's KV cache in tokens, 0 if unknown."""
        instance = self.instances.get_incarnation(instance_id)
        spec = self._spec(instance.record.service) if instance else None
        return spec.kv_tokens if spec else 0

    def _pool(self, service, tried, now, accepts):
        candidates = self._candidates(service, tried, now, accepts)
        prefills, decoders = self._split_by_stage(candidates, now)
        spec = self._spec(service)
        estimates = self.estimates.pool(service)
        demand = estimates.demand.total(now)
        cost = estimates.cost_model.cost
        return Pool(
            prefills,
            decoders,
            self.loads.total(now),
            cost,
            self.estimates.cache,
            spec.transfer_seconds_per_token if spec else 0.0,
            cost.seconds(demand.prefill_engine_work) / max(1, len(prefills)),
            self._decode_utilization(estimates, demand, spec, len(decoders)),
            demand.streams,
            self.loads.report_delay(now),
            functools.partial(estimates.prompt_sizes.doublings, now=now),
        )

    def _decode_utilization(self, estimates, demand, spec, count):
        """Return the utilization of ``count`` decode engines."""
        prefill_load = (
            estimates.cost_model.cost.seconds(demand.decode_engine_work)
            / IN_PLACE_SPEED_RATIO
        )
        decode_load = self._decode_load(estimates, demand, spec) if spec else 0.0
        return (prefill_load + decode_load) / max(1, count)

    def _decode_load(self, estimates, demand, spec):
        """Return the decode work demanded of a pool, in engines.

        A decode engine is limited by whichever runs out first: the link over which
        KV cache is transferred, its slots, or its memory. Each is scaled so that an
        engine at its limit is at the utilization at which another decode engine is
        wanted. With few slots, a smaller share of them can be in use on average.
        """
        link = (
            demand.transferred_tokens
            * spec.transfer_seconds_per_token
            * REMOTE_TRANSFER_FACTOR
        )
        streams = demand.streams * (estimates.stream_seconds or 0.0)
        slots = 0.0
        if spec.slots:
            slots = streams / sustainable_streams(spec.slots) * MAX_DECODE_UTILIZATION
        memory = 0.0
        if demand.streams and spec.kv_tokens:
            memory = (
                streams * demand.transferred_tokens / demand.streams / spec.kv_tokens
            )
        return max(link, slots, memory)

    def decode_plan(self, request, service, plan, tried, now):
        """Return ``plan`` with the best decode engine at ``now``, or None.

        It is of the version that has prefilled the prompt.
        """
        version = plan.prefill.record.version
        pool = self._pool(service, tried, now, lambda r: r.version == version)
        pool = self._isolate_suspect(pool, request)
        prompt_tokens = request.prompt.tokens
        target = self.placement.choose_decoder(
            pool, prompt_tokens, plan.prefill, request_hash_fraction(request.id)
        )
        return target and attrs.evolve(plan, target=target)

    def decode_pool(self, service, record, now):
        """Return the :class:`Pool` at which a stream of an engine can go on.

        :param record: the engine's :class:`~mulberrydock.instances.InstanceRecord`.
        """
        version = record.stream_version
        return self._pool(service, set(), now, lambda r: r.stream_version == version)

    def _isolate_suspect(self, pool, request):
        """Return ``pool`` for a request that may crash its decode engine.

        All VMs choose the same engine for a part of a prompt under suspicion, so that
        requests with it that are sent at the same time can crash only one.
        """
        evidence = self.quarantine.evidence
        suspects = [w for w in request.part_works if evidence.is_unproven(w)]
        if not suspects or not pool.decoders:
            return pool
        worst = max(suspects, key=lambda work: (evidence.count(work), work))
        engine = min(pool.decoders, key=lambda e: rank(worst, e.id))
        return attrs.evolve(pool, decoders=[engine])

    def record_demand(self, prompt, route, service, now):
        """Record a client's request for a completion, whether it is served or not."""
        engines = self.instances.serving(service)
        cached = max(
            (self.estimates.cache.cached_tokens(e.id, prompt) for e in engines),
            default=0,
        )
        estimates = self.estimates.pool(service)
        cost = estimates.cost_model.cost
        work = cost.work(prompt.tokens - cached, cached)
        short = is_short(cost.seconds(work), route.gap_objective)
        self.estimates.record_demand(service, prompt, work, short, now)
        estimates.place_use.record_arrival(route.urgency, now)
        estimates.prompt_sizes.record(route.urgency, work, now)

    def place_wait(self, service, route, places, now):
        """Return the seconds until there is a place for a request.

        :param places: the :class:`~mulberrydock.room.places.Places` of its pool.
        """
        place_use = self.estimates.pool(service).place_use
        return place_use.wait(route.urgency, places, route.timeout, now)

    def held_seconds(self, service, route, now):
        """Return for how long a request holds its place, 0 if unknown."""
        return self.estimates.pool(service).place_use.held_seconds(route.urgency, now)

    def stage_needs(self, spec, now):
        """Return the :class:`StageNeeds` of a pool, from the demand of all VMs.

        :returns: None while the pool is idle.
        """
        estimates = self.estimates.pool(spec.name)
        demand = estimates.demand.total(now)
        if demand.streams < MIN_STREAMS_PER_SECOND:
            return None
        seconds = estimates.cost_model.cost.seconds
        decode_load = self._decode_load(estimates, demand, spec)
        return StageNeeds(
            seconds(demand.prefill_work),
            decode_load,
            seconds(demand.short_prefill_work),
        )

    def plan(self, request, route, service, tried, now, version=""):
        """Return the :class:`Plan` of one attempt, None if no instance can be used.

        :param tried: ids of the instances that this request was already sent to.
        :param version: the only version that the attempt may go to, empty for any.
        """

        def accepts(record):
            return version in ("", record.stream_version)

        if not request.prompt.tokens:
            candidates = self._candidates(service, tried, now, accepts)
            healthy = self._healthy(candidates, now)
            if not healthy:
                return None
            loads = self.loads.total(now)
            target = self.placement.least_loaded(healthy, loads)
            return Plan(target, places=Places.from_instances(healthy, loads))
        pool = self._pool(service, tried, now, accepts)
        pool = self._isolate_suspect(pool, request)
        time = CallerTime.from_request(request, route, now)
        return self.placement.plan(
            request.prompt,
            route,
            pool,
            request_hash_fraction(request.id),
            time.patience,
        )
