"""What a call to the platform's store is for, as a label of a metric.

Imports nothing but names of keys: the store's client says which operation it makes on
which key, and no caller has to be known here.
"""

import enum

from . import defaults


class StoreOperation(enum.Enum):
    """An operation of the store, whatever the platform calls it."""

    WATCH = "watch"
    RANGE = "range"
    READ = "read"
    WRITE = "write"
    LEASE_GRANT = "lease_grant"
    LEASE_RENEWAL = "lease_renewal"
    LEASE_END = "lease_end"


#: Purpose of reads and writes by prefix of their first key.
PURPOSES_BY_PREFIX = {
    defaults.ENTRY_PREFIX: "vm_record",
    defaults.LEADER_KEY: "leader",
    defaults.CRASH_PREFIX: "crashes",
    defaults.ORIGIN_PREFIX: "stream_versions",
    defaults.VERSIONS_KEY: "versions",
    defaults.USAGE_KEY: "usage",
}
#: Purpose of reads and writes of any other key.
OTHER_PURPOSE = "other"


def call_purpose(operation, key=""):
    """Return the purpose of a call, one of a few names.

    :param operation: the :class:`StoreOperation`.
    :param key: the first key that it reads or writes, empty if it names none.
    """
    if operation not in (StoreOperation.READ, StoreOperation.WRITE):
        return operation.value
    for prefix, purpose in PURPOSES_BY_PREFIX.items():
        if key.startswith(prefix):
            return purpose
    return OTHER_PURPOSE
