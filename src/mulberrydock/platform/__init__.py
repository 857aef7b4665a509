"""Adapter to the hosting platform: its header names, documents and store calls.

This package only encodes and decodes. Decisions are made elsewhere, and no
module outside the package depends on a name of the platform.
"""

from .documents import (
    CONFIG_PREFIX,
    INSTANCE_PREFIX,
    instance_id,
    read_config,
    read_instance,
)
from .duties import SCALING_DUTY, USAGE_DUTY, DutyOutcome, PlatformDuties
from .store import PlatformStore
from .wire import PlatformWire, resolve_body

#: Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE = "MULBERRYDOCK_SETTINGS"
#: Paths of an entry VM that the platform (readiness) and clients (resolution) call.
READY_PATH = "/ready"
RESOLVE_PATH = "/resolve"
#: Query argument of a resolve call that names the client's data centre.
RESOLVE_DATA_CENTRE = "zone"

__all__ = [
    "CONFIG_PREFIX",
    "INSTANCE_PREFIX",
    "READY_PATH",
    "RESOLVE_DATA_CENTRE",
    "RESOLVE_PATH",
    "SCALING_DUTY",
    "SETTINGS_VARIABLE",
    "USAGE_DUTY",
    "DutyOutcome",
    "PlatformDuties",
    "PlatformStore",
    "PlatformWire",
    "instance_id",
    "read_config",
    "read_instance",
    "resolve_body",
]
