"""Registry of the upstream instances, as one entry VM knows them.

Instances register themselves in the store, and the registry follows those
records. What this VM observed itself (an instance that is leaving, or another
one at its address) takes effect at once and overrides the store.
"""

import enum
import functools

import attrs
from loguru import logger

from .leave_notices import LeaveNotices
from .version_history import VersionHistory

#: Seconds after the end of a store outage within which a live instance whose record
#: expired during the outage registers again (guaranteed by the platform).
STORE_RECOVERY_GRACE_SECONDS = 2.0
#: Seconds for which the removal of an instance's record is remembered: a store that is
#: restored from a copy some seconds old contains the record again.
REMOVED_RETENTION_SECONDS = 60.0
#: Seconds after the store was restored from an older copy for which the record of a
#: removed instance is unconfirmed. Live instances write their records again; those of
#: instances that don't are removed after a few heartbeats.
UNCONFIRMED_SECONDS = 5.0
#: Seconds for which an instance gets no new work after a peer has read that its record
#: was removed. Meanwhile this VM reads the store too, or the record is written again.
REPORTED_REMOVAL_SECONDS = 5.0
#: Maximum number of removed instances that are remembered.
MAX_REMOVED_IDS = 1000
#: Separates an instance's id, which can't contain it, from its start in the name of an
#: incarnation.
INCARNATION_SEPARATOR = "@"


class Stage(enum.Enum):
    """The stage that an engine serves; instances of other services have none."""

    PREFILL = "prefill"
    DECODE = "decode"
    NONE = ""


@attrs.define(frozen=True)
class InstanceRecord:
    """An instance's own record in the store.

    ``address`` is ``host:port``; ``slots`` is the number of requests that it serves at
    once; ``started_at_ms`` is the Unix time of its start in milliseconds, None if the
    record has none. The platform may take back a ``reclaimable`` one. ``version`` is
    that of its software, empty if the record states none.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    stage: Stage = Stage.NONE
    started_at_ms: int | None = None
    reclaimable: bool = False
    version: str = ""

    @functools.cached_property
    def incarnation(self):
        """Identifier of one run of the instance, from its start to its end.

        An instance may restart under the same id and has then lost its state, so
        everything that is stored about an instance is keyed by its incarnation.
        """
        if self.started_at_ms is None:
            return self.id
        return f"{self.id}{INCARNATION_SEPARATOR}{self.started_at_ms}"

    def is_same_process(self, other):
        """Return whether another record of the same id is about the same process."""
        return (self.incarnation, self.address, self.version) == (
            other.incarnation,
            other.address,
            other.version,
        )

    @property
    def stream_version(self):
        """The version at which a stream that began at the instance goes on.

        Without a stated version, that is any version of this incarnation alone.
        """
        return self.version or f"@{self.incarnation}"


def id_of(incarnation):
    """Return the id of the instance that an ``InstanceRecord.incarnation`` is of."""
    return incarnation.partition(INCARNATION_SEPARATOR)[0]


@attrs.define(eq=False)
class Instance:
    """One incarnation of a registered instance.

    ``leaving`` is set when it accepts no new work, ``terminated`` when it has been
    removed from the registry, ``unreadable`` while its record can't be decoded;
    ``expired_at`` is the time (monotonic seconds) since which its record has been
    missing because of a store outage, ``reported_removed_at`` when a peer said that it
    was removed.
    """

    record: InstanceRecord
    leaving: bool = False
    expired_at: float | None = None
    unreadable: bool = False
    terminated: bool = False
    reported_removed_at: float | None = None

    @property
    def is_going(self):
        """Whether it leaves, or its record was removed, as far as this VM knows."""
        return self.leaving or self.reported_removed_at is not None

    @property
    def id(self):
        """The incarnation; the instance's id on the wire is in the record."""
        return self.record.incarnation

    @property
    def address(self):
        return self.record.address


def _is_older(record, known):
    """Return whether ``record`` is from an earlier incarnation than ``known``."""
    if record.started_at_ms is None or known.started_at_ms is None:
        return False
    return record.started_at_ms < known.started_at_ms


class InstanceRegistry:
    """The known instances by id.

    Methods take the current time as ``now``, in monotonic seconds.

    :param on_removed: called with the incarnation of each instance that is removed
        from the registry.

    ``terminated_ids`` holds the incarnations known to have terminated. ``removed_at``
    maps others to the time when their record was last removed, and ``unconfirmed``
    holds the records of those that a restored store contains again. ``leave_notices``
    are the :class:`~mulberrydock.leave_notices.LeaveNotices` of all incarnations,
    ``versions`` is the :class:`~mulberrydock.version_history.VersionHistory`.
    """

    def __init__(self, on_removed=lambda instance_id: None):
        self.instances = {}
        self.terminated_ids = set()
        self.leave_notices = LeaveNotices()
        self.versions = VersionHistory()
        self.removed_at = {}
        self.unconfirmed = {}
        self.unconfirmed_until = None
        # Ids that the full read in progress has returned so far.
        self.read_ids = set()
        self.on_removed = on_removed
        self.unavailable_since = None
        self.available_since = -STORE_RECOVERY_GRACE_SECONDS

    def put(self, record, now):
        """Apply a record read from the store."""
        self.read_ids.add(record.id)
        if record.incarnation in self.terminated_ids:
            # A record that is read late must not revive a terminated incarnation.
            return
        if self._is_unconfirmed(record, now):
            self.unconfirmed[record.id] = record
            return
        known = self._match_incarnation(record)
        if known is not None and _is_older(record, known.record):
            logger.info("older instance record ignored", instance=record.incarnation)
            return
        begins_to_drain = record.draining and (
            known is None or not known.record.draining
        )
        if known is None:
            known = Instance(record)
            self.instances[record.id] = known
            logger.info(
                "instance seen",
                instance=record.incarnation,
                service=record.service,
                stage=record.stage.value,
                version=record.version,
            )
        if record.stage is not known.record.stage:
            logger.info(
                "instance stage changed",
                instance=record.incarnation,
                stage=record.stage.value,
            )
        known.record = record
        self.versions.record(record.service, record.stream_version, now)
        known.expired_at = None
        known.unreadable = False
        known.reported_removed_at = None
        if record.draining:
            self.leave_notices.add(known.id, now)
        if begins_to_drain:
            logger.info("instance draining", instance=known.id)
        known.leaving = known.leaving or known.id in self.leave_notices

    def mark_leaving(self, incarnation, source, now):
        """Record that an incarnation announced its leave.

        It may have done so before this VM has read its record.

        :param source: where this VM learned it, for the log.
        """
        if self.leave_notices.add(incarnation, now):
            logger.info("instance leaving", instance=incarnation, source=source)
        instance = self.get_incarnation(incarnation)
        if instance is not None:
            instance.leaving = True

    def leave_updates(self, recent_seconds, everything, now):
        """Return the leaving incarnations of which the peers are to be told.

        Also those that the store shows as leaving: a peer may read that seconds later,
        for instance behind large configurations.

        :param recent_seconds: seconds for which a leave is told in each message.
        :param everything: whether earlier ones are told too, unless the store shows
            them.
        """
        return [
            instance.id
            for instance in self.instances.values()
            if instance.leaving
            and (
                self.leave_notices.is_recent(instance.id, recent_seconds, now)
                or (everything and not instance.record.draining)
            )
        ]

    def removal_updates(self, recent_seconds, now):
        """Return the incarnations whose record was removed in the last seconds.

        Also as peers have reported it: reporters tell it to other data centres.
        """
        removed = [
            incarnation
            for incarnation, removed_at in self.removed_at.items()
            if now - removed_at <= recent_seconds
            and self.get_incarnation(incarnation) is None
        ]
        reported = [
            instance.id
            for instance in self.instances.values()
            if instance.reported_removed_at is not None
            and now - instance.reported_removed_at <= recent_seconds
        ]
        return removed + reported

    def mark_removal_reported(self, incarnation, source, now):
        """Record that a peer has read that an instance's record was removed.

        Other than an announced leave that isn't final: the record may have been written
        again since.
        """
        instance = self.get_incarnation(incarnation)
        if instance is None or instance.is_going:
            return
        instance.reported_removed_at = now
        logger.info("instance removal reported", instance=incarnation, source=source)

    def handle_store_restored(self, now):
        """Handle a store that was restored from an older copy.

        It may contain records of instances that have left since, and it lacks
        records that are yet to be written again.
        """
        self.mark_store_unavailable(now)
        self.mark_store_available(now)
        self.unconfirmed_until = now + UNCONFIRMED_SECONDS
        self.versions.incomplete_until = now + UNCONFIRMED_SECONDS
        self.removed_at = {
            name: at
            for name, at in self.removed_at.items()
            if now - at <= REMOVED_RETENTION_SECONDS
        }

    def _is_unconfirmed(self, record, now):
        if self.unconfirmed_until is None or now >= self.unconfirmed_until:
            return False
        return record.incarnation in self.removed_at

    def _apply_unconfirmed(self, now):
        """Apply the unconfirmed records that were not removed in time."""
        if self.unconfirmed_until is None or now < self.unconfirmed_until:
            return
        unconfirmed, self.unconfirmed, self.unconfirmed_until = (
            self.unconfirmed,
            {},
            None,
        )
        for record in unconfirmed.values():
            self.put(record, now)

    def _match_incarnation(self, record):
        """Return the known incarnation that ``record`` is about, or a later one.

        A different start time, address or version means that the instance restarted.
        The former incarnation is then dropped before anything is sent to the new
        one, and None returned: its cache, its order count and its requests are lost,
        and nothing stored about it may be used for the new one.
        """
        known = self.instances.get(record.id)
        if known is None or _is_older(record, known.record):
            return known
        if known.record.is_same_process(record):
            return known
        if known.id != record.incarnation:
            self.terminated_ids.add(known.id)
        elif record.started_at_ms is None:
            # Only the address or version shows that this is another process.
            self.leave_notices.discard(known.id)
        self._drop(record.id, "started again")
        return None

    def mark_unreadable(self, instance_id):
        """Record that the instance's record can't be decoded.

        The instance gets no new work until its record is valid again, as its
        address and whether it is leaving are unknown. Requests in progress go on:
        an unreadable record doesn't mean that the instance failed, and a live one
        rewrites its record with its next heartbeat.
        """
        self.read_ids.add(instance_id)
        known = self.instances.get(instance_id)
        if known is not None:
            known.unreadable = True

    def mark_restarted(self, instance, started_at_ms):
        """Drop an incarnation whose instance reports a later start than its record.

        :param started_at_ms: the start that it reports, in Unix milliseconds.
        """
        if self.instances.get(instance.record.id) is instance:
            self.terminated_ids.add(instance.id)
            self._drop(instance.record.id, f"started again at {started_at_ms}")

    def remove(self, instance_id, now):
        """Apply the removal of an instance's record.

        During an outage of the store, records expire although their instances are
        alive; such an instance stays in use and has a grace period to register
        again. Any other removal means that the instance has left, and it is
        dropped at once.
        """
        self.unconfirmed.pop(instance_id, None)
        known = self.instances.get(instance_id)
        if known is None:
            return
        if self.records_incomplete(now):
            if known.expired_at is None:
                known.expired_at = now
                logger.info("instance record lapsed", instance=instance_id)
            return
        self._remove(instance_id, "record removed", now)

    def begin_reload(self):
        """Start a full read: the records of all instances follow."""
        self.read_ids.clear()

    def finish_reload(self, now):
        """End a full read: remove the instances whose records it did not contain."""
        # Versions may have come and gone since the last read.
        self.versions.restart(now)
        for instance_id in list(self.instances):
            if instance_id not in self.read_ids:
                self.remove(instance_id, now)

    def mark_store_unavailable(self, now):
        """Record that the store doesn't answer this VM."""
        self.versions.restart(now)
        if self.unavailable_since is None:
            self.unavailable_since = now

    def mark_store_available(self, now):
        """Record that the store answers."""
        if self.unavailable_since is not None:
            self.unavailable_since = None
            self.available_since = now

    def records_incomplete(self, now):
        """Return whether records of live instances may be missing from the store."""
        unavailable = self.unavailable_since is not None
        return unavailable or now < self.available_since + STORE_RECOVERY_GRACE_SECONDS

    def sweep(self, now):
        """Remove instances whose record is still missing after the grace period."""
        self._apply_unconfirmed(now)
        self._drop_old_reports(now)
        self.versions.observe(self.instances.values(), now)
        if self.records_incomplete(now):
            return
        for instance_id, instance in list(self.instances.items()):
            if instance.expired_at is not None:
                reason = "record still missing after the outage"
                self._remove(instance_id, reason, now)

    def _drop_old_reports(self, now):
        """Forget removals that a peer has reported and this VM hasn't read since."""
        for instance in self.instances.values():
            reported_at = instance.reported_removed_at
            if reported_at is None:
                continue
            if now - reported_at > REPORTED_REMOVAL_SECONDS:
                instance.reported_removed_at = None

    def _remove(self, instance_id, reason, now):
        """Remove an instance whose record the store removed; it may register again."""
        self.removed_at.pop(self.instances[instance_id].id, None)
        self.removed_at[self.instances[instance_id].id] = now
        while len(self.removed_at) > MAX_REMOVED_IDS:
            del self.removed_at[next(iter(self.removed_at))]
        self._drop(instance_id, reason)

    def mark_terminated(self, instance, reason):
        """Record that this VM found ``instance`` terminated or not at its address."""
        if self.instances.get(instance.record.id) is instance:
            self.terminated_ids.add(instance.id)
            self._drop(instance.record.id, reason)

    def _drop(self, instance_id, reason):
        instance = self.instances.pop(instance_id)
        instance.leaving = True
        instance.terminated = True
        logger.info("instance gone", instance=instance.id, reason=reason)
        self.on_removed(instance.id)

    def serving(self, service, stage=None):
        """Return the instances of ``service`` that accept new work.

        :param stage: the only :class:`Stage` to return, None for all.
        """
        return [
            i
            for i in self.instances.values()
            if i.record.service == service
            and not i.is_going
            and not i.unreadable
            and (stage is None or i.record.stage is stage)
        ]

    def get_incarnation(self, incarnation):
        """Return the instance with that incarnation, None when it isn't known."""
        instance = self.instances.get(id_of(incarnation))
        return instance if instance and instance.id == incarnation else None

    def leaving(self, service):
        """Return the instances of ``service`` that are about to leave."""
        return [
            i
            for i in self.instances.values()
            if i.leaving and i.record.service == service
        ]

    def any_leaving(self, service):
        """Return whether an instance of ``service`` is leaving."""
        return bool(self.leaving(service))
