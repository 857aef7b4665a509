"""Loads and validates settings files and declared configurations.

A settings file is TOML, validated against ``schema/settings.schema.json``. Its
``declared`` table is the declared configuration, which the store holds as TOML text
under a version number.
"""

import importlib.resources
import json
import tomllib
import typing as t

import cattrs
import jsonschema

from . import _settings_model as model
from .exceptions import SettingsError

Settings = model.Settings
Declared = model.Declared
Engine = model.Engine
Entry = model.Entry
Service = model.Service
PriorityClass = model.PriorityClass

_converter = cattrs.Converter(forbid_extra_keys=True)


def load_schema(name):
    """Return the parsed JSON Schema ``name`` of this package."""
    text = importlib.resources.files(__package__).joinpath(f"schema/{name}")
    return json.loads(text.read_text())


_SCHEMA = load_schema("settings.schema.json")
_VALIDATOR = jsonschema.Draft202012Validator(_SCHEMA)
_DECLARED_VALIDATOR = jsonschema.Draft202012Validator(
    {"$ref": "#/$defs/Declared", "$defs": _SCHEMA["$defs"]}
)


def _path(error):
    parts = []
    for part in error.absolute_path:
        if isinstance(part, int):
            parts.append(f"[{part}]")
        else:
            parts.append(f".{part}" if parts else part)
    return "".join(parts) or "(top level)"


def check_document(validator, document, source):
    """Validate a parsed document against a schema.

    :param source: name used in error messages, such as the file path.
    :raises SettingsError: listing every invalid key with the reason.
    """
    errors = sorted(validator.iter_errors(document), key=lambda e: list(e.path))
    if errors:
        lines = [f"{_path(e)}: {e.message}" for e in errors]
        raise SettingsError(f"{source}: " + "; ".join(lines))


def parse_toml(text, source):
    """Parse TOML ``text``.

    :param source: name used in error messages, such as the file path.
    :raises SettingsError: when the text isn't valid TOML.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{source}: not TOML: {error}") from error


def _check_unique(items, what, source):
    names = [item.name for item in items]
    repeated = sorted({name for name in names if names.count(name) > 1})
    if repeated:
        raise SettingsError(f"{source}: {what} named twice: {', '.join(repeated)}")


def _check_references(settings, source):
    _check_unique(settings.engines, "engines", source)
    _check_unique(settings.entries, "entries", source)
    _check_unique(settings.services, "services", source)
    _check_unique(settings.classes, "classes", source)
    centres = set(settings.data_centres)
    for group in ("engines", "entries", "services"):
        for index, item in enumerate(getattr(settings, group)):
            if item.data_centre not in centres:
                raise SettingsError(
                    f"{source}: {group}[{index}].data_centre: "
                    f"{item.data_centre!r} is not in data_centres"
                )
    check_declared(settings.declared, settings, source)


def check_declared(declared, settings, source="declared"):
    """Check that a declared configuration names only engines and VMs of ``settings``.

    :param source: name used in error messages.
    :raises SettingsError: naming the first key with an unknown engine or VM.
    """
    engines = {engine.name for engine in settings.engines}
    for index, order in enumerate(declared.engines):
        if order.engine not in engines:
            raise SettingsError(
                f"{source}: engines[{index}].engine: {order.engine!r} is not an engine"
            )
    known = engines | {entry.name for entry in settings.entries}
    for index, name in enumerate(declared.leaving):
        if name not in known:
            raise SettingsError(f"{source}: leaving[{index}]: {name!r} is not a VM")


def parse_settings(text, source="settings"):
    """Parse and validate the TOML text of a settings file.

    :param text: TOML text.
    :param source: name used in error messages, such as the file path.
    :returns: a :class:`Settings`.
    :raises SettingsError: on a syntax error, an unknown key, a wrong type, a value
        out of range, a repeated name or a reference to an unknown name.
    """
    document = parse_toml(text, source)
    check_document(_VALIDATOR, document, source)
    settings = _converter.structure(document, Settings)
    _check_references(settings, source)
    return settings


def load_settings(path):
    """Read and validate the settings file at ``path``; see :func:`parse_settings`."""
    with open(path, encoding="utf-8") as handle:
        return parse_settings(handle.read(), source=str(path))


def default_settings_text(name="lagos"):
    """Return the TOML text of an embedded deployment, ``lagos`` or ``montevideo``."""
    resource = importlib.resources.files(__package__).joinpath(
        f"deployments/{name}.toml"
    )
    return resource.read_text()


def parse_declared(text, settings, source="declared"):
    """Parse a declared configuration and check it against ``settings``.

    :param text: TOML text.
    :param settings: the :class:`Settings` with the known engines and VMs.
    :param source: name used in error messages.
    :raises SettingsError: as :func:`parse_settings`.
    """
    document = parse_toml(text, source)
    check_document(_DECLARED_VALIDATOR, document, source)
    declared = _converter.structure(document, Declared)
    check_declared(declared, settings, source)
    return declared


def declared_to_toml(declared):
    """Render a :class:`Declared` as TOML text that :func:`parse_declared` accepts."""
    lines = [f"leaving = {json.dumps(list(declared.leaving))}", ""]
    for order in declared.engines:
        lines.append("[[engines]]")
        for key, value in _converter.unstructure(order).items():
            lines.append(f"{key} = {json.dumps(value)}")
        lines.append("")
    return "\n".join(lines)


def merge_patch(base: dict, patch: dict) -> dict:
    """Return a copy of ``base`` with ``patch`` merged in.

    Tables are merged recursively; any other value replaces the one in ``base``.
    """
    merged = dict(base)
    for key, value in patch.items():
        if isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = merge_patch(merged[key], value)
        else:
            merged[key] = value
    return merged


def class_by_name(settings) -> t.Dict[str, PriorityClass]:
    """Map class name to :class:`PriorityClass`."""
    return {klass.name: klass for klass in settings.classes}
