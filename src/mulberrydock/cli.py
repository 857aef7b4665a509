"""The ``mulberrydock`` command line, built with defopt.

Every command is a thin function over the library; defopt derives the flags and the
help texts from the functions. ``--settings`` takes the path of a TOML file or the name
of an embedded deployment (``lagos`` or ``montevideo``).
"""

import asyncio
import json
import os
import signal
import sys

import defopt

from . import log
from .exceptions import MulberrydockError

DEFAULT_SETTINGS = "lagos"


def _settings(value):
    from .settings import default_settings_text, load_settings, parse_settings

    if os.path.exists(value):
        return load_settings(value)
    if value in ("lagos", "montevideo"):
        return parse_settings(default_settings_text(value), f"embedded {value}")
    raise SystemExit(
        f"settings: {value!r} is neither a file nor an embedded deployment"
    )


def _run(coroutine):
    try:
        asyncio.run(coroutine)
    except KeyboardInterrupt:
        pass


def entry(name: str, *, settings: str = DEFAULT_SETTINGS, policy: str = ""):
    """Run the entry daemon of one entry VM.

    :param name: the entry's name in the settings, such as ``entry-1``.
    :param settings: settings file, or ``lagos`` / ``montevideo``.
    :param policy: policy that chooses an engine, instead of ``routing.policy``.
    """
    from .entry import EntryDaemon

    log.configure(name)
    loaded = _settings(settings)
    loaded.routing.policy = policy or loaded.routing.policy
    _run(EntryDaemon.from_settings(loaded, name).run())


def control(
    name: str = "control-1",
    *,
    settings: str = DEFAULT_SETTINGS,
    planner: str = "",
):
    """Run a controller; the one that holds the lease sends orders to engines.

    :param name: this controller's name, written to the leader record.
    :param settings: settings file, or ``lagos`` / ``montevideo``.
    :param planner: planner of the engines' roles, instead of ``roles.planner``.
    """
    from .control import Controller

    log.configure(name)
    loaded = _settings(settings)
    loaded.roles.planner = planner or loaded.roles.planner
    _run(Controller.from_settings(loaded, name).run())


def serve(*, settings: str = ""):
    """Run the daemon of one entry VM on the hosting platform.

    :param settings: settings file; the platform names it in the environment.
    """
    # Until the daemon reloads its settings on SIGHUP, it must not end by it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from . import platform
    from .serve import ServeDaemon
    from .serve_settings import load_serve_settings

    path = settings or os.environ.get(platform.SETTINGS_VARIABLE, "")
    if not path:
        raise SystemExit(
            f"serve: no settings file: set --settings or {platform.SETTINGS_VARIABLE}"
        )
    try:
        loaded = load_serve_settings(path)
    except OSError as error:
        raise SystemExit(f"serve: {error}") from error
    sink = log.configure(loaded.name)

    async def run():
        await ServeDaemon.from_settings(loaded, sink).run()
        # Nothing is left to write. The interpreter's own end takes some 0.2 s, on a
        # slowed VM beyond the grace period.
        os._exit(0)

    _run(run())


def config_show(*, settings: str = DEFAULT_SETTINGS):
    """Print the active declared configuration and its version number.

    :param settings: settings file, or ``lagos`` / ``montevideo``.
    """
    from . import ctl

    _print_and_exit(ctl.show(_settings(settings)))


def config_patch(file: str, *, version: int, settings: str = DEFAULT_SETTINGS):
    """Merge a TOML patch into the declared configuration.

    A patch against a version other than the active one is refused with result code
    105 (STALE_VERSION) and changes nothing.

    :param file: TOML file with the tables and keys to change.
    :param version: version number that the patch was written against.
    :param settings: settings file, or ``lagos`` / ``montevideo``.
    """
    from . import ctl

    with open(file, encoding="utf-8") as handle:
        text = handle.read()
    _print_and_exit(ctl.patch(_settings(settings), text, version))


def vm_drain(name: str, *, settings: str = DEFAULT_SETTINGS):
    """Declare a VM (engine or entry) as leaving, so that it gets no new work.

    :param name: the VM's name in the settings.
    :param settings: settings file, or ``lagos`` / ``montevideo``.
    """
    from . import ctl

    _print_and_exit(ctl.drain(_settings(settings), name))


def status(*, settings: str = DEFAULT_SETTINGS):
    """Print each entry's configuration version and each engine's state.

    :param settings: settings file, or ``lagos`` / ``montevideo``.
    """
    from . import ctl

    _print_and_exit(ctl.status(_settings(settings)))


def _print_and_exit(result):
    print(json.dumps(result.document, indent=2))
    sys.exit(0 if result.code == 0 else 1)


def store(*, settings: str = DEFAULT_SETTINGS):
    """Run a stand-in of the platform's store on the store address of the settings.

    :param settings: settings file, or ``lagos`` / ``montevideo``.
    """
    from .standin import store as store_standin

    _run(store_standin.serve(_settings(settings).store.address))


def engine(name: str, *, settings: str = DEFAULT_SETTINGS):
    """Run a stand-in of one model engine.

    :param name: the engine's name in the settings.
    :param settings: settings file, or ``lagos`` / ``montevideo``.
    """
    from .standin import engine as engine_standin

    found = next(e for e in _settings(settings).engines if e.name == name)
    config = engine_standin.EngineConfig(
        name=name,
        checks_fencing=found.checks_fencing,
        batch_size=found.batch_size,
        prefill_tokens_per_second=found.prefill_tokens_per_second,
        decode_tokens_per_second=found.decode_tokens_per_second,
        cache_blocks=found.cache_blocks,
    )
    _run(engine_standin.serve(found.address, config))


def service(name: str, *, settings: str = DEFAULT_SETTINGS, latency: float = 0.01):
    """Run a stand-in of one application service instance.

    :param name: the instance's name in the settings.
    :param settings: settings file, or ``lagos`` / ``montevideo``.
    :param latency: seconds that each call takes.
    """
    from .standin import service as service_standin

    found = next(s for s in _settings(settings).services if s.name == name)
    _run(service_standin.serve(found.address, name, latency))


def vmlist(*, settings: str = DEFAULT_SETTINGS, lag: float = 5.0):
    """Run a stand-in of the platform's VM list, which shows changes with a lag.

    :param settings: settings file, or ``lagos`` / ``montevideo``.
    :param lag: seconds until a change of a VM's state is shown.
    """
    from .standin import vmlist as vmlist_standin

    loaded = _settings(settings)
    names = [e.name for e in loaded.entries] + [e.name for e in loaded.engines]
    _run(vmlist_standin.serve(loaded.vm_list.address, names, lag))


def proxy(listen: str, target: str, control: str):
    """Run the fault-injecting TCP proxy.

    :param listen: ``host:port`` to accept on.
    :param target: ``host:port`` to forward to.
    :param control: ``host:port`` that accepts ``POST /faults``.
    """
    from .standin import faultproxy

    _run(faultproxy.serve(listen, target, control))


def load(
    *,
    settings: str = DEFAULT_SETTINGS,
    seconds: float = 10.0,
    scale: float = 1.0,
    seed: int = 0,
    json_out: str = "",
):
    """Send the deployment's request mix to its entries and report goodput.

    :param settings: settings file, or ``lagos`` / ``montevideo``.
    :param seconds: how long to send.
    :param scale: factor on the request rates of the mix.
    :param seed: seed of the mix and of the clients' choices.
    :param json_out: also write the report as JSON to this file.
    """
    from . import ctl

    report = ctl.run_load_report(_settings(settings), seconds, scale, seed)
    print(report.table)
    if json_out:
        with open(json_out, "w", encoding="utf-8") as handle:
            json.dump(report.rows, handle, indent=2)


def demo(*, deployment: str = "lagos", seconds: float = 10.0, scale: float = 1.0):
    """Run a local fleet of stand-ins and daemons under load and report goodput.

    :param deployment: ``lagos`` or ``montevideo``.
    :param seconds: how long to send.
    :param scale: factor on the request rates of the mix.
    """
    from . import ctl

    log.configure("demo", level="WARNING", stream=sys.stderr)
    report = ctl.demo(_settings(deployment), deployment, seconds, scale)
    print(report.table)
    sys.exit(0 if report.rows else 1)


def trace(request: str, *files: str):
    """Show the log lines of one request, from any number of VMs, and how it ended.

    :param request: the request's id.
    :param files: log files of the VMs; standard input when none is given.
    """
    import contextlib

    from .trace import build_trace, read_lines

    with contextlib.ExitStack() as stack:
        opened = [stack.enter_context(open(name, encoding="utf-8")) for name in files]
        found = build_trace(read_lines(opened or [sys.stdin]), request)
    print(found.render())
    sys.exit(0 if found.lines else 1)


config_show.__name__ = "show"
config_patch.__name__ = "patch"
vm_drain.__name__ = "drain"


def main(argv=None):
    """Entry point of the ``mulberrydock`` command."""
    commands = {
        "entry": entry,
        "control": control,
        "serve": serve,
        "ctl": {
            "config": [config_show, config_patch],
            "vm": [vm_drain],
            "status": status,
        },
        "standin": [store, engine, service, vmlist, proxy],
        "load": load,
        "demo": demo,
        "trace": trace,
    }
    try:
        defopt.run(commands, argv=argv, short={})
    except MulberrydockError as error:
        print(str(error), file=sys.stderr)
        sys.exit(2)
