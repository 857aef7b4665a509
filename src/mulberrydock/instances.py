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
LAPSE_GRACE_SECONDS = 2.0


class Stage(enum.Enum):
    """What an engine does: prefill prompts, or decode; plain services have none."""

    PREFILL = "prefill"
    DECODE = "decode"
    NONE = ""


@attrs.define(frozen=True)
class InstanceRecord:
    """One instance as it registered itself; ``slots`` are places at once."""

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    stage: Stage = Stage.NONE


@attrs.define(frozen=True)
class EngineReport:
    """What an engine reports of itself, some hundred milliseconds late.

    ``busy`` while an order is being carried out; ``orders`` counts those it
    accepted since its start.
    """

    stage: Stage
    busy: bool
    orders: int


@attrs.define(eq=False)
class Instance:
    """A registered instance, whether it leaves, and since when its record is
    missing after an outage of the store."""

    record: InstanceRecord
    leaving: bool = False
    lapsed_at: float | None = None

    @property
    def id(self):
        return self.record.id

    @property
    def address(self):
        return self.record.address


class InstanceRegistry:
    """Instances by id; every decision takes the present time.

    :param on_gone: called with the id of an instance that left the registry.
    """

    def __init__(self, on_gone=lambda instance_id: None):
        self.instances = {}
        self.ended = set()
        # Ids that the full read in progress has brought so far.
        self.read = set()
        self.on_gone = on_gone
        self.store_lost_at = None
        self.store_back_at = -LAPSE_GRACE_SECONDS

    def put(self, record, now):
        """Take a record from the store."""
        self.read.add(record.id)
        if record.id in self.ended:
            # An instance that is over never returns under its id: a record
            # read late must not bring it back.
            return
        known = self.instances.get(record.id)
        if known is None:
            known = Instance(record)
            self.instances[record.id] = known
            logger.info(
                "instance seen",
                instance=record.id,
                service=record.service,
                stage=record.stage.value,
            )
        if record.stage is not known.record.stage:
            logger.info(
                "instance stage changed",
                instance=record.id,
                stage=record.stage.value,
            )
        known.record = record
        known.lapsed_at = None
        if record.draining and not known.leaving:
            known.leaving = True
            logger.info("instance draining", instance=record.id)

    def remove(self, instance_id, now):
        """Take a removed record: gone at once, or held if the store was away.

        Records lapse while the store is away although their instances live;
        those are back within the grace. Any other removal means it leaves.
        """
        known = self.instances.get(instance_id)
        if known is None:
            return
        if self.unsettled(now):
            if known.lapsed_at is None:
                known.lapsed_at = now
                logger.info("instance record lapsed", instance=instance_id)
            return
        self._drop(instance_id, "record removed")

    def reset(self):
        """A full read of the records follows."""
        self.read.clear()

    def loaded(self, now):
        """A full read is applied: records that it lacked are removed ones."""
        for instance_id in list(self.instances):
            if instance_id not in self.read:
                self.remove(instance_id, now)

    def store_lost(self, now):
        """The store stopped answering this VM."""
        if self.store_lost_at is None:
            self.store_lost_at = now

    def store_back(self, now):
        """The store answers again."""
        if self.store_lost_at is not None:
            self.store_lost_at = None
            self.store_back_at = now

    def unsettled(self, now):
        """True while records may be missing whose instances live."""
        away = self.store_lost_at is not None
        return away or now < self.store_back_at + LAPSE_GRACE_SECONDS

    def sweep(self, now):
        """Drop lapsed instances whose grace is over."""
        if self.unsettled(now):
            return
        for instance_id, instance in list(self.instances.items()):
            if instance.lapsed_at is not None:
                self._drop(instance_id, "record still missing after the outage")

    def left(self, instance_id, reason):
        """This VM saw itself that the instance is over or not there."""
        if instance_id in self.instances:
            self._drop(instance_id, reason)
            self.ended.add(instance_id)

    def _drop(self, instance_id, reason):
        instance = self.instances.pop(instance_id)
        instance.leaving = True
        logger.info("instance gone", instance=instance_id, reason=reason)
        self.on_gone(instance_id)

    def serving(self, service, stage=None):
        """Instances of ``service`` that may take new work, optionally by stage."""
        return [
            i
            for i in self.instances.values()
            if i.record.service == service
            and not i.leaving
            and (stage is None or i.record.stage is stage)
        ]

    def any_leaving(self, service):
        """True while an instance of ``service`` is known to be leaving."""
        return any(
            i.leaving and i.record.service == service for i in self.instances.values()
        )
