"""What a v2 request means to the core, and what the core's words mean in v2: one table for gRPC and REST.

`docs/operate/kserve.md` has the table for users.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from importlib.metadata import version
from typing import Any

from tuliptrack.config.node import KserveOptions
from tuliptrack.fronts.kserve.tensors import Tensor
from tuliptrack.fronts.port import (
    ClientRequest,
    Failure,
    FinishReason,
    InvalidRequestError,
    RequestHandle,
    Usage,
)

__all__ = [
    "INPUTS",
    "OUTPUTS",
    "VERSION",
    "Gathered",
    "Infer",
    "ask_of",
    "facts_of",
    "failure_text",
    "wants_final",
    "wants_stream",
]

Value = bool | int | float | str
VERSION = version("tuliptrack")
INPUTS = (("text_input", "BYTES", (1,)), ("max_tokens", "INT32", (1,)), ("stream", "BOOL", (1,)))
"""Name, datatype and shape of what a model takes; the first is required."""
OUTPUTS = (("text_output", "BYTES", (1,)),)
_COUNTS = frozenset({"INT32", "INT64", "UINT32", "UINT64"})
_TEXTS = ("session", "prefix", "tenant", "request_class", "resume_text", "work")
_NUMBERS = ("prompt_tokens", "prefix_tokens", "max_tokens", "resume_index")
_FIELDS = {"sequence_id": "session", "work": "work_id", "repeat": "is_retry"}
"""Fields of a `ClientRequest` that have another name than their parameter."""
_MOST_TIMEOUT = 86_400_000_000  # microseconds: a day


@dataclass(slots=True)
class Infer:
    """A request of either form, taken apart but not yet understood."""

    model: str
    version: str
    id: str
    parameters: dict[str, Value] = field(default_factory=dict)
    inputs: list[Tensor] = field(default_factory=list)
    outputs: list[str] = field(default_factory=list)
    """Outputs asked for; none: all."""


def _one(tensor: Tensor, place: str) -> Any:
    if len(tensor.values) != 1:
        raise InvalidRequestError(place, f"one element expected, shape is {list(tensor.shape)}")
    return tensor.values[0]


def ask_of(
    infer: Infer, options: KserveOptions, now: int, deadline: int | None, connection: object
) -> ClientRequest:
    """The core's request; AskError names what can't be taken. `now` and `deadline` in monotonic
    microseconds.
    """
    given: dict[str, Any] = {}
    for tensor in infer.inputs:
        place = f"inputs.{tensor.name[:60]}"
        if tensor.name in given:
            raise InvalidRequestError(place, "stands twice")
        value: Any = _one(tensor, place) if tensor.name in ("text_input", "max_tokens", "stream") else None
        if tensor.name == "text_input" and tensor.datatype == "BYTES":
            try:
                given["text_input"] = value.decode()
            except UnicodeDecodeError as error:
                raise InvalidRequestError(place, f"is not UTF-8: {error}") from None
        elif tensor.name == "max_tokens" and tensor.datatype in _COUNTS:
            given["max_tokens"] = value
        elif tensor.name == "stream" and tensor.datatype == "BOOL":
            given["stream"] = value
        elif value is not None:
            wanted = next(kind for name, kind, _ in INPUTS if name == tensor.name)
            raise InvalidRequestError(place, f"must be {wanted}, is {tensor.datatype[:20]}")
        else:
            raise InvalidRequestError(
                place, f"is no input of this model; {', '.join(name for name, _, _ in INPUTS)} are"
            )
    if "text_input" not in given:
        raise InvalidRequestError("inputs.text_input", "is required")
    for name in infer.outputs:
        if name not in {out for out, _, _ in OUTPUTS}:
            raise InvalidRequestError(
                f"outputs.{name[:60]}", f"is no output of this model; {OUTPUTS[0][0]} is"
            )
    words = _parameters(infer.parameters, options)
    timeout = words.pop("timeout", None)
    if timeout is not None:
        deadline = min(deadline, now + timeout) if deadline is not None else now + timeout
    counted = words.pop("max_tokens", 0)
    ask = ClientRequest(
        prompt=given["text_input"],
        deadline_us=deadline,
        model=infer.model,
        model_version=infer.version,
        connection=connection,
        max_tokens=given.get("max_tokens", counted),
        **words,
    )
    if given.get("max_tokens") is not None and given["max_tokens"] <= 0:
        raise InvalidRequestError("inputs.max_tokens", f"must be above 0, is {given['max_tokens']}")
    return ask


def _parameters(parameters: dict[str, Value], options: KserveOptions) -> dict[str, Any]:
    words: dict[str, Any] = {"request_class": options.request_class, "tenant": options.tenant}
    if "priority" in parameters:
        rank = _whole(parameters, "priority", 0, 2**63)
        if not options.priority_classes:
            raise InvalidRequestError(
                "parameters.priority", "is not known here: the settings name no priority_class"
            )
        if rank:
            words["request_class"] = options.priority_classes[min(rank, len(options.priority_classes)) - 1]
    for name, value in parameters.items():
        place = f"parameters.{name[:60]}"
        if name in _TEXTS or (name == "sequence_id" and isinstance(value, str)):
            if not isinstance(value, str):
                raise InvalidRequestError(place, f"must be a string, is {value!r}"[:120])
            words[_FIELDS.get(name, name)] = value
        elif name == "sequence_id":
            words["session"] = str(_whole(parameters, name, 0, 2**64)) if value else ""
        elif name in _NUMBERS:
            words[name] = _whole(parameters, name, 0, 2**40)
        elif name == "timeout":
            if wait := _whole(parameters, name, 0, _MOST_TIMEOUT):
                words["timeout"] = wait
        elif name == "repeat":
            if not isinstance(value, bool):
                raise InvalidRequestError(place, f"must be true or false, is {value!r}"[:120])
            words[_FIELDS[name]] = value
        elif name not in _IGNORED:
            raise InvalidRequestError(place, "is not known here")
    return words


_IGNORED = frozenset(
    {
        "priority",
        "stream",
        "sequence_start",
        "sequence_end",
        "triton_enable_empty_final_response",
        "binary_data_output",
    }
)


def _whole(parameters: dict[str, Value], name: str, least: int, most: int) -> int:
    value = parameters[name]
    if isinstance(value, str) and value.isascii() and value.isdigit() and len(value) < 21:
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
        raise InvalidRequestError(
            f"parameters.{name}", f"must be a whole number from {least} to {most}, is {value!r}"[:160]
        )
    return value


def wants_stream(infer: Infer) -> bool:
    """Whether each token is to be told as it comes; else the whole answer at its end."""
    told = next((t.values[0] for t in infer.inputs if t.name == "stream" and len(t.values) == 1), None)
    told = infer.parameters.get("stream", told)
    return True if told is None else bool(told)


def wants_final(infer: Infer) -> bool:
    """Whether the end is to be told by an empty response of its own."""
    return infer.parameters.get("triton_enable_empty_final_response") is True


def facts_of(finish: FinishReason | None, usage: Usage | None) -> dict[str, Value]:
    """Parameters of a response that ends an answer."""
    facts: dict[str, Value] = {}
    if finish:
        facts["finish_reason"] = finish.value
    if usage:
        facts.update(
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            completion_tokens=usage.completion_tokens,
        )
    return facts


class Gathered:
    """An answer that goes out in one piece: the tokens of it are kept here, within `most` bytes of text."""

    def __init__(self, infer: Infer, most: int) -> None:
        self.infer, self.left = infer, most
        self.parts: list[str] = []
        self.facts: dict[str, Value] = {}
        """What its last token tells."""
        self.ticket: RequestHandle | None = None

    @property
    def text(self) -> str:
        return "".join(self.parts)

    def token(self, index: int, text: str, finish: FinishReason | None, usage: Usage | None) -> bool:
        self.left -= len(text.encode())
        if self.left < 0:
            self.too_large("failed: the answer is too large for one response; stream it")
            if self.ticket:
                self.ticket.disconnected("the answer is too large for one response")
            return True
        self.parts.append(text)
        if finish:
            self.facts = facts_of(finish, usage)
        return True

    def too_large(self, text: str) -> None:
        """End the call with this."""
        raise NotImplementedError


def failure_text(how: Failure, reason: str, next_index: int) -> str:
    resume = f"; it can go on from token {next_index}" if how in (Failure.BROKEN, Failure.MIGRATED) else ""
    return f"failed ({how.value}): {reason}{resume}"
