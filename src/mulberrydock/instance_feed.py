"""Takes the instances' records from the store into the registry."""

from loguru import logger

from . import platform
from .exceptions import SettingsError

#: Ids of unreadable records that are remembered, so that each is logged once; a
#: writer that floods the store with keys must not fill this VM's memory.
REFUSED_KEPT = 1000
#: Characters of a foreign text that a log line shows.
SHOWN_CHARACTERS = 200


class InstanceFeed:
    """Decodes records and hands them to an
    :class:`~mulberrydock.instances.InstanceRegistry`.

    Any writer may put something under the instances' prefix. What can't be read
    names no instance to use, and harms no other record.

    ``refused`` holds the ids whose record can't be read, until it is good or
    gone.
    """

    def __init__(self, registry):
        self.registry = registry
        self.refused = set()

    def apply(self, key, value, revision, now):
        """Take one record as it was written, or its removal (``value`` None)."""
        instance_id = platform.instance_id(key)
        if value is None:
            self.refused.discard(instance_id)
            self.registry.remove(instance_id, now)
            return
        try:
            record = platform.read_instance(key, value)
        except SettingsError as error:
            self._refuse(instance_id, revision, error)
            return
        self.refused.discard(instance_id)
        self.registry.put(record, now)

    def _refuse(self, instance_id, revision, error):
        self.registry.spoil(instance_id)
        if instance_id in self.refused:
            return
        if len(self.refused) < REFUSED_KEPT:
            self.refused.add(instance_id)
        logger.error(
            "instance refused",
            instance=instance_id[:SHOWN_CHARACTERS],
            revision=revision,
            error=str(error)[:SHOWN_CHARACTERS],
        )
