"""Where a request runs: which instance, and where its prompt is prefilled.

The load pattern this answers is a mix of long prompts that share documents
and short ones, on engines that each either prefill fast or decode. A prompt
goes to the prefill engine that most likely holds its shared parts unless the
wait there exceeds what the cache saves; a short prompt is prefilled by the
decode engine itself when that is quicker.
"""

import attrs

from .fill_level import fill_level
from .peer_loads import Load
from .prefill_cost import IN_PLACE_SPEED_RATIO
from .rendezvous import rank

#: Seconds that a hand-over costs beside the prefill and the moved KV cache: two
#: more hops and the transfer's set-up.
HANDOVER_SECONDS = 0.01
#: Weight of a busy engine's time, beside the time that the prompt itself waits:
#: what one prompt takes of an engine, the others that wait there lose, and the
#: documents that it pushes out of memory are read again.
WORK_WEIGHT = 30.0
#: Utilization of a stage above which its time gets no dearer.
MOST_UTILIZATION = 1.2
#: Weight of one running request at a decode engine, in seconds of wait: a
#: step takes 0.12 ms longer for each, over some 30 steps.
RUNNING_SECONDS = 0.004
#: Seconds that each request beyond an engine's places costs: the engine preempts
#: another one, whose prompt is read again.
FULL_SECONDS = 0.1
#: Shares of a request's latency objective; a prompt is one step less urgent for
#: each of them that its reading alone takes. The last is that of prompts which
#: can't be in time wherever they go.
READING_STEPS = (0.25, 0.5, 1.0)
#: Share of the long prompts that are more urgent instead when they would wait too
#: long. With all of them the short ones would be late.
SPARED_SHARE = 0.5
#: Share of a client's patience beyond which an expected wait is too long: more urgent
#: prompts that come later are read first and aren't in the estimate.
SPARED_WAIT_SHARE = 0.5
#: Least urgent priority that an engine takes.
PRIORITY_MAX = 9
#: Seconds that a hop to another data centre costs, and bytes are priced.
FAR_SECONDS = 0.002
#: Share of the reading that waits at a decode engine by which a stream begins
#: later there: prompts are read in pieces between the tokens of the streams.
BESIDE_SHARE = 0.1
#: Multiple of the time of a transfer that it takes to another data centre.
REMOTE_TRANSFER_FACTOR = 2.0
#: Readings of a document for whose seconds its owner is preferred while no engine is
#: known to keep it: VMs that get the same document at the same moment, or have just
#: started and know nothing, then send it to the engine that has it or soon will. A
#: document that is read in no time is not worth a wait.
OWNER_READINGS = 5
#: Seconds that this preference is worth at most.
OWNER_SECONDS = 0.3


@attrs.define(frozen=True)
class Pool:
    """The engines of one service to choose from, and what is known of them.

    ``loads`` are the :class:`Load` by engine, ``cost`` the time that reading
    takes, ``cache`` what each engine keeps, ``transfer_seconds_per_token`` the time that the
    KV cache of a token takes between engines of one data centre, ``busy`` and
    ``decoders_busy`` the utilization of the two stages, ``streams`` the requests
    a second. ``report_delay`` are the seconds for which other VMs' sends aren't known.
    """

    prefills: list
    decoders: list
    loads: dict
    cost: object
    cache: object
    transfer_seconds_per_token: float = 0.0
    busy: float = 1.0
    decoders_busy: float = 1.0
    streams: float = 0.0
    report_delay: float = 0.0

    def load(self, instance):
        """Return the :class:`Load` of one engine."""
        return self.loads.get(instance.id, Load())

    def has_place(self, instance):
        """True when a decode engine has a place for one more stream."""
        return self.load(instance).running < max(1, instance.record.slots)


@attrs.define(frozen=True)
class Plan:
    """Where one attempt runs; ``prefill`` is None when done in place.

    ``tokens`` is the work of reading the prompt, in tokens without context, of
    which ``cached`` tokens needn't be read; ``wait`` estimates the seconds to
    the first token, ``reading`` those of them that the prompt itself takes,
    ``queued`` the work read before it, ``urgency`` the priority at the engine
    that reads it. ``crowded`` is True when no decode engine has a free place.
    """

    target: object
    prefill: object = None
    tokens: int = 0
    wait: float = 0.0
    reading: float = 0.0
    cached: int = 0
    queued: float = 0.0
    urgency: int = 0
    crowded: bool = False


@attrs.define(frozen=True)
class Option:
    """One engine that may read a prompt; ``cost`` weighs its time as well."""

    cost: float
    wait: float
    instance: object
    work: int
    reading: float
    cached: int
    queued: float
    urgency: int


def request_hash_fraction(request_id):
    """Return a number from 0 to 1 that every VM draws for a request alike."""
    return int.from_bytes(rank("lot", request_id)) / 2**64


def prefill_urgency(reading, route, drawn, load, cost):
    """Return the priority of a prefill: longer readings are less urgent.

    A long one holds up several short ones that could still be on time. Under a load
    that exceeds the pool it would never be read, so a part of the long ones goes
    before the others of its route once its client would leave otherwise.

    :param reading: seconds that its engine takes for it.
    :param drawn: the request's :func:`request_hash_fraction`.
    :param load: the :class:`Load` of that engine.
    :param cost: the pool's :class:`PrefillCost`.
    """
    priority = min(PRIORITY_MAX, route.priority)
    size = sum(reading > step * route.latency_objective for step in READING_STEPS)
    urgency = min(PRIORITY_MAX, priority + size)
    if urgency == priority or drawn >= SPARED_SHARE:
        return urgency
    wait = cost.seconds(load.ahead(urgency)) + reading
    if wait <= SPARED_WAIT_SHARE * route.client_idle_timeout:
        return urgency
    # Among the others of its route it would still lose: they need less time to be read.
    return max(0, priority - 1)


def is_short(reading, objective):
    """True when a decode engine may read a prompt without harm to its streams.

    :param reading: seconds that a prefill engine takes for it.
    """
    return reading / IN_PLACE_SPEED_RATIO <= READING_STEPS[0] * objective


def owner(key, instances):
    """Return the instance that owns ``key`` by rendezvous hashing.

    Every VM finds the same owner with no directory, and a change of the set
    moves only the keys of the instance that came or went (after "Slotmap
    mode: directory-free deterministic KV placement", PeerCache).
    """
    return max(instances, key=lambda i: rank(key, i.id))


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
                rank(self.data_centre, i.id),
            ),
        )

    def _options(self, prompt, route, drawn, instances, pool, busy, share=1.0):
        """Return an :class:`Option` for each instance.

        :param drawn: the request's :func:`request_hash_fraction`.
        :param busy: utilization of their stage.
        :param share: speed of these engines against a prefill engine's.
        """
        kept = {i.id: pool.cache.cached_tokens(i.id, prompt) for i in instances}
        holder = self._document_owner(prompt, kept, instances)
        weight = WORK_WEIGHT * min(busy, MOST_UTILIZATION) ** 2
        rows = []
        for instance in instances:
            cached = kept[instance.id]
            work = pool.cost.work(prompt.tokens - cached, cached)
            reading = pool.cost.seconds(work) / share
            load = pool.load(instance)
            urgency = min(PRIORITY_MAX, route.priority)
            if share == 1.0:
                urgency = prefill_urgency(reading, route, drawn, load, pool.cost)
            ahead = load.ahead(urgency)
            queue = pool.cost.seconds(ahead) / share
            wait = pool.cost.overhead + queue + reading + self._distance(instance)
            cost = wait - queue + weight * reading
            if instance is holder:
                cost -= self._owner_seconds(prompt, pool)
            option = Option(cost, wait, instance, work, reading, cached, ahead, urgency)
            rows.append((queue, option))
        unseen = busy * pool.report_delay * len(instances)
        level = fill_level([queue for queue, _ in rows], unseen)
        return [
            attrs.evolve(option, cost=option.cost + max(queue, level))
            for queue, option in rows
        ]

    def _owner_seconds(self, prompt, pool):
        """Return the seconds by which the owner of a document is preferred."""
        shared = sum(part.tokens for part in prompt.shared_parts)
        reading = pool.cost.seconds(pool.cost.work(shared, 0))
        return min(OWNER_SECONDS, OWNER_READINGS * reading)

    def _document_owner(self, prompt, kept, instances):
        """Return the engine that reads the prompt's document for the fleet, None
        when one is known to keep it.

        :param kept: tokens of the prompt that each engine keeps, by its id. The
            rules before a document are kept by many; that says nothing of it.
        """
        if not prompt.shared_parts or not instances:
            return None
        shared = sum(part.tokens for part in prompt.shared_parts)
        if any(tokens >= shared for tokens in kept.values()):
            return None
        return owner(prompt.shared_parts[-1].id, instances)

    def _running_seconds(self, instance, pool):
        """Return by how much the requests on a decode engine hold up another."""
        running = pool.load(instance).running
        full = max(0, running + 1 - max(1, instance.record.slots))
        return running * RUNNING_SECONDS + full * FULL_SECONDS

    def _running_level(self, pool):
        """Return the :func:`fill_level` of what runs on the decode engines."""
        unseen = pool.streams * pool.report_delay * RUNNING_SECONDS
        seconds = [self._running_seconds(i, pool) for i in pool.decoders]
        return fill_level(seconds, unseen)

    def _decode_seconds(self, instance, pool, moved=0, source=None, level=0.0):
        """Return the seconds from the hand-over to the first token.

        :param moved: tokens whose KV cache comes from ``source``.
        :param level: seconds up to which other VMs fill the decode engines.
        """
        load = pool.load(instance)
        move = moved * pool.transfer_seconds_per_token
        if source is not None:
            if source.record.data_centre != instance.record.data_centre:
                move *= REMOTE_TRANSFER_FACTOR
        in_place = pool.cost.seconds(load.prefill_tokens) / IN_PLACE_SPEED_RATIO
        running = max(level, self._running_seconds(instance, pool))
        return running + in_place * BESIDE_SHARE + move + self._distance(instance)

    def plan(self, prompt, route, pool, drawn=1.0):
        """Return a :class:`Plan` for a prompt, or None without a decode engine.

        :param drawn: the request's :func:`request_hash_fraction`.
        :param pool: the :class:`Pool` to choose from.
        """
        if not pool.decoders:
            return None
        plan = self._cheaper(prompt, route, pool, drawn)
        return attrs.evolve(plan, crowded=not any(map(pool.has_place, pool.decoders)))

    def _cheaper(self, prompt, route, pool, drawn):
        """Return the :class:`Plan` that costs less: in place, or handed over."""
        in_place_cost, in_place = self._in_place(prompt, route, drawn, pool)
        if not pool.prefills:
            return in_place
        cost, handed_over = self._handed_over(prompt, route, drawn, pool)
        short = is_short(
            in_place.reading * IN_PLACE_SPEED_RATIO, route.latency_objective
        )
        return in_place if short and in_place_cost < cost else handed_over

    def _in_place(self, prompt, route, drawn, pool):
        """Return (cost, :class:`Plan`) of reading by a decode engine."""
        options = self._options(
            prompt,
            route,
            1.0,
            pool.decoders,
            pool,
            pool.decoders_busy,
            IN_PLACE_SPEED_RATIO,
        )
        level = self._running_level(pool)
        rows = []
        for option in options:
            running = max(level, self._running_seconds(option.instance, pool))
            place = rank(drawn, option.instance.id)
            rows.append((option.cost + running, place, option, running))
        cost, _, best, running = min(rows, key=lambda row: row[:2])
        wait = best.wait + running
        plan = Plan(best.instance, None, best.work, wait, best.reading)
        return cost, self._detailed(plan, best)

    def _handed_over(self, prompt, route, drawn, pool):
        """Return (cost, :class:`Plan`) of reading by a prefill engine."""
        options = self._options(prompt, route, drawn, pool.prefills, pool, pool.busy)
        best = min(options, key=lambda o: (o.cost, rank(drawn, o.instance.id)))
        target = self.choose_decoder(pool, prompt.tokens, best.instance, drawn)
        after = self._decode_seconds(target, pool, prompt.tokens, best.instance)
        after += HANDOVER_SECONDS
        plan = Plan(target, best.instance, best.work, best.wait + after, best.reading)
        return best.cost + after, self._detailed(plan, best)

    def _detailed(self, plan, option):
        return attrs.evolve(
            plan,
            cached=option.cached,
            queued=option.queued,
            urgency=option.urgency,
        )

    def choose_decoder(self, pool, moved, source, drawn=1.0):
        """Return the best engine to decode, None without one.

        :param moved: tokens whose KV cache comes from ``source``.
        :param drawn: the request's :func:`request_hash_fraction`, which decides between equals: each
            request finds another order of them.
        """
        level = self._running_level(pool)

        def key(instance):
            seconds = self._decode_seconds(instance, pool, moved, source, level)
            return seconds, rank(drawn, instance.id)

        return min(pool.decoders, key=key, default=None)
