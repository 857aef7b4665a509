"""Records that mulberrydock's processes write to the platform store.

Each is a Cap'n Proto struct of ``schema/messages.capnp``, packed and base64-encoded,
as the store's values are text.
"""

import base64
import importlib.resources

import capnp

capnp.remove_import_hook()
_SCHEMA_PATH = importlib.resources.files(__package__).joinpath("schema/messages.capnp")
messages = capnp.load(str(_SCHEMA_PATH))

EntryRecord = messages.EntryRecord
LeaderRecord = messages.LeaderRecord
IdempotencyRecord = messages.IdempotencyRecord
PlanRecord = messages.PlanRecord
PeerMessage = messages.PeerMessage
CrashRecord = messages.CrashRecord
UsageDecisions = messages.UsageDecisions
ForwardedRequest = messages.ForwardedRequest
OriginRecord = messages.OriginRecord
VersionsRecord = messages.VersionsRecord


def encode(message):
    """Return ``message`` packed and base64-encoded as text."""
    return base64.b64encode(message.to_bytes_packed()).decode("ascii")


def decode(struct, text):
    """Decode text from :func:`encode` as a ``struct``, such as :data:`EntryRecord`.

    :raises Exception: when ``text`` is no valid record.
    """
    return struct.from_bytes_packed(base64.b64decode(text))
