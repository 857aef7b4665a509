"""Requests that one VM forwards to another, and their outcomes, as bytes.

A forwarded request is the body of an HTTP request: a Cap'n Proto message, signed with
the key that the receiver has written to the store, which only VMs of the fleet can
read. The response is that of the instance, with the outcome in its headers; a stream
that couldn't be completed ends with a comment that holds the outcome.
"""

import hashlib
import hmac

import attrs

from . import records
from .exceptions import ResultCode
from .request import Prompt, PromptPart, Request

#: Path of the HTTP requests.
FORWARD_PATH = "/forward"
#: Header with the signature of the body, in hexadecimal.
SIGNATURE_HEADER = "X-Forward-Signature"
#: Headers with the result code, the numbers of calls and the cause of a failure.
CODE_HEADER = "X-Forward-Code"
CALLS_HEADER = "X-Forward-Calls"
CAUSE_HEADER = "X-Forward-Cause"
#: Header of a stream with the version of the instance that begins it.
VERSION_HEADER = "X-Forward-Version"
#: Start of the comment that ends an incomplete stream.
INCOMPLETE_COMMENT = b": forward-incomplete "
#: Maximum length of a cause.
MAX_CAUSE_CHARS = 200


@attrs.define(frozen=True)
class PriorCalls:
    """What was done for a request before it was forwarded.

    ``sends`` and ``prefills`` are the calls of each kind that an instance may have
    received, ``rejected`` the sends that an instance stated not to have executed.
    ``reserved_retries`` were granted by the sender's retry budget. ``may_have_run`` is
    True if an instance may have executed the request, ``begun`` if the sender has
    counted its begin. ``version`` is the software version at which its stream goes on,
    empty while it may begin at any. ``prefilled`` is True if an engine has accepted one
    of the prefill calls.
    """

    sends: int = 0
    rejected: int = 0
    prefills: int = 0
    reserved_retries: int = 0
    may_have_run: bool = False
    begun: bool = False
    version: str = ""
    prefilled: bool = False

    @classmethod
    def from_lifecycle(cls, lifecycle):
        """Build the calls of a request, and take its reserved retries.

        :param lifecycle: the :class:`~mulberrydock.serving.RequestLifecycle`.
        """
        begun = lifecycle.begin.hand_over(lifecycle.sends, lifecycle.stream.has_started)
        reserved, lifecycle.retries.reserved = lifecycle.retries.reserved, 0
        return cls(
            lifecycle.sends.maybe_received,
            lifecycle.sends.rejected,
            lifecycle.prefills.maybe_received,
            reserved,
            lifecycle.may_have_run,
            begun,
            lifecycle.version.fixed,
            lifecycle.prefills.accepted > 0,
        )


@attrs.define(frozen=True)
class ForwardedRequest:
    """A client's request that the VM ``sender`` forwards.

    ``priority`` is that of the request's team or route, ``service`` the one that is to
    serve it, empty if the sender doesn't state it.
    """

    request: Request
    priority: int
    prior: PriorCalls
    sender: str
    service: str = ""


@attrs.define(frozen=True)
class ForwardOutcome:
    """How a VM has served a request that was forwarded to it.

    The counts, as in :class:`PriorCalls`, are those of the calls that it made.
    """

    code: ResultCode
    sends: int = 0
    rejected: int = 0
    prefills: int = 0
    cause: str = ""

    @property
    def has_calls(self):
        """True if the VM has called an instance for the request."""
        return self.sends > 0 or self.prefills > 0

    @classmethod
    def from_lifecycle(cls, lifecycle, code):
        """Build the outcome of a forwarded request.

        :param lifecycle: the :class:`~mulberrydock.serving.RequestLifecycle`.
        :param code: what its ``run`` returned.
        """
        prior = lifecycle.prior
        return cls(
            code,
            lifecycle.sends.maybe_received - prior.sends,
            lifecycle.sends.rejected - prior.rejected,
            lifecycle.prefills.maybe_received - prior.prefills,
            "" if code is ResultCode.OK else lifecycle.cause,
        )

    @classmethod
    def from_headers(cls, headers):
        """Read the outcome in a response's headers, None if there is none."""
        calls = headers.get(CALLS_HEADER, "")
        return cls._parse(
            f"{headers.get(CODE_HEADER, '')} {calls}",
            headers.get(CAUSE_HEADER, ""),
        )

    @classmethod
    def from_comment(cls, comment):
        """Read the outcome in the last event of a stream, None if there is none."""
        if not comment.startswith(INCOMPLETE_COMMENT):
            return None
        text = comment.removeprefix(INCOMPLETE_COMMENT).decode(errors="replace")
        return cls._parse(text, "stream not completed")

    @classmethod
    def _parse(cls, text, cause):
        try:
            code, sends, rejected, prefills = map(int, text.split())
            return cls(ResultCode(code), sends, rejected, prefills, cause)
        except ValueError:
            return None

    def headers(self):
        """Return the headers that hold this outcome, as (name, value) pairs."""
        cause = self.cause.encode("ascii", "replace").decode().replace("\n", " ")
        return [
            (CODE_HEADER, str(int(self.code))),
            (CALLS_HEADER, f"{self.sends} {self.rejected} {self.prefills}"),
            (CAUSE_HEADER, cause[:MAX_CAUSE_CHARS]),
        ]

    def comment(self):
        """Return the event that ends an incomplete stream with this outcome."""
        numbers = (self.code, self.sends, self.rejected, self.prefills)
        text = " ".join(str(int(number)) for number in numbers)
        return INCOMPLETE_COMMENT + text.encode() + b"\n\n"


def split_comment(events):
    """Split whole events into those of the instance and the outcome at their end.

    :returns: the events and the :class:`ForwardOutcome`, None without one.
    """
    start = events.rfind(b"\n\n" + INCOMPLETE_COMMENT) + 2
    if start < 2:
        start = 0
    outcome = ForwardOutcome.from_comment(events[start:])
    return (events, None) if outcome is None else (events[:start], outcome)


def sign(key, data):
    """Return the signature of ``data`` as text."""
    return hmac.new(key, data, hashlib.sha256).hexdigest()


def is_signed(key, data, signature):
    """Return whether ``signature`` is that of ``data``."""
    expected = sign(key, data).encode()
    return bool(key) and hmac.compare_digest(expected, signature.encode())


def encode(forwarded, now):
    """Encode a :class:`ForwardedRequest` that is sent at ``now``."""
    request, prior = forwarded.request, forwarded.prior
    return records.ForwardedRequest.new_message(
        id=request.id,
        method=request.method,
        target=request.target,
        host=request.host,
        headers=[{"name": name, "value": value} for name, value in request.headers],
        body=request.body,
        leftMs=max(1, int((request.deadline - now) * 1000)),
        promptTokens=request.prompt.tokens,
        outputTokens=request.prompt.max_output_tokens,
        parts=[attrs.asdict(part) for part in request.prompt.parts],
        lastEventId=request.last_event_id,
        authorization=list(request.authorization),
        team=request.team,
        priority=forwarded.priority,
        sends=prior.sends,
        rejected=prior.rejected,
        prefills=prior.prefills,
        reservedRetries=prior.reserved_retries,
        mayHaveRun=prior.may_have_run,
        begun=prior.begun,
        sender=forwarded.sender,
        version=prior.version,
        prefilled=prior.prefilled,
        resumes=request.resumes,
        service=forwarded.service,
    ).to_bytes()


def decode(data, now):
    """Decode the :class:`ForwardedRequest` that arrived at ``now``.

    :raises Exception: one of capnp's undocumented types, when ``data`` is no valid
        message.
    """
    with records.ForwardedRequest.from_bytes(data) as message:
        prompt = Prompt(
            message.promptTokens,
            message.outputTokens,
            tuple(PromptPart(part.id, part.tokens) for part in message.parts),
        )
        request = Request(
            id=message.id,
            method=message.method,
            target=message.target,
            host=message.host,
            headers=[(header.name, header.value) for header in message.headers],
            body=bytes(message.body),
            arrived=now,
            deadline=now + message.leftMs / 1000,
            prompt=prompt,
            last_event_id=message.lastEventId,
            authorization=tuple(message.authorization),
            team=message.team,
            resumes=message.resumes,
        )
        prior = PriorCalls(
            message.sends,
            message.rejected,
            message.prefills,
            message.reservedRetries,
            message.mayHaveRun,
            message.begun,
            message.version,
            message.prefilled,
        )
        return ForwardedRequest(
            request, message.priority, prior, message.sender, message.service
        )
