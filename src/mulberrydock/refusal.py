"""When the client of a refused request should retry."""

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
