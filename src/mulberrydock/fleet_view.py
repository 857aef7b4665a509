"""What an entry VM believes of its fleet, and the choices made from it."""

import attrs

from .admission import RetryBudget
from .instances import InstanceRegistry, Stage
from .peer_loads import LoadBook
from .placement import Placement, Plan, prefill_urgency
from .route_table import RouteTable
from .suspicion import Suspicion

#: Share of the connection cap of an instance that the entry VMs use together;
#: the rest covers VMs that come and go.
CONNECTION_SHARE = 0.8
#: Share of the fleet-wide retry budget that the VMs spend together: their
#: windows and views of each other never quite agree.
BUDGET_SHARE = 0.7


class FleetView:
    """Routes, instances, loads and suspicion of one entry VM.

    :param timing: the ``[timing]`` settings, for the retry budget.
    :param peers: returns the number of entry VMs, this one included.
    """

    def __init__(self, data_centre, timing, peers, on_gone):
        self.routes = RouteTable()
        self.instances = InstanceRegistry(on_gone)
        self.loads = LoadBook()
        self.suspicion = Suspicion()
        self.placement = Placement(data_centre)
        self.timing = timing
        self.peers = peers
        self.budgets = {}

    def forget(self, instance_id):
        """Drop what is known of an incarnation that is over."""
        self.suspicion.forget(instance_id)
        self.loads.forget(instance_id)

    def budget(self, service):
        """Return this VM's retry budget for a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                ratio=self.timing.retry_budget_ratio * BUDGET_SHARE,
                window_seconds=self.timing.retry_budget_window_seconds,
            )
            self.budgets[service] = budget
        share = self.timing.retry_budget_floor * BUDGET_SHARE / self.peers()
        budget.floor = share
        return budget

    def connection_limit(self, instance):
        """Connections this VM may open to one instance."""
        spec = self.routes.config.services.get(instance.record.service)
        cap = spec.max_connections if spec else 100
        return max(2, int(cap * CONNECTION_SHARE / self.peers()))

    def _fresh(self, service, tried, now):
        excluded = tried | self.loads.held(now)
        serving = self.instances.serving(service)
        return [i for i in serving if i.id not in excluded]

    def _split(self, engines, now):
        """Return the (prefill, decode) engines to choose from, the sound ones
        of each stage where there are any."""
        prefills = [i for i in engines if i.record.stage is Stage.PREFILL]
        decoders = [i for i in engines if i.record.stage is not Stage.PREFILL]
        sound = self.suspicion.sound
        return sound(prefills, now), sound(decoders, now)

    def decode_plan(self, service, plan, tried, now):
        """Return ``plan`` with the decode engine that is best now, or None."""
        _, decoders = self._split(self._fresh(service, tried, now), now)
        target = self.placement.decoder(decoders, self.loads.total(now))
        return target and attrs.evolve(plan, target=target)

    def plan(self, request, route, service, tried, now):
        """Return the :class:`Plan` of one attempt, or None.

        :param tried: ids of instances that this request was sent to before.
        """
        fresh = self._fresh(service, tried, now)
        if not fresh:
            return None
        loads = self.loads.total(now)
        if not request.prompt.tokens:
            sound = self.suspicion.sound(fresh, now)
            return Plan(self.placement.least_loaded(sound, loads))
        prefills, decoders = self._split(fresh, now)
        urgency = prefill_urgency(request.prompt, route.priority)
        return self.placement.plan(request.prompt, urgency, prefills, decoders, loads)
