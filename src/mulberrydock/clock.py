"""Clocks of a process."""

import time


def boot_seconds():
    """Return seconds since boot, those of a suspended VM included.

    The monotonic clock stands still while a VM is suspended, so a lease timed
    by it would seem to hold long after the store has ended it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
