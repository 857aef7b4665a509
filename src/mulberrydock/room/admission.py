"""Decides whether a request can be served in its caller's time or is refused at once.

A request that can't be served in time only delays others, and its caller learns late
that it has to go elsewhere. Two things decide: the time that the caller has, and the
work that is left, both the request's own and that of requests before it. A client's
retry is decided like a first try: it has less time left, and nothing else tells it
apart.
"""

import math

import attrs

from ..refusal import RETRY_SPREAD, Refusal
from ..request import served_until


@attrs.define(frozen=True)
class CallerTime:
    """The time that a request's caller has, in seconds from now.

    ``patience`` is the time until the caller gives up unless a first event has come,
    ``left`` the time until the request's deadline.
    """

    patience: float
    left: float

    @classmethod
    def from_route(cls, route, left, waited):
        """Return the time of a caller without an event yet.

        :param route: the request's :class:`~mulberrydock.request.Route`.
        :param left: seconds until the request's deadline.
        :param waited: seconds since the request arrived.
        """
        return cls(min(route.client_idle_timeout - waited, left), left)

    @classmethod
    def from_request(cls, request, route, now):
        """Return the time of a request's caller without an event yet.

        :param now: monotonic seconds.
        """
        left = served_until(request, route) - now
        return cls.from_route(route, left, now - request.arrived)


@attrs.define(frozen=True)
class ExpectedWork:
    """What is expected to lie before a request's first event and its end, in seconds.

    ``queue`` is the time until its prompt is prefilled next, ``place_wait`` the time
    until a decode engine has a place for it, infinity if more urgent requests ask for
    all places. ``own`` is the time that its first event takes once nothing is before
    it, ``stream`` the time from the first event to the end, each 0 if unknown. A
    request that is prefilled ``in_place`` needs its place from the start of the
    prefill.
    """

    queue: float
    place_wait: float
    own: float
    stream: float = 0.0
    in_place: bool = False

    @classmethod
    def from_plan(cls, plan, place_wait, stream, own_is_known=True):
        """Return the work of a request with this plan.

        :param plan: its :class:`~mulberrydock.placement.Plan`.
        :param place_wait: seconds until there is a place for it.
        :param stream: seconds from its first event to its end, 0 if unknown.
        :param own_is_known: whether the speed of the engines was measured.
        """
        own = max(0.0, plan.wait - plan.queue_seconds) if own_is_known else 0.0
        return cls(plan.queue_seconds, place_wait, own, stream, plan.prefill is None)

    @property
    def alone(self):
        """The same work with nothing before it."""
        return attrs.evolve(self, queue=0.0, place_wait=0.0)

    @property
    def room(self):
        """Seconds until the request, begun then, would wait for no other one."""
        place_needed = 0.0 if self.in_place else self.own
        return max(self.queue, self.place_wait - place_needed)

    @property
    def first_event(self):
        """Seconds until the first event."""
        return self.room + self.own

    @property
    def end(self):
        """Seconds until the end of the response."""
        return self.first_event + self.stream


def decide(time, work, lot):
    """Return why a request is refused, None if it gets room.

    The length of a stream counts only while it waits for a place: with a free place
    it delays nobody, and it may be shorter than others were.

    :param time: the :class:`CallerTime`.
    :param work: the :class:`ExpectedWork`.
    :param lot: number in [0, 1) that differs from request to request.
    :returns: a :class:`~mulberrydock.refusal.Refusal` or None.
    """
    if work.first_event > time.patience:
        reason = "first event expected after its caller gives up"
    elif work.place_wait > 0 and work.end > time.left:
        reason = "end expected after its deadline"
    else:
        return None
    if math.isinf(work.place_wait):
        reason = "more urgent requests ask for all places"
    return Refusal(reason, return_after(time, work, lot))


def return_after(time, work, lot):
    """Return the seconds after which a refused client should return.

    That is when room is expected. Where the rest of its time wouldn't be enough then,
    it is the end of that time or later: an earlier return would be refused as well.
    Those refused in one moment return one after the other, as their lots tell.
    """
    room = work.room * (1 + RETRY_SPREAD * lot)
    if room + work.own + work.stream <= time.left:
        return room
    return max(0.0, time.left if math.isinf(room) else max(room, time.left))
