"""The gRPC statuses of rejected and failed requests, the same for every gRPC front.

`docs/operate/grpc.md` has the table for users. Programs read the details: `BadRequest` names the invalid
field, `ErrorInfo` has the kind of a failure and its metadata.
"""

from __future__ import annotations

from google.rpc import error_details_pb2

from tuliptrack.fronts.port import Failure, InvalidRequestError
from tuliptrack.rpc.status import Code, Status, with_details

__all__ = ["failure_status", "invalid_request_status"]

ERROR_DOMAIN = "tuliptrack"

_CODE_BY_FAILURE = {
    Failure.DEADLINE: Code.DEADLINE_EXCEEDED,
    Failure.BROKEN: Code.ABORTED,
    Failure.MIGRATED: Code.ABORTED,
    Failure.LOST: Code.UNKNOWN,
    Failure.STALLED: Code.CANCELLED,
    Failure.INVALID: Code.INVALID_ARGUMENT,
}


def invalid_request_status(error: InvalidRequestError) -> Status:
    """Return the status of a request that is malformed, or names something that isn't served here."""
    details = error_details_pb2.BadRequest()
    details.field_violations.add(field=error.field, description=error.reason)
    code = Code.NOT_FOUND if error.is_unknown else Code.INVALID_ARGUMENT
    return with_details(code, str(error), details)


def failure_status(failure: Failure, text: str, **facts: str) -> Status:
    """Return the status of a failed request.

    Args:
        failure: The kind of failure.
        text: The message, for people.
        **facts: The metadata of `ErrorInfo`, for programs.
    """
    info = error_details_pb2.ErrorInfo(reason=failure.value, domain=ERROR_DOMAIN, metadata=facts)
    return with_details(_CODE_BY_FAILURE[failure], text, info)
