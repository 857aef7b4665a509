"""Follows and patches the declared configuration in the store.

The store key ``config`` holds TOML text; its version in the store is the
configuration's version. A follower applies versions in increasing order only and
keeps the last accepted one during outages of the store; a patch is a
compare-and-swap on the version that the operator read.
"""

import asyncio
import json
import random
import time
import tomllib

import tornado.httpclient
from expression import Error, Ok
from loguru import logger

from . import defaults
from ._http import fetch_json
from .exceptions import ResultCode, SettingsError, StoreError, VersionConflict
from .settings import declared_to_toml, merge_patch, parse_declared
from .watch import PrefixWatch

#: Number of entries that an entry without a version asks at a time.
PEERS_PER_ATTEMPT = 3
#: Timeout of each of these calls.
PEER_TIMEOUT_SECONDS = 1.0


class ConfigFollower:
    """The newest valid declared configuration, followed in the store.

    :param store: a :class:`~mulberrydock.store.StoreClient`.
    :param settings: the process's settings, against which declared names are checked.
    :param on_change: called with ``(version, declared)`` after each accepted version.
    """

    def __init__(self, store, settings, on_change=None):
        self.store = store
        self.settings = settings
        self.on_change = on_change
        self.version = 0
        self.text = ""
        self.declared = settings.declared
        self.accepted_at = 0.0

    def accept(self, version, text, now):
        """Apply ``text`` at ``version`` if it is newer and valid.

        An older or equal version is ignored, so the configuration never goes back; an
        invalid one is logged and ignored, so the last accepted one stays in force.

        :param now: monotonic seconds.
        :returns: whether it was applied.
        """
        if version <= self.version:
            return False
        try:
            declared = parse_declared(text, self.settings, f"config v{version}")
        except SettingsError as error:
            logger.warning("config refused", version=version, error=str(error))
            return False
        self.version = version
        self.text = text
        self.declared = declared
        self.accepted_at = now
        logger.info("config accepted", version=version)
        if self.on_change:
            self.on_change(version, declared)
        return True

    def _on_item(self, key, value, version):
        if key == defaults.CONFIG_KEY and value is not None:
            self.accept(version, value, time.monotonic())

    async def run(self):
        """Follow the key until cancelled; an outage keeps the last accepted version."""
        await PrefixWatch(self.store, defaults.CONFIG_KEY, self._on_item).run()


class PeerConfigFetcher:
    """The task that asks other entries for the configuration in a store outage.

    An entry that starts during an outage would only have what its settings file
    declares, which may be older than what was in force on this VM before. Until it
    has a version, it asks other entries; the newest answer counts, and newer versions
    from the store are applied once it is available again.

    :param follower: the :class:`ConfigFollower` that accepts the versions.
    :param addresses: ``host:port`` of the other entries.
    """

    def __init__(self, follower, addresses):
        self.follower = follower
        self.addresses = list(addresses)
        self.http = tornado.httpclient.AsyncHTTPClient()

    async def fetch(self, address):
        """Fetch one entry's version and accept it if it is newer and valid."""
        try:
            status, document = await fetch_json(
                self.http, "GET", address, "/v1/config", timeout=PEER_TIMEOUT_SECONDS
            )
        except (tornado.httpclient.HTTPClientError, OSError, ValueError):
            return
        if status == 200:
            version, text = document["version"], document["text"]
            self.follower.accept(version, text, time.monotonic())

    async def run(self):
        """Ask a few entries chosen at random, until a version is known."""
        while not self.follower.version:
            await asyncio.sleep(defaults.STORE_RETRY_SECONDS)
            addresses = random.sample(
                self.addresses, min(PEERS_PER_ATTEMPT, len(self.addresses))
            )
            await asyncio.gather(*[self.fetch(address) for address in addresses])


async def read_config(store):
    """Return ``Ok((version, text))``, with version 0 and empty text when unset."""
    read = await store.get(defaults.CONFIG_KEY)
    if read.is_error():
        return read
    item = read.ok
    return Ok((0, "") if item is None else (item.version, item.value))


async def seed_config(store, settings):
    """Write the settings' declared configuration if the store has none.

    :returns: ``Ok(version)`` of what is in force after the call.
    """
    for _ in range(20):
        current = await read_config(store)
        if current.is_ok() and current.ok[0]:
            return Ok(current.ok[0])
        if current.is_ok():
            text = declared_to_toml(settings.declared)
            written = await store.put(defaults.CONFIG_KEY, text, expect_version=0)
            if written.is_ok():
                return written
        # The response was lost or the write conflicted: read before trying again.
        await asyncio.sleep(defaults.STORE_RETRY_SECONDS)
    return Error(StoreError("could not write the initial configuration in 20 attempts"))


async def patch_config(store, settings, patch_text, expect_version):
    """Merge ``patch_text`` into the configuration at ``expect_version``.

    :returns: ``Ok(new_version)``; ``Error(VersionConflict)`` when the store is no
        longer at ``expect_version``; ``Error(SettingsError)`` when the merged
        configuration is invalid; ``Error(StoreError)`` when the store is unavailable,
        with the code OUTCOME_UNKNOWN when the patch may have taken effect.
    """
    current = await read_config(store)
    if current.is_error():
        return current
    version, text = current.ok
    if version != expect_version:
        return Error(
            VersionConflict(
                f"patch is against version {expect_version}, store is at {version}",
                version,
            )
        )
    try:
        merged = merge_patch(tomllib.loads(text), tomllib.loads(patch_text))
        declared = parse_declared(_dump(merged), settings, "patched config")
    except (SettingsError, tomllib.TOMLDecodeError) as error:
        return Error(SettingsError(str(error), ResultCode.INVALID_CONFIG))
    new_text = declared_to_toml(declared)
    written = await store.put(defaults.CONFIG_KEY, new_text, expect_version=version)
    if written.is_ok() or isinstance(written.error, VersionConflict):
        return written
    # The response was lost, so the write may have taken effect: read to find out.
    for _ in range(10):
        await asyncio.sleep(defaults.STORE_RETRY_SECONDS)
        reread = await read_config(store)
        if reread.is_ok():
            if reread.ok[1] == new_text and reread.ok[0] > version:
                return Ok(reread.ok[0])
            if reread.ok[0] == version:
                return await patch_config(store, settings, patch_text, version)
            # Another patch is in force. This one may be part of it, having taken
            # effect before, or may never have: the operator must check.
            return Error(
                StoreError(
                    f"version {reread.ok[0]} is in force; whether this patch is "
                    "part of it is unknown",
                    ResultCode.OUTCOME_UNKNOWN,
                )
            )
    return Error(StoreError(written.error.message, ResultCode.OUTCOME_UNKNOWN))


def _dump(document):
    """Render a merged declared document as TOML, to be parsed and checked."""
    lines = []
    for key, value in document.items():
        if not isinstance(value, list) or not value or not isinstance(value[0], dict):
            lines.append(f"{key} = {_value(value)}")
    for key, value in document.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            for row in value:
                lines.append(f"[[{key}]]")
                lines.extend(f"{k} = {_value(v)}" for k, v in row.items())
    return "\n".join(lines) + "\n"


def _value(value):
    return json.dumps(value)
