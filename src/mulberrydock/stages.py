"""Decides how many engines of a pool prefill, and which one changes its stage.

Needed in two cases. When prompts grow or shrink relative to the answers, one stage is
overloaded and delays every client while the other one idles. When engines leave or
crash, a pool may end up without any engine that prefills or decodes. A stage change
makes its engine unavailable for seconds, so a pool is changed only if the measured
demand requires it, the other stage can spare the engine, and the imbalance lasts.
"""

import collections
import math

import attrs

from .instances import Stage
from .peer_loads import Load
from .prefill_cost import IN_PLACE_SPEED_RATIO

#: Share of a pool's engines that decode before its mix is known: a change costs
#: nothing before the first request. Prompts often need most of the engines, answers
#: rarely do.
IDLE_DECODING_SHARE = 1 / 3
#: The same for engines with fewer than ``SMALL_ENGINE_SLOTS`` slots: answers that take
#: a third of the engines of usual pools, which have 64 slots, take more of these.
IDLE_DECODING_SHARE_SMALL_ENGINES = 1 / 2
SMALL_ENGINE_SLOTS = 24
#: Minimum of decode engines in an idle pool: one may be lost while another one is
#: unavailable for a stage change.
MIN_IDLE_DECODERS = 3
#: Utilization of the prefill engines, by work that decode engines can't do as well,
#: above which one more of them is worth the seconds for which it is unavailable. The
#: first value holds for pools of up to ``SMALL_POOL`` engines, where one engine is at
#: least a ninth of the pool, the second for pools so large that one hardly matters.
#: Prompts wait five times as long at 0.85 as at 0.5.
MAX_PREFILL_UTILIZATION = 1.2
MAX_PREFILL_UTILIZATION_LARGE = 0.5
SMALL_POOL = 9
#: Number of engines, twice ``SMALL_POOL``, from which a change of one hardly matters.
LARGE_POOL = 18
#: Utilization of the decode engines above which one more decodes; the streams of an
#: engine share it and slow each other down.
MAX_DECODE_UTILIZATION = 0.8
#: Number of engines from which a pool keeps two decode engines: if the only one is
#: lost, nothing runs for as long as a stage change takes.
SPARE_DECODER_MIN_POOL = 3
#: Seconds for which a pool must lack a whole stage before an engine is changed. The
#: record of a crashed engine takes longer than this to expire.
MISSING_STAGE_SECONDS = 0.3
#: Seconds for which a pool must have too few decode engines. A crashed engine is back,
#: in its old stage, after 2 to 5 s, and its record expires after 3.6 s.
DECODER_SHORTAGE_SECONDS = 6.0
#: Seconds for which a pool must have too few prefill engines: the averaged demand has
#: settled by then, and long prompts are answered late meanwhile. A large pool that has
#: lost no engine needn't wait longer for decode engines either.
PREFILL_SHORTAGE_SECONDS = 2.0
#: Seconds for which a pool must lack engines of a stage after an engine announced that
#: it leaves: it won't be back. Its successor, if there is one, registers before the
#: announcement.
ANNOUNCED_LEAVE_SECONDS = 0.5
#: Share of a pool that may be changing its stage at once.
MAX_CHANGING_SHARE = 0.25
#: Seconds after an order for which its engine counts as changing its stage. An engine
#: is unavailable for 3 s after an accepted order, and an order without an answer may
#: be carried out 12 s late. A refused order had no effect; only the report of its
#: engine lags a little.
ORDER_SETTLE_SECONDS = 5.0
UNANSWERED_SETTLE_SECONDS = 13.0
REFUSED_SETTLE_SECONDS = 0.6
#: Seconds after which an unanswered order is sent again to the same engine. Both carry
#: the same order count, so that only one is carried out. The engine's report lags by
#: some hundred milliseconds.
ORDER_RETRY_SECONDS = 0.6


@attrs.define(frozen=True)
class StageNeeds:
    """Work that is asked of each stage of a pool, in numbers of busy engines.

    ``short_prefill_demand`` is the part of ``prefill_demand`` that decode engines could
    do as well.
    """

    prefill_demand: float = 0.0
    decode_demand: float = 0.0
    short_prefill_demand: float = 0.0


@attrs.define(frozen=True)
class StageChange:
    """A change to be ordered: the engine and its new stage."""

    instance: object
    stage: Stage


def min_decoders(count):
    """Return how many of ``count`` engines have to decode, so that one may be lost."""
    if count < 2:
        return count
    return 2 if count >= SPARE_DECODER_MIN_POOL else 1


def idle_prefills(count, slots):
    """Return how many of ``count`` engines prefill before there is any demand.

    :param slots: slots of an engine.
    """
    small = slots < SMALL_ENGINE_SLOTS
    share = IDLE_DECODING_SHARE_SMALL_ENGINES if small else IDLE_DECODING_SHARE
    minimum = min(MIN_IDLE_DECODERS, (count + 1) // 2)
    return count - max(minimum, round(count * share))


def sustainable_streams(slots):
    """Return how many streams an engine of ``slots`` slots sustains on average.

    The number of slots in use varies by its square root, and twice that must be free:
    an engine of 64 slots sustains 50 streams, one of 12 not quite 7. Beyond that number
    it preempts streams.
    """
    return (math.sqrt(1 + slots) - 1) ** 2


def max_prefill_utilization(count):
    """Return the utilization that prefill engines of a pool of ``count`` may have."""
    small = min(1.0, SMALL_POOL / count)
    return (
        MAX_PREFILL_UTILIZATION_LARGE
        + (MAX_PREFILL_UTILIZATION - MAX_PREFILL_UTILIZATION_LARGE) * small
    )


def busiest_utilization(prefills, decoders, needs):
    """Return the utilization of a pool's busier stage.

    Decode engines prefill, more slowly, if there is no prefill engine.
    """
    if not prefills:
        work = needs.prefill_demand / IN_PLACE_SPEED_RATIO + needs.decode_demand
        return work / max(1, decoders)
    return max(needs.prefill_demand / prefills, needs.decode_demand / max(1, decoders))


def _relieves(prefills, decoders, needs):
    """Return whether it pays off to turn a prefill engine into a decode engine.

    It does if it helps the overloaded stage more than it harms the other one.
    """
    after = busiest_utilization(prefills - 1, decoders + 1, needs)
    return after < busiest_utilization(prefills, decoders, needs)


def prefills_wanted(prefills, decoders, needs, slots):
    """Return how many engines of a pool should prefill, given the present numbers.

    A pool in which no stage is overloaded stays as it is: a change would gain less than
    it loses in the seconds for which its engine is unavailable.
    """
    count = prefills + decoders
    if needs is None:
        return idle_prefills(count, slots)
    spare = min_decoders(count)
    if decoders < spare:
        return max(0, min(prefills - 1, count - spare)) if count > 1 else 0
    overloaded = needs.decode_demand > MAX_DECODE_UTILIZATION * decoders
    if prefills and overloaded and _relieves(prefills, decoders, needs):
        return prefills - 1
    idle = IN_PLACE_SPEED_RATIO * max(0.0, decoders - needs.decode_demand)
    remaining = needs.prefill_demand - min(needs.short_prefill_demand, idle)
    can_spare = decoders > spare
    can_spare = can_spare and needs.decode_demand <= MAX_DECODE_UTILIZATION * (
        decoders - 1
    )
    if can_spare and remaining > max_prefill_utilization(count) * prefills:
        return prefills + 1
    return prefills if prefills or count < 2 else 1


def _shortfall(prefills, count):
    """Return how many engines of a stage a version with ``count`` engines lacks.

    Streams go on only at the version that began them, which so needs decode engines of
    its own, and prefill engines for long prompts.
    """
    lacking = max(0, min_decoders(count) - (count - prefills))
    return lacking + int(not prefills and count > 1)


@attrs.define
class PendingOrder:
    """An order that was sent and may still be carried out.

    ``stage`` is the one that it asks for. Until ``until`` it may take effect; if it
    wasn't answered, it may be sent again from ``retry_at`` on (monotonic seconds).
    """

    stage: Stage
    until: float
    retry_at: float | None = None


@attrs.define
class StagePlanner:
    """Decides stage changes of one pool and tracks how long it is out of balance.

    ``lacking`` is the stage that has too few engines since ``imbalanced_since``.
    ``leave_announced_at`` is when an engine of the pool was last known to be leaving,
    ``engine_lost_at`` when one disappeared that may come back (monotonic seconds).
    ``known_ids`` are the names of incarnations at the last decision; ``pending_orders``
    maps such names to the :class:`PendingOrder` that may still take effect.
    """

    imbalanced_since: float | None = None
    lacking: Stage | None = None
    leave_announced_at: float | None = None
    engine_lost_at: float | None = None
    known_ids: set = attrs.field(factory=set)
    pending_orders: dict = attrs.field(factory=dict)

    def record_order(self, change, settle, now):
        """Record an order that was sent, so that its engine counts as changing.

        If this order was refused, an earlier unanswered one to the same engine stays
        pending: it may still be carried out.

        :param settle: seconds for which it counts, one of the constants above.
        """
        pending = self.pending_orders.get(change.instance.id)
        if settle == REFUSED_SETTLE_SECONDS and pending and now < pending.until:
            pending.retry_at = now + ORDER_RETRY_SECONDS
            return
        unanswered = settle == UNANSWERED_SETTLE_SECONDS
        retry_at = now + ORDER_RETRY_SECONDS if unanswered else None
        order = PendingOrder(change.stage, now + settle, retry_at)
        self.pending_orders[change.instance.id] = order

    def _retry(self, engines, now):
        """Return the change whose order wasn't answered and is due again."""
        for engine in engines:
            order = self.pending_orders.get(engine.id)
            due = order and order.retry_at is not None and now >= order.retry_at
            if due:
                return StageChange(engine, order.stage)
        return None

    def changing_ids(self, engines, now):
        """Return the ids of the engines whose orders may still be carried out.

        An order ends early when its engine reports the stage that it asks for, or has
        left, as the pool may need the next change at once.
        """
        stages = {engine.id: engine.record.stage for engine in engines}
        self.pending_orders = {
            instance_id: order
            for instance_id, order in self.pending_orders.items()
            if order.until > now
            and instance_id in stages
            and stages[instance_id] is not order.stage
        }
        return set(self.pending_orders)

    def _tolerated_seconds(self, prefills, decoders, wanted):
        """Return for how many seconds the pool may stay out of balance."""
        if not prefills or not decoders:
            return MISSING_STAGE_SECONDS
        if (
            self.leave_announced_at is not None
            and self.leave_announced_at >= self.imbalanced_since
        ):
            return ANNOUNCED_LEAVE_SECONDS
        if len(prefills) < wanted:
            return PREFILL_SHORTAGE_SECONDS
        lost = self.engine_lost_at is not None
        lost = (
            lost
            and self.imbalanced_since - self.engine_lost_at < DECODER_SHORTAGE_SECONDS
        )
        if lost or len(prefills) + len(decoders) < LARGE_POOL:
            return DECODER_SHORTAGE_SECONDS
        return PREFILL_SHORTAGE_SECONDS

    def decide(self, engines, leaving, loads, needs, now, paused=frozenset()):
        """Return the :class:`StageChange` to order next, or None.

        :param engines: instances of the pool that may take new work.
        :param leaving: True while others of the pool are leaving.
        :param loads: :class:`~mulberrydock.peer_loads.Load` by instance id.
        :param needs: the measured :class:`StageNeeds`, None before any request.
        :param paused: ids of the engines that accept no calls of this VM for now. They
            count in their stage, as the pause is soon over.
        """
        if leaving:
            self.leave_announced_at = now
        known_ids = {engine.id for engine in engines}
        if self.known_ids - known_ids:
            self.engine_lost_at = now
        self.known_ids = known_ids
        changing = self.changing_ids(engines, now)
        prefills = [e for e in engines if self._next_stage(e) is Stage.PREFILL]
        decoders = [e for e in engines if self._next_stage(e) is Stage.DECODE]
        slots = max((engine.record.slots for engine in engines), default=0)
        wanted = prefills_wanted(len(prefills), len(decoders), needs, slots)
        reachable = [e for e in engines if e.id not in paused]
        retry = self._retry(reachable, now)
        if retry is not None:
            return retry
        if len(prefills) == wanted:
            self.imbalanced_since = None
            return None
        lacking = Stage.PREFILL if len(prefills) < wanted else Stage.DECODE
        if self.imbalanced_since is None or self.lacking is not lacking:
            self.imbalanced_since, self.lacking = now, lacking
        tolerated = self._tolerated_seconds(prefills, decoders, wanted)
        if now - self.imbalanced_since < tolerated:
            return None
        if len(changing) >= max(1, int(len(engines) * MAX_CHANGING_SHARE)):
            return None
        free = [e for e in reachable if e.id not in changing]
        return self._change(engines, free, lacking, loads)

    def _next_stage(self, engine):
        """Return the stage that an engine has or was ordered to change to."""
        order = self.pending_orders.get(engine.id)
        return order.stage if order else engine.record.stage

    def _change(self, engines, free, stage, loads):
        """Pick the engine of ``free`` whose change costs least.

        First, each software version should keep engines of both stages; then the engine
        with the fewest requests is picked.
        """
        free = [e for e in free if e.record.stage is not stage]
        if not free:
            return None

        added_shortfall = self._added_shortfall(engines, stage)

        def cost(engine):
            running = loads.get(engine.id, Load()).running
            return added_shortfall[engine.record.version], running, engine.id

        return StageChange(min(free, key=cost), stage)

    def _added_shortfall(self, engines, stage):
        """Return how many more engines each version lacks once one has changed.

        :param stage: the stage that the engine changes to.
        :returns: the numbers by version.
        """
        change = 1 if stage is Stage.PREFILL else -1
        counts = collections.Counter(e.record.version for e in engines)
        prefills = collections.Counter(
            e.record.version for e in engines if self._next_stage(e) is Stage.PREFILL
        )
        return {
            version: _shortfall(prefills[version] + change, count)
            - _shortfall(prefills[version], count)
            for version, count in counts.items()
        }
