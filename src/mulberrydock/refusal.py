"""Whether a request is refused at once, and when its client should come back.

The load pattern this answers is a burst, or a loss of engines, that leaves more
prompts waiting than are read before their clients leave. Held, such a request
earns nothing and is in the way of others; refused with a time, it is served
when the queue is short or an engine is back.
"""

import attrs

#: Seconds told to a client whose request found no place.
RETRY_AFTER_SECONDS = 0.5
#: Seconds told to a client whose service has no instance that could take it: an
#: engine is back 3 s after a stage order, a crashed one after 2 to 5 s. A client
#: that comes back sooner is refused again, and then often for good.
NO_INSTANCE_RETRY_SECONDS = 3.0
#: Seconds told to a client whose request crashes instances: nothing will have changed
#: within the time that it has.
QUARANTINE_RETRY_SECONDS = 3600.0
#: Multiple of a client's patience that the wait must exceed before a stream is
#: refused: estimates are rough, and a refused client may not come back.
HOPELESS_FACTOR = 2.0
#: Share of its time left after which a client still comes back (a third), less
#: a little, as it has been on its way.
COME_BACK_SHARE = 0.3


@attrs.define(frozen=True)
class Refusal:
    """Why a request is refused, and the seconds after which its client comes back."""

    reason: str
    retry_after: float


def refuse(plan, patience, most_urgent, left):
    """Return the :class:`Refusal` of a request that ``plan`` can't serve, None when
    it may be in time.

    :param patience: seconds without an event for which the client stays.
    :param most_urgent: True when no other request of the service is more urgent.
    :param left: seconds until the request's deadline.
    """
    if plan.crowded and not most_urgent:
        # With more streams than places all of them are slower, and the long answers
        # reach their deadline; the most urgent ones take the places of others.
        return Refusal("no decode engine has a place", retry_after(True, left))
    return _hopeless(plan, min(patience, left), left)


def _hopeless(plan, patience, left):
    """Refuse a stream whose first event is expected long after its client has left:
    it would only hold up others.

    One that is late by its own length finds no better time.
    """
    if plan.wait <= patience * HOPELESS_FACTOR or plan.reading > plan.wait / 2:
        return None
    seconds = min(plan.wait - patience / 2, left * COME_BACK_SHARE)
    return Refusal(f"expected to wait {plan.wait:.1f} s", seconds)


def retry_after(found_instance, left):
    """Return the seconds after which a refused client may find a place, as far
    as it has the time for it.

    :param found_instance: whether there was any instance to ask.
    """
    if found_instance:
        return RETRY_AFTER_SECONDS
    return min(NO_INSTANCE_RETRY_SECONDS, max(0.0, left) * COME_BACK_SHARE)
