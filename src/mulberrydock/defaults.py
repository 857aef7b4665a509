"""Constants shared by the daemons, the stand-ins and the tools.

Settings override those that operators may tune.
"""

#: Store key of the declared configuration, as TOML text.
CONFIG_KEY = "config"
#: Store key of the leader record, which the active controller holds under its lease.
LEADER_KEY = "control/leader"
#: Store key where the active controller lists the engines that it is changing.
PLAN_KEY = "control/plan"
#: Prefix of the keys under which entry daemons register themselves.
ENTRY_PREFIX = "entries/"
#: Prefix of the idempotency records of non-idempotent calls.
IDEMPOTENCY_PREFIX = "idempotency/"
#: Prefix of the records of instances that crashed while running a request.
CRASH_PREFIX = "crashes/"
#: Prefix of the records of which version began each stream.
ORIGIN_PREFIX = "origins/"
#: Store key of the versions of each service whose streams may still go on.
VERSIONS_KEY = "control/versions"
#: Store key of the usage reports that the leader has decided.
USAGE_KEY = "control/usage"

#: Time to live of an entry's registration lease.
ENTRY_LEASE_TTL_SECONDS = 6.0
#: How long the store lets a long-poll watch wait before it responds without events.
WATCH_TIMEOUT_SECONDS = 5.0
#: Delay before a failed store call is retried.
STORE_RETRY_SECONDS = 0.25
#: Timeout of one store call.
STORE_CALL_TIMEOUT_SECONDS = 2.0

#: Timeout for connecting to an upstream.
CONNECT_TIMEOUT_SECONDS = 1.0
#: Timeout between two bytes of a streaming upstream.
STREAM_IDLE_TIMEOUT_SECONDS = 3.0
#: Timeout of a complete, unstreamed upstream response.
REQUEST_TIMEOUT_SECONDS = 60.0
#: Minimum time for which a draining entry keeps its listener open and refuses new
#: requests with DRAINING.
DRAIN_GRACE_SECONDS = 2.0
#: Interval at which an entry polls an engine's load report.
LOAD_POLL_SECONDS = 0.5
#: Interval at which an entry polls an engine's cache events.
CACHE_POLL_SECONDS = 0.5
#: Value of Retry-After in the response to a request that was shed.
RETRY_AFTER_SECONDS = 1

#: HTTP header naming the tenant of a request.
TENANT_HEADER = "X-Tenant"
#: HTTP header naming the priority class of a request.
CLASS_HEADER = "X-Priority-Class"
#: HTTP header with the request id that the entry assigned.
REQUEST_ID_HEADER = "X-Request-Id"
#: HTTP header with the client's idempotency key.
IDEMPOTENCY_HEADER = "Idempotency-Key"
#: HTTP header with the numbered result code of a response.
RESULT_HEADER = "X-Result-Code"
#: HTTP header to an engine: rank of the priority class; lower ranks are served first.
RANK_HEADER = "X-Priority-Rank"
#: HTTP header to an engine: number of events already delivered; the stream resumes
#: after them.
RESUME_HEADER = "X-Resume-From"
#: HTTP header of an engine's response: the version of the model that made it.
VERSION_HEADER = "X-Model-Version"
#: HTTP header to an engine: ``prefill`` for a prefill-only call.
STAGE_HEADER = "X-Engine-Stage"
#: HTTP header to an engine: ``address/handle`` of the KV cache to fetch.
KV_SOURCE_HEADER = "X-KV-Source"
#: HTTP header of an engine's refusal: the engine did not execute the request.
NOT_EXECUTED_HEADER = "X-Not-Executed"
#: Tenant of a request that names none.
DEFAULT_TENANT = "default"

#: Prompt tokens per block of the engines' prefix cache.
CACHE_BLOCK_TOKENS = 16
#: Additional duration of a decode step when an engine's batch is full, as a fraction of
#: the step of an empty batch.
FULL_BATCH_SLOWDOWN = 0.5
#: Prefill speed of an engine with the decode role, as a fraction of its full speed.
DECODE_ROLE_PREFILL_SPEED = 0.5
