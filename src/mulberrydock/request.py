"""One client request and the route it takes, as typed values.

Independent of how a request arrives and how an upstream is reached: fronts build
:class:`Request`, decisions read it, the relay sends it.
"""

import enum
import hashlib
import itertools
import math

import attrs

from .scaling import AutoscaleSpec

#: Least urgent priority that an engine accepts.
PRIORITY_MAX = 9
#: Bytes of a fingerprint: enough that among millions of requests no two collide by
#: chance.
FINGERPRINT_BYTES = 12
#: Maximum number of shared parts of one prompt that are examined for crashes.
MAX_SUSPECT_PARTS = 128


class Kind(enum.Enum):
    """Whether a route's requests may be sent more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@attrs.define(frozen=True)
class Split:
    """A share of a route's traffic: service name and relative weight."""

    service: str
    weight: float


@attrs.define(frozen=True)
class Route:
    """A declared route: which requests it matches and how they are served.

    ``timeout``, ``latency_objective`` and ``gap_objective`` are seconds;
    ``client_idle_timeout`` is the time, in seconds without an event, after which
    clients give a stream up; ``priority`` is 0 for the most urgent; ``max_attempts``
    bounds the instances that one request may be sent to. A ``public`` route requires no
    API key. ``urgencies`` is the :class:`~mulberrydock.room.urgency.Urgencies` of
    ``priority`` among those of all teams and routes, None where its only urgency is the
    priority itself. ``is_taken_up`` is True for a
    request that goes on with a stream of which its client has a part.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    splits: tuple
    timeout: float
    latency_objective: float
    gap_objective: float
    priority: int
    max_attempts: int
    resumable: bool
    client_idle_timeout: float = math.inf
    public: bool = False
    urgencies: object = None
    is_taken_up: bool = False

    @property
    def urgency(self):
        """The priority of its requests at an engine, 0 for the most urgent.

        A long prompt that can wait has a lower one while it is prefilled.
        """
        if self.is_taken_up:
            # Without the rest, what its client has is lost, and the work for it.
            return 0
        if self.urgencies is None:
            return min(PRIORITY_MAX, self.priority)
        return self.urgencies.first

    @property
    def retryable(self):
        """True when a request that may have run may be sent again."""
        return self.kind is Kind.IDEMPOTENT or (
            self.kind is Kind.STREAMING and self.resumable
        )


@attrs.define(frozen=True)
class ServiceSpec:
    """A declared service: connection cap per instance and engine limits.

    ``kv_tokens`` is the size of an engine's KV cache in tokens, 0 for a plain
    application service; ``slots`` is the number of requests that an engine runs at
    once; ``transfer_seconds_per_token`` is the time that the KV cache of one token
    takes on an engine's link. ``autoscale`` is the
    :class:`~mulberrydock.scaling.AutoscaleSpec` of a service whose engines are ordered
    by need, None if their number is given. ``moves`` says that a running stream can go
    on at another engine with its KV cache.
    """

    name: str
    max_connections: int
    kv_tokens: int = 0
    slots: int = 0
    transfer_seconds_per_token: float = 0.0
    autoscale: AutoscaleSpec | None = None
    moves: bool = False

    @property
    def is_engine_pool(self):
        """True for a pool of model engines."""
        return self.kv_tokens > 0


@attrs.define(frozen=True)
class RequestLimits:
    """Limits on what a client may send: sizes in bytes, times in seconds.

    ``header_timeout`` is the time from the first byte of a head to its end, and
    ``idle_timeout`` that for which a connection may carry no request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@attrs.define(frozen=True)
class RoutingConfig:
    """One version of the declared routes, services and teams.

    ``teams`` is None when clients need no API keys.
    """

    version: int
    routes: tuple
    services: dict
    limits: RequestLimits
    teams: tuple | None = None


@attrs.define(frozen=True)
class PromptPart:
    """A part of a prompt that requests may share, with its length in tokens."""

    id: str
    tokens: int


@attrs.define(frozen=True)
class Prompt:
    """The prompt and the output limit of a request to a model engine, in tokens.

    ``length_hint`` is the client's estimate of the output, 0 without one.
    """

    tokens: int = 0
    max_output_tokens: int = 0
    parts: tuple = ()
    length_hint: int = 0

    @property
    def shared_parts(self):
        """Parts that other requests may share: all but the last."""
        return self.parts[:-1]

    @property
    def shared_ids(self):
        """The ids of the shared parts as the log states them, separated by commas."""
        return ",".join(part.id for part in self.shared_parts)


@attrs.define(frozen=True)
class KvHandle:
    """Refers to the KV cache of a prefilled prompt, held for one decode run.

    ``address`` is the engine that holds it, ``tokens`` its length.
    """

    address: str
    id: str
    tokens: int


def fingerprint(*parts):
    """Return the hash that identifies the work a request asks for.

    Requests that differ, for an instance, only in the attempt's id and the deadline
    have the same fingerprint, at whichever VM they arrive.

    :param parts: text or bytes that together determine what an instance does.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in parts:
        raw = part if isinstance(part, bytes) else part.encode(errors="replace")
        # Prefix the length, so that different lists of parts never concatenate to the
        # same bytes.
        digest.update(len(raw).to_bytes(8, "big") + raw)
    return digest.hexdigest()


def part_works(part_ids):
    """Return the fingerprints of parts that prompts share, each once, in order."""
    ids = itertools.islice(dict.fromkeys(part_ids), MAX_SUSPECT_PARTS)
    return tuple(fingerprint("part", part_id) for part_id in ids)


@attrs.define(eq=False)
class Request:
    """One attempt of a client, with its complete body.

    ``arrived`` and ``deadline`` are monotonic seconds; ``headers`` are the end-to-end
    headers to pass on, in order, as (name, value) pairs. ``authorization`` holds the
    values of its ``Authorization`` headers, which are passed on only where clients need
    no API key; ``team`` is the name of the team that sent it, empty if none did.
    ``fingerprint`` is the same for all attempts at the same work; ``part_works`` holds
    the fingerprints of the parts of its prompt that other requests may share. A request
    that takes a stream up after ``last_event_id`` names in ``resumes`` the id of the
    request that brought the stream's first event, empty if it names none.
    """

    id: str
    method: str
    target: str
    host: str
    headers: list
    body: bytes
    arrived: float
    deadline: float
    prompt: Prompt = Prompt()
    last_event_id: int = 0
    authorization: tuple = attrs.field(default=(), repr=False)
    team: str = ""
    resumes: str = ""
    fingerprint: str = attrs.field(init=False)
    part_works: tuple = attrs.field(init=False)

    @fingerprint.default
    def _fingerprint(self):
        return fingerprint(self.method, self.host, self.target, self.body)

    @part_works.default
    def _part_works(self):
        return part_works(part.id for part in self.prompt.shared_parts)

    @property
    def works(self):
        """The fingerprints of the whole request and of its prompt's shared parts."""
        return (self.fingerprint, *self.part_works)

    @property
    def stream_id(self):
        """The id of the request that began its stream, its own if it begins one."""
        return self.resumes if self.last_event_id and self.resumes else self.id

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition("?")[0]


def served_until(request, route):
    """Return until when a request may be served on a route, monotonic seconds.

    The earlier one of its client's deadline and the route's timeout counts.
    """
    return min(request.deadline, request.arrived + route.timeout)


@attrs.define(frozen=True)
class SendOptions:
    """What this system adds to one send to an upstream instance."""

    instance: str
    deadline_ms: int
    priority: int = 5
    last_event_id: int = 0
    prefill_only: bool = False
    kv_source: KvHandle | None = None


@attrs.define(frozen=True)
class ResponseMetadata:
    """What an upstream states about its response beside status and body.

    ``request_id`` is the request that the response names and ``instance`` the
    incarnation that gave it; both are empty when it names none. ``limit`` is the rate
    limit in requests per second, from all VMs together, None without one. ``leaving``
    is True when the instance is about to terminate; ``retry_after`` is the time in
    seconds for which an instance that refuses a call wants no other one from this VM,
    None without one.
    """

    request_id: str
    instance: str
    signed: bool
    not_executed: bool
    keep_alive_seconds: float | None
    closing: bool
    limit: float | None = None
    leaving: bool = False
    retry_after: float | None = None


@attrs.define(frozen=True)
class UpstreamCall:
    """A call to an instance that is not a client's request."""

    method: str
    target: str
    headers: dict
    body: bytes = b""
