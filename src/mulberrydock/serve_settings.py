"""Loading and checking of the settings file of an entry VM on the platform."""

import cattrs
import jsonschema

from . import _serve_model as model
from .settings import check_document, load_schema, parse_toml

ServeSettings = model.ServeSettings

_VALIDATOR = jsonschema.Draft202012Validator(load_schema("serve.schema.json"))
_converter = cattrs.Converter(forbid_extra_keys=True)


def parse_serve_settings(text, source="settings"):
    """Parse and check settings TOML text.

    :raises SettingsError: naming the key that is wrong.
    """
    document = parse_toml(text, source)
    check_document(_VALIDATOR, document, source)
    return _converter.structure(document, ServeSettings)


def load_serve_settings(path):
    """Read and check the settings file at ``path``."""
    with open(path, encoding="utf-8") as handle:
        return parse_serve_settings(handle.read(), source=str(path))
