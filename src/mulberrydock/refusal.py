"""When the client of a refused request should retry."""

import attrs

#: Seconds until the retry of a request that can't be served before its deadline: it
#: crashes instances, or goes on with a stream whose version no VM knows.
FUTILE_RETRY_SECONDS = 3600.0
#: Seconds until the retry of a request that other VMs can serve now.
OTHER_VM_RETRY_SECONDS = 0.0
#: Share by which the wait of one refused client may exceed that of another, so that
#: those refused in one moment don't return in one.
RETRY_SPREAD = 0.5


@attrs.define(frozen=True)
class Refusal:
    """Why a request is refused, and the seconds after which its client should retry."""

    reason: str
    retry_after: float
