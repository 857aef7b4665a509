"""Tracks the upstreams of an entry and decides which of them may take a request.

A policy (see ``policies``) picks among those. The work ahead of a new request is
estimated from the upstream's last load report, which lags, and from what this entry has
sent to it since. The present time is an argument of every decision.
"""

import collections
import itertools
import math

import attrs

from . import defaults, policies

#: Seconds for which an upstream is avoided after a failure.
FAILURE_AVOIDANCE_SECONDS = 2.0
#: Seconds after which a load report is stale.
REPORT_EXPIRY_SECONDS = 5.0
#: Seconds for which sent work counts as unfinished without a fresh report.
UNREPORTED_SECONDS = 1.0
#: Time constant of the average of an entry's own sending rate, in seconds.
SEND_RATE_SECONDS = 5.0
#: Roles that generate tokens, and the role that only prefills.
DECODING_ROLES = ("both", "decode")
PREFILL_ROLE = "prefill"


@attrs.define(frozen=True)
class Work:
    """What a request asks of an engine: prompt tokens, output tokens and its prefix.

    ``key`` is the routing key of the prompt's first blocks and ``blocks`` are the
    hashes of all blocks; both are empty for calls to a service.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    key: str = ""
    blocks: tuple = ()


@attrs.define(frozen=True)
class LoadReport:
    """Load of an engine as it reported it.

    ``taken_at`` is in monotonic seconds of this entry; ``active`` and ``waiting`` count
    runs, the backlogs are in tokens. ``version`` is that of the model which it runs,
    empty if it isn't known.
    """

    taken_at: float = -REPORT_EXPIRY_SECONDS
    available: bool = True
    role: str = "both"
    active: int = 0
    waiting: int = 0
    backlog_prompt_tokens: int = 0
    backlog_output_tokens: int = 0
    version: str = ""


@attrs.define
class SendRate:
    """Exponentially weighted rate of sends: prompt tokens and runs a second."""

    prompt_tokens: float = 0.0
    runs: float = 0.0
    at: float = 0.0

    def add(self, work, now):
        """Count ``work`` sent at ``now``."""
        self._decay(now)
        self.prompt_tokens += work.prompt_tokens / SEND_RATE_SECONDS
        self.runs += 1 / SEND_RATE_SECONDS

    def _decay(self, now):
        factor = math.exp(-max(0.0, now - self.at) / SEND_RATE_SECONDS)
        self.prompt_tokens *= factor
        self.runs *= factor
        self.at = now


@attrs.define(eq=False)
class Upstream:
    """An engine or service instance as the router sees it.

    Rates are in tokens a second, 0 for a service instance. ``failed_until`` is in
    monotonic seconds. ``sent`` holds the latest (time, :class:`Work`) rows.
    """

    name: str
    address: str
    data_centre: str
    model: str = ""
    prefill_rate: float = 0.0
    decode_rate: float = 0.0
    batch_size: int = 1
    in_flight: int = 0
    failed_until: float = 0.0
    report: LoadReport = LoadReport()
    sent: collections.deque = attrs.field(
        factory=lambda: collections.deque(maxlen=1000)
    )
    send_rate: SendRate = attrs.field(factory=SendRate)

    @classmethod
    def from_engine(cls, engine, model):
        """Return the upstream of a settings engine that should run ``model``."""
        return cls(
            engine.name,
            engine.address,
            engine.data_centre,
            model,
            engine.prefill_tokens_per_second,
            engine.decode_tokens_per_second,
            engine.batch_size,
        )

    def redeclare(self, fresh):
        """Take over what ``fresh`` declares; keep load, failures and work in flight."""
        self.address = fresh.address
        self.data_centre = fresh.data_centre
        self.model = fresh.model

    def record_send(self, work, now):
        """Record ``work`` sent at ``now``; it counts until a report includes it."""
        self.sent.append((now, work))
        self.send_rate.add(work, now)

    def _sent_since(self, moment):
        # Newest first, so that each decision iterates over new rows only.
        newer = itertools.takewhile(lambda row: row[0] > moment, reversed(self.sent))
        return [work for _, work in newer]

    def wait_seconds(self, work, now, entries=1):
        """Return the estimated seconds to the first token of ``work`` sent at ``now``.

        :param entries: number of entry daemons that share the engines; each is assumed
            to have sent at this one's average rate since the report.
        """
        if not self.prefill_rate:
            return 0.0
        report = self.report
        since, elapsed = report.taken_at, max(0.0, now - report.taken_at)
        if elapsed > REPORT_EXPIRY_SECONDS:
            report = LoadReport(role=report.role)
            since, elapsed = now - UNREPORTED_SECONDS, 0.0
        sent = self._sent_since(since)
        rate = self.prefill_rate
        if report.role == "decode":
            rate *= defaults.DECODE_ROLE_PREFILL_SPEED
        others = (entries - 1) * elapsed
        prompts = report.backlog_prompt_tokens
        prompts += sum(w.prompt_tokens for w in sent)
        prompts += others * self.send_rate.prompt_tokens
        prompts = max(0.0, prompts - elapsed * rate) + work.prompt_tokens
        runs = report.active + report.waiting + len(sent)
        runs += others * self.send_rate.runs
        return prompts / rate + self._slot_wait(report, runs)

    def _slot_wait(self, report, runs):
        """Return the seconds until a batch slot is free with ``runs`` runs ahead."""
        excess = runs - self.batch_size + 1
        if excess <= 0:
            return 0.0
        known = max(1, report.active + report.waiting)
        mean_output = report.backlog_output_tokens / known
        return excess * mean_output * self.step_seconds() / self.batch_size

    def step_seconds(self):
        """Return the seconds between two tokens at the reported occupancy.

        Prefills, which delay tokens, aren't included.
        """
        load = min(1.0, self.report.active / self.batch_size)
        return (1 + defaults.FULL_BATCH_SLOWDOWN * load) / self.decode_rate

    def generate_seconds(self, work):
        """Return the estimated seconds from the first to the last token of ``work``."""
        return work.output_tokens * self.step_seconds() if self.decode_rate else 0.0


class Router:
    """Holds the upstreams of one kind and picks one for each request.

    ``leaving`` and ``listed_leaving`` are the names of upstreams that are leaving, by
    the configuration and by the platform's list; ``cordoned`` are those that get no
    new work while they change.

    :param policy: a :class:`~mulberrydock.policies.Policy`.
    """

    def __init__(self, policy=None):
        self.policy = policy or policies.LeastWait()
        self.upstreams = {}
        self.leaving = set()
        self.listed_leaving = set()
        self.cordoned = set()

    def update(self, upstreams, leaving):
        """Replace the set of upstreams.

        A known one stays the same object, as requests in flight refer to it.
        """
        fresh = {}
        for upstream in upstreams:
            known = self.upstreams.get(upstream.name, upstream)
            known.redeclare(upstream)
            fresh[upstream.name] = known
        self.upstreams = fresh
        self.leaving = set(leaving)

    def set_listed_leaving(self, names):
        """Replace the names of VMs that the platform's list shows as leaving."""
        self.listed_leaving = set(names)

    def candidates(self, model, tried, now, roles=DECODING_ROLES, version=""):
        """Return the upstreams that may take a request for ``model`` now.

        :param version: the only version of the model to run it, empty for any. An
            engine that hasn't reported its version may run it.

        Leaving and cordoned upstreams are never included, nor those in ``tried``. One
        that reports itself unavailable is included only if no other upstream is, and
        one that failed a moment ago only if all of them did: the report may lag, and a
        dead engine would cost every request a retry until the retry budget is spent.
        """
        excluded = self.leaving | self.listed_leaving | self.cordoned | tried
        eligible = [
            u
            for u in self.upstreams.values()
            if u.name not in excluded
            and u.report.role in roles
            and (not model or u.model == model)
            and (not version or u.report.version in ("", version))
        ]
        healthy = [u for u in eligible if u.failed_until <= now]
        available = [u for u in healthy if u.report.available]
        return available or healthy or eligible

    def choose(self, model, tried, work, now, roles=DECODING_ROLES, version=""):
        """Return an upstream for ``work`` that isn't in ``tried``, or None.

        :param version: as for :meth:`candidates`.
        """
        candidates = self.candidates(model, tried, now, roles, version)
        if not candidates:
            return None
        return self.policy.pick(candidates, work, now)

    def record_failure(self, upstream, now):
        """Record a failure of ``upstream`` at ``now``.

        It is avoided for :data:`FAILURE_AVOIDANCE_SECONDS`.
        """
        upstream.failed_until = now + FAILURE_AVOIDANCE_SECONDS
