"""Generates the settings classes from the JSON schemas of the settings.

Run ``python tools/generate_settings.py`` after changing a schema in
``src/mulberrydock/schema``. The generated modules are committed, so that installing the
package doesn't require this script.
"""

import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "src" / "mulberrydock"
#: Schema in ``schema/`` -> module generated from it.
MODELS = {
    "settings.schema.json": "_settings_model.py",
    "serve.schema.json": "_serve_model.py",
}
SCALARS = {"string": "str", "number": "float", "integer": "int", "boolean": "bool"}


def _type(prop):
    if "$ref" in prop:
        return prop["$ref"].rsplit("/", 1)[1]
    if prop["type"] == "array":
        return f"list[{_type(prop['items'])}]"
    if prop["type"] == "object":
        return f"dict[str, {_type(prop['additionalProperties'])}]"
    return SCALARS[prop["type"]]


def _field(name, prop, required):
    kind = _type(prop)
    if required:
        return f"    {name}: {kind!s} = attrs.field()"
    default = prop.get("default")
    if "$ref" in prop:
        return f"    {name}: {kind} = attrs.field(factory={kind})"
    if isinstance(default, list | dict):
        return f"    {name}: {kind} = attrs.field(factory=lambda: {default!r})"
    return f"    {name}: {kind} = attrs.field(default={default!r})"


def _class(name, spec):
    lines = ["@attrs.define(kw_only=True)", f"class {name}:"]
    lines.append(f'    """{spec["description"]}"""')
    lines.append("")
    required = set(spec.get("required", []))
    for field, prop in spec["properties"].items():
        lines.append(_field(field, prop, field in required))
    return "\n".join(lines)


def generate(schema, source):
    """Return the source of the module with the classes of a schema.

    :param schema: the parsed JSON schema.
    :param source: file name of the schema, for the module's docstring.
    """
    parts = [
        f'"""Settings classes generated from schema/{source}."""',
        "",
        "from __future__ import annotations",
        "",
        "import attrs",
    ]
    for name, spec in schema["$defs"].items():
        parts.extend(["", "", _class(name, spec)])
    parts.extend(["", "", _class(schema["title"], schema)])
    names = [*schema["$defs"], schema["title"]]
    parts.extend(["", ""] + [f"attrs.resolve_types({name})" for name in names])
    return "\n".join(parts) + "\n"


if __name__ == "__main__":
    for source, output in MODELS.items():
        schema = json.loads((PACKAGE / "schema" / source).read_text())
        (PACKAGE / output).write_text(generate(schema, source))
