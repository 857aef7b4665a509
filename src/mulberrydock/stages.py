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
#: Seconds for which a pool must have too many prefill engines. One of them may
#: be the successor of another that leaves a second later. With fewer decode
#: engines than prefill engines there is no time to wait for that: such a pool
#: fails requests.
UNBALANCED_SECONDS = 6.0
FEW_DECODERS_SECONDS = 1.5
#: Seconds for which a pool must lack prefill engines: long prompts are answered
#: late. A crashed engine is back, in its old stage, after 2 to 5 s, and its
#: record lapses after 3.6 s.
FEW_PREFILLS_SECONDS = 2.5
#: Seconds for which a pool must lack prefill engines, or be down to its last
#: decode engine, after an engine's notice that it leaves: that engine won't be
#: back. Its successor, where it is replaced, has registered before the notice.
NOTICED_SECONDS = 0.5
#: Seconds after an order for which the pool isn't changed again: the users'
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
class StageChange:
    """An order to be given: the engine and the stage it should have."""

    instance: object
    stage: Stage


def prefill_target(count):
    """Return how many of ``count`` engines should prefill."""
    if count < 2:
        return 0
    return min(count - 1, max(1, round(count * PREFILL_SHARE)))


@attrs.define
class Ordered:
    """An order that was sent: the stage it asks for, until when it may still
    be at work and, if it wasn't answered, from when on it may be given again
    (monotonic seconds)."""

    stage: Stage
    until: float
    repeat_at: float | None = None


@attrs.define
class StagePlanner:
    """Decides stage changes of one pool; remembers since when it is off.

    ``ordered`` maps incarnations' names to the :class:`Ordered` that may be at work;
    ``noticed_at`` is when an engine of the pool was last known to be leaving.
    """

    off_since: float | None = None
    noticed_at: float | None = None
    ordered: dict = attrs.field(factory=dict)

    def note_order(self, change, settle, now):
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
        order = Ordered(change.stage, now + settle, repeat_at)
        self.ordered[change.instance.id] = order

    def _repeated(self, engines, now):
        """Return the change whose order wasn't answered and is due again."""
        for engine in engines:
            order = self.ordered.get(engine.id)
            due = order and order.repeat_at is not None and now >= order.repeat_at
            if due:
                return StageChange(engine, order.stage)
        return None

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

    def _patience(self, prefills, decoders, wanted):
        """Return for how many seconds the pool may stay as it is."""
        if not prefills or not decoders:
            return MISSING_SECONDS
        noticed = self.noticed_at is not None and self.noticed_at >= self.off_since
        if noticed and (len(prefills) < wanted or len(decoders) == 1):
            return NOTICED_SECONDS
        if len(prefills) < wanted:
            return FEW_PREFILLS_SECONDS
        if len(decoders) < len(prefills):
            return FEW_DECODERS_SECONDS
        return UNBALANCED_SECONDS

    def decide(self, engines, leaving, loads, now):
        """Return a :class:`StageChange`, or None.

        :param engines: instances of the pool that may take new work.
        :param leaving: True while others of the pool are leaving.
        :param loads: work at each, by instance id.
        """
        if leaving:
            self.noticed_at = now
        prefills = [e for e in engines if e.record.stage is Stage.PREFILL]
        decoders = [e for e in engines if e.record.stage is Stage.DECODE]
        wanted = prefill_target(len(prefills) + len(decoders))
        if len(prefills) == wanted:
            self.off_since = None
            return None
        if self.off_since is None:
            self.off_since = now
        patience = self._patience(prefills, decoders, wanted)
        if now - self.off_since < patience:
            return None
        if self.unsettled(engines, now):
            return self._repeated(engines, now)
        if len(prefills) < wanted:
            return self._change(decoders, Stage.PREFILL, loads)
        return self._change(prefills, Stage.DECODE, loads)

    def _change(self, engines, stage, loads):
        """Pick the engine with the least work, as its change costs least."""
        if not engines:
            return None
        idlest = min(engines, key=lambda e: (loads.get(e.id, Load()).running, e.id))
        return StageChange(idlest, stage)
