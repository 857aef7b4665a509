"""Decodes the instances' records in the store for the registry."""

from loguru import logger

from . import platform
from .exceptions import SettingsError

#: Maximum number of ids of unreadable records that are remembered, so that each is
#: logged once; a writer that floods the store with keys must not exhaust memory.
MAX_REFUSED_IDS = 1000
#: Maximum length of a text from the store in a log line.
MAX_LOGGED_CHARACTERS = 200


class InstanceFeed:
    """Decoder that feeds an :class:`~mulberrydock.instances.InstanceRegistry`.

    Anything may be written under the instances' prefix. A value that can't be
    decoded adds no instance and doesn't affect other records.

    ``refused_ids`` holds the ids with an unreadable record, until the record is
    valid or removed.
    """

    def __init__(self, registry):
        self.registry = registry
        self.refused_ids = set()

    def apply(self, key, value, revision, now):
        """Apply one record as written, or its removal when ``value`` is None."""
        instance_id = platform.instance_id(key)
        if value is None:
            self.refused_ids.discard(instance_id)
            self.registry.remove(instance_id, now)
            return
        try:
            record = platform.read_instance(key, value)
        except SettingsError as error:
            self._refuse(instance_id, revision, error)
            return
        self.refused_ids.discard(instance_id)
        self.registry.put(record, now)

    def _refuse(self, instance_id, revision, error):
        self.registry.mark_unreadable(instance_id)
        if instance_id in self.refused_ids:
            return
        if len(self.refused_ids) < MAX_REFUSED_IDS:
            self.refused_ids.add(instance_id)
        logger.error(
            "instance refused",
            instance=instance_id[:MAX_LOGGED_CHARACTERS],
            revision=revision,
            error=str(error)[:MAX_LOGGED_CHARACTERS],
        )
