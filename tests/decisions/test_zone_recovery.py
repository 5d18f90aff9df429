"""Zones that lost their endpoints, and the ramp of their traffic after recovery."""

from __future__ import annotations

import pytest
from helpers import S

from tuliptrack.decisions.zone_recovery import (
    FORGET_AFTER_US,
    INITIAL_SHARE,
    MIN_LOST_US,
    RAMP_US,
    ZoneChange,
    ZoneRecovery,
    ZoneState,
)
from tuliptrack.interface import Role

KEY = (1, Role.PREFILL)
OTHER = (2, Role.PREFILL)


def change(state: ZoneState) -> ZoneChange:
    return ZoneChange(1, Role.PREFILL, state)


def test_a_recovered_zone_gets_its_sessions_back_gradually_and_the_same_ones_at_all_nodes() -> None:
    recovery = ZoneRecovery()
    assert recovery.observe(0, [KEY] * 4 + [OTHER]) == []
    assert recovery.observe(1 * S, [KEY] * 2 + [OTHER]) == []  # a zone with half of its endpoints is not lost
    assert recovery.observe(2 * S, [OTHER]) == [change(ZoneState.LOST)]
    assert recovery.admits(3 * S, 1, Role.PREFILL, 0.99)  # a lost zone's health checks are not limited
    recovered = recovery.observe(2 * S + MIN_LOST_US // 2, [KEY] * 2 + [OTHER])
    assert recovered == [change(ZoneState.RECOVERED)]
    assert not recovery.is_ramping_up  # the zone was lost for too short a time
    recovery.observe(10 * S, [])
    begin = 10 * S + MIN_LOST_US
    assert change(ZoneState.RECOVERING) in recovery.observe(begin, [KEY] * 2)
    positions = [n / 100 for n in range(100)]
    shares = [
        sum(recovery.admits(begin + RAMP_US * n // 4, 1, Role.PREFILL, p) for p in positions) / 100
        for n in range(5)
    ]
    assert shares == sorted(shares)
    assert shares[0] == pytest.approx(INITIAL_SHARE, abs=0.01) and shares[-1] == 1.0
    assert not recovery.is_ramping_up


def test_a_zone_that_stays_lost_is_no_longer_expected_back() -> None:
    recovery = ZoneRecovery()
    recovery.observe(0, [KEY] * 4)
    assert recovery.observe(100 * S, []) == [change(ZoneState.LOST)]
    assert recovery.observe(100 * S + FORGET_AFTER_US + 1, []) == [change(ZoneState.FORGOTTEN)]
    assert recovery.observe(100 * S + FORGET_AFTER_US + 2, []) == []


def test_the_log_text_names_zone_role_and_state() -> None:
    assert str(change(ZoneState.LOST)) == "zone 1: prefill endpoints lost"
