"""What the gRPC fronts have in common: the core's words as gRPC statuses. `docs/operate/grpc.md` has the
table.
"""

from __future__ import annotations

from google.rpc import error_details_pb2

from tuliptrack.fronts.port import Failure, InvalidRequestError
from tuliptrack.rpc.status import Code, Status, with_details

__all__ = ["bad_request", "failure"]

_CODES = {
    Failure.DEADLINE: Code.DEADLINE_EXCEEDED,
    Failure.BROKEN: Code.ABORTED,
    Failure.MIGRATED: Code.ABORTED,
    Failure.LOST: Code.UNKNOWN,
    Failure.STALLED: Code.CANCELLED,
}


def bad_request(error: InvalidRequestError) -> Status:
    """What was asked for can't be taken, or isn't served here; names the field."""
    bad = error_details_pb2.BadRequest()
    bad.field_violations.add(field=error.field, description=error.reason)
    return with_details(Code.NOT_FOUND if error.is_unknown else Code.INVALID_ARGUMENT, str(error), bad)


def failure(how: Failure, text: str, **facts: str) -> Status:
    """A failure, with its kind and these facts for programs."""
    info = error_details_pb2.ErrorInfo(reason=how.value, domain="tuliptrack", metadata=facts)
    return with_details(_CODES[how], text, info)
