"""mulberrydock: serving for language models and application upstreams on a fixed fleet.

This module exports the public API. The commands in :mod:`mulberrydock.cli` are thin
functions over it. Each name is imported when it is first used: a daemon that starts
needs few of them, and clients wait for it.
"""

import importlib

__version__ = "0.1.0"

#: Module of this package in which each public name is defined.
MODULES = {
    "ConfigFollower": "configuration",
    "Controller": "control",
    "EntryDaemon": "entry",
    "LeastWait": "policies",
    "MulberrydockError": "exceptions",
    "Policy": "policies",
    "RingPlacement": "policies",
    "ResultCode": "exceptions",
    "RoundRobin": "policies",
    "Router": "routing",
    "SettingsError": "exceptions",
    "StoreError": "exceptions",
    "StoreClient": "store",
    "UpstreamError": "exceptions",
    "VersionConflict": "exceptions",
    "Work": "routing",
    "load_settings": "settings",
    "parse_declared": "settings",
    "parse_settings": "settings",
    "patch_config": "configuration",
    "read_config": "configuration",
    "seed_config": "configuration",
}

__all__ = list(MODULES)


def __getattr__(name):
    if name not in MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(importlib.import_module(f".{MODULES[name]}", __name__), name)
    globals()[name] = value
    return value


def __dir__():
    return sorted([*globals(), *MODULES])
