"""Records when a request begins at an instance, once over all VMs that serve it."""

import attrs


@attrs.define
class RequestBegin:
    """The begin of one request.

    :param relay: the :class:`~mulberrydock.relay.Relay` that counts it.
    :param counted_elsewhere: whether another VM counts it: the one that has forwarded
        the request, or the one to which it is forwarded.

    ``plain_at`` is when a plain request was sent first, monotonic seconds.
    """

    relay: object
    request: object
    counted_elsewhere: bool = False
    plain_at: float | None = None

    def record(self, begun_at):
        """Record that an instance began to run the request (monotonic seconds)."""
        if not self.counted_elsewhere:
            self.relay.record_begin(self.request, begun_at)

    def expect(self, sends, now):
        """Note that a plain request is about to be sent.

        :param sends: the :class:`~mulberrydock.call_counter.CallCounter` of its sends.
        """
        if not sends.maybe_executed:
            self.plain_at = now

    def record_plain(self, sends):
        """Record the begin of a plain request that an instance ran or may have run."""
        if self.plain_at is not None and sends.maybe_executed:
            self.record(self.plain_at)

    def hand_over(self, sends, started):
        """Let the VM to which the request is forwarded count it, if none has yet.

        :param started: whether a stream has begun.
        :returns: whether it is counted already.
        """
        if not sends.maybe_executed:
            self.plain_at = None
        self.counted_elsewhere = True
        return started or self.plain_at is not None

    def take_back(self):
        """Count the begin of a later attempt of this VM's own."""
        self.counted_elsewhere = False
