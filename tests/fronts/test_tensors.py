"""Tensors of the v2 protocol: encoding and decoding agree; invalid data raises nothing but `TensorError`."""

from __future__ import annotations

import json
import math
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.fronts.kserve.grpc import parse_infer as grpc_infer
from tuliptrack.fronts.kserve.rest_requests import parse_generate
from tuliptrack.fronts.kserve.rest_requests import parse_infer as rest_infer
from tuliptrack.fronts.kserve.tensors import (
    DATATYPES,
    Tensor,
    TensorError,
    from_contents,
    from_json,
    from_raw,
    to_raw,
)
from tuliptrack.fronts.port import InvalidRequestError
from tuliptrack.proto import kserve_pb2 as pb

SHAPES = st.lists(st.integers(0, 4), max_size=3)


def values(datatype: str) -> Any:
    if datatype == "BYTES":
        return st.binary(max_size=20)
    if datatype == "BOOL":
        return st.booleans()
    if datatype[0] in "IU":
        bits = int(datatype.lstrip("UINT"))
        return (
            st.integers(0, (1 << bits) - 1)
            if datatype[0] == "U"
            else st.integers(-(1 << bits - 1), (1 << bits - 1) - 1)
        )
    width: Any = {"FP16": 16, "FP32": 32, "FP64": 64}[datatype]
    return st.floats(width=width, allow_nan=False, allow_infinity=False)


@examples(max_examples=200, deadline=None, derandomize=True)
@given(st.data(), st.sampled_from(sorted(DATATYPES)), SHAPES)
def test_every_datatype_and_shape_survives_each_form(
    data: st.DataObject, datatype: str, shape: list[int]
) -> None:
    count = math.prod(shape)
    tensor = Tensor(
        "t", datatype, tuple(shape), data.draw(st.lists(values(datatype), min_size=count, max_size=count))
    )
    raw = from_raw("t", datatype, shape, to_raw(tensor))
    assert list(raw.values) == list(tensor.values) and raw.shape == tensor.shape
    if datatype != "BYTES":
        again = from_json("t", datatype, shape, json.loads(json.dumps(list(tensor.values))))
        assert list(again.values) == list(tensor.values)
    field = {
        "BOOL": "bool_contents",
        "INT64": "int64_contents",
        "UINT64": "uint64_contents",
        "FP32": "fp32_contents",
        "FP64": "fp64_contents",
        "BYTES": "bytes_contents",
    }.get(datatype)
    if field:
        contents = pb.InferTensorContents(**{field: tensor.values})
        assert list(from_contents("t", datatype, shape, contents).values) == list(tensor.values)


@examples(max_examples=300, deadline=None, derandomize=True)
@given(
    st.sampled_from([*sorted(DATATYPES), "HUH"]),
    st.lists(st.integers(-2, 1 << 40), max_size=3),
    st.binary(max_size=60),
)
def test_invalid_raw_data_is_an_error(datatype: str, shape: list[int], data: bytes) -> None:
    try:
        found = from_raw("t", datatype, shape, data)
    except TensorError as error:
        assert error.field.startswith("t")
    else:
        assert len(found.values) == math.prod(shape)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                [
                    "name",
                    "shape",
                    "datatype",
                    "data",
                    "inputs",
                    "outputs",
                    "parameters",
                    "id",
                    "text_input",
                    "binary_data_size",
                    "binary_data",
                ]
            ),
            inner,
            max_size=5,
        )
    ),
    max_leaves=20,
)


@examples(max_examples=400, deadline=None, derandomize=True)
@given(JSON, st.binary(max_size=20), st.one_of(st.none(), st.text(max_size=4), st.integers(0, 200).map(str)))
def test_an_invalid_json_body_is_an_error(body: Any, tail: bytes, header: str | None) -> None:
    data = json.dumps(body).encode()
    for parse in (
        lambda: rest_infer("m", "", data + (tail if header is not None else b""), header),
        lambda: parse_generate("m", "", data),
    ):
        try:
            parse()
        except InvalidRequestError as error:
            assert error.field


@examples(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=80))
def test_any_message_is_parsed_or_is_an_error(data: bytes) -> None:
    try:
        message = pb.ModelInferRequest.FromString(data)
    except Exception:  # The type of protobuf's error depends on its implementation.
        return
    try:
        grpc_infer(message)
    except InvalidRequestError as error:
        assert error.field


def test_the_binary_extension_splits_tensors_by_their_sizes() -> None:
    head = {
        "inputs": [
            {"name": "max_tokens", "shape": [1], "datatype": "INT32", "parameters": {"binary_data_size": 4}},
            {"name": "text_input", "shape": [1], "datatype": "BYTES", "parameters": {"binary_data_size": 6}},
        ],
        "outputs": [{"name": "text_output", "parameters": {"binary_data": True}}],
        "id": 7,
    }
    text = json.dumps(head).encode()
    body = text + b"\x05\0\0\0" + b"\2\0\0\0hi"
    infer, binary = rest_infer("m", "1", body, str(len(text)))
    assert binary and infer.id == "7" and [list(t.values) for t in infer.inputs] == [[5], [b"hi"]]
    for wrong, header, field in (
        (body + b"x", str(len(text)), "body"),
        (body[:-1], str(len(text)), "inputs.text_input"),
        (body, str(len(body) + 1), "Inference-Header"),
        (body, "-1", "Inference-Header"),
    ):
        with pytest.raises(InvalidRequestError) as caught:
            rest_infer("m", "1", wrong, header)
        assert caught.value.field.startswith(field)
