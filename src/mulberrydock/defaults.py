"""Named constants shared by the daemons, the fakes and the tools.

Every number here has a unit in its name or its comment; settings override
the ones that operators may tune.
"""

#: Store key holding the declared configuration as TOML text.
CONFIG_KEY = "config"
#: Store key held, with a lease attached, by the active controller.
LEADER_KEY = "control/leader"
#: Store key where the active controller names the engines it is changing.
PLAN_KEY = "control/plan"
#: Prefix of the keys where each entry daemon registers itself.
ENTRY_PREFIX = "entries/"
#: Prefix of the idempotency records of non-idempotent calls.
IDEMPOTENCY_PREFIX = "idempotency/"
#: Prefix of the records of instances that crashed under a request.
CRASH_PREFIX = "crashes/"

#: Seconds of life of an entry's registration lease.
ENTRY_LEASE_TTL_SECONDS = 6.0
#: Seconds a long-poll watch waits at the store before it answers empty.
WATCH_TIMEOUT_SECONDS = 5.0
#: Seconds to wait before retrying a failed store call.
STORE_RETRY_SECONDS = 0.25
#: Seconds of one store call before it is abandoned.
STORE_CALL_TIMEOUT_SECONDS = 2.0

#: Seconds an upstream may take to accept a connection.
CONNECT_TIMEOUT_SECONDS = 1.0
#: Seconds with no byte from a streaming upstream before it is called silent.
STREAM_IDLE_TIMEOUT_SECONDS = 3.0
#: Seconds a whole (non-streaming) upstream answer may take.
REQUEST_TIMEOUT_SECONDS = 60.0
#: Seconds a draining entry keeps answering before it stops the listener.
DRAIN_GRACE_SECONDS = 2.0
#: Seconds between two reads of an engine's load report by an entry.
LOAD_POLL_SECONDS = 0.5
#: Seconds between two reads of an engine's cache events by an entry.
CACHE_POLL_SECONDS = 0.5
#: Seconds told to a caller (Retry-After) when a request was shed.
RETRY_AFTER_SECONDS = 1

#: HTTP header naming the tenant of a request.
TENANT_HEADER = "X-Tenant"
#: HTTP header naming the priority class of a request.
CLASS_HEADER = "X-Priority-Class"
#: HTTP header carrying the request id the entry assigned.
REQUEST_ID_HEADER = "X-Request-Id"
#: HTTP header carrying the caller's idempotency key.
IDEMPOTENCY_HEADER = "Idempotency-Key"
#: HTTP header carrying the numbered result code of an answer.
RESULT_HEADER = "X-Result-Code"
#: HTTP header to an engine: the class rank, lower served first.
RANK_HEADER = "X-Priority-Rank"
#: HTTP header to an engine: events already delivered, to resume after them.
RESUME_HEADER = "X-Resume-From"
#: HTTP header to an engine: ``prefill`` for a call that only prefills.
STAGE_HEADER = "X-Engine-Stage"
#: HTTP header to an engine: ``address/handle`` of the KV cache to fetch.
KV_SOURCE_HEADER = "X-KV-Source"
#: HTTP header of an engine's refusal: the request did not run there.
NOT_EXECUTED_HEADER = "X-Not-Executed"
#: Tenant used when a request names none.
DEFAULT_TENANT = "default"

#: Prompt tokens per block of the engines' prefix cache.
CACHE_BLOCK_TOKENS = 16
#: Slow-down of a decode step when an engine's batch is full, as a fraction.
FULL_BATCH_SLOWDOWN = 0.5
#: Prefill speed of an engine whose role is decode, as a share.
DECODE_ROLE_PREFILL_SPEED = 0.5
