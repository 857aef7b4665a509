"""Loads and validates the settings file of an entry VM on the hosting platform."""

import cattrs
import jsonschema

from . import _serve_model as model
from .settings import check_document, load_schema, parse_toml

ServeSettings = model.ServeSettings

_VALIDATOR = jsonschema.Draft202012Validator(load_schema("serve.schema.json"))
_converter = cattrs.Converter(forbid_extra_keys=True)


def parse_serve_settings(text, source="settings"):
    """Parse and validate the TOML text of an entry VM's settings.

    :param source: name used in error messages, such as the file path.
    :returns: a :class:`ServeSettings`.
    :raises SettingsError: on a syntax error, or listing every invalid key.
    """
    document = parse_toml(text, source)
    check_document(_VALIDATOR, document, source)
    return _converter.structure(document, ServeSettings)


def load_serve_settings(path):
    """Read and validate the settings file at ``path``.

    :raises OSError: when the file can't be read.
    :raises SettingsError: as :func:`parse_serve_settings`.
    """
    with open(path, encoding="utf-8") as handle:
        return parse_serve_settings(handle.read(), source=str(path))
