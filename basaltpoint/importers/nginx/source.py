"""Reads nginx files into one tree: includes are expanded, and each directive has its file and line.

crossplane checks the syntax, the contexts and the argument counts. It does not report circular includes or
the chain of includes that led to a file, so the tree is built here.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import crossplane

MAX_INCLUDE_DEPTH = 32  # nginx itself has no limit, but every nested include is an open file


@dataclass(frozen=True, slots=True)
class SourcePosition:
    """File and line, with the chain of includes that led there, outermost first."""

    file: str
    line: int
    include_chain: tuple[tuple[str, int], ...] = ()

    def __str__(self) -> str:
        by = "".join(f", included at {file}:{line}" for file, line in reversed(self.include_chain))
        return f"{self.file}:{self.line}{by}"


@dataclass(frozen=True, slots=True)
class Directive:
    """A directive; `block` is None for a simple directive, which ends with a semicolon."""

    name: str
    args: tuple[str, ...]
    position: SourcePosition
    block: tuple[Directive, ...] | None = None

    def find_all(self, *names: str) -> Iterator[Directive]:
        """Returns the directives with these names directly in the block, in file order."""
        return (each for each in self.block or () if each.name in names)

    def find_last(self, name: str) -> Directive | None:
        """Returns the last directive with this name; for directives where the last one takes effect."""
        return next((each for each in reversed(self.block or ()) if each.name == name), None)


@dataclass(frozen=True, slots=True)
class Problem:
    position: SourcePosition
    text: str

    def __str__(self) -> str:
        return f"{self.position}: {self.text}"


class SourceError(ValueError):
    """The files are not a valid nginx configuration; lists every problem found."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


class _TreeBuilder:
    """Builds one tree from the files that crossplane parsed, expanding includes."""

    def __init__(self, files: list[dict[str, Any]]) -> None:
        self._files = files
        self._problems: dict[Problem, None] = {}  # an ordered set

    def build(self) -> tuple[Directive, ...]:
        tree = tuple(self._read_file(0, (), (0,)))
        if self._problems:
            raise SourceError(list(self._problems))
        return tree

    def _read_file(
        self, file_index: int, include_chain: tuple[tuple[str, int], ...], open_file_indexes: tuple[int, ...]
    ) -> Iterator[Directive]:
        file = self._files[file_index]
        for error in file["errors"]:
            # crossplane appends the position to its messages; here it comes first.
            text = str(error["error"]).removesuffix(f" in {file['file']}:{error['line']}")
            self._add_problem(SourcePosition(file["file"], error["line"] or 1, include_chain), text)
        yield from self._read_block(file["file"], file["parsed"], include_chain, open_file_indexes)

    def _read_block(
        self,
        file_name: str,
        parsed_directives: list[dict[str, Any]],
        include_chain: tuple[tuple[str, int], ...],
        open_file_indexes: tuple[int, ...],
    ) -> Iterator[Directive]:
        for parsed in parsed_directives:
            position = SourcePosition(file_name, parsed["line"], include_chain)
            if parsed["directive"] == "include":
                yield from self._read_include(position, parsed, open_file_indexes)
                continue
            block = parsed.get("block")
            inner = (
                None
                if block is None
                else tuple(self._read_block(file_name, block, include_chain, open_file_indexes))
            )
            yield Directive(parsed["directive"], tuple(parsed["args"]), position, inner)

    def _read_include(
        self, position: SourcePosition, parsed: dict[str, Any], open_file_indexes: tuple[int, ...]
    ) -> Iterator[Directive]:
        include_chain = (*position.include_chain, (position.file, position.line))
        for file_index in parsed.get("includes", ()):
            if file_index in open_file_indexes:
                self._add_problem(position, f"include of {self._files[file_index]['file']} is circular")
            elif len(include_chain) > MAX_INCLUDE_DEPTH:
                self._add_problem(position, f"includes are nested more than {MAX_INCLUDE_DEPTH} deep")
            else:
                yield from self._read_file(file_index, include_chain, (*open_file_indexes, file_index))

    def _add_problem(self, position: SourcePosition, text: str) -> None:
        self._problems[Problem(position, text)] = None


def read_config(path: str | Path) -> tuple[Directive, ...]:
    """Returns the directives of a file and of all files that it includes.

    Relative include paths are resolved against the directory of the first file. Raises SourceError with every
    problem of syntax, context and argument count, and with the chain of includes for a circular include or a
    missing file. A mask that matches no file is valid, as in nginx.
    """
    return _TreeBuilder(crossplane.parse(str(path), strict=False)["config"]).build()
