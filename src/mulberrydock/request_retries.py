"""Charges the calls of one request to the retry budget as their receivers do."""

import attrs
from loguru import logger

from .call_counter import CallCounter


@attrs.define
class RequestRetries:
    """The calls of one request, and the retries that the budget has granted for them.

    Methods take the present time as ``now``, monotonic seconds.

    :param fleet: the :class:`~mulberrydock.fleet_view.FleetView` with the budgets.
    :param sends: the :class:`CallCounter` of its sends.
    :param prefills: that of its prefill calls.
    :param reserved: calls that the budget has granted and that were not made yet.
    """

    fleet: object
    request: object
    service: str
    sends: CallCounter
    prefills: CallCounter
    reserved: int = 0

    @classmethod
    def from_prior(cls, fleet, request, service, prior):
        """Go on from what the VM that has forwarded the request has called.

        :param prior: the :class:`~mulberrydock.forward_messages.PriorCalls`.
        """
        sends = CallCounter(prior.sends, prior.sends, prior.rejected)
        prefills = CallCounter(
            prior.prefills, prior.prefills, accepted=int(prior.prefilled)
        )
        return cls(fleet, request, service, sends, prefills, prior.reserved_retries)

    @property
    def arrivals(self):
        """The number of calls so far of which all but one count as retries.

        A call that found nobody listening is none: when engines are lost, requests
        would spend the budget on finding another engine and be refused once they had
        found it.
        """
        return self.sends.arrivals + self.prefills.arrivals

    def reserve(self, plan, now):
        """Reserve the calls of ``plan`` that are retries from the retry budget.

        :returns: False when the budget doesn't allow them.
        """
        calls = self._count(plan)
        reserved = min(calls, self.reserved)
        calls -= reserved
        if calls and not self._ask_budget(calls, now):
            return False
        self.reserved -= reserved
        return True

    def keep(self, plan):
        """Keep what was reserved for ``plan`` for the next attempt."""
        self.reserved += self._count(plan)

    def record_not_sent(self, counter):
        """Record that the last call of a kind wasn't sent, and keep its retry.

        :param counter: the :class:`CallCounter` of that kind.
        """
        counter.record_not_sent()
        self._keep_last()

    def record_accepted_prefill(self):
        """Record that an engine accepted the last prefill call, and keep its retry."""
        self.prefills.accepted += 1
        if self.prefills.accepted == 1:
            self._keep_last()

    def _keep_last(self):
        """Keep the retry of a call that turned out to be no arrival."""
        self.reserved += int(self.arrivals > 0)

    def _count(self, plan):
        """Return how many calls of ``plan`` may count as retries."""
        if plan.prefill is None:
            return int(self.arrivals > 0)
        # The first call is no retry. The prefill call is none either if it is the first
        # one that an engine accepts, but until then nobody knows.
        return 2 if self.arrivals else int(self.prefills.accepted > 0)

    def _ask_budget(self, calls, now):
        budget = self.fleet.budget(self.service)
        granted = budget.allow(now, calls)
        logger.info(
            "retry granted" if granted else "retry refused",
            request=self.request.id,
            service=self.service,
            calls=calls,
            prefills=self.prefills.maybe_received,
            sends=self.sends.maybe_received,
            spent=len(budget.retries),
            bound=round(budget.bound(now), 2),
            vms=self.fleet.recent_vm_count(),
        )
        return granted
