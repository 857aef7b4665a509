"""How soon a change in the store has to be known to all VMs.

Imports the decoder of records and no part of the daemon.
"""

from . import defaults, platform
from .exceptions import SettingsError
from .store_freshness import Urgency


def change_urgency(key, value, instances, serving):
    """Return the :class:`~mulberrydock.store_freshness.Urgency` of one change.

    :param value: text of the record, None when it was removed.
    :param instances: the known instances by id, before the change.
    :param serving: whether clients send requests already.
    """
    if key == defaults.USAGE_KEY or key.startswith(defaults.ORIGIN_PREFIX):
        # Only its writer acts on it, or VMs that start and read everything.
        return Urgency.LATER
    if key.startswith((defaults.ENTRY_PREFIX, defaults.CRASH_PREFIX)):
        # Datagrams tell of leaving VMs and of crashes at once.
        return Urgency.SOON
    if key.startswith(platform.INSTANCE_PREFIX):
        return _record_urgency(key, value, instances, serving)
    return Urgency.NOW


def _record_urgency(key, value, instances, serving):
    if value is None:
        known = instances.get(platform.instance_id(key))
        # All VMs know already that it leaves: its record said so, or a datagram.
        return Urgency.SOON if known is not None and known.leaving else Urgency.NOW
    try:
        record = platform.read_instance(key, value)
    except SettingsError:
        return Urgency.NOW
    known = instances.get(record.id)
    if known is None:
        return Urgency.NOW if record.draining or serving else Urgency.SOON
    # What a VM knows of the former process isn't true of one that has restarted.
    restarted = not known.record.is_same_process(record)
    urgent = record.draining or restarted or known.expired_at is not None
    return Urgency.NOW if urgent else Urgency.SOON
