"""Which upstream instances to pass over for a while, from failures seen here.

An instance may fail part of its requests, answer nothing, or refuse
connections while its health check is good; only the requests show it.
"""

import attrs

#: Seconds for which an instance is passed over after its first failure, and
#: the longest such time; each further failure doubles it. A crashed engine is
#: back after 2 to 5 s, so a probe by one request every few seconds is enough.
FIRST_SUSPICION_SECONDS = 1.0
LONGEST_HOLD_SECONDS = 8.0
#: Failures in a row, without an answer between, before the first hold: single
#: failures (a lost answer, a spoiled one) happen at sound instances too.
TOLERATED_FAILURES = 1
#: Seconds for which an instance that said it is full gets nothing new.
FULL_SECONDS = 0.25


@attrs.define
class InstanceHealth:
    """What the requests of this VM showed of one instance."""

    failures: int = 0
    suspect_until: float = 0.0
    full_until: float = 0.0
    refusing: bool = False


class Suspicion:
    """Standings by instance id; every decision takes the present time."""

    def __init__(self):
        self.health_by_id = {}

    def health(self, instance_id):
        """Return the :class:`InstanceHealth` of an instance."""
        return self.health_by_id.setdefault(instance_id, InstanceHealth())

    def record_success(self, instance_id):
        """The instance gave a whole answer."""
        standing = self.health(instance_id)
        standing.failures = 0
        standing.suspect_until = 0.0
        standing.refusing = False

    def record_failure(self, instance_id, now, unreachable=False):
        """A request failed; ``unreachable`` when no connection could be made.

        :returns: True when the instance is now passed over.
        """
        standing = self.health(instance_id)
        standing.failures += 1
        tolerated = 0 if unreachable else TOLERATED_FAILURES
        steps = standing.failures - tolerated - 1
        if steps < 0:
            return False
        hold = min(FIRST_SUSPICION_SECONDS * 2**steps, LONGEST_HOLD_SECONDS)
        standing.suspect_until = now + hold
        return True

    def record_refusal(self, instance_id, now):
        """The instance refused a call without having begun it, as engines do under
        a change of stage: the next ones will be refused as well."""
        self.record_failure(instance_id, now, unreachable=True)
        self.health(instance_id).refusing = True

    def accepting(self, instances, now):
        """Return the instances but those that refused the last call, for as long as
        they are passed over."""
        return [
            instance
            for instance in instances
            if not self.health(instance.id).refusing
            or self.health(instance.id).suspect_until <= now
        ]

    def suspects(self, now):
        """Return the ids of the instances that are passed over for failures."""
        return {i for i, s in self.health_by_id.items() if s.suspect_until > now}

    def record_no_slot(self, instance_id, now):
        """The instance refused a request for lack of a place."""
        self.health(instance_id).full_until = now + FULL_SECONDS

    def forget(self, instance_id):
        """The instance is gone for good."""
        self.health_by_id.pop(instance_id, None)

    def healthy(self, instances, now, suspected_by_peers=frozenset()):
        """Return those neither suspected nor full, or else all of them.

        With every instance suspected the suspicion says nothing: the cause is
        more likely here or on the way.

        :param witnessed: ids of the instances that peers suspect.
        """
        kept = []
        for instance in instances:
            standing = self.health(instance.id)
            passed = max(standing.suspect_until, standing.full_until) > now
            if not passed and instance.id not in suspected_by_peers:
                kept.append(instance)
        return kept or list(instances)
