"""A clock that includes the time for which a VM is suspended."""

import time


def boot_seconds():
    """Return the seconds since boot, including those while the VM was suspended.

    The monotonic clock stops while a VM is suspended, so a lease timed by it would
    seem valid long after it has expired at the store.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
