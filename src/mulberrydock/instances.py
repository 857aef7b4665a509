"""What this VM believes of the upstream instances, and since when.

Instances register themselves in the store; this registry follows those
records. What this VM saw itself (an instance that is leaving, or another one
at its address) binds at once, whatever the store says.
"""

import enum

import attrs
from loguru import logger

#: Seconds after the store's return within which records that lapsed during
#: its outage come back if their instance lives (the platform's promise).
STORE_RECOVERY_GRACE_SECONDS = 2.0
#: Seconds for which it is remembered that an instance has left: a store that comes back
#: from a copy some seconds old still has its record.
DEPARTED_SECONDS = 60.0
#: Seconds after the store came back from an older copy for which its record of such an
#: instance is in doubt. Instances write theirs again, and those of instances that
#: don't are removed after a few heartbeats.
DOUBT_SECONDS = 5.0
#: Instances that have left which are remembered.
DEPARTED_KEPT = 1000


class Stage(enum.Enum):
    """What an engine does: prefill prompts, or decode; plain services have none."""

    PREFILL = "prefill"
    DECODE = "decode"
    NONE = ""


@attrs.define(frozen=True)
class InstanceRecord:
    """One instance as it registered itself; ``slots`` are places at once.

    ``started_at_ms`` is the Unix time of its start in milliseconds, None when it
    doesn't say.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    stage: Stage = Stage.NONE
    started_at_ms: int | None = None

    @property
    def incarnation(self):
        """Name of one start of the instance.

        An instance may start again under its id; it then knows nothing of
        before, so whatever is remembered of it is kept under this name.
        """
        return (
            self.id if self.started_at_ms is None else f"{self.id}@{self.started_at_ms}"
        )


@attrs.define(frozen=True)
class EngineReport:
    """What an engine reports of itself, some hundred milliseconds late.

    ``busy`` while an order is being carried out; ``orders`` counts those it
    accepted since its start, which was at ``started_at_ms`` as in its record.
    """

    stage: Stage
    busy: bool
    orders: int
    started_at_ms: int | None = None


@attrs.define(eq=False)
class Instance:
    """One incarnation of a registered instance.

    ``leaving`` when it takes no new work, ``terminated`` when it has left the
    registry, ``spoiled`` while its record can't be read; ``lapsed_at`` is since
    when its record is missing after an outage of the store.
    """

    record: InstanceRecord
    leaving: bool = False
    lapsed_at: float | None = None
    spoiled: bool = False
    terminated: bool = False

    @property
    def id(self):
        """The incarnation's name; the wire's id is in the record."""
        return self.record.incarnation

    @property
    def address(self):
        return self.record.address


def _older(record, known):
    """True when ``record`` is of an earlier start than the ``known`` one."""
    if record.started_at_ms is None or known.started_at_ms is None:
        return False
    return record.started_at_ms < known.started_at_ms


class InstanceRegistry:
    """Instances by id; every decision takes the present time.

    :param on_gone: called with the incarnation's name of an instance that left
        the registry.

    ``ended`` holds names of incarnations that are over, ``departed`` when others were
    last seen to have left, ``doubted`` records of those that an older copy of the
    store holds.
    """

    def __init__(self, on_gone=lambda instance_id: None):
        self.instances = {}
        self.ended = set()
        self.departed = {}
        self.doubted = {}
        self.doubt_until = None
        # Ids that the full read in progress has brought so far.
        self.read = set()
        self.on_gone = on_gone
        self.store_lost_at = None
        self.store_back_at = -STORE_RECOVERY_GRACE_SECONDS

    def put(self, record, now):
        """Take a record from the store."""
        self.read.add(record.id)
        if record.incarnation in self.ended:
            # A record read late must not bring back what is over.
            return
        if self._in_doubt(record, now):
            self.doubted[record.id] = record
            return
        known = self._same_start(record)
        if known is not None and _older(record, known.record):
            logger.info("older instance record ignored", instance=record.incarnation)
            return
        if known is None:
            known = Instance(record)
            self.instances[record.id] = known
            logger.info(
                "instance seen",
                instance=record.incarnation,
                service=record.service,
                stage=record.stage.value,
            )
        if record.stage is not known.record.stage:
            logger.info(
                "instance stage changed",
                instance=record.incarnation,
                stage=record.stage.value,
            )
        known.record = record
        known.lapsed_at = None
        known.spoiled = False
        if record.draining and not known.leaving:
            known.leaving = True
            logger.info("instance draining", instance=record.incarnation)

    def handle_store_restored(self, now):
        """The store came back from an older copy: records in it may be of instances
        that have left since, and others are yet to be written again."""
        self.mark_store_unavailable(now)
        self.mark_store_available(now)
        self.doubt_until = now + DOUBT_SECONDS
        self.departed = {
            name: at
            for name, at in self.departed.items()
            if now - at <= DEPARTED_SECONDS
        }

    def _in_doubt(self, record, now):
        if self.doubt_until is None or now >= self.doubt_until:
            return False
        return record.incarnation in self.departed

    def _settle_doubts(self, now):
        """Take the records of those that live after all."""
        if self.doubt_until is None or now < self.doubt_until:
            return
        doubted, self.doubted, self.doubt_until = self.doubted, {}, None
        for record in doubted.values():
            self.put(record, now)

    def _same_start(self, record):
        """Return what is known of the instance, None if it has started anew.

        Neither the start nor the address changes while an instance lives. What
        is known of a former start must go before anything is sent to the new
        one: its cache, its order count and the requests on it are gone.
        """
        known = self.instances.get(record.id)
        if known is None or _older(record, known.record):
            return known
        if known.id == record.incarnation and known.address == record.address:
            return known
        if known.id != record.incarnation:
            self.ended.add(known.id)
        self._drop(record.id, "started again")
        return None

    def spoil(self, instance_id):
        """The instance's record can't be read any more.

        Nothing new is sent there until it is good again, as nobody vouches for
        where the instance is or whether it leaves. Requests in progress stay:
        a spoiled record is no sign that the instance failed, and a living one
        writes its own again with its next heartbeat.
        """
        self.read.add(instance_id)
        known = self.instances.get(instance_id)
        if known is not None:
            known.spoiled = True

    def restarted(self, instance, started_at_ms):
        """The instance itself says that it was born later than its record does."""
        if self.instances.get(instance.record.id) is instance:
            self.ended.add(instance.id)
            self._drop(instance.record.id, f"started again at {started_at_ms}")

    def remove(self, instance_id, now):
        """Take a removed record: gone at once, or held if the store was away.

        Records lapse while the store is away although their instances live;
        those are back within the grace. Any other removal means it leaves.
        """
        self.doubted.pop(instance_id, None)
        known = self.instances.get(instance_id)
        if known is None:
            return
        if self.unsettled(now):
            if known.lapsed_at is None:
                known.lapsed_at = now
                logger.info("instance record lapsed", instance=instance_id)
            return
        self._depart(instance_id, "record removed", now)

    def begin_reload(self):
        """A full read of the records follows."""
        self.read.clear()

    def finish_reload(self, now):
        """A full read is applied: records that it lacked are removed ones."""
        for instance_id in list(self.instances):
            if instance_id not in self.read:
                self.remove(instance_id, now)

    def mark_store_unavailable(self, now):
        """The store stopped answering this VM."""
        if self.store_lost_at is None:
            self.store_lost_at = now

    def mark_store_available(self, now):
        """The store answers again."""
        if self.store_lost_at is not None:
            self.store_lost_at = None
            self.store_back_at = now

    def unsettled(self, now):
        """True while records may be missing whose instances live."""
        away = self.store_lost_at is not None
        return away or now < self.store_back_at + STORE_RECOVERY_GRACE_SECONDS

    def sweep(self, now):
        """Drop lapsed instances whose grace is over."""
        self._settle_doubts(now)
        if self.unsettled(now):
            return
        for instance_id, instance in list(self.instances.items()):
            if instance.lapsed_at is not None:
                reason = "record still missing after the outage"
                self._depart(instance_id, reason, now)

    def _depart(self, instance_id, reason, now):
        """An instance has left by the store's word; it may come back."""
        self.departed.pop(self.instances[instance_id].id, None)
        self.departed[self.instances[instance_id].id] = now
        while len(self.departed) > DEPARTED_KEPT:
            del self.departed[next(iter(self.departed))]
        self._drop(instance_id, reason)

    def mark_terminated(self, instance, reason):
        """This VM saw itself that ``instance`` is over or not there."""
        if self.instances.get(instance.record.id) is instance:
            self.ended.add(instance.id)
            self._drop(instance.record.id, reason)

    def _drop(self, instance_id, reason):
        instance = self.instances.pop(instance_id)
        instance.leaving = True
        instance.terminated = True
        logger.info("instance gone", instance=instance.id, reason=reason)
        self.on_gone(instance.id)

    def serving(self, service, stage=None):
        """Instances of ``service`` that may take new work, optionally by stage."""
        return [
            i
            for i in self.instances.values()
            if i.record.service == service
            and not i.leaving
            and not i.spoiled
            and (stage is None or i.record.stage is stage)
        ]

    def named(self, incarnation):
        """Return the instance of that incarnation, None when it isn't known."""
        instance = self.instances.get(incarnation.partition("@")[0])
        return instance if instance and instance.id == incarnation else None

    def any_leaving(self, service):
        """True while an instance of ``service`` is known to be leaving."""
        return any(
            i.leaving and i.record.service == service for i in self.instances.values()
        )
