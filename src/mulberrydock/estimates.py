"""What this VM and its peers have learnt of the pools of engines."""

import attrs
from loguru import logger

from .demand import Demand, DemandMeter
from .prefill_cost import PrefillCost, PrefillCostModel
from .prefix_cache import PrefixCacheIndex

#: Samples that a VM must have for its fit to be told to its peers.
TOLD_SAMPLES = 4
#: Share of the last stream in the average: some forty streams count.
STREAM_SHARE = 0.05
#: Part by which an estimate moves before it is logged again.
LOGGED_CHANGE = 0.25


@attrs.define
class PoolEstimates:
    """Of one service: how fast its engines read, and what is asked of it.

    ``stream_seconds`` is the average time from a stream's first event to its
    end, None before the first; ``logged_token_seconds`` the speed last logged.
    """

    cost_model: PrefillCostModel = attrs.field(factory=PrefillCostModel)
    demand: DemandMeter = attrs.field(factory=DemandMeter)
    stream_seconds: float | None = None
    logged_token_seconds: float = 0.0

    def record_stream(self, seconds):
        """A stream ended whole, ``seconds`` after its first event."""
        if self.stream_seconds is None:
            self.stream_seconds = seconds
        self.stream_seconds += STREAM_SHARE * (seconds - self.stream_seconds)


@attrs.define(frozen=True)
class PoolUpdate:
    """What one VM tells of one service; ``cost`` is None without samples."""

    service: str
    demand: Demand
    cost: PrefillCost | None


@attrs.define(frozen=True)
class PrefillSample:
    """One prompt that an engine read without a queue before it.

    ``tokens`` were read after ``cached`` ones, in ``seconds``.
    """

    service: str
    tokens: int
    cached: int
    seconds: float


class FleetEstimates:
    """Knowledge by service, and the parts of prompts kept by each engine.

    :param capacity: returns the tokens of an engine's memory, by its id.
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
        """An engine read a prompt, or fetched what another one had read."""
        self.cache.record_prefill(instance_id, prompt, self.capacity(instance_id))

    def record_demand(self, service, prompt, work, short, now):
        """A client asks for a prompt's completion, whether it is served or not.

        :param work: that of reading it, in tokens without context.
        :param short: True when a decode engine could read it as well.
        """
        demand = Demand(
            work, prompt.tokens, 1.0, short_prefill_work=work if short else 0.0
        )
        self.pool(service).demand.record(demand, now)

    def record_sample(self, sample, now):
        """An engine read a prompt for this VM; its peers learn from it as well:
        alone, each of them would see too few to tell an engine's speed."""
        self.samples.append(sample)
        self.apply_samples([sample], now)

    def take_samples(self):
        """Return the :class:`PrefillSample` that peers haven't been told yet."""
        samples, self.samples = self.samples, []
        return samples

    def apply_samples(self, samples, now):
        """Take samples of this VM or of a peer."""
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
        """Return a :class:`PoolUpdate` of each service.

        :param peers: names of the peers whose demand is added to this VM's.
        """
        rows = []
        for service, pool in self.pools.items():
            told = len(pool.cost_model.samples) >= TOLD_SAMPLES
            cost = pool.cost_model.cost if told else None
            rows.append(PoolUpdate(service, pool.demand.total(now, peers), cost))
        return rows

    def apply_pool_updates(self, peer, rows, now):
        """Take a peer's :class:`PoolUpdate`."""
        for row in rows:
            pool = self.pool(row.service)
            pool.demand.apply_update(peer, row.demand, now)
            if row.cost is not None:
                pool.cost_model.apply_update(peer, row.cost)

    def apply_prefills(self, instance_id, rows):
        """Take the parts that an engine read for a peer."""
        self.cache.apply_update(instance_id, rows, self.capacity(instance_id))
