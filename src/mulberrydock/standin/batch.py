"""Continuous batching, prefix cache and KV handles of one engine stand-in.

The simulation is a loop of steps. A step generates one token for every decoding run
and prefills at most one chunk of the unfinished prompts, so a long prompt delays the
tokens of the other runs, as on a real engine. Rates are in tokens per second, times in
seconds of the monotonic clock.
"""

import asyncio
import collections
import heapq
import itertools
import random
import uuid

import attrs

from .. import defaults
from ..prefix import block_hashes

#: Prompt tokens prefilled in one step at most; a quarter of it on a decode engine.
PREFILL_CHUNK_TOKENS = 512
#: Chunk of an engine with the decode role, as a fraction of the full chunk.
DECODE_ROLE_CHUNK_SHARE = 0.25
#: Fraction of cache events that are never published, which leaves gaps.
CACHE_EVENT_LOSS = 0.1
#: Delay before a cache event is published.
CACHE_EVENT_DELAY_SECONDS = 0.5
#: Maximum number of stored cache events; older ones are dropped, which leaves a gap.
MAX_CACHE_EVENTS = 10000
#: Time after which an exported KV cache that wasn't fetched is dropped.
KV_HANDLE_TTL_SECONDS = 10.0

#: Values in a run's queue beside token indexes: the run has ended, or was aborted.
END = -1
ABORTED = -2


@attrs.define
class EngineConfig:
    """Behaviour of one engine stand-in, from the table ``engines`` of the settings."""

    name: str
    checks_fencing: bool = True
    batch_size: int = 16
    prefill_tokens_per_second: float = 8000.0
    decode_tokens_per_second: float = 100.0
    cache_blocks: int = 512
    seed: int = 0


@attrs.define(frozen=True)
class CacheEvent:
    """A prefix block was stored or removed; visible to readers from ``visible_at``."""

    visible_at: float
    sequence: int
    kind: str
    block: str


@attrs.define(eq=False)
class Run:
    """One admitted request.

    Tokens ``first_token`` to ``end - 1`` are generated; ``output_queue`` receives their
    indexes, then :data:`END` or :data:`ABORTED`. ``imported`` is true when the KV cache
    was fetched from another engine, ``prefill_left`` counts the tokens still to be
    prefilled.
    """

    rank: int
    prompt: list
    first_token: int
    end: int
    prefill_only: bool = False
    imported: bool = False
    prefill_left: int = 0
    next_token: int = 0
    cancelled: bool = False
    output_queue: asyncio.Queue = attrs.field(factory=asyncio.Queue)


class PrefixCache:
    """LRU cache of the blocks of prompt prefixes, with a log of its events.

    :param blocks: maximum number of cached blocks.
    :param seed: seed of the choice of lost events.
    """

    def __init__(self, blocks, seed=0):
        self.blocks = blocks
        self.cached = collections.OrderedDict()
        self.events = collections.deque(maxlen=MAX_CACHE_EVENTS)
        self.sequence = itertools.count(1)
        self.random = random.Random(seed)

    def lookup_and_insert(self, tokens, now):
        """Cache the blocks of a prompt.

        :returns: the number of leading tokens that were cached before.
        """
        hits = 0
        for index, digest in enumerate(block_hashes(tokens)):
            if digest in self.cached:
                self.cached.move_to_end(digest)
                if hits == index * defaults.CACHE_BLOCK_TOKENS:
                    hits += defaults.CACHE_BLOCK_TOKENS
                continue
            self.cached[digest] = True
            self._publish("stored", digest, now)
            while len(self.cached) > self.blocks:
                evicted, _ = self.cached.popitem(last=False)
                self._publish("removed", evicted, now)
        return hits

    def clear(self, now):
        """Evict every block, as a model change does."""
        for digest in self.cached:
            self._publish("removed", digest, now)
        self.cached.clear()

    def events_after(self, sequence, now):
        """Return the published events newer than ``sequence``; some may be missing."""
        return [e for e in self.events if e.sequence > sequence and e.visible_at <= now]

    def _publish(self, kind, digest, now):
        sequence = next(self.sequence)
        if self.random.random() >= CACHE_EVENT_LOSS:
            visible_at = now + CACHE_EVENT_DELAY_SECONDS
            self.events.append(CacheEvent(visible_at, sequence, kind, digest))


class Batch:
    """The runs of one engine and the loop that advances them.

    ``handles`` maps a KV handle to its tokens and when it expires, ``counts`` are
    totals since the start.
    """

    def __init__(self, config):
        self.config = config
        self.role = "both"
        self.cache = PrefixCache(config.cache_blocks, config.seed)
        self.running = []
        self.waiting = []
        self.arrivals = itertools.count()
        self.wake = asyncio.Event()
        self.handles = {}
        self.counts = collections.Counter()

    def admit(self, run):
        """Queue ``run``; slots go to the lowest rank first, then to the earliest."""
        heapq.heappush(self.waiting, (run.rank, next(self.arrivals), run))
        self.wake.set()

    def abort_all(self):
        """Abort every run, as loading a model or changing the role does."""
        for run in [*self.running, *(w[2] for w in self.waiting)]:
            run.output_queue.put_nowait(ABORTED)
            self.counts["cut"] += 1
        self.running, self.waiting = [], []

    def export(self, run, now):
        """Keep the KV cache of a prefilled ``run`` and return its handle."""
        handle = uuid.uuid4().hex[:12]
        self.handles[handle] = (len(run.prompt), now + KV_HANDLE_TTL_SECONDS)
        return handle

    def pop_handle(self, handle, now):
        """Release ``handle``.

        :returns: the tokens of its KV cache, None for an unknown or expired handle.
        """
        tokens, expires_at = self.handles.pop(handle, (None, 0.0))
        return tokens if now < expires_at else None

    def prefill_rate(self):
        """Return the prompt tokens prefilled per second in the current role."""
        speed = defaults.DECODE_ROLE_PREFILL_SPEED if self.role == "decode" else 1.0
        return self.config.prefill_tokens_per_second * speed

    def step_seconds(self):
        """Return the seconds of one decode step at the current batch occupancy."""
        load = len(self.running) / self.config.batch_size
        slowdown = 1 + defaults.FULL_BATCH_SLOWDOWN * load
        return slowdown / self.config.decode_tokens_per_second

    def backlog(self):
        """Return the unfinished ``(prompt tokens, output tokens)`` of all runs."""
        waiting = [w[2] for w in self.waiting]
        prompt = sum(r.prefill_left for r in self.running)
        prompt += sum(len(r.prompt) for r in waiting if not r.imported)
        output = sum(r.end - r.next_token for r in self.running)
        output += sum(r.end - r.first_token for r in waiting)
        return prompt, output

    async def run(self, clock):
        """Advance the batch until cancelled.

        :param clock: returns the current time in seconds.
        """
        while True:
            self._fill_slots(clock())
            if not self.running:
                self.wake.clear()
                await self.wake.wait()
                continue
            decoding = [r for r in self.running if not r.prefill_left]
            prefilled = self._prefill_chunk()
            seconds = prefilled / self.prefill_rate()
            if decoding:
                seconds += self.step_seconds()
            await asyncio.sleep(seconds)
            self._finish_step(decoding)

    def _fill_slots(self, now):
        while self.waiting and len(self.running) < self.config.batch_size:
            run = heapq.heappop(self.waiting)[2]
            if run.cancelled:
                continue
            self.counts["started"] += 1
            self.counts["prompt_tokens"] += len(run.prompt)
            cached = self.cache.lookup_and_insert(run.prompt, now)
            run.prefill_left = 0 if run.imported else len(run.prompt) - cached
            if not run.imported:
                self.counts["cached_tokens"] += cached
                # Tokens generated before a resume are prefilled like a prompt.
                run.prefill_left += run.first_token
            self.counts["prefilled_tokens"] += run.prefill_left
            run.next_token = run.first_token
            self.running.append(run)

    def _prefill_chunk(self):
        chunk = PREFILL_CHUNK_TOKENS
        if self.role == "decode":
            chunk = int(chunk * DECODE_ROLE_CHUNK_SHARE)
        prefilled = 0
        for run in sorted(self.running, key=lambda r: r.rank):
            tokens = min(run.prefill_left, chunk - prefilled)
            run.prefill_left -= tokens
            prefilled += tokens
        return prefilled

    def _finish_step(self, decoding):
        for run in decoding:
            if run.cancelled or run.next_token >= run.end or run.prefill_only:
                continue
            run.output_queue.put_nowait(run.next_token)
            run.next_token += 1
            self.counts["output_tokens"] += 1
        for run in list(self.running):
            finished = not run.prefill_left and (
                run.prefill_only or run.next_token >= run.end
            )
            if run.cancelled or finished:
                self.running.remove(run)
                self.counts["cancelled" if run.cancelled else "finished"] += 1
                run.output_queue.put_nowait(END)
