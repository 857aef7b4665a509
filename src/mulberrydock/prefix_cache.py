"""Tracks which parts of prompts each engine is expected to have cached.

Needed because many prompts begin with one of hundreds of documents, which together are
larger than an engine's memory. Every VM records which engine prefilled what for it and
reports that to its peers, so that each VM knows the prefills of the whole fleet.
Engines evict the least recently used parts, and so does this index.
"""

import collections
import zlib

#: Share of an engine's memory in which parts are expected to stay cached. The rest is
#: taken by running requests and by prefills that this VM hasn't received a report of.
CACHE_SHARE = 0.95


def part_key(part_id):
    """Return the short key by which VMs name a part in their messages."""
    return zlib.crc32(part_id.encode())


class EngineCache:
    """Parts cached at one engine, the least recently used one first."""

    def __init__(self):
        self.parts = collections.OrderedDict()
        self.tokens = 0

    def use(self, key, tokens, capacity):
        """Record the use of a part; evict others when ``capacity`` is exceeded.

        :param capacity: tokens that fit into the cache.
        """
        self.tokens += tokens - self.parts.pop(key, 0)
        self.parts[key] = tokens
        while self.tokens > capacity and len(self.parts) > 1:
            _, evicted = self.parts.popitem(last=False)
            self.tokens -= evicted


class PrefixCacheIndex:
    """Cached parts by engine; ``updates`` are this VM's own since its last message.

    A part counts as cached once its prompt is prefilled. If it counted from the send
    on, so would prompts whose clients leave earlier: the more of them wait, the more
    documents would be sought at engines that never had them, and prefilled again.
    """

    def __init__(self):
        self.engines = {}
        self.updates = {}

    def record_prefill(self, instance_id, prompt, capacity):
        """Record that an engine prefilled a prompt or fetched its KV cache for this VM.

        :param capacity: tokens of the engine's memory.
        """
        rows = [(part_key(part.id), part.tokens) for part in prompt.parts]
        self.apply_update(instance_id, rows, capacity)
        self.updates.setdefault(instance_id, []).extend(rows)

    def apply_update(self, instance_id, rows, capacity):
        """Record (key, tokens) rows of parts that an engine prefilled, in order.

        :param capacity: tokens of the engine's memory, 0 when the engine isn't known:
            a peer may report one that is terminated, whose entries would stay for ever.
        """
        if not capacity:
            return
        cache = self.engines.setdefault(instance_id, EngineCache())
        for key, tokens in rows:
            cache.use(key, tokens, capacity * CACHE_SHARE)

    def take_updates(self):
        """Return the entries not yet sent to peers, and clear them."""
        updates, self.updates = self.updates, {}
        return updates

    def forget(self, instance_id):
        """Drop a terminated incarnation, whose memory is lost."""
        self.engines.pop(instance_id, None)
        self.updates.pop(instance_id, None)

    def cached_tokens(self, instance_id, prompt):
        """Return the tokens of ``prompt`` that an engine needn't prefill.

        A part is of use only if all parts before it are cached as well.
        """
        cache = self.engines.get(instance_id)
        if cache is None:
            return 0
        cached = 0
        for part in prompt.parts:
            if part_key(part.id) not in cache.parts:
                break
            cached += part.tokens
        return min(cached, prompt.tokens)
