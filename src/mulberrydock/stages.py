"""How many engines of a pool prefill, and which one to change.

Answers the pattern in which engines leave or crash until none of a pool is
left that prefills: long prompts are then read by the decode engines at half
the speed, in the way of every running stream. A change darkens an engine for
seconds, so a pool is only changed when it has stayed out of balance.
"""

import attrs

from .instances import Stage
from .peer_loads import Load

#: Share of a pool's engines that prefill. With the users' mix, prompts of
#: more than the in-place limit fill about 1.1 engines of five.
PREFILL_SHARE = 0.4
#: Seconds for which a pool must lack a whole stage before one is changed; a
#: crashed engine's record takes longer than this to lapse.
MISSING_SECONDS = 0.3
#: Seconds for which a pool must be out of balance otherwise. A crashed engine
#: is back, in its old stage, after 2 to 5 s; with fewer
#: decode engines than prefill engines there is no time to wait for that: a pool
#: short of decode engines fails requests, one short of prefill engines only
#: answers long prompts late.
UNBALANCED_SECONDS = 6.0
FEW_DECODERS_SECONDS = 1.5
#: Seconds after an order for which the pool isn't changed again: the users'
#: engines are dark for 3 s, and one without an answer may be carried out 12 s
#: late. A refused order did nothing; its engine's report lags a little.
ORDER_SETTLE_SECONDS = 5.0
UNANSWERED_SETTLE_SECONDS = 13.0
REFUSED_SETTLE_SECONDS = 0.6


@attrs.define(frozen=True)
class StageChange:
    """An order to be given: the engine and the stage it should have."""

    instance: object
    stage: Stage


def prefill_target(count):
    """Return how many of ``count`` engines should prefill."""
    if count < 2:
        return 0
    return min(count - 1, max(1, round(count * PREFILL_SHARE)))


@attrs.define(frozen=True)
class Ordered:
    """An order that was sent: the stage it asks for and until when it may
    still be at work (monotonic seconds)."""

    stage: Stage
    until: float


@attrs.define
class StagePlanner:
    """Decides stage changes of one pool; remembers since when it is off.

    ``ordered`` maps instance ids to the :class:`Ordered` that may be at work.
    """

    off_since: float | None = None
    ordered: dict = attrs.field(factory=dict)

    def note_order(self, change, until):
        """An order was sent: leave the pool alone until it is over."""
        self.ordered[change.instance.id] = Ordered(change.stage, until)

    def unsettled(self, engines, now):
        """True while an order may be at work.

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
        return bool(self.ordered)

    def decide(self, engines, loads, now):
        """Return a :class:`StageChange`, or None.

        :param engines: instances of the pool that may take new work.
        :param loads: work at each, by instance id.
        """
        prefills = [e for e in engines if e.record.stage is Stage.PREFILL]
        decoders = [e for e in engines if e.record.stage is Stage.DECODE]
        wanted = prefill_target(len(prefills) + len(decoders))
        if len(prefills) == wanted:
            self.off_since = None
            return None
        if self.off_since is None:
            self.off_since = now
        patience = UNBALANCED_SECONDS
        if len(prefills) > wanted and len(decoders) < len(prefills):
            patience = FEW_DECODERS_SECONDS
        if not prefills or not decoders:
            patience = MISSING_SECONDS
        if now - self.off_since < patience or self.unsettled(engines, now):
            return None
        if len(prefills) < wanted:
            return self._change(decoders, Stage.PREFILL, loads)
        return self._change(prefills, Stage.DECODE, loads)

    def _change(self, engines, stage, loads):
        """Pick the engine with the least work, as its change costs least."""
        if not engines:
            return None
        idlest = min(engines, key=lambda e: (loads.get(e.id, Load()).running, e.id))
        return StageChange(idlest, stage)
