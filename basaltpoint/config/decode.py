"""Decodes a TOML file into typed structures and collects all errors in it.

msgspec decodes and checks each value. As it stops at the first error, this module walks tables key by key. An
error names the file, the key's path, what was found and what is allowed.
"""

from __future__ import annotations

import difflib
import tomllib
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import inspect

T = TypeVar("T", bound=msgspec.Struct)
MAX_SHOWN_CHARS = 60  # of a value in an error


@dataclass(frozen=True, slots=True)
class Problem:
    """One error; `path` is the path of the key, such as `route[2].pool`."""

    file: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: {self.found}; allowed: {self.allowed}"


class FileError(Exception):
    """An invalid configuration, with all problems found in it."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(map(str, self.problems)))


def format_value(value: object) -> str:
    """Returns a value as it is written in an error."""
    if isinstance(value, dict):
        return "a table"
    if isinstance(value, bool):
        return "true" if value else "false"
    text = repr(value).replace("'", '"') if isinstance(value, str) else str(value)
    return text if len(text) <= MAX_SHOWN_CHARS else text[: MAX_SHOWN_CHARS - 3] + "..."


class ProblemCollector:
    """Collects the problems of one file."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[Problem] = []

    def add(self, path: str, found: str, allowed: str) -> None:
        self.problems.append(Problem(self.file, path, found, allowed))

    def raise_problems(self) -> None:
        """Raises FileError if there are problems."""
        if self.problems:
            raise FileError(self.problems)


def read_toml(path: Path, out: ProblemCollector) -> dict[str, Any]:
    """Reads the file's tables; adds a problem and returns no tables if it can't be read or is not TOML."""
    try:
        return parse_toml(path.read_bytes(), "file", out)
    except OSError as error:
        out.add("(file)", f"can't be read: {error.strerror}", "a file that this user may read")
        return {}


def parse_toml(text: bytes, what: str, out: ProblemCollector) -> dict[str, Any]:
    """Parses TOML; adds a problem and returns no tables if it is invalid.

    `what` names the text in problems, such as "file" or "document".
    """
    try:
        return tomllib.loads(text.decode())
    except UnicodeDecodeError as error:
        out.add(f"({what})", f"not UTF-8 at byte {error.start}", f"a TOML {what} in UTF-8")
    except tomllib.TOMLDecodeError as error:
        out.add(f"({what})", f"invalid TOML: {error}", "TOML 1.0")
    return {}


def load_toml(path: Path) -> dict[str, Any]:
    """Reads the file's tables; raises FileError if it can't be read or is not TOML."""
    out = ProblemCollector(str(path))
    raw = read_toml(path, out)
    out.raise_problems()
    return raw


def describe_allowed(kind: inspect.Type) -> str:
    """Describes the values that this type allows."""
    match kind := unwrap_type(kind):
        case inspect.BoolType():
            return "true or false"
        case inspect.IntType() | inspect.FloatType():
            noun = "a whole number" if isinstance(kind, inspect.IntType) else "a number"
            bounds = [
                f"{word} {bound:g}"
                for word, bound in (
                    ("above", kind.gt),
                    ("from", kind.ge),
                    ("below", kind.lt),
                    ("up to", kind.le),
                )
                if bound is not None
            ]
            return " ".join([noun, *bounds])
        case inspect.StrType():
            if kind.pattern:
                return f"a text of the form {kind.pattern}"
            return "a text that is not empty" if kind.min_length else "a text"
        case inspect.EnumType():
            return "one of " + ", ".join(format_value(member.value) for member in kind.cls)
        case inspect.ListType() | inspect.VarTupleType():
            return f"a list, each item {describe_allowed(kind.item_type)}"
        case inspect.DictType():
            return f"a table, each value {describe_allowed(kind.value_type)}"
        case inspect.StructType():
            return "a table"
        case _:
            return str(kind)


def unwrap_type(kind: inspect.Type) -> inspect.Type:
    """Returns a type without its metadata, and without None if that is its only alternative."""
    if isinstance(kind, inspect.Metadata):
        return unwrap_type(kind.type)
    if isinstance(kind, inspect.UnionType):
        alternatives = [each for each in kind.types if not isinstance(each, inspect.NoneType)]
        return unwrap_type(alternatives[0]) if len(alternatives) == 1 else kind
    return kind


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def decode(kind: type[T], raw: dict[str, Any], out: ProblemCollector, path: str = "") -> T | None:
    """Decodes a table; returns None if it is invalid and adds its problems to `out`."""
    info = inspect.type_info(kind)
    assert isinstance(info, inspect.StructType)
    problems_before = len(out.problems)
    values = _decode_fields(info, raw, out, path)
    return kind(**values) if len(out.problems) == problems_before else None


def _decode_fields(
    info: inspect.StructType, raw: dict[str, Any], out: ProblemCollector, path: str
) -> dict[str, Any]:
    known = {field.encode_name: field for field in info.fields}
    for key in raw:
        if key not in known:
            close = difflib.get_close_matches(key, known, 1, 0.5)
            hint = f'did you mean "{close[0]}"?' if close else "one of " + ", ".join(sorted(known))
            out.add(_join_path(path, key), "an unknown key", hint)
    values: dict[str, Any] = {}
    for key, field in known.items():
        if key in raw:
            values[field.name] = _decode_value(field.type, raw[key], out, _join_path(path, key))
        elif field.required:
            out.add(_join_path(path, key), "missing", describe_allowed(field.type))
    return values


def _decode_value(kind: inspect.Type, value: Any, out: ProblemCollector, path: str) -> Any:
    kind = unwrap_type(kind)
    if isinstance(kind, inspect.StructType) and isinstance(value, dict):
        return decode(kind.cls, value, out, path)
    if isinstance(kind, inspect.VarTupleType) and isinstance(value, list):
        return tuple(
            _decode_value(kind.item_type, item, out, f"{path}[{at}]") for at, item in enumerate(value)
        )
    if isinstance(kind, inspect.DictType) and isinstance(value, dict):
        return {
            key: _decode_value(kind.value_type, item, out, _join_path(path, key))
            for key, item in value.items()
        }
    return _convert(kind, value, out, path)


def _convert(kind: inspect.Type, value: Any, out: ProblemCollector, path: str) -> Any:
    try:
        return msgspec.convert(value, _python_type(kind), strict=True)
    except msgspec.ValidationError:
        out.add(path, f"found {format_value(value)}", describe_allowed(kind))
        return None


def _python_type(kind: inspect.Type) -> Any:
    """Returns the type that msgspec converts to, with its bounds."""
    match kind := unwrap_type(kind):
        case inspect.BoolType():
            return bool
        case inspect.IntType():
            return _bounded(int, kind)
        case inspect.FloatType():
            return _bounded(float, kind)
        case inspect.StrType():
            return _bounded(str, kind)
        case inspect.EnumType() | inspect.StructType():
            return kind.cls
        case inspect.VarTupleType():
            return tuple[_python_type(kind.item_type), ...]  # type: ignore[misc]
        case inspect.DictType():
            return dict[str, _python_type(kind.value_type)]  # type: ignore[misc]
        case _:
            raise AssertionError(f"fields of this type can't be decoded: {kind}")


def _bounded(kind: type, info: Any) -> Any:
    names = ("gt", "ge", "lt", "le", "min_length", "max_length", "pattern")
    bounds = {name: value for name in names if (value := getattr(info, name, None)) is not None}
    return Annotated[kind, msgspec.Meta(**bounds)] if bounds else kind
