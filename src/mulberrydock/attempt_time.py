"""How long an attempt may make no progress before another instance is tried.

An instance that is silent may be slow or lost; nothing tells which. The time that the
caller still has is divided evenly among the attempts that are left, this one included:
a shorter share would end answers that may still come, a longer one would leave the next
attempt no time.
"""

#: Multiple of the usual time of a plain service after which an answer counts as lost.
#: Few answers take so long, and each that does costs a retry.
SLOW_RESPONSE_FACTOR = 10.0
#: Seconds for which an answer doesn't count as lost, however quick the service is: the
#: network or a busy machine may hold it up for as long.
MIN_SLOW_SECONDS = 0.25
#: Factor by which a wait at a sound engine may exceed its estimate: requests that other
#: VMs have sent meanwhile aren't in it.
WAIT_ERROR = 2.0


def share(seconds, attempts):
    """Return the share of the caller's time that one of ``attempts`` gets."""
    return max(0.0, seconds) / attempts


def first_event_seconds(patience, wait, attempts):
    """Return the seconds for the first event of a stream, or for a prefill.

    The time is divided among as many attempts as could each wait for their turn: a
    prompt that is abandoned in a queue has to queue again elsewhere, and gains nothing
    if it comes too late there.

    :param patience: seconds until the caller gives up without an event.
    :param wait: the estimate of seconds to the first event.
    :param attempts: the number of attempts left, this one included.
    """
    if wait > 0:
        attempts = max(1, int(min(attempts, patience / (WAIT_ERROR * wait))))
    return max(wait, share(patience, attempts))


def event_gap_seconds(idle_timeout, left, attempts):
    """Return the seconds without a further event of a stream.

    :param idle_timeout: seconds without an event after which the caller gives up.
    :param left: seconds until the deadline.
    """
    return share(min(idle_timeout, left), attempts)


def response_seconds(left, usual, attempts):
    """Return the seconds for the response of a plain service.

    :param left: seconds until the deadline.
    :param usual: seconds that its responses take on average, 0 if unknown.
    """
    seconds = share(left, attempts)
    if not usual:
        return seconds
    return min(seconds, max(MIN_SLOW_SECONDS, SLOW_RESPONSE_FACTOR * usual))
