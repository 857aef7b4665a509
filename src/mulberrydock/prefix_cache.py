"""Which engine is believed to keep which parts of prompts.

The load pattern this answers is hundreds of documents that many prompts begin
with, together larger than an engine's memory. Every VM notes what is read where for it
and tells its peers, so each of them knows what the fleet has had read. Engines
let go of what was used longest ago; so does this book.
"""

import collections
import zlib

#: Share of an engine's memory in which parts are believed to stay: the rest is
#: taken by running requests and by what this VM hasn't heard of.
KEPT_SHARE = 0.95


def part_key(part_id):
    """Return a short name of a part, as VMs tell it to each other."""
    return zlib.crc32(part_id.encode())


class EngineCache:
    """Parts at one engine, the one used longest ago first."""

    def __init__(self):
        self.parts = collections.OrderedDict()
        self.tokens = 0

    def use(self, key, tokens, capacity):
        """A prompt with this part was read here."""
        self.tokens += tokens - self.parts.pop(key, 0)
        self.parts[key] = tokens
        while self.tokens > capacity and len(self.parts) > 1:
            _, dropped = self.parts.popitem(last=False)
            self.tokens -= dropped


class PrefixCacheIndex:
    """Parts by engine; ``updates`` are this VM's own since its last message.

    A part counts as kept once its prompt was read. Counted from the moment it is
    sent, prompts whose clients leave before would count as well: the more of them
    wait, the more documents are sought where they never were, and read again.
    """

    def __init__(self):
        self.engines = {}
        self.updates = {}

    def record_prefill(self, instance_id, prompt, capacity):
        """An engine has read or fetched a prompt for this VM."""
        rows = [(part_key(part.id), part.tokens) for part in prompt.parts]
        self.apply_update(instance_id, rows, capacity)
        self.updates.setdefault(instance_id, []).extend(rows)

    def apply_update(self, instance_id, rows, capacity):
        """Take (key, tokens) rows of parts that an engine read, in order.

        :param capacity: tokens of the engine's memory, 0 when the engine isn't
            known: a peer may tell of one that is over, and what is noted of it
            would stay for ever.
        """
        if not capacity:
            return
        cache = self.engines.setdefault(instance_id, EngineCache())
        for key, tokens in rows:
            cache.use(key, tokens, capacity * KEPT_SHARE)

    def take_updates(self):
        """Return what peers haven't been told yet."""
        updates, self.updates = self.updates, {}
        return updates

    def forget(self, instance_id):
        """An incarnation is over, its memory with it."""
        self.engines.pop(instance_id, None)
        self.updates.pop(instance_id, None)

    def cached_tokens(self, instance_id, prompt):
        """Return the tokens of ``prompt`` that needn't be read at an engine.

        A part is of use only if all parts before it are kept as well.
        """
        cache = self.engines.get(instance_id)
        if cache is None:
            return 0
        kept = 0
        for part in prompt.parts:
            if part_key(part.id) not in cache.parts:
                break
            kept += part.tokens
        return min(kept, prompt.tokens)
