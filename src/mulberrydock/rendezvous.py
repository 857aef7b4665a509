"""Rendezvous hashing: an order of names that all VMs compute alike, without a message.

The first name in the order of a key owns that key. When a name is added or removed,
only the keys that it owns move.
"""

import functools
import hashlib

#: Key of the order in which VMs acquire the leader lease. The first of them also poll
#: the store for the others, so a new leader knows what its predecessor decided.
DUTY_ORDER = "duty"

#: Ranks that are kept, of some 150 bytes each: a request asks for the same ones several
#: times, and a document's engines and a data centre's reporters are asked for again.
MAX_KEPT_RANKS = 8192


@functools.lru_cache(MAX_KEPT_RANKS, typed=True)
def rank(key, name):
    """Return the sort key of ``name`` in the order of ``key``, as bytes."""
    return hashlib.blake2b(f"{key}/{name}".encode(), digest_size=8).digest()
