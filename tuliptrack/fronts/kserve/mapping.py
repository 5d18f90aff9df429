"""Maps v2 requests to requests of the core, and outcomes of the core to v2 responses, for gRPC and REST.

`docs/operate/kserve.md` has the table for users. Times are microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
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
    "EXTENSIONS",
    "INPUTS",
    "OUTPUTS",
    "VERSION",
    "BufferedResponse",
    "InferRequest",
    "Value",
    "client_request_of",
    "failure_text",
    "final_parameters",
    "wants_empty_final_response",
    "wants_stream",
]

Value = bool | int | float | str
"""The value of a parameter."""
VERSION = version("tuliptrack")
EXTENSIONS = ("binary_tensor_data", "generate", "model_stream_infer")
INPUTS = (("text_input", "BYTES", (1,)), ("max_tokens", "INT32", (1,)), ("stream", "BOOL", (1,)))
"""Name, datatype and shape of each input of a model; the first one is required."""
OUTPUTS = (("text_output", "BYTES", (1,)),)
"""Name, datatype and shape of each output of a model."""
MAX_TIMEOUT_US = 86_400_000_000
MAX_COUNT = 1 << 40
"""Maximum value of a parameter that is a number of tokens."""
MAX_PRIORITY = 1 << 63
MAX_SEQUENCE_ID = 1 << 64
MAX_DIGITS = 20
"""Digits of a number that is given as a string."""
MAX_QUOTED_NAME = 60
"""Characters of a name that are repeated to the client."""

_COUNT_DATATYPES = frozenset({"INT32", "INT64", "UINT32", "UINT64"})
_TEXT_FIELDS = {
    "session": "session",
    "prefix": "prefix",
    "tenant": "tenant",
    "request_class": "request_class",
    "resume_text": "resume_text",
    "work": "work_id",
}
"""Parameters that are strings, and the fields of `ClientRequest` that they set."""
_COUNT_FIELDS = frozenset({"prompt_tokens", "prefix_tokens", "max_tokens", "resume_index"})
"""Parameters that are numbers of tokens, and fields of the same name."""
_OTHER_PARAMETERS = frozenset(
    {
        "priority",
        "stream",
        "sequence_start",
        "sequence_end",
        "triton_enable_empty_final_response",
        "binary_data_output",
    }
)
"""Parameters that set no field by themselves: read elsewhere, or without meaning here."""


@dataclass(slots=True)
class InferRequest:
    """A request of either form, parsed but not yet interpreted."""

    model: str
    version: str
    id: str
    parameters: dict[str, Value] = field(default_factory=dict)
    inputs: list[Tensor] = field(default_factory=list)
    outputs: list[str] = field(default_factory=list)
    """Names of the requested outputs; empty: all."""


@dataclass(slots=True)
class _Inputs:
    """The values of the input tensors; None: not given."""

    text_input: str | None = None
    max_tokens: int | None = None
    stream: bool | None = None


def client_request_of(
    infer: InferRequest, options: KserveOptions, now: int, deadline_us: int | None, connection: object
) -> ClientRequest:
    """Return the core's request.

    Args:
        infer: The parsed request.
        options: Defaults for requests that name no class or tenant, and the classes by priority.
        now: The current time, monotonic.
        deadline_us: The deadline of the call, monotonic; None: none.
        connection: Identifies the client's connection.

    Raises:
        InvalidRequestError: Names the input, output or parameter that is invalid.
    """
    inputs = _read_inputs(infer.inputs)
    if inputs.text_input is None:
        raise InvalidRequestError("inputs.text_input", "is required")
    _check_outputs(infer.outputs)
    fields = _read_parameters(infer.parameters, options)
    timeout_us = fields.pop("timeout", None)
    if timeout_us is not None:
        timeout_at = now + timeout_us
        deadline_us = timeout_at if deadline_us is None else min(deadline_us, timeout_at)
    if inputs.max_tokens is not None:
        if inputs.max_tokens <= 0:
            raise InvalidRequestError("inputs.max_tokens", f"must be above 0, is {inputs.max_tokens}")
        fields["max_tokens"] = inputs.max_tokens
    return ClientRequest(
        prompt=inputs.text_input,
        deadline_us=deadline_us,
        model=infer.model,
        model_version=infer.version,
        connection=connection,
        **fields,
    )


def _read_inputs(tensors: list[Tensor]) -> _Inputs:
    inputs = _Inputs()
    seen: set[str] = set()
    for tensor in tensors:
        input_field = f"inputs.{tensor.name[:MAX_QUOTED_NAME]}"
        if tensor.name in seen:
            raise InvalidRequestError(input_field, "stands twice")
        seen.add(tensor.name)
        setattr(inputs, tensor.name, _input_value(tensor, input_field))
    return inputs


def _input_value(tensor: Tensor, input_field: str) -> Any:
    """Return the single element of an input tensor, of the type of its field in `_Inputs`."""
    datatypes = {name: datatype for name, datatype, _ in INPUTS}
    if tensor.name not in datatypes:
        raise InvalidRequestError(input_field, f"is no input of this model; {', '.join(datatypes)} are")
    if len(tensor.values) != 1:
        raise InvalidRequestError(input_field, f"one element expected, shape is {list(tensor.shape)}")
    wanted = datatypes[tensor.name]
    is_count = tensor.name == "max_tokens" and tensor.datatype in _COUNT_DATATYPES
    if tensor.datatype != wanted and not is_count:
        raise InvalidRequestError(input_field, f"must be {wanted}, is {tensor.datatype[:20]}")
    if tensor.name != "text_input":
        return tensor.values[0]
    try:
        return tensor.values[0].decode()
    except UnicodeDecodeError as error:
        raise InvalidRequestError(input_field, f"is not UTF-8: {error}") from None


def _check_outputs(names: list[str]) -> None:
    known = [output for output, _, _ in OUTPUTS]
    for name in names:
        if name not in known:
            output_field = f"outputs.{name[:MAX_QUOTED_NAME]}"
            raise InvalidRequestError(output_field, f"is no output of this model; {known[0]} is")


def _read_parameters(parameters: dict[str, Value], options: KserveOptions) -> dict[str, Any]:
    """Return the fields of `ClientRequest` that the parameters set, and any `timeout` in microseconds."""
    fields: dict[str, Any] = {"request_class": options.request_class, "tenant": options.tenant}
    if "priority" in parameters:
        _apply_priority(parameters, options, fields)
    for name in parameters:
        if reader := _reader_of(name):
            reader(parameters, name, fields)
        elif name not in _OTHER_PARAMETERS:
            raise InvalidRequestError(_parameter_field(name), "is not known here")
    return fields


_Reader = Callable[[dict[str, Value], str, dict[str, Any]], None]


def _reader_of(name: str) -> _Reader | None:
    """Return the function that reads a parameter and sets its field; None where there is none."""
    if name in _TEXT_FIELDS:
        return _read_text
    if name in _COUNT_FIELDS:
        return _read_count
    return {"sequence_id": _read_sequence_id, "timeout": _read_timeout, "repeat": _read_repeat}.get(name)


def _parameter_field(name: str) -> str:
    """Return the field that an error of this parameter names."""
    return f"parameters.{name[:MAX_QUOTED_NAME]}"


def _apply_priority(parameters: dict[str, Value], options: KserveOptions, fields: dict[str, Any]) -> None:
    """Set the request class by a priority: 1 is the first class of the settings, 0 the default."""
    priority = _integer(parameters, "priority", MAX_PRIORITY)
    classes = options.priority_classes
    if not classes:
        reason = "is not known here: the settings name no priority_class"
        raise InvalidRequestError("parameters.priority", reason)
    if priority:
        fields["request_class"] = classes[min(priority, len(classes)) - 1]


def _read_text(parameters: dict[str, Value], name: str, fields: dict[str, Any]) -> None:
    value = parameters[name]
    if not isinstance(value, str):
        raise InvalidRequestError(_parameter_field(name), f"must be a string, is {value!r}"[:120])
    fields[_TEXT_FIELDS[name]] = value


def _read_count(parameters: dict[str, Value], name: str, fields: dict[str, Any]) -> None:
    fields[name] = _integer(parameters, name, MAX_COUNT)


def _read_sequence_id(parameters: dict[str, Value], name: str, fields: dict[str, Any]) -> None:
    """Set the session: the ID of a sequence is a string or a number, of which 0 means none."""
    value = parameters[name]
    if isinstance(value, str):
        fields["session"] = value
    else:
        fields["session"] = str(_integer(parameters, name, MAX_SEQUENCE_ID)) if value else ""


def _read_timeout(parameters: dict[str, Value], name: str, fields: dict[str, Any]) -> None:
    if timeout_us := _integer(parameters, name, MAX_TIMEOUT_US):  # 0 means none.
        fields["timeout"] = timeout_us


def _read_repeat(parameters: dict[str, Value], name: str, fields: dict[str, Any]) -> None:
    value = parameters[name]
    if not isinstance(value, bool):
        raise InvalidRequestError(_parameter_field(name), f"must be true or false, is {value!r}"[:120])
    fields["is_retry"] = value


def _integer(parameters: dict[str, Value], name: str, maximum: int) -> int:
    """Return a parameter that is a number from 0 to `maximum`, or a string of its digits."""
    value = parameters[name]
    if isinstance(value, str) and value.isascii() and value.isdigit() and len(value) <= MAX_DIGITS:
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= maximum:
        reason = f"must be a whole number from 0 to {maximum}, is {value!r}"[:160]
        raise InvalidRequestError(f"parameters.{name}", reason)
    return value


def wants_stream(infer: InferRequest) -> bool:
    """Return whether the client wants each token as it comes, rather than all at the end."""
    tensors = (tensor for tensor in infer.inputs if tensor.name == "stream" and len(tensor.values) == 1)
    from_input = next((tensor.values[0] for tensor in tensors), None)
    wanted = infer.parameters.get("stream", from_input)
    return wanted is None or bool(wanted)


def wants_empty_final_response(infer: InferRequest) -> bool:
    """Return whether the client wants a separate empty response at the end of the stream."""
    return infer.parameters.get("triton_enable_empty_final_response") is True


def final_parameters(finish: FinishReason | None, usage: Usage | None) -> dict[str, Value]:
    """Return the parameters of the response with the last token."""
    parameters: dict[str, Value] = {}
    if finish:
        parameters["finish_reason"] = finish.value
    if usage:
        parameters.update(
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            completion_tokens=usage.completion_tokens,
        )
    return parameters


class BufferedResponse:
    """A response that is sent in one piece; its tokens are buffered, up to `max_bytes` of text.

    The base of a `ResponseWriter`.
    """

    def __init__(self, infer: InferRequest, max_bytes: int) -> None:
        """Begin without tokens."""
        self.infer = infer
        self.parameters: dict[str, Value] = {}
        """Parameters of the response, known with the last token."""
        self.handle: RequestHandle | None = None
        self._bytes_left = max_bytes
        self._parts: list[str] = []

    @property
    def text(self) -> str:
        """All tokens so far."""
        return "".join(self._parts)

    def token(self, index: int, text: str, finish: FinishReason | None, usage: Usage | None) -> bool:
        """Buffer a token; a response that grows too large ends the request."""
        self._bytes_left -= len(text.encode())
        if self._bytes_left < 0:
            self.too_large("failed: the answer is too large for one response; stream it")
            if self.handle:
                self.handle.disconnected("the answer is too large for one response")
            return True
        self._parts.append(text)
        if finish:
            self.parameters = final_parameters(finish, usage)
        return True

    def too_large(self, text: str) -> None:
        """End the call with this error."""
        raise NotImplementedError


def failure_text(failure: Failure, reason: str, next_index: int) -> str:
    """Return the human-readable message of a failed request."""
    can_resume = failure in (Failure.BROKEN, Failure.MIGRATED)
    resume = f"; it can go on from token {next_index}" if can_resume else ""
    return f"failed ({failure.value}): {reason}{resume}"
