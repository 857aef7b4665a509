"""Operator commands: show and patch the configuration, drain a VM, show the status.

Each returns a :class:`CtlResult` that the command line prints. The module also holds
the load and demo commands, which return a :class:`LoadReport`.
"""

import asyncio
import json
import tomllib

import attrs

from . import fleet
from ._http import fetch_json
from .configuration import patch_config, read_config
from .exceptions import ResultCode
from .load import render_table, run_load, summarise
from .store import StoreClient


@attrs.define
class CtlResult:
    """Result of an operator command.

    ``code`` is a :class:`~mulberrydock.exceptions.ResultCode` as a number, 0 on
    success; ``document`` can be encoded as JSON.
    """

    code: int
    document: dict


@attrs.define
class LoadReport:
    """Result of a load run: one row per class, and the same as a text table."""

    rows: list
    table: str


def _failure(error):
    return CtlResult(int(error.code), {"code": int(error.code), "error": str(error)})


def show(settings):
    """Return the active declared configuration and its version."""

    async def go():
        read = await read_config(StoreClient(settings.store.address))
        if read.is_error():
            return _failure(read.error)
        version, text = read.ok
        return CtlResult(0, {"version": version, "config": text})

    return asyncio.run(go())


def patch(settings, text, version):
    """Merge a TOML patch into the declared configuration.

    :param text: TOML text of the patch.
    :param version: version that the patch was written against; the patch is refused
        when it is no longer the active one.
    """

    async def go():
        written = await patch_config(
            StoreClient(settings.store.address), settings, text, version
        )
        if written.is_error():
            return _failure(written.error)
        return CtlResult(0, {"version": written.ok})

    return asyncio.run(go())


def drain(settings, name):
    """Add the VM ``name`` to the declared leaving VMs.

    A concurrent change of the configuration is retried, in all up to 5 times.
    """

    async def go():
        store = StoreClient(settings.store.address)
        for _ in range(5):
            read = await read_config(store)
            if read.is_error():
                return _failure(read.error)
            version, text = read.ok
            leaving = tomllib.loads(text).get("leaving", [])
            if name in leaving:
                return CtlResult(0, {"version": version, "leaving": leaving})
            patch_text = f"leaving = {json.dumps(leaving + [name])}\n"
            written = await patch_config(store, settings, patch_text, version)
            if written.is_ok():
                return CtlResult(
                    0, {"version": written.ok, "leaving": leaving + [name]}
                )
            if written.error.code != ResultCode.STALE_VERSION:
                return _failure(written.error)
        return _failure(written.error)

    return asyncio.run(go())


def status(settings):
    """Return each entry's health and each engine's state, or the error of the call."""

    async def go():
        from tornado.httpclient import AsyncHTTPClient

        http = AsyncHTTPClient()
        document = {"entries": {}, "engines": {}}
        for group, rows, path in (
            ("entries", settings.entries, "/v1/health"),
            ("engines", settings.engines, "/v1/state"),
        ):
            for row in rows:
                try:
                    _, state = await fetch_json(http, "GET", row.address, path)
                except Exception as error:
                    state = {"error": str(error)}
                state.pop("orders", None)
                document[group][row.name] = state
        return CtlResult(0, document)

    return asyncio.run(go())


def deadlines(settings):
    """Return the deadline in seconds of each priority class, by its name."""
    return {c.name: c.deadline_seconds for c in settings.classes}


def run_load_report(settings, seconds, scale, seed=0):
    """Send the deployment's request mix to its entries and measure goodput.

    :param seconds: how long to send.
    :param scale: factor on the request rates of the mix.
    :param seed: seed of the mix and of the clients' choices.
    :returns: a :class:`LoadReport`.
    """
    seeds = [e.address for e in settings.entries]
    results = asyncio.run(
        run_load(
            seeds, settings.deployment.name, deadlines(settings), seconds, scale, seed
        )
    )
    rows = summarise(results)
    return LoadReport(rows, render_table(rows))


def demo(settings, settings_path, seconds, scale):
    """Start a local fleet, run a load against it and stop it.

    :param settings_path: settings file or deployment name passed to the processes.
    :param seconds: how long to send.
    :param scale: factor on the request rates of the mix.
    :returns: a :class:`LoadReport`.
    """
    running = fleet.start_fleet(settings, settings_path)
    try:
        fleet.wait_ready(settings)
        return run_load_report(settings, seconds, scale)
    finally:
        running.stop_all()
