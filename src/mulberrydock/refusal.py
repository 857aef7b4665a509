"""Decides whether a request is refused at once, and when its client should retry.

Needed for bursts and lost engines: more prompts then wait than can be prefilled before
their clients time out. Such a request would fail anyway and delay others; refused with
a retry time, it is served once the queue is short or an engine is back.
"""

import attrs

#: Seconds until the retry of a request for which there was no free slot.
RETRY_AFTER_SECONDS = 0.5
#: Seconds until the retry when a service has no instance that could take the request:
#: an engine is available 3 s after a stage order, a crashed one after 2 to 5 s. An
#: earlier retry is refused again, and the client often gives up then.
NO_INSTANCE_RETRY_SECONDS = 3.0
#: Seconds until the retry of a request that can't be served before its deadline: it
#: crashes instances, or goes on with a stream whose version no VM knows.
FUTILE_RETRY_SECONDS = 3600.0
#: Multiple of the client's idle timeout that the expected wait must exceed before a
#: stream is refused: estimates are rough, and a refused client may not retry.
REFUSAL_WAIT_FACTOR = 2.0
#: Share of the remaining time after which a client still retries: a third, less a
#: little for the time that the request has already been under way.
RETRY_SHARE = 0.3
#: Share by which the wait of one refused client may exceed that of another, so that
#: those refused in one moment don't return in one.
RETRY_SPREAD = 0.5


@attrs.define(frozen=True)
class Refusal:
    """Why a request is refused, and the seconds after which its client should retry."""

    reason: str
    retry_after: float


def refuse(plan, client_idle_timeout, most_urgent, left):
    """Return the :class:`Refusal` of a request, None if ``plan`` may serve it in time.

    :param client_idle_timeout: seconds without an event after which the client gives
        up.
    :param most_urgent: True when no other request of the service is more urgent.
    :param left: seconds until the request's deadline.
    """
    if plan.decode_slots_full and not most_urgent:
        # With more streams than slots all of them slow down, and long answers miss
        # their deadline; the most urgent requests preempt others.
        return Refusal("no decode engine has a place", retry_after(True, 0.0, left))
    return _refuse_late(plan, min(client_idle_timeout, left), left)


def _refuse_late(plan, client_idle_timeout, left):
    """Return the :class:`Refusal` of a stream that is expected late, or None.

    A stream is refused if its first event is expected long after its client times out,
    as it would only delay others. One that is late because of its own prefill
    time is not refused: a retry would take as long.
    """
    if (
        plan.wait <= client_idle_timeout * REFUSAL_WAIT_FACTOR
        or plan.prefill_seconds > plan.wait / 2
    ):
        return None
    seconds = min(plan.wait - client_idle_timeout / 2, left * RETRY_SHARE)
    return Refusal(f"expected to wait {plan.wait:.1f} s", seconds)


def retry_after(found_instance, pause, left, lot=0.0):
    """Return the seconds after which a refused client should retry.

    It is no more than a share of the time until the deadline.

    :param found_instance: whether there was any instance to ask.
    :param pause: seconds until an instance accepts calls of this VM again, 0 if one
        does.
    :param left: seconds until the request's deadline.
    :param lot: number in [0, 1) that differs from request to request.
    """
    if pause:
        seconds = max(RETRY_AFTER_SECONDS, pause)
    elif found_instance:
        seconds = RETRY_AFTER_SECONDS
    else:
        seconds = NO_INSTANCE_RETRY_SECONDS
    return min(seconds * (1 + RETRY_SPREAD * lot), max(0.0, left) * RETRY_SHARE)
