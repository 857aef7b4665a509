"""Where a request runs: which instance, and where its prompt is prefilled.

The load pattern this answers is a mix of long prompts that share documents
and short ones, on engines that each either prefill fast or decode. A prompt
goes to the prefill engine that most likely holds its shared parts unless the
wait there exceeds what the cache saves; a short prompt is prefilled by the
decode engine itself when that is quicker.
"""

import hashlib

import attrs

from .peer_loads import Load

#: Prompt tokens a prefill engine reads in a second, at the start of a prompt
#: (the users' sheet: 92.1 a millisecond).
PREFILL_TOKENS_PER_SECOND = 92_100.0
#: Part by which each token before it slows the reading of a token: attention
#: takes 0.31 to 0.35 ms for a million pairs of tokens (fitted to the times of
#: 600 prefills of a calm day), a token without context 0.011 ms.
ATTENTION_PER_TOKEN = 3.2e-5
#: What a decode engine reads in a second: half the speed, in pieces of 512
#: tokens that each wait 3 ms for a step of the streams beside it. Judged from
#: the sheet's step time; not measured apart from the choice by wait.
IN_PLACE_TOKENS_PER_SECOND = 36_000.0
#: Seconds that a hand-over costs beside the prefill: two more hops, the
#: transfer's set-up and the KV cache itself.
HANDOVER_SECONDS = 0.01
#: Prompt tokens above which a decode engine's own prefill would stall the
#: streams it carries: such prompts always go to a prefill engine, if any. With
#: no limit but the wait, a heavy day loses 0.2 of its worth; from 2,000 to 4,000
#: days are level (one run each).
IN_PLACE_LIMIT_TOKENS = 2800
#: Weight of reading shared parts again at an engine that doesn't own them,
#: beside the time it takes: it fills the engine's memory with a second copy.
#: Against no weight a calm day is worth 0.03 to 0.04 more, a heavy one 0.02 to
#: 0.05 (one run each); from 6 to 50 the days are level.
REREAD_WEIGHT = 15.0
#: Weight of one running request at a decode engine, in seconds of wait: a
#: step takes 0.12 ms longer for each, over some 30 steps.
RUNNING_SECONDS = 0.004
#: Prompt tokens from which a prefill call is one step less urgent each: about
#: the middle of the users' letters, twice it and four times it.
LONG_PROMPT_TOKENS = (8000, 16000, 32000)
#: Least urgent priority that an engine takes.
PRIORITY_MAX = 9
#: Seconds that a hop to another data centre costs, and bytes are priced.
FAR_SECONDS = 0.002


@attrs.define(frozen=True)
class Plan:
    """Where one attempt runs; ``prefill`` is None when done in place.

    ``tokens`` is the work of reading the prompt, see :func:`reading_work`;
    ``wait`` estimates the seconds to the first token, ``reading`` those of
    them that the prompt itself takes.
    """

    target: object
    prefill: object = None
    tokens: int = 0
    wait: float = 0.0
    reading: float = 0.0


def reading_work(prompt, cached):
    """Return the work of prefilling ``prompt``, in tokens without context.

    A token costs more the more tokens stand before it, cached ones included:
    25,000 tokens take 1.4 times as long as their number says.

    :param cached: tokens of its shared parts that need not be read.
    """
    tokens = prompt.tokens - cached
    return int(tokens * (1 + ATTENTION_PER_TOKEN * (cached + tokens / 2)))


def _rank(key, instance_id):
    return hashlib.blake2b(f"{key}/{instance_id}".encode(), digest_size=8).digest()


def prefill_urgency(prompt, priority):
    """Return the priority of a prefill: longer prompts are less urgent.

    A long prompt holds up several short ones that could still be on time.

    :param priority: that of the request's route, 0 first.
    """
    size = sum(prompt.tokens > step for step in LONG_PROMPT_TOKENS)
    return min(PRIORITY_MAX, priority + size)


def owner(key, instances):
    """Return the instance that owns ``key`` by rendezvous hashing.

    Every VM finds the same owner with no directory, and a change of the set
    moves only the keys of the instance that came or went (after "Slotmap
    mode: directory-free deterministic KV placement", PeerCache).
    """
    return max(instances, key=lambda i: _rank(key, i.id))


class Placement:
    """Chooses instances from their loads; ``data_centre`` is this VM's."""

    def __init__(self, data_centre):
        self.data_centre = data_centre

    def _distance(self, instance):
        same = instance.record.data_centre == self.data_centre
        return 0.0 if same else FAR_SECONDS

    def least_loaded(self, instances, loads):
        """Return the plain-service instance with the most room."""
        return min(
            instances,
            key=lambda i: (
                loads.get(i.id, Load()).running / max(1, i.record.slots)
                + self._distance(i),
                _rank(self.data_centre, i.id),
            ),
        )

    def _options(self, prompt, urgency, instances, loads, rate):
        """Return (seconds, id, instance, work) for each instance.

        :param rate: prompt tokens a second that these instances read.
        """
        key = prompt.shared_parts[-1].id if prompt.shared_parts else ""
        holder = owner(key, instances) if key else None
        options = []
        for instance in instances:
            cached = 0
            penalty = 0.0
            if instance is holder:
                cached = prompt.shared_tokens
            elif holder is not None:
                penalty = prompt.shared_tokens / rate * REREAD_WEIGHT
            tokens = reading_work(prompt, cached)
            ahead = loads.get(instance.id, Load()).ahead(urgency)
            seconds = (ahead + tokens) / rate + penalty
            seconds += self._distance(instance)
            options.append((seconds, instance.id, instance, tokens))
        return options

    def _decode_seconds(self, instance, loads):
        load = loads.get(instance.id, Load())
        return (
            load.running * RUNNING_SECONDS
            + load.prefill_tokens / IN_PLACE_TOKENS_PER_SECOND
            + self._distance(instance)
        )

    def plan(self, prompt, urgency, prefills, decoders, loads):
        """Return a :class:`Plan` for a prompt, or None without a decode engine.

        :param urgency: its priority at the engine that reads it, 0 first.
        :param prefills: engines that may prefill it.
        :param decoders: engines that may decode it.
        """
        if not decoders:
            return None
        in_place = self._in_place(prompt, urgency, decoders, loads)
        if not prefills:
            return in_place
        handed_over = self._handed_over(prompt, urgency, prefills, decoders, loads)
        if prompt.tokens > IN_PLACE_LIMIT_TOKENS:
            return handed_over
        return min(in_place, handed_over, key=lambda plan: plan.wait)

    def _in_place(self, prompt, urgency, decoders, loads):
        rate = IN_PLACE_TOKENS_PER_SECOND
        rows = self._options(prompt, urgency, decoders, loads, rate)
        rows = [
            (seconds + loads.get(key, Load()).running * RUNNING_SECONDS, key, *rest)
            for seconds, key, *rest in rows
        ]
        seconds, _, target, tokens = min(rows)
        return Plan(target, None, tokens, seconds, tokens / rate)

    def _handed_over(self, prompt, urgency, prefills, decoders, loads):
        rate = PREFILL_TOKENS_PER_SECOND
        rows = self._options(prompt, urgency, prefills, loads, rate)
        seconds, _, prefill, tokens = min(rows)
        target = self.decoder(decoders, loads)
        wait = seconds + HANDOVER_SECONDS + self._decode_seconds(target, loads)
        return Plan(target, prefill, tokens, wait, tokens / rate)

    def decoder(self, decoders, loads):
        """Return the least loaded of the engines that decode, None without one."""
        return min(
            decoders,
            key=lambda i: (self._decode_seconds(i, loads), i.id),
            default=None,
        )
