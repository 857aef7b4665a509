"""Rendezvous hashing: an order of names that all VMs compute alike, without a message.

The first name in the order of a key owns that key. When a name is added or removed,
only the keys that it owns move.
"""

import hashlib

#: Key of the order in which VMs acquire the leader lease. The first of them also poll
#: the store for the others, so a new leader knows what its predecessor decided.
DUTY_ORDER = "duty"


def rank(key, name):
    """Return the sort key of ``name`` in the order of ``key``, as bytes."""
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
