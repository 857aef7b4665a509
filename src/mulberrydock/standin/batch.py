"""Continuous batching, prefix cache and KV handles of one fake engine.

The model is a loop of steps. A step generates one token for every decoding
run and prefills at most one chunk of waiting prompts, so a long prompt
delays the tokens of the other runs, as on a real engine. Rates are tokens a
second, times are seconds on the monotonic clock.
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

#: Prompt tokens prefilled in one step; a quarter of it on a decode engine.
PREFILL_CHUNK_TOKENS = 512
#: Chunk of an engine whose role is decode, as a share.
DECODE_ROLE_CHUNK_SHARE = 0.25
#: Share of cache events that are never published (the gaps).
CACHE_EVENT_LOSS = 0.1
#: Seconds by which cache events are published late.
CACHE_EVENT_DELAY_SECONDS = 0.5
#: Cache events kept for readers; older ones are a gap.
CACHE_EVENTS_KEPT = 10000
#: Seconds an exported KV cache is kept until it is taken.
KV_HOLD_SECONDS = 10.0

#: Pieces on a run's queue besides token indexes: the end, and a cut.
END = -1
CUT = -2


@attrs.define
class EngineConfig:
    """Behaviour of one fake engine (from the settings' engine table)."""

    name: str
    checks_fencing: bool = True
    batch_size: int = 16
    prefill_tokens_per_second: float = 8000.0
    decode_tokens_per_second: float = 100.0
    cache_blocks: int = 512
    seed: int = 0


@attrs.define(frozen=True)
class CacheEvent:
    """A prefix block stored or removed, visible to readers from ``due`` on."""

    due: float
    sequence: int
    kind: str
    block: str


@attrs.define(eq=False)
class Run:
    """One admitted request: tokens ``first`` to ``last - 1`` are generated.

    ``pieces`` receives token indexes, then :data:`END` or :data:`CUT`.
    """

    rank: int
    prompt: list
    first: int
    last: int
    prefill_only: bool = False
    imported: bool = False
    prefill_left: int = 0
    next_token: int = 0
    cancelled: bool = False
    pieces: asyncio.Queue = attrs.field(factory=asyncio.Queue)


class PrefixCache:
    """Least-recently-used blocks of prompt prefixes, with an event log.

    :param blocks: most blocks kept.
    :param seed: seed of which events get lost.
    """

    def __init__(self, blocks, seed=0):
        self.blocks = blocks
        self.held = collections.OrderedDict()
        self.events = collections.deque(maxlen=CACHE_EVENTS_KEPT)
        self.sequence = itertools.count(1)
        self.random = random.Random(seed)

    def take(self, tokens, now):
        """Count the leading ``tokens`` already held; insert the rest."""
        hits = 0
        for index, digest in enumerate(block_hashes(tokens)):
            if digest in self.held:
                self.held.move_to_end(digest)
                if hits == index * defaults.CACHE_BLOCK_TOKENS:
                    hits += defaults.CACHE_BLOCK_TOKENS
                continue
            self.held[digest] = True
            self._publish("stored", digest, now)
            while len(self.held) > self.blocks:
                evicted, _ = self.held.popitem(last=False)
                self._publish("removed", evicted, now)
        return hits

    def clear(self, now):
        """Drop every block, as a model change does."""
        for digest in self.held:
            self._publish("removed", digest, now)
        self.held.clear()

    def events_after(self, sequence, now):
        """Published events newer than ``sequence``, late and with gaps."""
        return [e for e in self.events if e.sequence > sequence and e.due <= now]

    def _publish(self, kind, digest, now):
        sequence = next(self.sequence)
        if self.random.random() >= CACHE_EVENT_LOSS:
            due = now + CACHE_EVENT_DELAY_SECONDS
            self.events.append(CacheEvent(due, sequence, kind, digest))


class Batch:
    """The runs of one engine and the loop that advances them."""

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
        """Queue ``run``; the lowest rank, then the earliest, gets a slot first."""
        heapq.heappush(self.waiting, (run.rank, next(self.arrivals), run))
        self.wake.set()

    def cut_all(self):
        """End every run at once, as a model load or role change does."""
        for run in [*self.running, *(w[2] for w in self.waiting)]:
            run.pieces.put_nowait(CUT)
            self.counts["cut"] += 1
        self.running, self.waiting = [], []

    def export(self, run, now):
        """Keep the KV cache of a prefilled ``run``; return its handle."""
        handle = uuid.uuid4().hex[:12]
        self.handles[handle] = (len(run.prompt), now + KV_HOLD_SECONDS)
        return handle

    def take_handle(self, handle, now):
        """Tokens kept under ``handle``, which ends with this call; None if gone."""
        tokens, expires_at = self.handles.pop(handle, (None, 0.0))
        return tokens if now < expires_at else None

    def prefill_rate(self):
        """Prompt tokens a second in the present role."""
        speed = defaults.DECODE_ROLE_PREFILL_SPEED if self.role == "decode" else 1.0
        return self.config.prefill_tokens_per_second * speed

    def step_seconds(self):
        """Seconds of one decode step at the present batch occupancy."""
        load = len(self.running) / self.config.batch_size
        slowdown = 1 + defaults.FULL_BATCH_SLOWDOWN * load
        return slowdown / self.config.decode_tokens_per_second

    def backlog(self):
        """``(prompt tokens, output tokens)`` still to do for every run here."""
        waiting = [w[2] for w in self.waiting]
        prompt = sum(r.prefill_left for r in self.running)
        prompt += sum(len(r.prompt) for r in waiting if not r.imported)
        output = sum(r.last - r.next_token for r in self.running)
        output += sum(r.last - r.first for r in waiting)
        return prompt, output

    async def run(self, clock):
        """Advance the batch forever; ``clock`` gives the present time."""
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
            cached = self.cache.take(run.prompt, now)
            run.prefill_left = 0 if run.imported else len(run.prompt) - cached
            if not run.imported:
                self.counts["cached_tokens"] += cached
                # Tokens generated before a resume are read in like a prompt.
                run.prefill_left += run.first
            self.counts["prefilled_tokens"] += run.prefill_left
            run.next_token = run.first
            self.running.append(run)

    def _prefill_chunk(self):
        left = PREFILL_CHUNK_TOKENS
        if self.role == "decode":
            left = int(left * DECODE_ROLE_CHUNK_SHARE)
        done = 0
        for run in sorted(self.running, key=lambda r: r.rank):
            tokens = min(run.prefill_left, left - done)
            run.prefill_left -= tokens
            done += tokens
        return done

    def _finish_step(self, decoding):
        for run in decoding:
            if run.cancelled or run.next_token >= run.last or run.prefill_only:
                continue
            run.pieces.put_nowait(run.next_token)
            run.next_token += 1
            self.counts["output_tokens"] += 1
        for run in list(self.running):
            finished = not run.prefill_left and (
                run.prefill_only or run.next_token >= run.last
            )
            if run.cancelled or finished:
                self.running.remove(run)
                self.counts["cancelled" if run.cancelled else "finished"] += 1
                run.pieces.put_nowait(END)
