"""Bodies of KServe requests with unusual values that JSON allows.

A value that raises an error which the front does not handle gives the client a closed connection or an
internal error, in place of status 400 with the name of the field.
"""

from __future__ import annotations

import json
from contextlib import suppress
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as examples
from json_values import any_json

from tuliptrack.config.node import KserveOptions
from tuliptrack.fronts.kserve.mapping import client_request_of
from tuliptrack.fronts.kserve.rest_requests import parse_generate, parse_infer
from tuliptrack.fronts.port import InvalidRequestError

OPTIONS = KserveOptions(request_class="question", tenant="north", priority_classes=("question",))
NOW_US = 1_000_000
SURROGATE = r"\ud800"


def body_of(content: Any) -> bytes | None:
    """Return a value as JSON; None where Python can't encode it."""
    try:
        return json.dumps(content).encode()
    except (ValueError, RecursionError):
        return None


def text_tensor(**changes: Any) -> dict[str, Any]:
    return {"name": "text_input", "datatype": "BYTES", "shape": [1], "data": ["hi"], **changes}


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (f'{{"text_input": "a{SURROGATE}"}}', "text_input"),
        (f'{{"text_input": "a", "parameters": {{"session": "{SURROGATE}"}}}}', "parameters.session"),
        (f'{{"text_input": "a", "id": "{SURROGATE}"}}', "id"),
        (f'{{"text_input": "a", "{SURROGATE}": 1}}', "body"),
    ],
)
def test_a_lone_surrogate_is_an_error_of_its_field(body: str, field: str) -> None:
    with pytest.raises(InvalidRequestError) as caught:
        parse_generate("m", "", body.encode())
    assert caught.value.field == field


def test_a_lone_surrogate_in_a_tensor_is_an_error_of_its_element() -> None:
    body = json.dumps({"inputs": [text_tensor(data=["SURROGATE"])]}).replace("SURROGATE", SURROGATE)
    with pytest.raises(InvalidRequestError) as caught:
        parse_infer("m", "", body.encode(), None)
    assert caught.value.field == "inputs[0].data[0]"


def test_surrogate_pairs_and_numbers_of_any_length_are_texts_and_numbers() -> None:
    infer = parse_generate("m", "", rb'{"text_input": "\ud83c\udf37"}')
    assert infer.inputs[0].values == ["🌷".encode()]
    with pytest.raises(InvalidRequestError) as caught:
        client_request_of(
            parse_generate("m", "", b'{"text_input": "a", "max_tokens": %s}' % (b"9" * 5_000)),
            OPTIONS,
            NOW_US,
            None,
            None,
        )
    assert caught.value.field == "parameters.max_tokens"


PARAMETERS = ("max_tokens", "priority", "timeout", "sequence_id", "session", "repeat", "unknown", "")


@pytest.mark.parametrize("name", PARAMETERS)
@given(value=any_json)
@examples(max_examples=60, deadline=None, derandomize=True)
def test_any_parameter_is_used_or_is_an_error_of_the_request(name: str, value: Any) -> None:
    for content in ({"text_input": "a", name: value}, {"text_input": "a", "parameters": {name: value}}):
        body = body_of(content)
        if body is None:
            continue
        with suppress(InvalidRequestError):
            client_request_of(parse_generate("m", "", body), OPTIONS, NOW_US, None, None)


@pytest.mark.parametrize("field", ["name", "datatype", "shape", "data", "parameters"])
@given(value=any_json, datatype=any_json)
@examples(max_examples=60, deadline=None, derandomize=True)
def test_any_tensor_is_used_or_is_an_error_of_the_request(field: str, value: Any, datatype: Any) -> None:
    for tensor in (text_tensor(**{field: value}), text_tensor(**{"datatype": datatype, field: value}), value):
        body = body_of({"inputs": [tensor], "outputs": value, "parameters": value, "id": value})
        simple = body_of({"inputs": [tensor]})
        for candidate in (body, simple):
            if candidate is None:
                continue
            with suppress(InvalidRequestError):
                infer, _ = parse_infer("m", "", candidate, None)
                client_request_of(infer, OPTIONS, NOW_US, None, None)
