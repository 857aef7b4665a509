"""Confirms that an instance is the incarnation that this VM knows.

An instance may restart under its id and address, with another software version. Until
this VM has read the new record, it takes the instance for the former incarnation, and
nothing in a response to a request tells them apart. The instance's report does: it
states when the instance started.
"""

import asyncio
import enum

import attrs
from loguru import logger

from .connection_check import ConnectionCheck


class CheckOutcome(enum.Enum):
    """What the response to a check shows of the instance."""

    CONFIRMED = "confirmed"
    RESTARTED = "restarted"
    #: Of an earlier start than its record.
    OLDER = "older"
    #: Another instance has the address.
    MISDIRECTED = "misdirected"
    #: It states no start.
    UNKNOWN = "unknown"


def compare_starts(record, report):
    """Return the :class:`CheckOutcome` of an instance's record and its report."""
    known, stated = record.started_at_ms, report.started_at_ms
    if known is None or stated is None:
        return CheckOutcome.UNKNOWN
    if stated == known:
        return CheckOutcome.CONFIRMED
    return CheckOutcome.RESTARTED if stated > known else CheckOutcome.OLDER


def read_outcome(relay, instance, response):
    """Return what the response to a report call shows of the instance.

    :param relay: the :class:`~mulberrydock.relay.Relay` that reads the report.
    :returns: the :class:`CheckOutcome`, and the start that the instance states, Unix
        milliseconds or None.
    """
    if response.status == 421:
        return CheckOutcome.MISDIRECTED, None
    report = relay.read_report(instance, response)
    if report is None:
        return CheckOutcome.UNKNOWN, None
    return compare_starts(instance.record, report), report.started_at_ms


@attrs.define
class IncarnationCheck(ConnectionCheck):
    """The check of ``instance`` for one send of ``request``.

    :param relay: the :class:`~mulberrydock.relay.Relay` that sends.
    :param is_required: whether the request may only go to the known incarnation.

    ``task`` asks the instance while the request is served, None if it needn't be asked.
    """

    relay: object
    instance: object
    request: object
    is_required: bool
    task: object = None

    @classmethod
    def from_send(cls, relay, instance, request, is_required=False):
        """Build the check of one send.

        :returns: None for an instance that states no start: it never restarts under
            its id, which each send names.
        """
        if instance.record.started_at_ms is None:
            return None
        return cls(relay, instance, request, is_required)

    @property
    def call(self):
        return self.relay.wire.report_call(self.instance.record)

    def accept_response(self, status, headers):
        return self.relay.accept_call_response(
            self.instance, self.call, status, headers
        )

    def start(self, confirmation):
        self.task = self.relay.run_in_background(confirmation)

    async def result(self, timeout=None):
        if self.task is None:
            return True
        await asyncio.wait([self.task], timeout=timeout)
        return self.task.done() and self.task.result()

    def confirms(self, response, now):
        outcome, started_at_ms = read_outcome(self.relay, self.instance, response)
        logger.info(
            "incarnation checked",
            request=self.request.id,
            instance=self.instance.id,
            status=response.status,
            started_at_ms=started_at_ms,
            outcome=outcome.value,
        )
        self.relay.metrics.incarnation_checks.labels(outcome.value).inc()
        fleet = self.relay.fleet
        if outcome is CheckOutcome.RESTARTED:
            fleet.instances.mark_restarted(self.instance, started_at_ms)
        elif outcome is CheckOutcome.MISDIRECTED:
            metadata = self.relay.wire.read_metadata(response.headers)
            fleet.record_misdirected(self.instance, metadata.instance, now)
        elif outcome is CheckOutcome.OLDER:
            fleet.suspicion.record_refusal(self.instance.id, now)
        return outcome is CheckOutcome.CONFIRMED
