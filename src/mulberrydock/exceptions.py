"""Result codes and the one error hierarchy of mulberrydock.

Every failure that crosses a process boundary carries a :class:`ResultCode`;
the table in ``docs/result-codes.md`` lists them all.
"""

import enum


class ResultCode(enum.IntEnum):
    """Numbered outcome of an operation, sent in ``X-Result-Code``.

    Codes below 100 are successes, 1xx the caller's mistakes, 2xx refusals
    that are safe to retry later, 3xx failures whose outcome is known not to
    have run, 4xx failures whose outcome is unknown.
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
    SHED = 200
    DRAINING = 201
    NO_UPSTREAM = 202
    STORE_UNAVAILABLE = 203
    IN_PROGRESS = 204
    NOT_READY = 205
    QUARANTINED = 206
    NOT_RUN = 300
    UPSTREAM_FAILED = 301
    OUTCOME_UNKNOWN = 400
    STREAM_CUT = 401
    INTERNAL = 402


class MulberrydockError(Exception):
    """Base of every error raised by this package.

    :param code: the numbered result code.
    :param message: a sentence for operators.
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
    """A settings file or declared configuration failed its schema check."""

    code = ResultCode.INVALID_SETTINGS


class StoreError(MulberrydockError):
    """A call to the platform store failed or was refused."""

    code = ResultCode.STORE_UNAVAILABLE


class VersionConflict(StoreError):
    """A compare-and-swap met a version other than the one expected.

    :param current: the version the store holds, 0 when the key is absent.
    """

    code = ResultCode.STALE_VERSION

    def __init__(self, message, current=0):
        super().__init__(message)
        self.current = current


class UpstreamError(MulberrydockError):
    """An engine or application service failed to answer."""

    code = ResultCode.UPSTREAM_FAILED


class ConnectionCut(UpstreamError):
    """The connection ended before the answer did, as when an instance crashes."""


class CallRefused(UpstreamError):
    """An engine answered that it doesn't take a call."""
