"""What becomes of a pool while the platform takes reclaimable engines back.

Here belong the signs of a loss and the numbers of engines that cover it; which data
centres are lost is kept by :mod:`mulberrydock.scaling`. It imports nothing of the
package.
"""

import abc
import math

import attrs


def with_loss_cover(needed, data_centres):
    """Return the engines of which ``needed`` are left without any one data centre."""
    if data_centres < 2:
        return needed
    return data_centres * math.ceil(needed / (data_centres - 1))


@attrs.define(frozen=True)
class ReclaimSigns:
    """What shows that reclaimable engines are lost, or that others are on their way.

    ``leaving`` are the data centres where one has announced that it leaves,
    ``refused`` those that had none for the last order. ``starting`` is the number
    that the platform has accepted to start and that may still come in time.
    """

    leaving: frozenset = frozenset()
    refused: frozenset = frozenset()
    starting: int = 0


class ReclaimedCapacity(abc.ABC):
    """Decides how many reclaimable engines the other data centres take over."""

    @abc.abstractmethod
    def total(self, needed, data_centres):
        """Return the engines wanted in the data centres that have some.

        :param needed: engines that the pool needs.
        :param data_centres: number of data centres that have reclaimable engines.
        """


class NeededCapacity(ReclaimedCapacity):
    """What the pool needs, without cover for a further loss."""

    def total(self, needed, data_centres):
        return needed


class CoveredCapacity(ReclaimedCapacity):
    """What the pool needs even after the loss of one more data centre."""

    def total(self, needed, data_centres):
        return with_loss_cover(needed, data_centres)


def leave_room(numbers, present, others, maximum, step):
    """Return ``numbers`` of reclaimable engines that displace few that serve.

    Where a data centre has its maximum, another kind of engine takes the place of one
    that is there and starts only seconds later.

    :param step: engines of the other kind that may be displaced in a data centre at a
        time. Without any, a full pool would keep the dearer ones for ever.
    """
    return {
        name: min(number, max(present[name] + step, maximum - others[name]))
        for name, number in numbers.items()
    }


def keep_needed(numbers, present, needed, maximum):
    """Return ``numbers`` that leave the pool the engines it needs of those that serve.

    Where more serve than are wanted, they stay until others do elsewhere.
    """
    left = {name: min(number, present[name]) for name, number in numbers.items()}
    lacking = max(0, needed - sum(left.values()))
    kept = dict(numbers)
    for name in sorted(numbers):
        extra = min(lacking, min(present[name], maximum) - left[name])
        kept[name] += extra
        lacking -= extra
    return kept
