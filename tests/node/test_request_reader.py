"""Conversion of client requests to router requests: values that are filled in, and invalid fields."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import settings

from tuliptrack.fronts.port import ClientRequest, InvalidRequestError
from tuliptrack.node.request_reader import CoreLimits, RequestReader

NOW_US = 5_000_000
LIMITS = CoreLimits(max_tokens=1_000, bytes_per_token=4.0, answer_lead_us=20_000)
ASKED = ClientRequest("plain", "twelve bytes", "a")


def make_reader(may_resume: bool = True) -> RequestReader:
    return RequestReader(settings(may_resume=may_resume), LIMITS)


def test_token_counts_that_the_client_left_open_are_filled_in() -> None:
    request = make_reader().read(replace(ASKED), NOW_US)
    assert (request.prompt_tokens, request.max_tokens) == (3.0, 1_000.0)


def test_tokens_of_a_resumed_request_that_were_sent_before_count_as_prompt() -> None:
    request = make_reader().read(replace(ASKED, prompt_tokens=10, max_tokens=50, resume_index=20), NOW_US)
    assert (request.prompt_tokens, request.max_tokens, request.is_resumed) == (30.0, 30.0, True)


@pytest.mark.parametrize(
    ("first_token_s", "whole_s", "left_s"), [(1, None, 1), (None, 3, 3), (1, 3, 1), (-1, None, 0)]
)
def test_time_left_ends_ahead_of_the_clients_deadline(
    first_token_s: int | None, whole_s: int | None, left_s: int
) -> None:
    asked = replace(
        ASKED,
        first_token_deadline_us=None if first_token_s is None else NOW_US + first_token_s * 1_000_000,
        deadline_us=None if whole_s is None else NOW_US + whole_s * 1_000_000,
    )
    time_left_us = make_reader().read(asked, NOW_US).time_left_us
    assert time_left_us == max(left_s * 1_000_000 - LIMITS.answer_lead_us, 1)


def test_without_a_client_deadline_the_deadline_of_the_class_applies() -> None:
    reader = make_reader()
    asked = replace(ASKED, prompt_tokens=500)
    request_class = reader.class_of(asked)
    prefill_us = int(2 * request_class.objective_us_per_1000_tokens * 0.5)
    assert reader.answer_by_us(asked) is None
    assert reader.read(asked, NOW_US).time_left_us == request_class.deadline_us + prefill_us


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"request_class": "unknown"}, "request_class"),
        ({"tenant": "unknown"}, "tenant"),
        ({"prompt": ""}, "prompt"),
        ({"prompt_tokens": 1_001}, "prompt_tokens"),
        ({"max_tokens": -1}, "max_tokens"),
        ({"prefix_tokens": 4}, "prefix_tokens"),
        ({"resume_index": 1_001}, "resume.next_index"),
        ({"max_tokens": 5, "resume_index": 5}, "resume.next_index"),
    ],
)
def test_error_gives_the_field_name_that_clients_use(change: dict[str, str | int], field: str) -> None:
    with pytest.raises(InvalidRequestError) as caught:
        make_reader().read(replace(ASKED, **change), NOW_US)  # type: ignore[arg-type]
    assert caught.value.field == field


def test_resuming_a_stream_is_rejected_if_the_settings_do_not_allow_it() -> None:
    with pytest.raises(InvalidRequestError) as caught:
        make_reader(may_resume=False).read(replace(ASKED, resume_index=1), NOW_US)
    assert caught.value.field == "resume"
