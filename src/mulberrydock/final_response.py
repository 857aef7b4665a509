"""The final responses to a request that no instance has answered.

Each takes the :class:`~mulberrydock.serving.RequestLifecycle`, answers its client and
returns the :class:`~mulberrydock.exceptions.ResultCode`.
"""

from . import refusal
from .exceptions import ResultCode
from .placement import request_hash_fraction


def give_up(lifecycle, now):
    """Give the final response when no attempt is left."""
    if lifecycle.stream.has_started:
        lifecycle.sink.abort()
        return ResultCode.STREAM_CUT
    if lifecycle.error_response is not None:
        lifecycle.respond(lifecycle.error_response)
        return ResultCode.UPSTREAM_FAILED
    if lifecycle.may_have_run:
        _reject(lifecycle, 502, lifecycle.cause)
        return ResultCode.UPSTREAM_FAILED
    if lifecycle.is_quarantined(now):
        retry_after = lifecycle.quarantine.retry_seconds(now)
        _reject(lifecycle, 503, lifecycle.cause, retry_after)
        return ResultCode.QUARANTINED
    retry_after = refusal.retry_after(
        bool(lifecycle.tried),
        lifecycle.fleet.pause_seconds(lifecycle.service, now),
        lifecycle.seconds_left(now),
        request_hash_fraction(lifecycle.request.id),
    )
    _reject(lifecycle, 503, lifecycle.cause, retry_after)
    return ResultCode.NO_UPSTREAM


def refuse_unknown_version(lifecycle, final):
    """Refuse to go on with a stream of which nobody knows the version.

    :param final: False if a peer that hasn't answered may know it.
    """
    lifecycle.cause = "the version that began the stream isn't known"
    retry_after = refusal.FUTILE_RETRY_SECONDS if final else refusal.RETRY_AFTER_SECONDS
    _reject(lifecycle, 503, lifecycle.cause, retry_after)
    return ResultCode.UNKNOWN_VERSION


def shed(lifecycle, refused):
    """Refuse the request before its first attempt.

    :param refused: the :class:`~mulberrydock.refusal.Refusal`.
    """
    lifecycle.cause = refused.reason
    _reject(lifecycle, 503, refused.reason, refused.retry_after)
    return ResultCode.SHED


def expire(lifecycle):
    """Give the final response at the deadline, while an attempt is in progress."""
    if lifecycle.stream.has_started:
        lifecycle.sink.abort()
        return ResultCode.STREAM_CUT
    if lifecycle.sends.maybe_received:
        _reject(lifecycle, 504, "deadline")
        return ResultCode.OUTCOME_UNKNOWN
    _reject(lifecycle, 503, "deadline", refusal.RETRY_AFTER_SECONDS)
    return ResultCode.SHED


def _reject(lifecycle, status, reason, retry_after=None):
    lifecycle.relay.reject(
        lifecycle.request, lifecycle.sink, status, reason, retry_after
    )
