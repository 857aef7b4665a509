"""The final responses to a request that no instance has answered.

Each takes the :class:`~mulberrydock.serving.RequestLifecycle`, answers its client and
returns the :class:`~mulberrydock.exceptions.ResultCode`.
"""

from .exceptions import ResultCode
from .refusal import FUTILE_RETRY_SECONDS, OTHER_VM_RETRY_SECONDS
from .request_room import return_seconds


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
        if lifecycle.is_left_to_others and not lifecycle.has_sent:
            return ResultCode.DRAINING
        return ResultCode.UPSTREAM_FAILED
    if lifecycle.is_left_to_others:
        _reject(lifecycle, 503, lifecycle.cause, OTHER_VM_RETRY_SECONDS)
        return ResultCode.DRAINING
    if lifecycle.is_quarantined(now):
        retry_after = lifecycle.quarantine.retry_seconds(now)
        _reject(lifecycle, 503, lifecycle.cause, retry_after)
        return ResultCode.QUARANTINED
    _reject(lifecycle, 503, lifecycle.cause, return_seconds(lifecycle, now))
    return ResultCode.NO_UPSTREAM


def refuse_unknown_version(lifecycle, search, now):
    """Refuse to go on with a stream of which no version can be used.

    A VM that the store doesn't answer sends its client to another one. A peer that
    hasn't answered is asked again once it has reported to this VM.

    :param search: the :class:`~mulberrydock.stream_version.VersionSearch`.
    """
    lifecycle.cause = "the version that began the stream isn't known"
    if lifecycle.version.began_elsewhere:
        lifecycle.cause = "the stream began at another service"
    if not search.is_current:
        retry_after = OTHER_VM_RETRY_SECONDS
    elif not search.is_final:
        retry_after = lifecycle.fleet.loads.report_delay(now)
    else:
        retry_after = FUTILE_RETRY_SECONDS
    _reject(lifecycle, 503, lifecycle.cause, retry_after)
    return ResultCode.UNKNOWN_VERSION


def shed(lifecycle, refused):
    """Refuse the request before its first attempt.

    :param refused: the :class:`~mulberrydock.refusal.Refusal`.
    """
    lifecycle.cause = refused.reason
    _reject(lifecycle, 503, refused.reason, refused.retry_after)
    return ResultCode.SHED


def expire(lifecycle, now):
    """Give the final response at the deadline, while an attempt is in progress.

    A request that the stop of this VM ends has time left, at any other VM.
    """
    reason = lifecycle.cause if lifecycle.is_stopped else "deadline"
    if lifecycle.stream.has_started:
        lifecycle.sink.abort()
        return ResultCode.STREAM_CUT
    if lifecycle.sends.maybe_received:
        _reject(lifecycle, 504, reason)
        return ResultCode.OUTCOME_UNKNOWN
    if lifecycle.is_stopped:
        _reject(lifecycle, 503, reason, OTHER_VM_RETRY_SECONDS)
        return ResultCode.DRAINING
    _reject(lifecycle, 503, reason, return_seconds(lifecycle, now))
    return ResultCode.SHED


def _reject(lifecycle, status, reason, retry_after=None):
    lifecycle.relay.reject(
        lifecycle.request, lifecycle.sink, status, reason, retry_after
    )
