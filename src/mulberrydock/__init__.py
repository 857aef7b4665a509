"""mulberrydock: serving for language models and application upstreams on a fixed fleet.

This module exports the public API. The commands in :mod:`mulberrydock.cli` are thin
functions over it.
"""

from .configuration import ConfigFollower, patch_config, read_config, seed_config
from .control import Controller
from .entry import EntryDaemon
from .exceptions import (
    MulberrydockError,
    ResultCode,
    SettingsError,
    StoreError,
    UpstreamError,
    VersionConflict,
)
from .policies import LeastWait, Policy, RingPlacement, RoundRobin
from .routing import Router, Work
from .settings import load_settings, parse_declared, parse_settings
from .store import StoreClient

__version__ = "0.1.0"

__all__ = [
    "ConfigFollower",
    "Controller",
    "EntryDaemon",
    "LeastWait",
    "MulberrydockError",
    "Policy",
    "RingPlacement",
    "ResultCode",
    "RoundRobin",
    "Router",
    "SettingsError",
    "StoreError",
    "StoreClient",
    "UpstreamError",
    "VersionConflict",
    "Work",
    "load_settings",
    "parse_declared",
    "parse_settings",
    "patch_config",
    "read_config",
    "seed_config",
]
