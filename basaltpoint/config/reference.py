"""Generates the reference of the configuration file from its schema."""

from __future__ import annotations

import enum
from typing import Any

import msgspec
from msgspec import inspect

from basaltpoint.config import schema
from basaltpoint.config.decode import describe_allowed, format_value, unwrap_type

PAGE_HEAD = """# Configuration reference

Generated from the schema by `basaltpoint reference`; a test compares the two. The names of keys for times and
sizes end with the unit. Unknown keys are errors.
"""


def reference() -> str:
    """Returns the whole page, in Markdown."""
    info = inspect.type_info(schema.ConfigFile)
    assert isinstance(info, inspect.StructType)
    parts = [PAGE_HEAD, _table("Top level", info)]
    for field in info.fields:
        kind = unwrap_type(field.type)
        is_list = isinstance(kind, inspect.VarTupleType)
        inner = unwrap_type(kind.item_type) if isinstance(kind, inspect.VarTupleType) else kind
        if isinstance(inner, inspect.StructType):
            name = field.encode_name
            title = f"`[[{name}]]`" if is_list else f"`[{name}]`"
            parts.append(_table(title, inner))
    return "\n".join(parts)


def _table(title: str, info: inspect.StructType) -> str:
    doc = (info.cls.__doc__ or "").partition(": ")[2]
    rows = [f"## {title}", ""]
    if doc:
        rows += [doc[0].upper() + doc[1:], ""]
    rows += ["| key | allowed | default | meaning |", "| --- | --- | --- | --- |"]
    for field in info.fields:
        kind = unwrap_type(field.type)
        inner = unwrap_type(kind.item_type) if isinstance(kind, inspect.VarTupleType) else kind
        if isinstance(inner, inspect.StructType):
            continue
        cells = (
            f"`{field.encode_name}`",
            describe_allowed(field.type),
            _default(field),
            _description(field.type),
        )
        rows.append("| " + " | ".join(map(_escape, cells)) + " |")
    return "\n".join(rows) + "\n"


def _description(kind: inspect.Type) -> str:
    while isinstance(kind, inspect.Metadata):
        if kind.extra_json_schema and "description" in kind.extra_json_schema:
            return str(kind.extra_json_schema["description"])
        kind = kind.type
    return ""


def _default(field: inspect.Field) -> str:
    if field.required:
        return "required"
    value: Any = field.default if field.default is not msgspec.NODEFAULT else field.default_factory()
    if isinstance(value, enum.Enum):
        value = value.value
    if value in ("", (), {}):
        return "none"
    return f"`{format_value(value)}`"


def _escape(text: str) -> str:
    return text.replace("|", "\\|")
