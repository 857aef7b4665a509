"""Chooses the instance that serves a request and the engine that prefills its prompt.

Prompts differ in length and many share documents, while each engine is set up either
to prefill or to decode. A prompt is sent to the prefill engine that most likely has its
shared parts cached, unless the wait there costs more than the cache saves. A decode
engine prefills a short prompt itself when that is quicker.
"""

import math
import typing as t

import attrs

from .fill_level import fill_level
from .peer_loads import Load
from .prefill_cost import IN_PLACE_SPEED_RATIO
from .regions import Distances
from .rendezvous import rank
from .room.places import Places

#: Seconds that a handoff adds to the prefill and the KV cache transfer: two more
#: hops and the set-up of the transfer.
HANDOFF_SECONDS = 0.01
#: Weight of a busy engine's time relative to the wait of the prompt itself: the time
#: that one prompt takes delays all others that wait there, and the documents that it
#: evicts have to be prefilled again.
ENGINE_TIME_WEIGHT = 30.0
#: Utilization of a stage above which the weight of its time no longer grows.
MAX_UTILIZATION = 1.2
#: Cost of each request that runs at a decode engine, in seconds of wait: it makes a
#: step 0.12 ms longer, over some 30 steps.
RUNNING_REQUEST_SECONDS = 0.004
#: Cost in seconds of each request beyond an engine's slots: the engine preempts
#: another request, whose prompt has to be prefilled again.
PREEMPTION_SECONDS = 0.1
#: Share of the prefill work queued at a decode engine by which the first token of a
#: stream is delayed: prompts are prefilled in chunks between decode steps.
INTERLEAVED_PREFILL_SHARE = 0.1
#: Preference for the owner of a document while no engine is known to have it cached,
#: in multiples of the time to prefill the document. VMs that get the same document at
#: the same moment, or that have just started and know no caches, then all choose the
#: engine that has the document or soon will. A document that takes no time to prefill
#: isn't worth a wait.
OWNER_PREFERENCE_PREFILLS = 5
#: Upper bound of this preference in seconds.
MAX_OWNER_PREFERENCE_SECONDS = 0.3
#: The load of an engine at which nothing is known to run.
NO_LOAD = Load()


@attrs.define(frozen=True)
class Pool:
    """The engines of one service to choose from, with their estimated state.

    ``loads`` maps engine ids to :class:`Load`, ``cost`` is the
    :class:`~mulberrydock.prefill_cost.PrefillCost` of the engines, ``cache`` the
    :class:`~mulberrydock.prefix_cache.PrefixCacheIndex`. ``transfer_seconds_per_token``
    is the time to transfer one token's KV cache between engines of a data centre.
    ``prefill_utilization`` and ``decode_utilization`` are those of the two stages,
    ``streams`` is the number of requests a second. ``report_delay`` is the number of
    seconds for which sends of other VMs may not have been reported yet.
    ``size_doublings`` returns by how many doublings the work of a prompt exceeds the
    average of its urgency.
    """

    prefills: list
    decoders: list
    loads: dict
    cost: object
    cache: object
    transfer_seconds_per_token: float = 0.0
    prefill_utilization: float = 1.0
    decode_utilization: float = 1.0
    streams: float = 0.0
    report_delay: float = 0.0
    size_doublings: t.Callable = lambda urgency, work: 0

    def by_version(self):
        """Return this pool as one :class:`Pool` for each software version.

        Engines of two versions don't work together: the KV cache that one writes may
        mean nothing to the other. Those without a stated version count as one.
        """
        versions = {i.record.version for i in (*self.prefills, *self.decoders)}
        if len(versions) < 2:
            return [self]
        return [self._of_version(version) for version in sorted(versions)]

    def _of_version(self, version):
        """Return the part of this pool that is of one software version."""
        return attrs.evolve(
            self,
            prefills=[i for i in self.prefills if i.record.version == version],
            decoders=[i for i in self.decoders if i.record.version == version],
        )

    def load(self, instance):
        """Return the :class:`Load` of one engine."""
        return self.loads.get(instance.id, NO_LOAD)


@attrs.define(frozen=True)
class Plan:
    """Where one attempt runs; ``prefill`` is None when ``target`` prefills in place.

    ``tokens`` is the prefill work, in tokens without context; ``cached`` tokens of the
    prompt need no prefill. ``wait`` is the estimate of seconds to the first token,
    ``prefill_seconds`` the part of it that prefilling the prompt takes,
    ``queue_seconds`` that for which others are prefilled before it. ``queued_work`` is
    the work of those, in the unit of ``tokens``. ``urgency`` is the priority at the
    engine that prefills. ``places`` counts the slots of the decode engines.
    """

    target: object
    prefill: object = None
    tokens: int = 0
    wait: float = 0.0
    prefill_seconds: float = 0.0
    cached: int = 0
    queued_work: float = 0.0
    urgency: int = 0
    queue_seconds: float = 0.0
    places: Places = Places()

    @property
    def destination(self):
        """The incarnation that runs the request, for the log."""
        return self.target.id


@attrs.define(frozen=True)
class Option:
    """An engine that could prefill a prompt; fields as in :class:`Plan`.

    ``work`` is what the plan calls ``tokens``. ``cost`` is in seconds; beside the wait
    it includes the weighted time of the engine.
    """

    cost: float
    wait: float
    instance: object
    work: int
    prefill_seconds: float
    cached: int
    queued_work: float
    urgency: int
    queue_seconds: float


def request_hash_fraction(request_id):
    """Return a number in [0, 1) derived from the request's id, equal on every VM."""
    return int.from_bytes(rank("lot", request_id)) / 2**64


def prefill_urgency(work, route, patience, load, pool):
    """Return the priority of a prefill among those of its route's priority.

    One with less work goes first. One whose client would give up while such ones go
    before it, those that come later included, has the first urgency of its priority.

    :param work: the prefill work of the prompt at the engine.
    :param patience: seconds until its client gives up without an event.
    :param load: the :class:`Load` of the engine.
    :param pool: the :class:`Pool` of the engine.
    """
    if route.is_taken_up or route.urgencies is None:
        return route.urgency
    urgency = route.urgencies.of_size(pool.size_doublings(route.urgency, work))
    if urgency == route.urgency:
        return urgency
    queue = pool.cost.seconds(load.tokens_ahead(urgency))
    # While the queue is prefilled, as much work arrives as the engines are asked for.
    overtaken = queue * (1 + pool.prefill_utilization)
    if overtaken + pool.cost.seconds(work) > patience:
        return route.urgency
    return urgency


def is_short(prefill_seconds, gap_objective, queue_seconds=0.0):
    """Return whether a decode engine may prefill a prompt without delaying its streams.

    Even if they stood still until it is prefilled, none would pause for longer than
    its route allows.

    :param prefill_seconds: time that a prefill engine takes for it.
    :param gap_objective: the longest pause between two events in seconds.
    :param queue_seconds: time that the decode engine takes for the prompts before it.
    """
    return queue_seconds + prefill_seconds / IN_PLACE_SPEED_RATIO <= gap_objective


def owner(key, instances):
    """Return the instance that owns ``key`` by rendezvous hashing.

    All VMs find the same owner without a directory, and a change of the set moves only
    the keys of the instance that was added or removed (after "Slotmap mode:
    directory-free deterministic KV placement", PeerCache).
    """
    return max(instances, key=lambda i: rank(key, i.id))


class Placement:
    """Chooses instances by their loads.

    :param data_centre: the data centre of this VM.
    :param distances: the :class:`~mulberrydock.regions.Distances` to the others, None
        if all lie in one region.
    """

    def __init__(self, data_centre, distances=None):
        self.data_centre = data_centre
        self.distances = distances or Distances(data_centre)

    def _hop_seconds(self, instance):
        return self.distances.hop_seconds(instance.record.data_centre)

    def least_loaded(self, instances, loads):
        """Return the plain-service instance with the lowest share of used slots.

        One in this VM's region is preferred while one there has a free slot.
        """
        if self.distances.several_regions:
            instances = self._near_with_slot(instances, loads) or instances
        return min(
            instances,
            key=lambda i: (
                loads.get(i.id, NO_LOAD).running / max(1, i.record.slots)
                + self._hop_seconds(i),
                rank(self.data_centre, i.id),
            ),
        )

    def _near_with_slot(self, instances, loads):
        """Return the instances of this VM's region that have a free slot."""
        return [
            i
            for i in instances
            if self.distances.is_near(i.record.data_centre)
            and loads.get(i.id, NO_LOAD).running < max(1, i.record.slots)
        ]

    def _options(
        self,
        prompt,
        route,
        patience,
        instances,
        pool,
        utilization,
        speed_ratio=1.0,
    ):
        """Return an :class:`Option` for each instance.

        :param patience: seconds until the client gives up without an event.
        :param utilization: that of the instances' stage.
        :param speed_ratio: prefill speed of these engines over a prefill engine's.
        """
        cached_by_id = {i.id: pool.cache.cached_tokens(i.id, prompt) for i in instances}
        document_owner = self._document_owner(prompt, cached_by_id, instances)
        weight = ENGINE_TIME_WEIGHT * min(utilization, MAX_UTILIZATION) ** 2
        rows = []
        for instance in instances:
            cached = cached_by_id[instance.id]
            work = pool.cost.work(prompt.tokens - cached, cached)
            prefill_seconds = pool.cost.seconds(work) / speed_ratio
            load = pool.load(instance)
            urgency = route.urgency
            if speed_ratio == 1.0:
                urgency = prefill_urgency(work, route, patience, load, pool)
            ahead = load.tokens_ahead(urgency)
            queue = pool.cost.seconds(ahead) / speed_ratio
            wait = (
                pool.cost.overhead
                + queue
                + prefill_seconds
                + self._hop_seconds(instance)
            )
            cost = wait - queue + weight * prefill_seconds
            if instance is document_owner:
                cost -= self._owner_preference(prompt, pool)
            expected = pool.cost.seconds(load.expected_tokens_ahead(urgency))
            expected /= speed_ratio
            details = (
                wait - queue + expected,
                instance,
                work,
                prefill_seconds,
                cached,
                ahead,
                urgency,
                expected,
            )
            rows.append((queue, cost, details))
        unreported = utilization * pool.report_delay * len(instances)
        level = fill_level([queue for queue, _, _ in rows], unreported)
        return [
            Option(cost + max(queue, level), *details) for queue, cost, details in rows
        ]

    def _owner_preference(self, prompt, pool):
        """Return the seconds by which the owner of a document is preferred."""
        shared = sum(part.tokens for part in prompt.shared_parts)
        prefill_seconds = pool.cost.seconds(pool.cost.work(shared, 0))
        return min(
            MAX_OWNER_PREFERENCE_SECONDS, OWNER_PREFERENCE_PREFILLS * prefill_seconds
        )

    def _document_owner(self, prompt, cached_by_id, instances):
        """Return the engine that should prefill the prompt's document for the fleet.

        It is None when an engine is known to have the document cached.

        :param cached_by_id: tokens of the prompt that each engine has cached. The
            rules that precede a document are cached by many engines, which says
            nothing about the document.
        """
        if not prompt.shared_parts or not instances:
            return None
        shared = sum(part.tokens for part in prompt.shared_parts)
        if any(tokens >= shared for tokens in cached_by_id.values()):
            return None
        return owner(prompt.shared_parts[-1].id, instances)

    def _running_seconds(self, instance, pool):
        """Return the seconds by which a decode engine's requests delay another one."""
        running = pool.load(instance).running
        excess = max(0, running + 1 - max(1, instance.record.slots))
        return running * RUNNING_REQUEST_SECONDS + excess * PREEMPTION_SECONDS

    def _running_level(self, pool):
        """Return the :func:`fill_level` of the requests at the decode engines."""
        unreported = pool.streams * pool.report_delay * RUNNING_REQUEST_SECONDS
        seconds = [self._running_seconds(i, pool) for i in pool.decoders]
        return fill_level(seconds, unreported)

    def _decode_seconds(self, instance, pool, transferred_tokens=0, source=None):
        """Return the seconds from the handoff to the first token at a free place.

        :param transferred_tokens: tokens whose KV cache comes from ``source``.
        """
        load = pool.load(instance)
        transfer = transferred_tokens * pool.transfer_seconds_per_token
        if source is not None:
            transfer *= self.distances.transfer_factor(
                source.record.data_centre, instance.record.data_centre
            )
        in_place = pool.cost.seconds(load.prefill_tokens) / IN_PLACE_SPEED_RATIO
        return (
            in_place * INTERLEAVED_PREFILL_SHARE
            + transfer
            + self._hop_seconds(instance)
        )

    def plan(self, prompt, route, pool, hash_fraction=1.0, patience=None):
        """Return a :class:`Plan` for a prompt, None without a decode engine.

        :param hash_fraction: the request's :func:`request_hash_fraction`.
        :param patience: seconds until its client gives up without an event, None for
            one that has just arrived.
        :param pool: the :class:`Pool` to choose from.
        """
        if patience is None:
            patience = route.client_idle_timeout
        pools = [part for part in pool.by_version() if part.decoders]
        rows = [
            self._cheaper(prompt, route, part, hash_fraction, patience)
            for part in pools
        ]
        if not rows:
            return None
        _, _, plan = min(
            rows, key=lambda row: (*row[:2], rank(hash_fraction, row[2].target.id))
        )
        return attrs.evolve(plan, places=Places.from_pool(pool))

    def _cheaper(self, prompt, route, pool, hash_fraction, patience):
        """Return the plan of lower cost: in place, or with a handoff.

        :returns: whether it delays the streams of a decode engine, its cost, and the
            :class:`Plan`.
        """
        in_place_cost, in_place = self._in_place(prompt, route, hash_fraction, pool)
        short = is_short(
            in_place.prefill_seconds * IN_PLACE_SPEED_RATIO,
            route.gap_objective,
            in_place.queue_seconds,
        )
        if not pool.prefills:
            return not short, in_place_cost, in_place
        cost, handoff = self._handoff(prompt, route, hash_fraction, pool, patience)
        if short and in_place_cost < cost:
            return False, in_place_cost, in_place
        return False, cost, handoff

    def _in_place(self, prompt, route, hash_fraction, pool):
        """Return (cost, :class:`Plan`) of the prefill by a decode engine."""
        options = self._options(
            prompt,
            route,
            math.inf,
            pool.decoders,
            pool,
            pool.decode_utilization,
            IN_PLACE_SPEED_RATIO,
        )
        level = self._running_level(pool)
        rows = []
        for option in options:
            running = max(level, self._running_seconds(option.instance, pool))
            order = rank(hash_fraction, option.instance.id)
            rows.append((option.cost + running, order, option))
        cost, _, best = min(rows, key=lambda row: row[:2])
        plan = Plan(best.instance, None, best.work, best.wait, best.prefill_seconds)
        return cost, self._with_details(plan, best)

    def _handoff(self, prompt, route, hash_fraction, pool, patience):
        """Return (cost, :class:`Plan`) of the prefill by a prefill engine."""
        options = self._options(
            prompt, route, patience, pool.prefills, pool, pool.prefill_utilization
        )
        best = min(options, key=lambda o: (o.cost, rank(hash_fraction, o.instance.id)))
        target = self.choose_decoder(pool, prompt.tokens, best.instance, hash_fraction)
        after = self._decode_seconds(target, pool, prompt.tokens, best.instance)
        after += HANDOFF_SECONDS
        running = self._running_seconds(target, pool)
        plan = Plan(
            target, best.instance, best.work, best.wait + after, best.prefill_seconds
        )
        return best.cost + after + running, self._with_details(plan, best)

    def _with_details(self, plan, option):
        return attrs.evolve(
            plan,
            cached=option.cached,
            queued_work=option.queued_work,
            urgency=option.urgency,
            queue_seconds=option.queue_seconds,
        )

    def choose_decoder(self, pool, transferred_tokens, source, hash_fraction=1.0):
        """Return the decode engine with the earliest first token, None without one.

        :param transferred_tokens: tokens whose KV cache comes from ``source``.
        :param hash_fraction: the request's :func:`request_hash_fraction`. It breaks
            ties, in another order for each request.
        """
        level = self._running_level(pool)

        def key(instance):
            seconds = self._decode_seconds(instance, pool, transferred_tokens, source)
            running = max(level, self._running_seconds(instance, pool))
            return running + seconds, rank(hash_fraction, instance.id)

        return min(pool.decoders, key=key, default=None)
