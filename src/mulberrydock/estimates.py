"""What this VM and its peers estimate about the pools of engines."""

import attrs
from loguru import logger

from .demand import Demand, DemandMeter
from .prefill_cost import PrefillCost, PrefillCostModel
from .prefix_cache import PrefixCacheIndex
from .room.places import PlaceUse
from .room.urgency import PromptSizes

#: Number of samples from which a VM reports its fit to its peers.
MIN_REPORTED_SAMPLES = 4
#: Weight of the latest stream in the average, which covers some forty streams.
STREAM_WEIGHT = 0.05
#: Relative change of an estimate from which it is logged again.
LOGGED_CHANGE = 0.25


@attrs.define
class PoolEstimates:
    """Estimates for one service: prefill cost, demand and duration of streams.

    ``stream_seconds`` is the average time from a stream's first event to its end, None
    before the first; ``place_use`` is the :class:`~mulberrydock.room.places.PlaceUse`
    of the requests, ``prompt_sizes`` the
    :class:`~mulberrydock.room.urgency.PromptSizes`; ``logged_token_seconds`` is the
    time a token that was last logged.
    """

    cost_model: PrefillCostModel = attrs.field(factory=PrefillCostModel)
    demand: DemandMeter = attrs.field(factory=DemandMeter)
    stream_seconds: float | None = None
    place_use: PlaceUse = attrs.field(factory=PlaceUse)
    prompt_sizes: PromptSizes = attrs.field(factory=PromptSizes)
    logged_token_seconds: float = 0.0

    def record_stream(self, seconds):
        """Record a complete stream that ended ``seconds`` after its first event."""
        if self.stream_seconds is None:
            self.stream_seconds = seconds
        self.stream_seconds += STREAM_WEIGHT * (seconds - self.stream_seconds)


@attrs.define(frozen=True)
class PoolUpdate:
    """What one VM reports about a service; ``cost`` is None without enough samples."""

    service: str
    demand: Demand
    cost: PrefillCost | None


@attrs.define(frozen=True)
class PrefillSample:
    """One prompt that an engine prefilled without a queue before it.

    ``tokens`` were prefilled after ``cached`` ones, in ``seconds``.
    """

    service: str
    tokens: int
    cached: int
    seconds: float


class FleetEstimates:
    """Estimates by service, and the parts of prompts cached at each engine.

    :param capacity: returns the tokens of an engine's memory, by the engine's id.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self.pools = {}
        self.cache = PrefixCacheIndex()
        self.samples = []

    def pool(self, service):
        """Return the :class:`PoolEstimates` of a service."""
        return self.pools.setdefault(service, PoolEstimates())

    def record_prefill(self, instance_id, prompt):
        """Record that an engine prefilled a prompt or fetched its KV cache."""
        self.cache.record_prefill(instance_id, prompt, self.capacity(instance_id))

    def record_demand(self, service, prompt, work, short, now):
        """Record a request for a prompt's completion, whether it is served or not.

        :param work: that of the prefill, in tokens without context.
        :param short: True when a decode engine could prefill the prompt as well.
        """
        demand = Demand(
            work, prompt.tokens, 1.0, short_prefill_work=work if short else 0.0
        )
        self.pool(service).demand.record(demand, now)

    def record_sample(self, sample, now):
        """Record a :class:`PrefillSample` of this VM, also to be sent to its peers.

        Alone, each VM would see too few of them to estimate an engine's speed.
        """
        self.samples.append(sample)
        self.apply_samples([sample], now)

    def take_samples(self):
        """Return the :class:`PrefillSample` list not yet sent to peers; clear it."""
        samples, self.samples = self.samples, []
        return samples

    def apply_samples(self, samples, now):
        """Apply samples of this VM or of a peer."""
        for row in samples:
            pool = self.pool(row.service)
            pool.cost_model.record(row.tokens, row.cached, row.seconds, now)
            self._log_change(row.service, pool)

    def _log_change(self, service, pool):
        cost, logged = pool.cost_model.cost, pool.logged_token_seconds
        if logged and abs(cost.token / logged - 1) < LOGGED_CHANGE:
            return
        pool.logged_token_seconds = cost.token
        logger.info(
            "reading speed learnt",
            service=service,
            token_seconds=cost.token,
            overhead=round(cost.overhead, 4),
            samples=len(pool.cost_model.samples),
        )

    def pool_updates(self, now, peers=frozenset()):
        """Return a :class:`PoolUpdate` for each service.

        :param peers: names of the peers whose demand is added to this VM's.
        """
        rows = []
        for service, pool in self.pools.items():
            enough = len(pool.cost_model.samples) >= MIN_REPORTED_SAMPLES
            cost = pool.cost_model.cost if enough else None
            rows.append(PoolUpdate(service, pool.demand.total(now, peers), cost))
        return rows

    def apply_pool_updates(self, peer, rows, now):
        """Apply the :class:`PoolUpdate` rows of a peer."""
        for row in rows:
            pool = self.pool(row.service)
            pool.demand.apply_update(peer, row.demand, now)
            if row.cost is not None:
                pool.cost_model.apply_update(peer, row.cost)

    def apply_prefills(self, instance_id, rows):
        """Apply the (key, tokens) rows of parts that an engine prefilled for a peer."""
        self.cache.apply_update(instance_id, rows, self.capacity(instance_id))
