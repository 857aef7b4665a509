"""Records that mulberrydock's processes keep in the platform store.

Each is a Cap'n Proto struct from ``schema/messages.capnp``, packed and
base64-encoded because the store holds text.
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


def encode(message):
    """Return ``message`` packed and base64-encoded as text."""
    return base64.b64encode(message.to_bytes_packed()).decode("ascii")


def decode(struct, text):
    """Read a ``struct`` (such as :data:`EntryRecord`) from :func:`encode`'s text."""
    return struct.from_bytes_packed(base64.b64decode(text))
