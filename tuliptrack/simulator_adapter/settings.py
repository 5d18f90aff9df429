"""Translates the protocol's JSON settings to `Settings`."""

from __future__ import annotations

import json
from collections.abc import Sequence
from enum import Enum
from typing import Any

from tuliptrack import interface as io
from tuliptrack.simulator_adapter.errors import WireError, lookup

__all__ = ["settings_from_json", "settings_of"]

ROLES = {"read": io.Role.PREFILL, "write": io.Role.DECODE, "both": io.Role.PREFILL_AND_DECODE}
IDEMPOTENCY = {
    "free": io.Idempotency.IDEMPOTENT,
    "guarded": io.Idempotency.WITH_KEY,
    "single_shot": io.Idempotency.NOT_IDEMPOTENT,
}
REPORT_FIELDS = {
    "inflight": "in_flight",
    "queue": "queued",
    "util": "utilisation",
    "latency_ms": "latency_ms",
    "qps": "served_per_s",
    "eps": "errors_per_s",
    "x0": "memory_share",
    "x1": "tokens_waiting_k",
}


def settings_from_json(text: bytes) -> io.Settings:
    """Translate a settings text; unknown keys are ignored.

    Raises:
        WireError: a key is missing or a value is wrong; the message says which.
    """
    try:
        environment = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise WireError(f"settings: not JSON ({error})") from None
    return settings_of(environment)


def settings_of(environment: object) -> io.Settings:
    """Translate a settings object that is already parsed; unknown keys are ignored.

    Raises:
        WireError: a key is missing or a value is wrong; the message says which.
    """
    if not isinstance(environment, dict):
        raise WireError("settings: not a JSON object")
    try:
        return _settings(environment)
    except KeyError as error:
        raise WireError(f"settings: key {error.args[0]!r} is missing") from None
    except (TypeError, ValueError, AttributeError, IndexError, OverflowError, RecursionError) as error:
        raise WireError(f"settings: {error}") from None


def _settings(environment: dict[str, Any]) -> io.Settings:
    specifics, limits = environment["specifics"], environment["limits"]
    obligations = environment["obligations"]
    return io.Settings(
        replicas=int(environment["replicasOfMe"]),
        classes=_classes(environment, specifics),
        roles=tuple(_role(name) for name in specifics["dutyByKind"]),
        tenants=_tenants(environment),
        replica_index=int(environment.get("slotNo", 0)),
        zone=int(environment.get("az", 0)),
        over_quota_weight_factor=float(environment.get("overShareWorth", 1.0)),
        max_attempts=int(limits["mostTries"]),
        release_within_us=int(specifics["letGoBy"]),
        drain_grace_us=int(obligations["drainGrace"]),
        must_subscribe=environment.get("discovery") == "subscribe",
        slow_start_us=int(obligations["cold"]),
        slow_start_initial_share=float(obligations["coldFrom"]),
        slow_start_overload_factor=float(obligations["fallMultiple"]),
        slow_start_window_us=int(obligations["fall"]),
        connect_timeout_us=int(limits.get("connectTimeout", 0)),
        may_cancel=bool(limits.get("cancel", False)),
        may_send_retry_after=bool(limits.get("retryAfter", False)),
        may_resume=bool(specifics.get("resume", False)),
        max_retry_after_us=int(limits.get("maxRetryAfter", 0)),
        report_fields=_report_fields(environment.get("reporting") or {}),
    )


def _classes(environment: dict[str, Any], specifics: dict[str, Any]) -> tuple[io.RequestClass, ...]:
    per_1000_tokens = specifics.get("aimUsPer1000PromptTokens") or []
    inter_token = specifics.get("tokenAim") or []
    return tuple(
        io.RequestClass(
            name=str(entry.get("name", index)),
            priority_weight=float(entry["importance"]),
            latency_objective_us=int(entry["promise"]),
            deadline_us=int(entry["deadline"]),
            objective_us_per_1000_tokens=_number_at(per_1000_tokens, index),
            inter_token_objective_us=_number_at(inter_token, index),
            idempotency=lookup(IDEMPOTENCY, entry["effect"], "settings: classes[].effect"),
            idempotency_scope=_member(
                io.IdempotencyScope, entry.get("keyScope", "all"), "classes[].keyScope"
            ),
            deduplication_window_us=int(entry.get("dedupWindow", 0)),
        )
        for index, entry in enumerate(environment["classes"])
    )


def _number_at(numbers: Sequence[Any], index: int) -> float:
    """Return the number at an index, or 0 if the list is too short."""
    return float(numbers[index]) if index < len(numbers) else 0.0


def _tenants(environment: dict[str, Any]) -> tuple[io.Tenant, ...]:
    return tuple(
        io.Tenant(str(entry.get("name", "")), float(entry.get("share", 0.0)), float(entry["quotaPerS"]))
        for entry in environment.get("projects") or ()
    )


def _report_fields(reporting: dict[str, Any]) -> tuple[str, ...]:
    if reporting.get("how") == "silent":
        return ()
    return tuple(REPORT_FIELDS.get(name, name) for name in reporting.get("fields") or ())


def _member(enum: type[Enum], value: str, field: str) -> Any:
    try:
        return enum(value)
    except ValueError:
        raise WireError(f"settings: {field} {value!r} is unknown") from None


def _role(name: object) -> io.Role:
    try:
        return ROLES[str(name)]
    except KeyError:
        raise WireError(f"settings: specifics.dutyByKind {name!r} is unknown") from None
