"""What an entry knows of the upstreams, and which of them may take a request.

A policy (see ``policies``) picks among those. What an upstream has to do
before a new request is estimated from its last load report, which lags, and
from what this entry has sent it since. The present time is an argument of
every decision.
"""

import collections
import itertools
import math

import attrs

from . import defaults, policies

#: Seconds an upstream that failed is passed over.
FAILURE_HOLD_SECONDS = 2.0
#: Seconds after which a load report says nothing about the present.
REPORT_EXPIRY_SECONDS = 5.0
#: Seconds for which sent work is taken to be unfinished without a report.
UNREPORTED_SECONDS = 1.0
#: Seconds over which an entry's own sending rate is averaged.
SEND_RATE_SECONDS = 5.0
#: Roles that generate tokens, and the role that only prefills.
DECODING_ROLES = ("both", "decode")
PREFILL_ROLE = "prefill"


@attrs.define(frozen=True)
class Work:
    """What a request asks of an engine: tokens in, tokens out, its prefix.

    ``key`` is the routing key of the prompt's first blocks and ``blocks`` the
    hashes of all of them; both are empty for calls to a service.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    key: str = ""
    blocks: tuple = ()


@attrs.define(frozen=True)
class LoadReport:
    """An engine's load as it reported it; ``taken_at`` on this entry's clock."""

    taken_at: float = -REPORT_EXPIRY_SECONDS
    available: bool = True
    role: str = "both"
    active: int = 0
    waiting: int = 0
    backlog_prompt_tokens: int = 0
    backlog_output_tokens: int = 0


@attrs.define
class SendRate:
    """Decaying rate of what this entry sends: prompt tokens and runs a second."""

    prompt_tokens: float = 0.0
    runs: float = 0.0
    at: float = 0.0

    def add(self, work, now):
        """Count ``work`` sent at ``now``."""
        self._decay(now)
        self.prompt_tokens += work.prompt_tokens / SEND_RATE_SECONDS
        self.runs += 1 / SEND_RATE_SECONDS

    def _decay(self, now):
        keep = math.exp(-max(0.0, now - self.at) / SEND_RATE_SECONDS)
        self.prompt_tokens *= keep
        self.runs *= keep
        self.at = now


@attrs.define(eq=False)
class Upstream:
    """An engine or service instance as the router sees it.

    Rates are tokens a second and are 0 for a service instance.
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
        """Build from a settings engine that should run ``model``."""
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
        """Take what ``fresh`` declares; keep what was learned and is in flight."""
        self.address = fresh.address
        self.data_centre = fresh.data_centre
        self.model = fresh.model

    def record_send(self, work, now):
        """Remember ``work`` sent at ``now``, until a report includes it."""
        self.sent.append((now, work))
        self.send_rate.add(work, now)

    def _sent_since(self, moment):
        # Newest first, so that each decision reads only what is new.
        newer = itertools.takewhile(lambda row: row[0] > moment, reversed(self.sent))
        return [work for _, work in newer]

    def wait_seconds(self, work, now, entries=1):
        """Estimate seconds until the first token of ``work`` sent at ``now``.

        :param entries: entry daemons that share the engines; each is taken
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
        """Seconds until a batch slot is free with ``runs`` runs before ours."""
        excess = runs - self.batch_size + 1
        if excess <= 0:
            return 0.0
        known = max(1, report.active + report.waiting)
        mean_output = report.backlog_output_tokens / known
        return excess * mean_output * self.step_seconds() / self.batch_size

    def step_seconds(self):
        """Seconds between two tokens at the reported occupancy, no prefill."""
        load = min(1.0, self.report.active / self.batch_size)
        return (1 + defaults.FULL_BATCH_SLOWDOWN * load) / self.decode_rate

    def generate_seconds(self, work):
        """Estimate seconds from the first to the last token of ``work``."""
        return work.output_tokens * self.step_seconds() if self.decode_rate else 0.0


class Router:
    """Keeps the upstreams of one kind and picks one per request.

    :param policy: a :class:`Policy`.
    """

    def __init__(self, policy=None):
        self.policy = policy or policies.LeastWait()
        self.upstreams = {}
        self.leaving = set()
        self.listed_leaving = set()
        self.cordoned = set()

    def update(self, upstreams, leaving):
        """Replace the set of upstreams.

        A known one stays the same object, as requests in flight hold it.
        """
        fresh = {}
        for upstream in upstreams:
            known = self.upstreams.get(upstream.name, upstream)
            known.redeclare(upstream)
            fresh[upstream.name] = known
        self.upstreams = fresh
        self.leaving = set(leaving)

    def set_listed_leaving(self, names):
        """Take the VMs that the platform's list shows as leaving."""
        self.listed_leaving = set(names)

    def candidates(self, model, tried, now, roles=DECODING_ROLES):
        """Upstreams that may take a request for ``model`` now.

        Leaving ones and those held for a change are never among them. One
        that reports itself unavailable is only if no other is, and one that
        failed a moment ago only if all did: the report may lag, and an engine
        that is dead would take a retry from every request until the retry
        budget is spent.
        """
        excluded = self.leaving | self.listed_leaving | self.cordoned | tried
        eligible = [
            u
            for u in self.upstreams.values()
            if u.name not in excluded
            and u.report.role in roles
            and (not model or u.model == model)
        ]
        sound = [u for u in eligible if u.failed_until <= now]
        healthy = [u for u in sound if u.report.available]
        return healthy or sound or eligible

    def choose(self, model, tried, work, now, roles=DECODING_ROLES):
        """Return an upstream for ``work`` not in ``tried``, or None."""
        candidates = self.candidates(model, tried, now, roles)
        if not candidates:
            return None
        return self.policy.pick(candidates, work, now)

    def record_failure(self, upstream, now):
        """Pass over ``upstream`` for a while after a failure at ``now``."""
        upstream.failed_until = now + FAILURE_HOLD_SECONDS
