"""Rate limits that instances declare in their answers, kept by all VMs together.

The load pattern this answers is an overloaded instance before a fleet of any size.
Its limit holds for all VMs together and counts every call. An equal share for each VM
fails in both directions: a hundred VMs with one call each exceed it, and eight shares
lie idle where no requests come. So a few VMs send to the instance, no more than the
calls that it takes in a second, and all others pass it over. Which ones follows by
rendezvous hashing from the instance's id and the names of the VMs, without a message.
"""

import math

import attrs
from loguru import logger

from .rendezvous import rank

#: Lowest rate in requests a second: with none at all no answer would show that the
#: limit is over.
LEAST_RATE = 0.1
#: Answers in a row without a limit after which it is over: one may have been begun
#: before the limit was declared.
CLEAR_ANSWERS = 2
#: Seconds for which a VM waits once it finds itself among the senders: another VM may
#: not have noticed yet that it is none any more.
TAKEOVER_SECONDS = 1.0
#: Seconds between two looks at the members of the fleet.
MEMBERS_SECONDS = 0.5
#: Seconds for which a change is told in every message: datagrams get lost.
NEWS_SECONDS = 1.5
#: Seconds by which an observation must be later to replace another VM's: what a
#: message took isn't known.
HEARD_MARGIN_SECONDS = 0.1
#: Relative change of a rate that is news.
NEWS_CHANGE = 0.05


@attrs.define
class RateLimit:
    """The limit that an instance was last seen to declare.

    ``rate`` is in requests a second, None when it has none any more; ``observed_at``
    is when an answer showed it and ``changed_at`` when this VM learned the rate, both
    monotonic seconds. ``clear_answers`` counts answers without a limit since then.
    """

    instance: str
    rate: float | None
    observed_at: float
    changed_at: float
    clear_answers: int = 0


@attrs.define
class TokenBucket:
    """Grants calls at ``rate`` a second, one at a time.

    ``tokens`` are those left at ``updated_at``, monotonic seconds.
    """

    rate: float
    tokens: float
    updated_at: float

    def refill(self, now):
        """Add what has come in since the last look."""
        added = max(0.0, now - self.updated_at) * self.rate
        self.tokens = min(1.0, self.tokens + added)
        self.updated_at = now

    def ready(self, now):
        """True when a call may be made."""
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

    :param rate: requests a second that it takes.
    :param members: names of all VMs.
    """
    count = max(1, min(len(members), int(rate)))
    return frozenset(sorted(members, key=lambda name: rank(instance, name))[:count])


class RateLimits:
    """The limits of instances, by id, and this VM's shares of them.

    :param name: this VM's name.
    :param members: returns the names of the VMs that may send, at a moment, this one's
        among them unless it leaves; None when there is no other VM.
    :param is_known: whether an instance isn't gone. VMs that learn of its end at
        different moments would else tell each other its limit for ever.
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
        """An instance answered this VM.

        :param rate: requests a second that the answer declares, None when it has none.
        :param sent_at: when the request was sent; an answer to one that is older than
            the limit doesn't end it.
        """
        known = self.limits.get(instance)
        if rate is not None:
            self._set(instance, max(LEAST_RATE, rate), now, now)
        elif known is not None and (known.rate is None or sent_at > known.observed_at):
            known.clear_answers += 1
            if known.rate is None or known.clear_answers >= CLEAR_ANSWERS:
                self._set(instance, None, now, now)

    def apply_update(self, instance, rate, observed_at, now):
        """Another VM tells what an instance declared.

        :param rate: as in :meth:`observe`.
        """
        known = self.limits.get(instance)
        if known and observed_at <= known.observed_at + HEARD_MARGIN_SECONDS:
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
        """The instance is gone."""
        for kept in (self.limits, self.senders, self.shares):
            kept.pop(instance, None)

    def permits(self, instance, now):
        """True when this VM may send a request to an instance now."""
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
        if now - self.members_at >= MEMBERS_SECONDS:
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
        """Return the :class:`RateLimit` to tell the peers.

        :param everything: whether to tell all of them, not only what changed lately.
        """
        return [
            limit
            for limit in self.limits.values()
            if everything or now - limit.changed_at <= NEWS_SECONDS
        ]


def _differ(rate, other):
    if rate is None or other is None:
        return rate is not other
    return abs(rate - other) > NEWS_CHANGE * max(rate, other)
