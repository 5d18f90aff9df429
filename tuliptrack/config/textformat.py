"""Protobuf text format read statement by statement, so that every error is told at once, with its line.

The library's own parser stops at the first error and forgets where a value stood. Here its tokenizer walks
the text, each scalar statement is handed to its parser alone, and the place of every field is kept for the
checks that follow. Source: the protobuf text format language specification.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from google.protobuf import text_format
from google.protobuf.message import Message

__all__ = ["ConfigError", "Located", "Problem", "read_file", "read_text"]

M = TypeVar("M", bound=Message)
_OPEN = {"{": "}", "<": ">"}
_MOST_PROBLEMS = 100
_MOST_BYTES = 16_777_216


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing wrong: the file, its line (from 1; 0: the whole file), the field's path, and why."""

    file: str
    line: int
    field: str
    reason: str

    def __str__(self) -> str:
        return (
            f"{self.file}:{self.line}: {self.field}: {self.reason}"
            if self.field
            else (f"{self.file}:{self.line}: {self.reason}")
        )


class ConfigError(Exception):
    """A file that can't be used, with everything that is wrong in it."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass
class Located:
    """Where each field of a message stood: path (`tenant[1].share`) to line."""

    file: str
    lines: dict[str, int] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)

    def line(self, path: str) -> int:
        """The line of a field, or of the nearest block round it that was written."""
        while path and path not in self.lines:
            path = path.rpartition(".")[0] if "." in path else ""
        return self.lines.get(path, 1)

    def problem(self, path: str, reason: str) -> None:
        if len(self.problems) < _MOST_PROBLEMS:
            self.problems.append(Problem(self.file, self.line(path), path, reason))

    def add(self, line: int, path: str, reason: str) -> None:
        if len(self.problems) < _MOST_PROBLEMS:
            self.problems.append(Problem(self.file, line, path, reason))

    def check(self) -> None:
        """Raise where anything was found."""
        if self.problems:
            raise ConfigError(sorted(self.problems, key=lambda p: p.line))


def read_file(path: str | Path, kind: type[M]) -> tuple[M, Located]:
    """Read a message from a file. ConfigError where the file can't be read; other problems are in
    `Located`.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError([Problem(str(path), 0, "", f"can't be read: {error.strerror or error}")]) from None
    if len(data) > _MOST_BYTES:
        raise ConfigError([Problem(str(path), 0, "", f"{len(data)} bytes, {_MOST_BYTES} at most")])
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise ConfigError([Problem(str(path), line, "", "is not UTF-8 text")]) from None
    return read_text(text, kind, str(path))


def read_text(text: str, kind: type[M], file: str = "<text>") -> tuple[M, Located]:
    """Read a message from text; what is wrong stands in `Located.problems`, the rest is read all the same."""
    located = Located(file)
    message = kind()
    try:
        _block(text_format.Tokenizer(text.splitlines()), message, "", "", located)
    except text_format.ParseError as error:
        located.add(error.GetLine() or 1, "", _reason(error))
    return message, located


def _reason(error: Exception) -> str:
    text = str(error)
    return text.split(" : ", 1)[-1].strip().removeprefix("'': ") if " : " in text else text


def _here(tokens: text_format.Tokenizer) -> int:
    return int(tokens._line) + 1  # type: ignore[attr-defined]


def _error(tokens: text_format.Tokenizer, reason: str) -> text_format.ParseError:
    return text_format.ParseError(reason, _here(tokens))


def _block(tokens: text_format.Tokenizer, message: Message, path: str, close: str, located: Located) -> None:
    """Statements up to the closing sign, or the end of the text."""
    while not (tokens.AtEnd() if not close else tokens.TryConsume(close)):
        if tokens.AtEnd():
            raise _error(tokens, f"the text ends inside {path or 'a block'}: {close!r} is missing")
        line = _here(tokens)
        name = tokens.ConsumeIdentifier()
        known = message.DESCRIPTOR.fields_by_name.get(name)
        here = f"{path}.{name}" if path else name
        if known is None:
            located.add(line, here, f"no such field in {message.DESCRIPTOR.name}")
            tokens.TryConsume(":")
            _skip(tokens)
        elif known.message_type is not None:
            tokens.TryConsume(":")
            _messages(tokens, message, known, here, line, located)
        else:
            tokens.Consume(":")
            _scalars(tokens, message, known, here, line, located)
        tokens.TryConsume(",") or tokens.TryConsume(";")


def _messages(
    tokens: text_format.Tokenizer, message: Message, known: Any, path: str, line: int, located: Located
) -> None:
    listed = known.is_repeated and tokens.TryConsume("[")
    while not (listed and tokens.TryConsume("]")):
        if known.is_repeated:
            here = f"{path}[{len(getattr(message, known.name))}]"
            inner = getattr(message, known.name).add()
        else:
            here = path
            if path in located.lines:
                located.add(line, path, f"stands twice, first in line {located.lines[path]}")
            inner = getattr(message, known.name)
            inner.SetInParent()
        located.lines[here] = _here(tokens)
        sign = next((s for s in _OPEN if tokens.TryConsume(s)), None)
        if sign is None:
            raise _error(tokens, f"{path}: a block in braces is expected")
        _block(tokens, inner, here, _OPEN[sign], located)
        if not listed:
            return
        tokens.TryConsume(",")


def _scalars(
    tokens: text_format.Tokenizer, message: Message, known: Any, path: str, line: int, located: Located
) -> None:
    listed = known.is_repeated and tokens.TryConsume("[")
    if not known.is_repeated and path in located.lines:
        located.add(line, path, f"stands twice, first in line {located.lines[path]}")
    located.lines[path] = line
    while not (listed and tokens.TryConsume("]")):
        value = tokens.token
        tokens.NextToken()
        if value == "-":
            value += tokens.token
            tokens.NextToken()
        while value[:1] in "'\"" and tokens.token[:1] in ("'", '"'):  # neighbouring strings are one
            value += " " + tokens.token
            tokens.NextToken()
        one = type(message)()
        try:
            text_format.Merge(f"{known.name}: {value}", one)
            message.MergeFrom(one) if known.is_repeated else setattr(
                message, known.name, getattr(one, known.name)
            )
        except (text_format.ParseError, ValueError) as error:
            located.add(line, path, _reason(error))
        if not listed:
            return
        tokens.TryConsume(",")


def _skip(tokens: text_format.Tokenizer) -> None:
    """Pass over one value of an unknown field."""
    depth = 0
    while not tokens.AtEnd():
        token = tokens.token
        if token in ("}", ">", "]"):
            if depth == 0:
                return
            depth -= 1
        elif token in ("{", "<", "["):
            depth += 1
        tokens.NextToken()
        if depth == 0 and token != "-":
            while token[:1] in "'\"" and tokens.token[:1] in ("'", '"'):
                tokens.NextToken()
            return
