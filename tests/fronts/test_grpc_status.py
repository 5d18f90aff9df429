"""The names of failures that clients get are published and don't follow the names in the code.

A member of `Failure` was renamed, and clients that resume a stream on the published `HANDED_BACK` no longer
knew the reason that they got. So the published names stand here in full.
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


@pytest.mark.parametrize("how", PUBLISHED)
def test_a_failure_keeps_its_published_reason_and_code_on_grpc(how: Failure) -> None:
    reason, code = PUBLISHED[how]
    status = failure_status(how, "failed: why", next_index="3")
    info = next(one for one in status.parsed() if isinstance(one, error_details_pb2.ErrorInfo))
    assert (info.reason, info.domain, dict(info.metadata)) == (reason, "tuliptrack", {"next_index": "3"})
    assert status.code is code


@pytest.mark.parametrize("how", PUBLISHED)
def test_a_failure_keeps_its_published_reason_in_kserve_texts(how: Failure) -> None:
    assert failure_text(how, "why", 3).startswith(f"failed ({PUBLISHED[how][0]}): why")


def test_an_invalid_request_keeps_its_published_name() -> None:
    assert Failure.INVALID.value == "UNUSABLE"


def test_every_failure_has_a_code_on_grpc_and_a_status_on_rest() -> None:
    """Failure: an engine says that a request is invalid, and the front ends by KeyError in place of an answer."""
    assert set(PUBLISHED) == set(Failure)
    assert set(_STATUS_BY_FAILURE) == set(Failure) and _STATUS_BY_FAILURE[Failure.INVALID] == 400
