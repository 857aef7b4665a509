"""Rate limits that instances declare in their responses, respected by all VMs.

Needed when an instance is overloaded: its limit holds for all VMs together and counts
every call. An equal share for each VM fails both ways: a hundred VMs with one call each
exceed the limit, and with eight shares those of VMs without requests are unused. So a
few VMs send to the instance, no more than the calls that it accepts a second, and all
others avoid it. Which ones follows by rendezvous hashing from the instance's id and the
names of the VMs, without a message.
"""

import math

import attrs
from loguru import logger

from .rendezvous import rank

#: Lowest rate in requests a second: with none at all, no response would show that the
#: limit has ended.
MIN_RATE = 0.1
#: Responses in a row without a limit after which it has ended: the instance may have
#: begun one of them before it declared the limit.
CLEAR_RESPONSES = 2
#: Seconds for which a VM waits once it finds itself among the senders: another VM may
#: not have noticed yet that it no longer is one.
TAKEOVER_SECONDS = 1.0
#: Seconds between two checks of the members of the fleet.
MEMBERS_INTERVAL_SECONDS = 0.5
#: Seconds for which a change is repeated in every message, as datagrams get lost.
UPDATE_REPEAT_SECONDS = 1.5
#: Seconds by which an observation must be later than that of another VM to replace it:
#: the delay of a message isn't known.
OBSERVATION_MARGIN_SECONDS = 0.1
#: Relative change of a rate that counts as a change.
RATE_CHANGE_THRESHOLD = 0.05


@attrs.define
class RateLimit:
    """The limit that an instance was last seen to declare.

    ``rate`` is in requests a second, None when the limit has ended; ``observed_at`` is
    when a response showed it and ``changed_at`` when this VM learned the rate, both in
    monotonic seconds. ``clear_responses`` counts those without a limit since then.
    """

    instance: str
    rate: float | None
    observed_at: float
    changed_at: float
    clear_responses: int = 0


@attrs.define
class TokenBucket:
    """Grants calls at ``rate`` a second, with a burst of one.

    ``tokens`` are those left at ``updated_at``, in monotonic seconds.
    """

    rate: float
    tokens: float
    updated_at: float

    def refill(self, now):
        """Add the tokens of the time since the last refill."""
        added = max(0.0, now - self.updated_at) * self.rate
        self.tokens = min(1.0, self.tokens + added)
        self.updated_at = now

    def ready(self, now):
        """Return whether a call may be made."""
        self.refill(now)
        return self.tokens >= 1.0

    def take(self, now):
        """Count a call, whether it was granted or not."""
        self.refill(now)
        self.tokens -= 1.0


@attrs.define
class Share:
    """This VM's part of a limit, from ``since`` on (monotonic seconds)."""

    since: float
    bucket: TokenBucket


def senders(instance, rate, members):
    """Return the names of the VMs that may send to an instance.

    :param rate: requests a second that it accepts.
    :param members: names of all VMs.
    """
    count = max(1, min(len(members), int(rate)))
    return frozenset(sorted(members, key=lambda name: rank(instance, name))[:count])


class RateLimits:
    """The limits of instances, by id, and this VM's shares of them.

    :param name: this VM's name.
    :param members: returns the names of the VMs that may send at a given time, this one
        included unless it is leaving; None when there is no other VM.
    :param is_known: returns whether an instance is not terminated. If limits of
        terminated ones were stored, VMs that learn of the end at different times would
        send each other the limit for ever.
    """

    def __init__(
        self,
        name="",
        members=None,
        is_known=lambda instance: True,
    ):
        self.name = name
        self.find_members = members or (lambda now: frozenset((name,)))
        self.is_known = is_known
        self.members = frozenset()
        self.members_at = -math.inf
        self.limits = {}
        self.senders = {}
        self.shares = {}

    def observe(self, instance, rate, sent_at, now):
        """Record a response of an instance to this VM.

        :param rate: requests a second that the response declares, None without a limit.
        :param sent_at: when the request was sent; the response to a request that is
            older than the limit doesn't end it.
        """
        known = self.limits.get(instance)
        if rate is not None:
            self._set(instance, max(MIN_RATE, rate), now, now)
        elif known is not None and (known.rate is None or sent_at > known.observed_at):
            known.clear_responses += 1
            if known.rate is None or known.clear_responses >= CLEAR_RESPONSES:
                self._set(instance, None, now, now)

    def apply_update(self, instance, rate, observed_at, now):
        """Apply what another VM reported of an instance's limit.

        :param rate: as in :meth:`observe`.
        :param observed_at: when a response showed it to that VM, in monotonic seconds
            of this one.
        """
        known = self.limits.get(instance)
        if known and observed_at <= known.observed_at + OBSERVATION_MARGIN_SECONDS:
            return
        if known or rate is not None:
            self._set(instance, rate, observed_at, now)

    def _set(self, instance, rate, observed_at, now):
        if not self.is_known(instance):
            return
        known = self.limits.get(instance)
        changed = known is None or _differ(known.rate, rate)
        changed_at = now if changed else known.changed_at
        self.limits[instance] = RateLimit(instance, rate, observed_at, changed_at)
        if known is None or known.rate != rate:
            self.senders.pop(instance, None)
        if rate is None:
            self.shares.pop(instance, None)
        if changed:
            logger.warning("instance limit", instance=instance, rate=rate)

    def forget(self, instance):
        """Drop an instance that is terminated."""
        for by_instance in (self.limits, self.senders, self.shares):
            by_instance.pop(instance, None)

    def permits(self, instance, now):
        """Return whether this VM may send a request to an instance now."""
        limit = self.limits.get(instance)
        if limit is None or limit.rate is None:
            return True
        share = self._share(limit, now)
        if share is None or now - share.since < TAKEOVER_SECONDS:
            return False
        return share.bucket.ready(now)

    def take(self, instance, now):
        """Count a request that is sent to an instance."""
        share = self.shares.get(instance)
        if share is not None:
            share.bucket.take(now)

    def _share(self, limit, now):
        """Return this VM's :class:`Share` of a limit, None if it has none."""
        chosen = self._senders(limit, now)
        if self.name not in chosen:
            self.shares.pop(limit.instance, None)
            return None
        rate = limit.rate / len(chosen)
        share = self.shares.get(limit.instance)
        if share is None:
            share = Share(now, TokenBucket(rate, 1.0, now))
            self.shares[limit.instance] = share
            logger.info("share of a limit", instance=limit.instance, rate=rate)
        share.bucket.rate = rate
        return share

    def _senders(self, limit, now):
        if now - self.members_at >= MEMBERS_INTERVAL_SECONDS:
            members = self.find_members(now)
            if members != self.members:
                self.senders.clear()
            self.members, self.members_at = members, now
        chosen = self.senders.get(limit.instance)
        if chosen is None:
            chosen = senders(limit.instance, limit.rate, self.members)
            self.senders[limit.instance] = chosen
        return chosen

    def updates(self, now, everything):
        """Return the list of :class:`RateLimit` to send to the peers.

        :param everything: whether to send all of them, not only recent changes.
        """
        return [
            limit
            for limit in self.limits.values()
            if everything or now - limit.changed_at <= UPDATE_REPEAT_SECONDS
        ]


def _differ(rate, other):
    if rate is None or other is None:
        return rate is not other
    return abs(rate - other) > RATE_CHANGE_THRESHOLD * max(rate, other)
