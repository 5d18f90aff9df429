"""Parses protobuf text format statement by statement, to report every error at once, each with its line.

The parser of the protobuf library stops at the first error and does not record the lines of fields. This
module reads the text with the library's tokenizer, passes each scalar statement to its parser separately, and
records the line of every field for the validation that follows. Source: the protobuf text format language
specification.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from google.protobuf import text_format
from google.protobuf.message import Message

__all__ = ["ConfigError", "Diagnostics", "Problem", "read_file", "read_text"]

M = TypeVar("M", bound=Message)
_CLOSING_BRACKETS = {"{": "}", "<": ">"}
_MAX_PROBLEMS = 100
_MAX_FILE_BYTES = 16_777_216


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem of a file: its line (from 1; 0: the whole file), the path of the field, and the reason."""

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
    """A file that is invalid or can't be read, with all of its problems."""

    def __init__(self, problems: list[Problem]) -> None:
        super().__init__("\n".join(map(str, problems)))
        self.problems = problems


@dataclass
class Diagnostics:
    """Collects the problems of a file, and has the line of each field by its path (`tenant[1].share`)."""

    file: str
    lines: dict[str, int] = field(default_factory=dict)
    problems: list[Problem] = field(default_factory=list)

    def line(self, path: str) -> int:
        """Return the line of a field, or of the innermost enclosing block that the file has."""
        while path and path not in self.lines:
            path = path.rpartition(".")[0] if "." in path else ""
        return self.lines.get(path, 1)

    def add(self, path: str, reason: str) -> None:
        """Add a problem of a field."""
        if len(self.problems) < _MAX_PROBLEMS:
            self.problems.append(Problem(self.file, self.line(path), path, reason))

    def add_at(self, line: int, path: str, reason: str) -> None:
        """Add a problem at a known line."""
        if len(self.problems) < _MAX_PROBLEMS:
            self.problems.append(Problem(self.file, line, path, reason))

    def check(self) -> None:
        """Raise ConfigError where there is any problem."""
        if self.problems:
            raise ConfigError(sorted(self.problems, key=lambda p: p.line))


def read_file(path: str | Path, kind: type[M]) -> tuple[M, Diagnostics]:
    """Read a message from a file; problems of its content are in the `Diagnostics`.

    Raises:
        ConfigError: The file can't be read, is too large, or is not UTF-8.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError([Problem(str(path), 0, "", f"can't be read: {error.strerror or error}")]) from None
    if len(data) > _MAX_FILE_BYTES:
        raise ConfigError([Problem(str(path), 0, "", f"{len(data)} bytes, {_MAX_FILE_BYTES} at most")])
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise ConfigError([Problem(str(path), line, "", "is not UTF-8 text")]) from None
    return read_text(text, kind, str(path))


def read_text(text: str, kind: type[M], file: str = "<text>") -> tuple[M, Diagnostics]:
    """Read a message from text; problems are in the `Diagnostics`, and most of them don't end the parsing."""
    diagnostics = Diagnostics(file)
    message = kind()
    try:
        _read_block(text_format.Tokenizer(text.splitlines()), message, "", "", diagnostics)
    except text_format.ParseError as error:
        diagnostics.add_at(error.GetLine() or 1, "", _reason(error))
    return message, diagnostics


def _reason(error: Exception) -> str:
    """Return the message of a parse error without its position, which is reported separately."""
    text = str(error)
    return text.split(" : ", 1)[-1].strip().removeprefix("'': ") if " : " in text else text


def _line_of(tokens: text_format.Tokenizer) -> int:
    return int(tokens._line) + 1  # type: ignore[attr-defined]


def _error(tokens: text_format.Tokenizer, reason: str) -> text_format.ParseError:
    return text_format.ParseError(reason, _line_of(tokens))


def _read_block(
    tokens: text_format.Tokenizer, message: Message, path: str, close: str, diagnostics: Diagnostics
) -> None:
    """Read statements up to the bracket `close`, or to the end of the text where it is empty."""
    while not (tokens.AtEnd() if not close else tokens.TryConsume(close)):
        if tokens.AtEnd():
            raise _error(tokens, f"the text ends inside {path or 'a block'}: {close!r} is missing")
        line = _line_of(tokens)
        name = tokens.ConsumeIdentifier()
        descriptor = message.DESCRIPTOR.fields_by_name.get(name)
        field_path = f"{path}.{name}" if path else name
        if descriptor is None:
            diagnostics.add_at(line, field_path, f"no such field in {message.DESCRIPTOR.name}")
            tokens.TryConsume(":")
            _skip_value(tokens)
        elif descriptor.message_type is not None:
            tokens.TryConsume(":")
            _read_messages(tokens, message, descriptor, field_path, line, diagnostics)
        else:
            tokens.Consume(":")
            _read_scalars(tokens, message, descriptor, field_path, line, diagnostics)
        tokens.TryConsume(",") or tokens.TryConsume(";")


def _read_messages(
    tokens: text_format.Tokenizer,
    message: Message,
    descriptor: Any,
    path: str,
    line: int,
    diagnostics: Diagnostics,
) -> None:
    is_list = descriptor.is_repeated and tokens.TryConsume("[")
    while not (is_list and tokens.TryConsume("]")):
        if descriptor.is_repeated:
            element_path = f"{path}[{len(getattr(message, descriptor.name))}]"
            inner = getattr(message, descriptor.name).add()
        else:
            element_path = path
            if path in diagnostics.lines:
                diagnostics.add_at(line, path, f"stands twice, first in line {diagnostics.lines[path]}")
            inner = getattr(message, descriptor.name)
            inner.SetInParent()
        diagnostics.lines[element_path] = _line_of(tokens)
        bracket = next((b for b in _CLOSING_BRACKETS if tokens.TryConsume(b)), None)
        if bracket is None:
            raise _error(tokens, f"{path}: expected a block in braces")
        _read_block(tokens, inner, element_path, _CLOSING_BRACKETS[bracket], diagnostics)
        if not is_list:
            return
        tokens.TryConsume(",")


def _read_scalars(
    tokens: text_format.Tokenizer,
    message: Message,
    descriptor: Any,
    path: str,
    line: int,
    diagnostics: Diagnostics,
) -> None:
    is_list = descriptor.is_repeated and tokens.TryConsume("[")
    if not descriptor.is_repeated and path in diagnostics.lines:
        diagnostics.add_at(line, path, f"stands twice, first in line {diagnostics.lines[path]}")
    diagnostics.lines[path] = line
    while not (is_list and tokens.TryConsume("]")):
        value = tokens.token
        tokens.NextToken()
        if value == "-":
            value += tokens.token
            tokens.NextToken()
        while value[:1] in "'\"" and tokens.token[:1] in ("'", '"'):  # Adjacent strings are joined.
            value += " " + tokens.token
            tokens.NextToken()
        parsed = type(message)()
        try:
            text_format.Merge(f"{descriptor.name}: {value}", parsed)
            message.MergeFrom(parsed) if descriptor.is_repeated else setattr(
                message, descriptor.name, getattr(parsed, descriptor.name)
            )
        except (text_format.ParseError, ValueError) as error:
            diagnostics.add_at(line, path, _reason(error))
        if not is_list:
            return
        tokens.TryConsume(",")


def _skip_value(tokens: text_format.Tokenizer) -> None:
    """Skip one value of an unknown field."""
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
