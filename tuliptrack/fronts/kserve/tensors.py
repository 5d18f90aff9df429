"""Tensors of the v2 protocol: from typed contents, raw bytes or JSON to flat lists of values, and back.

Pure functions; `TensorError` names the tensor and what is wrong with it. Source: the Open Inference
Protocol's tensor data types and its binary tensor data extension: little-endian, row-major, each BYTES
element after its length in 4 bytes.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

__all__ = [
    "DATATYPES",
    "Tensor",
    "TensorError",
    "encode_element",
    "from_contents",
    "from_json",
    "from_raw",
    "to_raw",
]

MAX_ELEMENTS = 1 << 24
MAX_DIMENSIONS = 16
MAX_QUOTED_DATATYPE = 20
"""Characters of an unknown datatype that are repeated to the client."""
LENGTH_BYTES = 4
"""Size of the length before each BYTES element."""

_STRUCT_FORMATS = {
    "BOOL": "?",
    "UINT8": "B",
    "UINT16": "H",
    "UINT32": "I",
    "UINT64": "Q",
    "INT8": "b",
    "INT16": "h",
    "INT32": "i",
    "INT64": "q",
    "FP16": "e",
    "FP32": "f",
    "FP64": "d",
}
_CONTENTS_FIELDS = {
    "BOOL": "bool_contents",
    "UINT8": "uint_contents",
    "UINT16": "uint_contents",
    "UINT32": "uint_contents",
    "UINT64": "uint64_contents",
    "INT8": "int_contents",
    "INT16": "int_contents",
    "INT32": "int_contents",
    "INT64": "int64_contents",
    "FP32": "fp32_contents",
    "FP64": "fp64_contents",
    "BYTES": "bytes_contents",
}
DATATYPES = frozenset({*_STRUCT_FORMATS, "BYTES"})


def _integer_range(datatype: str) -> tuple[int, int]:
    """Return the minimum and maximum of an integer datatype, whose name ends with its number of bits."""
    if datatype.startswith("UINT"):
        return 0, (1 << int(datatype.removeprefix("UINT"))) - 1
    magnitude = 1 << int(datatype.removeprefix("INT")) - 1
    return -magnitude, magnitude - 1


_RANGES = {name: _integer_range(name) for name in DATATYPES if name.startswith(("INT", "UINT"))}


class TensorError(Exception):
    """A tensor that is invalid: `field` says where, `reason` why."""

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason = field, reason


@dataclass(frozen=True, slots=True)
class Tensor:
    """Name, datatype, shape, and the elements in row-major order: bool, int, float, or bytes for BYTES."""

    name: str
    datatype: str
    shape: tuple[int, ...]
    values: Sequence[Any]


def _element_count(name: str, datatype: str, shape: Sequence[Any]) -> int:
    """Check datatype and shape; return the number of elements."""
    if datatype not in DATATYPES:
        quoted = datatype[:MAX_QUOTED_DATATYPE]
        raise TensorError(f"{name}.datatype", f"{quoted!r} is not among {sorted(DATATYPES)}")
    if len(shape) > MAX_DIMENSIONS or not all(_is_integer(size) and size >= 0 for size in shape):
        found = list(shape)[: MAX_DIMENSIONS + 1]
        raise TensorError(f"{name}.shape", f"must be up to {MAX_DIMENSIONS} sizes from 0, is {found}")
    count: int = math.prod(shape)
    if count > MAX_ELEMENTS:
        raise TensorError(f"{name}.shape", f"{count} elements, {MAX_ELEMENTS} at most")
    return count


def _check_count(name: str, count: int, found: int, shape: Sequence[int]) -> None:
    if found != count:
        raise TensorError(name, f"shape {list(shape)} has {count} elements, but {found} came")


def from_raw(name: str, datatype: str, shape: Sequence[int], data: bytes) -> Tensor:
    """Parse a tensor from bytes of the binary extension or of raw_input_contents."""
    count = _element_count(name, datatype, shape)
    if datatype == "BYTES":
        elements = _split_elements(name, count, data)
        _check_count(name, count, len(elements), shape)
        return Tensor(name, datatype, tuple(shape), elements)
    element_format = _STRUCT_FORMATS[datatype]
    size = count * struct.calcsize(element_format)
    if len(data) != size:
        reason = f"shape {list(shape)} of {datatype} takes {size} bytes, but {len(data)} came"
        raise TensorError(name, reason)
    return Tensor(name, datatype, tuple(shape), struct.unpack(f"<{count}{element_format}", data))


def _split_elements(name: str, count: int, data: bytes) -> list[bytes]:
    """Return the elements of a BYTES tensor.

    At most one more than `count` is read, so that invalid data costs little.
    """
    elements: list[bytes] = []
    offset = 0
    while offset < len(data) and len(elements) <= count:
        start = offset + LENGTH_BYTES
        end = start + int.from_bytes(data[offset:start], "little")
        if start > len(data) or end > len(data):
            raise TensorError(name, f"element {len(elements)} ends past its {len(data)} bytes")
        elements.append(data[start:end])
        offset = end
    return elements


def from_contents(name: str, datatype: str, shape: Sequence[int], contents: Any) -> Tensor:
    """Parse a tensor from a typed `InferTensorContents`."""
    count = _element_count(name, datatype, shape)
    field = _CONTENTS_FIELDS.get(datatype)
    if field is None:
        raise TensorError(name, f"{datatype} has no typed contents: send it raw")
    other_fields = [other.name for other, _ in contents.ListFields() if other.name != field]
    if other_fields:
        reason = f"{datatype} stands in {field}, but {other_fields[0]} is set"
        raise TensorError(f"{name}.contents", reason)
    values = list(getattr(contents, field))
    _check_count(name, count, len(values), shape)
    if datatype in _RANGES and values:
        low, high = _RANGES[datatype]
        if min(values) < low or max(values) > high:
            raise TensorError(name, f"a value lies outside {datatype}")
    return Tensor(name, datatype, tuple(shape), values)


def from_json(name: str, datatype: str, shape: Any, data: Any) -> Tensor:
    """Parse a tensor from JSON: flat or nested lists, with BYTES elements as strings."""
    if not isinstance(shape, list) or not isinstance(data, list) or not isinstance(datatype, str):
        raise TensorError(name, "shape and data must be lists, datatype a string")
    count = _element_count(name, datatype, shape)
    values = list(_flatten(name, data))
    _check_count(name, count, len(values), shape)
    if not all(map(_json_check(datatype), values)):
        raise TensorError(f"{name}.data", f"an element is not of {datatype}")
    if datatype == "BYTES":
        values = [value.encode() for value in values]
    return Tensor(name, datatype, tuple(shape), values)


def _flatten(name: str, data: Any, depth: int = 0) -> Iterable[Any]:
    if depth > MAX_DIMENSIONS:
        raise TensorError(f"{name}.data", f"is nested more than {MAX_DIMENSIONS} deep")
    for item in data:
        if isinstance(item, list):
            yield from _flatten(name, item, depth + 1)
        else:
            yield item


def _json_check(datatype: str) -> Callable[[Any], bool]:
    """Return the predicate for JSON values that are valid elements of a datatype."""
    if datatype == "BYTES":
        return lambda value: isinstance(value, str)
    if datatype == "BOOL":
        return lambda value: isinstance(value, bool)
    if datatype in _RANGES:
        low, high = _RANGES[datatype]
        return lambda value: _is_integer(value) and low <= value <= high
    return lambda value: _is_integer(value) or isinstance(value, float)


def _is_integer(value: Any) -> bool:
    """Return whether a value is an integer; to Python a bool is one too."""
    return isinstance(value, int) and not isinstance(value, bool)


def encode_element(value: bytes) -> bytes:
    """Return a BYTES element as bytes of the binary extension."""
    return len(value).to_bytes(LENGTH_BYTES, "little") + value


def to_raw(tensor: Tensor) -> bytes:
    """Return the tensor as bytes of the binary extension."""
    if tensor.datatype == "BYTES":
        return b"".join(map(encode_element, tensor.values))
    element_format = _STRUCT_FORMATS[tensor.datatype]
    return struct.pack(f"<{len(tensor.values)}{element_format}", *tensor.values)
