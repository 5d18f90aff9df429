"""Tensors of the v2 protocol: from typed contents, raw bytes or JSON to flat lists of values, and back.

Pure functions; `TensorError` names the tensor and what is wrong with it. Source: the Open Inference
Protocol's tensor data types and the binary tensor data extension (little-endian, row-major; BYTES elements
each after a 4-byte length).
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

__all__ = ["DATATYPES", "Tensor", "TensorError", "from_contents", "from_json", "from_raw", "to_raw"]

MOST_ELEMENTS = 1 << 24
_STRUCT = {
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
_CONTENTS = {
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
DATATYPES = frozenset({*_STRUCT, "BYTES"})
_RANGES = {
    name: (-(1 << bits - 1), (1 << bits - 1) - 1) if name[0] == "I" else (0, (1 << bits) - 1)
    for name, bits in (
        ("UINT8", 8),
        ("UINT16", 16),
        ("UINT32", 32),
        ("UINT64", 64),
        ("INT8", 8),
        ("INT16", 16),
        ("INT32", 32),
        ("INT64", 64),
    )
}


class TensorError(Exception):
    """A tensor that can't be taken."""

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


def _count(name: str, datatype: str, shape: Sequence[Any]) -> int:
    """Elements of a checked shape."""
    if datatype not in DATATYPES:
        raise TensorError(f"{name}.datatype", f"{datatype[:20]!r} is not among {sorted(DATATYPES)}")
    if not all(isinstance(d, int) and not isinstance(d, bool) and d >= 0 for d in shape) or len(shape) > 16:
        raise TensorError(f"{name}.shape", f"must be up to 16 sizes from 0, is {list(shape)[:17]}")
    count: int = math.prod(shape)
    if count > MOST_ELEMENTS:
        raise TensorError(f"{name}.shape", f"{count} elements, {MOST_ELEMENTS} at most")
    return count


def _expect(name: str, count: int, found: int, shape: Sequence[int]) -> None:
    if found != count:
        raise TensorError(name, f"shape {list(shape)} has {count} elements, but {found} came")


def from_raw(name: str, datatype: str, shape: Sequence[int], data: bytes) -> Tensor:
    """From the bytes of the binary extension, or of raw_input_contents."""
    count = _count(name, datatype, shape)
    if datatype != "BYTES":
        size = struct.calcsize(_STRUCT[datatype])
        if len(data) != count * size:
            raise TensorError(
                name, f"shape {list(shape)} of {datatype} takes {count * size} bytes, but {len(data)} came"
            )
        return Tensor(name, datatype, tuple(shape), struct.unpack(f"<{count}{_STRUCT[datatype]}", data))
    values: list[bytes] = []
    at = 0
    while at < len(data):
        end = at + 4 + int.from_bytes(data[at : at + 4], "little")
        if at + 4 > len(data) or end > len(data):
            raise TensorError(name, f"element {len(values)} ends past its {len(data)} bytes")
        values.append(data[at + 4 : end])
        at = end
        if len(values) > count:
            break
    _expect(name, count, len(values), shape)
    return Tensor(name, datatype, tuple(shape), values)


def from_contents(name: str, datatype: str, shape: Sequence[int], contents: Any) -> Tensor:
    """From a typed `InferTensorContents`."""
    count = _count(name, datatype, shape)
    field = _CONTENTS.get(datatype)
    if field is None:
        raise TensorError(name, f"{datatype} has no typed contents: send it raw")
    wrong = [f.name for f, _ in contents.ListFields() if f.name != field]
    if wrong:
        raise TensorError(f"{name}.contents", f"{datatype} stands in {field}, but {wrong[0]} is set")
    values = list(getattr(contents, field))
    _expect(name, count, len(values), shape)
    if datatype in _RANGES:
        low, high = _RANGES[datatype]
        if values and not (low <= min(values) and max(values) <= high):
            raise TensorError(name, f"a value lies outside {datatype}")
    return Tensor(name, datatype, tuple(shape), values)


def _flat(name: str, data: Any, depth: int = 0) -> Iterable[Any]:
    if depth > 16:
        raise TensorError(f"{name}.data", "is nested more than 16 deep")
    for one in data:
        if isinstance(one, list):
            yield from _flat(name, one, depth + 1)
        else:
            yield one


def from_json(name: str, datatype: str, shape: Any, data: Any) -> Tensor:
    """From JSON: flat or nested lists; BYTES as strings."""
    if not isinstance(shape, list) or not isinstance(data, list) or not isinstance(datatype, str):
        raise TensorError(name, "shape and data must be lists, datatype a string")
    count = _count(name, datatype, shape)
    values = list(_flat(name, data))
    _expect(name, count, len(values), shape)
    if datatype == "BYTES":
        good = all(isinstance(v, str) for v in values)
        values = [v.encode() for v in values] if good else values
    elif datatype == "BOOL":
        good = all(isinstance(v, bool) for v in values)
    elif datatype in _RANGES:
        low, high = _RANGES[datatype]
        good = all(isinstance(v, int) and not isinstance(v, bool) and low <= v <= high for v in values)
    else:
        good = all(isinstance(v, int | float) and not isinstance(v, bool) for v in values)
    if not good:
        raise TensorError(f"{name}.data", f"an element is not of {datatype}")
    return Tensor(name, datatype, tuple(shape), values)


def to_raw(tensor: Tensor) -> bytes:
    """The bytes of the binary extension."""
    if tensor.datatype == "BYTES":
        return b"".join(len(v).to_bytes(4, "little") + v for v in tensor.values)
    return struct.pack(f"<{len(tensor.values)}{_STRUCT[tensor.datatype]}", *tensor.values)
