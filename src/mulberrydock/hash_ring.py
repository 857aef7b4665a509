"""A consistent hash ring of VMs, which all VMs compute alike without a message.

Rendezvous hashing would hash every name for each key, which costs more per key the
larger the fleet is.
"""

import bisect
import itertools

import attrs

from .rendezvous import rank


@attrs.define
class HashRing:
    """The order of VMs for each key. Create it with :meth:`from_data_centres`.

    ``rings`` holds for each data centre the sorted (hash, name) pairs of its VMs.
    """

    rings: tuple

    @classmethod
    def from_data_centres(cls, data_centre_by_name):
        """Build the ring of VMs, given the data centre of each."""
        rings = {}
        for name, data_centre in data_centre_by_name.items():
            rings.setdefault(data_centre, []).append((rank("ring", name), name))
        return cls(tuple(sorted(rings[key]) for key in sorted(rings)))

    def names(self, key):
        """Yield the names of all VMs in the order of ``key``.

        The data centres take turns, so that the first names are in different ones.
        """
        point = (rank("key", key), "")
        walks = [_walk(ring, bisect.bisect(ring, point)) for ring in self.rings]
        for names in itertools.zip_longest(*walks):
            yield from (name for name in names if name is not None)


def _walk(ring, start):
    """Yield the names of ``ring`` once around, from the index ``start`` on."""
    for index in range(len(ring)):
        yield ring[(start + index) % len(ring)][1]
