"""Translates the end of a gRPC call to an engine into the router's status and load report."""

from __future__ import annotations

import math

import structlog
from google.protobuf.message import DecodeError
from xds.data.orca.v3.orca_load_report_pb2 import OrcaLoadReport

from tuliptrack.config.node import REPORT_FIELDS
from tuliptrack.interface import Status
from tuliptrack.rpc.channel import End, EndReason
from tuliptrack.rpc.status import Code

__all__ = ["LOAD_REPORT_TRAILER", "load_report_of", "status_of"]

log = structlog.get_logger("engines")

LOAD_REPORT_TRAILER = "endpoint-load-metrics-bin"
MAX_REPORTED_VALUE = 1e9
"""Reports with a value at or above this are ignored as implausible."""

_STATUS_BY_CODE = {
    Code.OK: Status.OK,
    Code.RESOURCE_EXHAUSTED: Status.AT_CAPACITY,
    Code.FAILED_PRECONDITION: Status.AT_CAPACITY,
    Code.DEADLINE_EXCEEDED: Status.TIMEOUT,
    Code.CANCELLED: Status.CANCELLED,
}


def status_of(end: End) -> Status:
    """Return the status of a call; a call that the engine did not process counts as a failed connection."""
    if end.how is EndReason.CONNECT or (end.unprocessed and end.how is EndReason.RESET):
        return Status.CONNECT_FAILED
    if end.how is EndReason.STATUS:
        return _STATUS_BY_CODE.get(end.status.code, Status.ERROR)
    return {EndReason.RESET: Status.RESET, EndReason.TIMEOUT: Status.TIMEOUT}.get(end.how, Status.CANCELLED)


def load_report_of(end: End, endpoint_id: int) -> tuple[float, ...]:
    """Return the values of `REPORT_FIELDS` from the ORCA report in the trailers.

    Returns an empty tuple if there is no report; a malformed one is logged and ignored.
    """
    trailers = (value for key, value in end.metadata if key == LOAD_REPORT_TRAILER)
    data = next((value for value in trailers if isinstance(value, bytes)), None)
    if data is None:
        return ()
    try:
        report = OrcaLoadReport.FromString(data)
    except DecodeError:
        _log_ignored(endpoint_id, "malformed ORCA report")
        return ()
    metrics = report.named_metrics
    values = (metrics.get("in_flight", 0.0), report.mem_utilization, metrics.get("tokens_waiting_k", 0.0))
    for name, value in zip(REPORT_FIELDS, values, strict=True):
        if not math.isfinite(value) or not 0 <= value < MAX_REPORTED_VALUE:
            _log_ignored(endpoint_id, f"{name}: not a number from 0 to 1e9")
            return ()
    return values


def _log_ignored(endpoint_id: int, reason: str) -> None:
    log.warning("load report not taken", endpoint=endpoint_id, reason=reason)
