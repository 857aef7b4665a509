"""How long a service is expected to stay without an instance that takes requests."""

#: Seconds that an outage is expected to last at least, until one has ended here. An
#: instance that starts or changes its stage takes about as long to say so.
UNKNOWN_OUTAGE_SECONDS = 1.0
#: Weight of the latest outage in the average of their lengths.
OUTAGE_WEIGHT = 0.3


class Outages:
    """The outages of each service, as seen by this VM's requests.

    ``began`` holds the start of the one that lasts (monotonic seconds), ``average`` the
    average length in seconds of those that have ended, by service.
    """

    def __init__(self):
        self.began = {}
        self.average = {}

    def record(self, service, is_out, now):
        """Record whether an instance could be used for a request."""
        if is_out:
            self.began.setdefault(service, now)
            return
        began = self.began.pop(service, None)
        if began is not None:
            known = self.average.setdefault(service, now - began)
            self.average[service] = known + OUTAGE_WEIGHT * (now - began - known)

    def seconds_left(self, service, now):
        """Return the seconds until the outage of a service is expected to end.

        One that has outlasted the earlier ones is expected to last as long again.
        """
        lasted = now - self.began.get(service, now)
        average = self.average.get(service, UNKNOWN_OUTAGE_SECONDS)
        return max(average - lasted, lasted)
