"""How far the instances of other data centres are, in time and for their KV cache.

Data centres of one region are about a millisecond apart, those of different regions ten
times as far. A request crosses that distance twice for each call, and a prompt that is
prefilled there makes two calls, so a hop is weighed against the wait that it saves.
"""

import collections

#: Seconds that a hop to another data centre of the region adds.
REMOTE_HOP_SECONDS = 0.002
#: Seconds that a hop to another region and back adds before any connection has shown
#: it: regions of one country are 10 to 15 ms apart, one way.
REGION_HOP_SECONDS = 0.025
#: Factor by which a KV cache transfer to another data centre takes longer, and by which
#: it does to another region.
REMOTE_TRANSFER_FACTOR = 2.0
REGION_TRANSFER_FACTOR = 10.0
#: Number of connection times by which a distance is known. The shortest one counts:
#: what else takes time at either end isn't distance.
MAX_SAMPLES = 8
#: Seconds for which a connection time counts. A link is slow or a VM busy for seconds,
#: but while no requests are sent there, no new connection shows that it is over.
SAMPLE_SECONDS = 30.0


class Distances:
    """Distances between this VM's data centre and the others.

    :param data_centre: the data centre of this VM.
    ``several_regions`` says whether the data centres lie in more than one region.

    :param regions: the region of each data centre. One that isn't named counts as one
        of another region, unless all lie in one.
    """

    def __init__(self, data_centre, regions=None):
        self.data_centre = data_centre
        self.regions = regions or {}
        # Asked for each engine that a request weighs.
        self.several_regions = len(set(self.regions.values())) > 1
        self.samples = {}

    def same_region(self, first, second):
        """Return whether two data centres lie in one region, as far as is known."""
        if first == second or not self.several_regions:
            return True
        region = self.regions.get(first)
        return region is not None and region == self.regions.get(second)

    def is_near(self, data_centre):
        """Return whether a data centre lies in this VM's region."""
        return self.same_region(self.data_centre, data_centre)

    def record(self, data_centre, seconds, now):
        """Record the time in which an instance there accepted a connection."""
        if self.is_near(data_centre):
            return
        samples = self.samples.setdefault(
            data_centre, collections.deque(maxlen=MAX_SAMPLES)
        )
        samples.append((now, seconds))

    def expire(self, now):
        """Forget the connection times that are too old."""
        for samples in self.samples.values():
            while samples and now - samples[0][0] >= SAMPLE_SECONDS:
                samples.popleft()

    def hop_seconds(self, data_centre):
        """Return the seconds that a call to an instance there takes longer."""
        if data_centre == self.data_centre:
            return 0.0
        if self.is_near(data_centre):
            return REMOTE_HOP_SECONDS
        samples = self.samples.get(data_centre, ())
        return min((seconds for _, seconds in samples), default=REGION_HOP_SECONDS)

    def transfer_factor(self, source, target):
        """Return by how much a KV cache transfer between two data centres is slower."""
        if source == target:
            return 1.0
        if self.same_region(source, target):
            return REMOTE_TRANSFER_FACTOR
        return REGION_TRANSFER_FACTOR
