"""Clients get failures by published names, which don't change with the names in the code.

Once a member of `Failure` was renamed and its published name changed with it, so clients that resume a stream
on `HANDED_BACK` no longer recognized the reason. So the published names are listed here in full.
"""

from __future__ import annotations

import pytest
from google.rpc import error_details_pb2

from tuliptrack.fronts.grpc_status import failure_status
from tuliptrack.fronts.kserve.mapping import failure_text
from tuliptrack.fronts.kserve.rest import _STATUS_BY_FAILURE
from tuliptrack.fronts.port import Failure
from tuliptrack.rpc.status import Code

PUBLISHED = {
    Failure.DEADLINE: ("DEADLINE", Code.DEADLINE_EXCEEDED),
    Failure.BROKEN: ("BROKEN", Code.ABORTED),
    Failure.MIGRATED: ("HANDED_BACK", Code.ABORTED),
    Failure.LOST: ("LOST", Code.UNKNOWN),
    Failure.STALLED: ("STALLED", Code.CANCELLED),
    Failure.INVALID: ("UNUSABLE", Code.INVALID_ARGUMENT),
}


@pytest.mark.parametrize("failure", PUBLISHED)
def test_a_failure_keeps_its_published_reason_and_code_on_grpc(failure: Failure) -> None:
    reason, code = PUBLISHED[failure]
    status = failure_status(failure, "failed: why", next_index="3")
    info = next(detail for detail in status.parsed() if isinstance(detail, error_details_pb2.ErrorInfo))
    assert (info.reason, info.domain, dict(info.metadata)) == (reason, "tuliptrack", {"next_index": "3"})
    assert status.code is code


@pytest.mark.parametrize("failure", PUBLISHED)
def test_a_failure_keeps_its_published_reason_in_kserve_texts(failure: Failure) -> None:
    assert failure_text(failure, "why", 3).startswith(f"failed ({PUBLISHED[failure][0]}): why")


def test_an_invalid_request_keeps_its_published_name() -> None:
    assert Failure.INVALID.value == "UNUSABLE"


def test_every_failure_has_a_code_on_grpc_and_a_status_on_rest() -> None:
    """Without a code, the front raises KeyError in place of an answer, such as to an invalid request."""
    assert set(PUBLISHED) == set(Failure)
    assert set(_STATUS_BY_FAILURE) == set(Failure) and _STATUS_BY_FAILURE[Failure.INVALID] == 400
