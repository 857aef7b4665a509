"""How many engines of a pool prefill, and which one to change.

Answers two patterns. A mix whose prompts grow or shrink against its answers: the
stage that is short makes every client wait while the other one idles. And engines
that leave or crash until none of a pool is left that prefills, or that decodes. A
change darkens an engine for seconds, so a pool is only changed when the measured
demand asks for it, the other stage can spare the engine, and that lasts.
"""

import math

import attrs

from .instances import Stage
from .peer_loads import Load
from .prefill_cost import IN_PLACE_SPEED_RATIO

#: Share of a pool's engines that decode while nothing is known of its mix: a
#: change costs nothing before the first request. Prompts take engines, answers
#: rarely do.
IDLE_DECODING_SHARE = 1 / 3
#: The same for engines of less than ``FEW_PLACES`` places: answers that need a third
#: of the engines of usual pools, which have 64, need more of them.
IDLE_DECODING_SHARE_FEW_PLACES = 1 / 2
FEW_PLACES = 24
#: Decode engines that an idle pool has at least: one may be lost while another is
#: dark for a change.
IDLE_DECODERS = 3
#: Utilization of the prefill engines, by what decode engines can't read as well,
#: above which one more of them is worth the seconds in which it is dark: in a pool of
#: up to ``SMALL_POOL`` engines, where that is a ninth of it at least, and in one so
#: large that it hardly matters. Prompts wait five times as long at 0.85 as at 0.5.
MOST_READING = 1.2
MOST_READING_LARGE = 0.5
SMALL_POOL = 9
#: Engines from which a change of one is hardly noticed: twice as many.
LARGE_POOL = 18
#: Utilization of the decode engines above which one more decodes; their streams
#: share an engine, and each of them slows the others.
MAX_DECODE_UTILIZATION = 0.8
#: Engines from which a pool keeps two decode engines: with one, nothing runs for
#: as long as a change takes once it is lost.
SPARE_DECODER_FROM = 3
#: Seconds for which a pool must lack a whole stage before one is changed; a
#: crashed engine's record takes longer than this to lapse.
MISSING_SECONDS = 0.3
#: Seconds for which a pool must have too few decode engines: one that crashed is
#: back, in its old stage, after 2 to 5 s, and its record lapses after 3.6 s.
FEW_DECODERS_SECONDS = 6.0
#: Seconds for which a pool must lack prefill engines: the average of the demand
#: has no trend of its own by then, and long prompts are answered late meanwhile. A
#: large pool that lost no engine needn't wait longer for decode engines either.
PREFILL_SHORTAGE_SECONDS = 2.0
#: Seconds for which a pool must lack engines of a stage after an engine's notice
#: that it leaves: that engine won't be back. Its successor, where it is replaced,
#: has registered before the notice.
NOTICED_SECONDS = 0.5
#: Share of a pool that may be under change at once.
CHANGED_SHARE = 0.25
#: Seconds after an order for which its engine counts as under change: the users'
#: engines are dark for 3 s, and one without an answer may be carried out 12 s
#: late. A refused order did nothing; its engine's report lags a little.
ORDER_SETTLE_SECONDS = 5.0
UNANSWERED_SETTLE_SECONDS = 13.0
REFUSED_SETTLE_SECONDS = 0.6
#: Seconds after which an order without an answer is given again, to the same
#: engine: the two carry the same order count, so only one is carried out. The
#: engine's report lags by some hundred milliseconds.
REPEAT_SECONDS = 0.6


@attrs.define(frozen=True)
class StageNeeds:
    """Engines' worth of work that is asked of each stage of a pool.

    ``short`` is the part of ``prefill_demand`` that decode engines could do as well.
    """

    prefill_demand: float = 0.0
    decode_demand: float = 0.0
    short_prefill_demand: float = 0.0


@attrs.define(frozen=True)
class StageChange:
    """An order to be given: the engine and the stage it should have."""

    instance: object
    stage: Stage


def spare_decoders(count):
    """Return how many of ``count`` engines decode at least, for their loss."""
    if count < 2:
        return count
    return 2 if count >= SPARE_DECODER_FROM else 1


def idle_prefills(count, slots):
    """Return how many of ``count`` engines prefill before any demand.

    :param slots: places of an engine.
    """
    few = slots < FEW_PLACES
    share = IDLE_DECODING_SHARE_FEW_PLACES if few else IDLE_DECODING_SHARE
    least = min(IDLE_DECODERS, (count + 1) // 2)
    return count - max(least, round(count * share))


def sustainable_streams(slots):
    """Return how many requests an engine of ``slots`` places bears on average.

    The number in use varies by its square root, so that twice that must be free: an
    engine of 64 places bears 50, one of 12 not quite 7. Beyond them it preempts.
    """
    return (math.sqrt(1 + slots) - 1) ** 2


def most_reading(count):
    """Return the utilization that prefill engines of a pool of ``count`` may have."""
    small = min(1.0, SMALL_POOL / count)
    return MOST_READING_LARGE + (MOST_READING - MOST_READING_LARGE) * small


def busiest(prefills, decoders, needs):
    """Return the utilization of a pool's busier stage; decode engines read what no
    prefill engine does."""
    if not prefills:
        work = needs.prefill_demand / IN_PLACE_SPEED_RATIO + needs.decode_demand
        return work / max(1, decoders)
    return max(needs.prefill_demand / prefills, needs.decode_demand / max(1, decoders))


def _relieves(prefills, decoders, needs):
    """True when one decode engine more, in place of a prefill engine, helps the
    stage that is short more than it harms the other."""
    after = busiest(prefills - 1, decoders + 1, needs)
    return after < busiest(prefills, decoders, needs)


def prefills_wanted(prefills, decoders, needs, slots):
    """Return how many of a pool's engines should prefill, as it stands.

    A pool in which no stage is short stays as it is: what a change would win is
    less than the seconds for which its engine is dark.
    """
    count = prefills + decoders
    if needs is None:
        return idle_prefills(count, slots)
    spare = spare_decoders(count)
    if decoders < spare:
        return max(0, min(prefills - 1, count - spare)) if count > 1 else 0
    crowded = needs.decode_demand > MAX_DECODE_UTILIZATION * decoders
    if prefills and crowded and _relieves(prefills, decoders, needs):
        return prefills - 1
    idle = IN_PLACE_SPEED_RATIO * max(0.0, decoders - needs.decode_demand)
    prefill_demand = needs.prefill_demand - min(needs.short_prefill_demand, idle)
    can_spare = decoders > spare
    can_spare = can_spare and needs.decode_demand <= MAX_DECODE_UTILIZATION * (
        decoders - 1
    )
    if can_spare and prefill_demand > most_reading(count) * prefills:
        return prefills + 1
    return prefills if prefills or count < 2 else 1


@attrs.define
class PendingOrder:
    """An order that was sent: the stage it asks for, until when it may still
    be at work and, if it wasn't answered, from when on it may be given again
    (monotonic seconds)."""

    stage: Stage
    until: float
    repeat_at: float | None = None


@attrs.define
class StagePlanner:
    """Decides stage changes of one pool; remembers since when it is off.

    ``lacking`` is the stage that it lacks since ``off_since``; ``ordered`` maps
    incarnations' names to the :class:`PendingOrder` that may be at work; ``noticed_at``
    is when an engine of the pool was last known to be leaving, ``lost_at`` when one
    left that might come back.
    """

    off_since: float | None = None
    lacking: Stage | None = None
    noticed_at: float | None = None
    lost_at: float | None = None
    known: set = attrs.field(factory=set)
    ordered: dict = attrs.field(factory=dict)

    def record_order(self, change, settle, now):
        """An order was sent: leave the pool alone until it is over.

        An earlier order to that engine which wasn't answered stays unsettled
        when this one was refused: it may yet be carried out.

        :param settle: seconds until it is over, one of the constants above.
        """
        known = self.ordered.get(change.instance.id)
        if settle == REFUSED_SETTLE_SECONDS and known and now < known.until:
            known.repeat_at = now + REPEAT_SECONDS
            return
        repeats = settle == UNANSWERED_SETTLE_SECONDS
        repeat_at = now + REPEAT_SECONDS if repeats else None
        order = PendingOrder(change.stage, now + settle, repeat_at)
        self.ordered[change.instance.id] = order

    def _repeated(self, engines, now):
        """Return the change whose order wasn't answered and is due again."""
        for engine in engines:
            order = self.ordered.get(engine.id)
            due = order and order.repeat_at is not None and now >= order.repeat_at
            if due:
                return StageChange(engine, order.stage)
        return None

    def under_change(self, engines, now):
        """Return the ids of the engines at which an order may be at work.

        It is over when its engine shows the stage it asks for, or has left;
        the pool may then need the next change at once.
        """
        stages = {engine.id: engine.record.stage for engine in engines}
        self.ordered = {
            instance_id: order
            for instance_id, order in self.ordered.items()
            if order.until > now
            and instance_id in stages
            and stages[instance_id] is not order.stage
        }
        return set(self.ordered)

    def _patience(self, prefills, decoders, wanted):
        """Return for how many seconds the pool may stay as it is."""
        if not prefills or not decoders:
            return MISSING_SECONDS
        if self.noticed_at is not None and self.noticed_at >= self.off_since:
            return NOTICED_SECONDS
        if len(prefills) < wanted:
            return PREFILL_SHORTAGE_SECONDS
        lost = self.lost_at is not None
        lost = lost and self.off_since - self.lost_at < FEW_DECODERS_SECONDS
        if lost or len(prefills) + len(decoders) < LARGE_POOL:
            return FEW_DECODERS_SECONDS
        return PREFILL_SHORTAGE_SECONDS

    def decide(self, engines, leaving, loads, needs, now):
        """Return a :class:`StageChange`, or None.

        :param engines: instances of the pool that may take new work.
        :param leaving: True while others of the pool are leaving.
        :param loads: work at each, by instance id.
        :param needs: the :class:`StageNeeds` measured, None before any request.
        """
        if leaving:
            self.noticed_at = now
        known = {engine.id for engine in engines}
        if self.known - known:
            self.lost_at = now
        self.known = known
        changing = self.under_change(engines, now)
        prefills = [e for e in engines if self._becomes(e) is Stage.PREFILL]
        decoders = [e for e in engines if self._becomes(e) is Stage.DECODE]
        slots = max((engine.record.slots for engine in engines), default=0)
        wanted = prefills_wanted(len(prefills), len(decoders), needs, slots)
        repeated = self._repeated(engines, now)
        if repeated is not None:
            return repeated
        if len(prefills) == wanted:
            self.off_since = None
            return None
        lacking = Stage.PREFILL if len(prefills) < wanted else Stage.DECODE
        if self.off_since is None or self.lacking is not lacking:
            self.off_since, self.lacking = now, lacking
        patience = self._patience(prefills, decoders, wanted)
        if now - self.off_since < patience:
            return None
        if len(changing) >= max(1, int(len(engines) * CHANGED_SHARE)):
            return None
        free = [e for e in engines if e.id not in changing]
        return self._change(free, lacking, loads)

    def _becomes(self, engine):
        """Return the stage an engine has, or is about to have by order."""
        order = self.ordered.get(engine.id)
        return order.stage if order else engine.record.stage

    def _change(self, engines, stage, loads):
        """Pick the engine with the least work, as its change costs least."""
        engines = [e for e in engines if e.record.stage is not stage]
        if not engines:
            return None
        idlest = min(engines, key=lambda e: (loads.get(e.id, Load()).running, e.id))
        return StageChange(idlest, stage)
