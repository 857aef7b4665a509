"""Decides which upstream instances to avoid for a while, by failures seen at this VM.

Needed because an instance may fail some of its requests, answer none, or refuse
connections while its health check passes; only the requests show it.
"""

import attrs

#: Seconds for which an instance is avoided after its first failure, and how often
#: further failures double them, so that an instance that stays away is tried with one
#: request every few seconds.
FIRST_SUSPICION_SECONDS = 1.0
MAX_DOUBLINGS = 3
#: Failures in a row, without a complete response between them, before an instance is
#: first avoided: single failures (a lost or invalid response) occur at healthy
#: instances too.
TOLERATED_FAILURES = 1
#: Seconds for which an instance that refused a request for lack of a slot gets nothing
#: new.
NO_SLOT_SECONDS = 0.25


@attrs.define
class InstanceHealth:
    """Failures of one instance as seen by the requests of this VM.

    ``failures`` counts those since the last complete response. The instance is avoided
    as suspect until ``suspect_until`` and for lack of a slot until ``no_slot_until``
    (monotonic seconds). ``refusing`` is True if it refused the last call without
    running it, ``unreachable`` if the last failure was that of connecting to it.
    """

    failures: int = 0
    suspect_until: float = 0.0
    no_slot_until: float = 0.0
    refusing: bool = False
    unreachable: bool = False


class Suspicion:
    """The :class:`InstanceHealth` of each instance; all times are monotonic seconds."""

    def __init__(self):
        self.health_by_id = {}

    def health(self, instance_id):
        """Return the :class:`InstanceHealth` of an instance."""
        return self.health_by_id.setdefault(instance_id, InstanceHealth())

    def record_success(self, instance_id):
        """Record a complete response of an instance, which ends the suspicion."""
        health = self.health(instance_id)
        health.failures = 0
        health.suspect_until = 0.0
        health.refusing = False

    def record_failure(self, instance_id, now, unreachable=False):
        """Record a failed request.

        :param unreachable: True when no connection could be made.
        :returns: True when the instance is avoided from now on.
        """
        health = self.health(instance_id)
        health.failures += 1
        health.unreachable = unreachable
        tolerated = 0 if unreachable else TOLERATED_FAILURES
        steps = health.failures - tolerated - 1
        if steps < 0:
            return False
        # The number of failures in a row has no limit.
        factor = 2 ** min(steps, MAX_DOUBLINGS)
        health.suspect_until = now + FIRST_SUSPICION_SECONDS * factor
        return True

    def record_refusal(self, instance_id, now):
        """Record a call that the instance refused without running it.

        Engines do so during a stage change and refuse the next calls as well.
        """
        self.record_failure(instance_id, now, unreachable=True)
        health = self.health(instance_id)
        health.refusing, health.unreachable = True, False

    def record_link_back(self, instance_id):
        """Record that an instance can be connected to again, if it couldn't before."""
        health = self.health(instance_id)
        if health.unreachable:
            health.failures, health.suspect_until = 0, 0.0
            health.unreachable = False

    def accepting(self, instances, now):
        """Return the instances that are not avoided for refusing the last call."""
        return [
            instance
            for instance in instances
            if not self.health(instance.id).refusing
            or self.health(instance.id).suspect_until <= now
        ]

    def suspects(self, now):
        """Return the ids of the instances that are avoided because of failures."""
        return {i for i, s in self.health_by_id.items() if s.suspect_until > now}

    def seconds_left(self, instance_id, now):
        """Return the seconds until an instance is no longer avoided."""
        health = self.health(instance_id)
        return max(0.0, max(health.suspect_until, health.no_slot_until) - now)

    def record_no_slot(self, instance_id, now):
        """Record that the instance refused a request for lack of a slot."""
        self.health(instance_id).no_slot_until = now + NO_SLOT_SECONDS

    def forget(self, instance_id):
        """Drop an instance that is terminated."""
        self.health_by_id.pop(instance_id, None)

    def healthy(self, instances, now, avoided_ids=frozenset()):
        """Return the instances that are neither suspect nor without a slot.

        If that leaves none, return all of them: when all instances are suspect, the
        cause is more likely at this VM or in the network.

        :param avoided_ids: ids of the instances to avoid for other reasons.
        """
        healthy = []
        for instance in instances:
            health = self.health(instance.id)
            avoided = max(health.suspect_until, health.no_slot_until) > now
            if not avoided and instance.id not in avoided_ids:
                healthy.append(instance)
        return healthy or list(instances)
