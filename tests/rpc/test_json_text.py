"""JSON text from outside the process: a value, or the one error type that callers expect."""

from __future__ import annotations

import json
import math
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st
from json_values import any_json

from tuliptrack.rpc.json_text import InvalidJsonError, is_number_within, parse_json, parse_json_pruned


@given(text=st.text() | st.binary() | st.text('[]{}":,0123456789.eE+-truefalsn'))
@examples(max_examples=300, deadline=None, derandomize=True)
def test_any_text_is_a_value_or_the_typed_error(text: str | bytes) -> None:
    try:
        parse_json(text)
    except InvalidJsonError:
        return
    json.loads(text)


@pytest.mark.parametrize("text", ["[" * 100_000, '{"a":' * 100_000, b"\xff", "", "nul"])
def test_deep_nesting_invalid_bytes_and_malformed_text_raise_the_typed_error(text: str | bytes) -> None:
    with pytest.raises(InvalidJsonError):
        parse_json(text)


def test_a_value_that_is_nested_too_deeply_does_not_affect_other_values() -> None:
    for deep in ("[" * 100_000 + "]" * 100_000, '{"a":' * 100_000 + "1" + "}" * 100_000):
        text = f'{{"a": {deep}, "b": ["]", "\\"[", 7], "c": [{deep}]}}'
        for form in (text, text.encode()):
            value = parse_json_pruned(form)
            assert isinstance(value, dict) and value["b"] == ["]", '"[', 7] and len(value["c"]) == 1


@pytest.mark.parametrize(
    "text", ["[" * 100_000, "[" * 100_000 + '"' + '\\"' * 100_000, '{"a":' * 100_000, "]", '["\\']
)
def test_pruning_makes_no_text_valid_and_takes_one_pass(text: str) -> None:
    with pytest.raises(InvalidJsonError):
        parse_json_pruned(text)


# Guards against another error than callers expect: the text was decoded otherwise than by Python's parser.
@pytest.mark.parametrize("encoding", ["utf-8", "utf-16", "utf-32-le"])
def test_a_deep_text_is_decoded_as_any_other(encoding: str) -> None:
    deep = '{"a": "\ud800", "b": ' + "[" * 100_000 + "]" * 100_000 + "}"
    assert parse_json_pruned(deep.encode(encoding, "surrogatepass"))["a"] == "\ud800"


def test_a_number_with_too_many_digits_does_not_affect_other_values() -> None:
    digits = "9" * 5_000
    assert parse_json(f'{{"a": {digits}, "b": 7, "c": -{digits}}}') == {"a": math.inf, "b": 7, "c": -math.inf}


@given(value=any_json)
@examples(max_examples=200, deadline=None, derandomize=True)
def test_a_number_is_within_bounds_or_not_whatever_the_value(value: Any) -> None:
    if is_number_within(value, 0, 2**53):
        assert 0 <= float(value) <= 2**53
