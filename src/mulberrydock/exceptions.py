"""Result codes and exceptions of mulberrydock.

Every failure that crosses a process boundary carries a :class:`ResultCode`;
``docs/result-codes.md`` describes them all.
"""

import enum


class ResultCode(enum.IntEnum):
    """Numbered outcome of an operation, sent in the header ``X-Result-Code``.

    Codes below 100 are successes, 1xx errors of the caller, 2xx refusals that are
    safe to retry later, 3xx failures of operations that are known not to have run, 4xx
    failures with an unknown outcome.
    """

    OK = 0
    REPLAYED = 1
    BAD_REQUEST = 100
    UNKNOWN_ROUTE = 101
    MISSING_IDEMPOTENCY_KEY = 102
    INVALID_SETTINGS = 103
    INVALID_CONFIG = 104
    STALE_VERSION = 105
    STALE_FENCING_TOKEN = 106
    NOT_LEADER = 107
    CALLER_GONE = 108
    TOO_LARGE = 109
    SHED = 200
    DRAINING = 201
    NO_UPSTREAM = 202
    STORE_UNAVAILABLE = 203
    IN_PROGRESS = 204
    NOT_READY = 205
    QUARANTINED = 206
    UNKNOWN_VERSION = 207
    NO_ROOM = 208
    NOT_RUN = 300
    UPSTREAM_FAILED = 301
    OUTCOME_UNKNOWN = 400
    STREAM_CUT = 401
    INTERNAL = 402


class MulberrydockError(Exception):
    """Base class of the errors that this package raises.

    :param message: description for operators.
    :param code: the :class:`ResultCode`, by default that of the class.
    """

    code = ResultCode.BAD_REQUEST

    def __init__(self, message, code=None):
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code

    def __str__(self):
        return f"[{int(self.code)} {self.code.name}] {self.message}"


class SettingsError(MulberrydockError):
    """A settings file, a configuration or a store document is invalid."""

    code = ResultCode.INVALID_SETTINGS


class StoreError(MulberrydockError):
    """A call to the platform store failed or was refused."""

    code = ResultCode.STORE_UNAVAILABLE


class VersionConflict(StoreError):
    """A compare-and-swap found a version other than the expected one.

    :param current: the version in the store, 0 when the key is absent.
    """

    code = ResultCode.STALE_VERSION

    def __init__(self, message, current=0):
        super().__init__(message)
        self.current = current


class UpstreamError(MulberrydockError):
    """An engine or application service gave no response or an invalid one."""

    code = ResultCode.UPSTREAM_FAILED


class ConnectionCut(UpstreamError):
    """The connection closed before the response was complete.

    This is also what the crash of an instance looks like to its client.
    """


class CallWithheld(UpstreamError):
    """A call wasn't sent, as its instance leaves or wants no calls for now."""

    code = ResultCode.NOT_RUN


class CallRefused(UpstreamError):
    """An engine refused to execute a call."""
