"""Parses the bodies of REST requests: `infer` with JSON or binary tensors, and the generate extension.

Pure functions. Each raises `InvalidRequestError`, which names what is wrong with the body.
"""

from __future__ import annotations

from typing import Any

from tuliptrack.fronts.kserve.mapping import MAX_QUOTED_NAME, InferRequest
from tuliptrack.fronts.kserve.tensors import Tensor, TensorError, from_json, from_raw
from tuliptrack.fronts.port import InvalidRequestError
from tuliptrack.rpc.json_text import InvalidJsonError, parse_json

__all__ = ["parse_generate", "parse_infer"]


class _BinaryData:
    """The bytes behind the JSON of a body; each tensor takes its part in turn."""

    def __init__(self, body: bytes, offset: int) -> None:
        self._body, self._offset = body, offset

    @property
    def bytes_left(self) -> int:
        return len(self._body) - self._offset

    def take(self, size: int) -> bytes:
        start, self._offset = self._offset, self._offset + size
        return self._body[start : self._offset]


def parse_infer(model: str, version: str, body: bytes, json_length: str | None) -> tuple[InferRequest, bool]:
    """Parse a request of `infer`.

    Args:
        model: Its model, from the path.
        version: The version, from the path; empty: any.
        body: JSON, and behind it the binary data of its tensors.
        json_length: The header with the length of the JSON; None: all of the body is JSON.

    Returns:
        The request, and whether the client wants its output as binary data.
    """
    json_bytes = len(body) if json_length is None else _parse_json_length(json_length, len(body))
    data = _parse_object(body[:json_bytes], "body")
    infer = InferRequest(
        model, version, str(data.get("id", "")), _parse_parameters(data.get("parameters", {}))
    )
    inputs, outputs = data.get("inputs"), data.get("outputs", [])
    if not isinstance(inputs, list):
        raise InvalidRequestError("inputs", "must be a list")
    if not isinstance(outputs, list):
        raise InvalidRequestError("outputs", "must be a list")
    binary_data = _BinaryData(body, json_bytes)
    for index, item in enumerate(inputs):
        infer.inputs.append(_parse_input(item, index, binary_data))
    if binary_data.bytes_left:
        raise InvalidRequestError("body", f"{binary_data.bytes_left} bytes are left behind the tensors")
    is_binary_wanted = infer.parameters.get("binary_data_output") is True
    for index, item in enumerate(outputs):
        name, parameters = _parse_output(item, index)
        infer.outputs.append(name)
        wanted = parameters.get("binary_data")
        is_binary_wanted = wanted if isinstance(wanted, bool) else is_binary_wanted
    return infer, is_binary_wanted


def _parse_json_length(header: str, body_bytes: int) -> int:
    if not header.isascii() or not header.isdigit() or int(header) > body_bytes:
        reason = f"must be at most the body's {body_bytes}, is {header[:20]!r}"
        raise InvalidRequestError("Inference-Header-Content-Length", reason)
    return int(header)


def _parse_input(item: Any, index: int, binary_data: _BinaryData) -> Tensor:
    if not isinstance(item, dict) or not isinstance(item.get("name"), str):
        raise InvalidRequestError(f"inputs[{index}].name", "is required")
    name, datatype, shape = item["name"], item.get("datatype", ""), item.get("shape", [])
    field_path = f"inputs.{name[:MAX_QUOTED_NAME]}"
    parameters = _parse_parameters(item.get("parameters", {}), f"{field_path}.parameters")
    size = parameters.get("binary_data_size")
    try:
        if size is None:
            return from_json(name, datatype, shape, item.get("data"))
        if not isinstance(size, int) or isinstance(size, bool) or not 0 <= size <= binary_data.bytes_left:
            reason = f"{binary_data.bytes_left} bytes are left"
            raise InvalidRequestError(f"{field_path}.parameters.binary_data_size", reason)
        if not isinstance(datatype, str) or not isinstance(shape, list):
            raise InvalidRequestError(field_path, "shape must be a list, datatype a string")
        return from_raw(name, datatype, shape, binary_data.take(size))
    except TensorError as error:
        raise InvalidRequestError(f"inputs.{error.field}", error.reason) from None


def _parse_output(item: Any, index: int) -> tuple[str, dict[str, Any]]:
    """Return the name and the parameters of an output."""
    if not isinstance(item, dict) or not isinstance(item.get("name"), str):
        raise InvalidRequestError(f"outputs[{index}].name", "is required")
    name: str = item["name"]
    field_path = f"outputs.{name[:MAX_QUOTED_NAME]}.parameters"
    return name, _parse_parameters(item.get("parameters", {}), field_path)


def parse_generate(model: str, version: str, body: bytes) -> InferRequest:
    """Parse a request of the generate extension: text_input, and parameters beside it or in `parameters`."""
    data = _parse_object(body, "body")
    parameters = _parse_parameters(data.pop("parameters", {}))
    text, request_id = data.pop("text_input", None), str(data.pop("id", ""))
    if not isinstance(text, str):
        raise InvalidRequestError("text_input", "is required and must be a string")
    parameters |= _parse_parameters(data)
    text_input = Tensor("text_input", "BYTES", (1,), [text.encode()])
    return InferRequest(model, version, request_id, parameters, [text_input])


def _parse_object(body: bytes, field_path: str) -> dict[str, Any]:
    try:
        data = parse_json(body)
    except InvalidJsonError as error:
        raise InvalidRequestError(field_path, f"is not JSON ({error})") from None
    if not isinstance(data, dict):
        raise InvalidRequestError(field_path, "must be a JSON object")
    _check_texts(data)
    return data


def _check_texts(data: dict[str, Any]) -> None:
    """Raise InvalidRequestError with the field of any string that has a lone surrogate."""
    # JSON escapes can express half of a surrogate pair, which no encoding has. Unchecked, such a string would
    # raise UnicodeEncodeError wherever it is encoded, in place of an answer that names the field.
    values: list[tuple[str, Any]] = [("", data)]
    while values:
        field_path, value = values.pop()
        if isinstance(value, str) and not _is_encodable(value):
            raise InvalidRequestError(field_path, "has a lone surrogate")
        if isinstance(value, dict):
            for name, member in value.items():
                if not _is_encodable(name):
                    raise InvalidRequestError(field_path or "body", "has a name with a lone surrogate")
                values.append((f"{field_path}.{name[:MAX_QUOTED_NAME]}".lstrip("."), member))
        elif isinstance(value, list):
            values += [(f"{field_path}[{index}]", member) for index, member in enumerate(value)]


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _parse_parameters(data: Any, field_path: str = "parameters") -> dict[str, Any]:
    """Return a copy of a JSON object whose values are scalars."""
    if not isinstance(data, dict):
        raise InvalidRequestError(field_path, "must be a JSON object")
    for name, value in data.items():
        if not isinstance(value, bool | int | float | str):
            field = f"{field_path}.{name[:MAX_QUOTED_NAME]}"
            raise InvalidRequestError(field, "must be a boolean, a number or a string")
    return dict(data)
