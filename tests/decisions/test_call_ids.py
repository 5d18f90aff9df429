"""Which ids may be used, and the bound of the register."""

from __future__ import annotations

import pytest

from tuliptrack.decisions.call_ids import MAX_EXECUTED_IDS, CallIdRegister, CallIdVerdict, may_run_again
from tuliptrack.interface import Idempotency


def test_an_id_is_free_again_unless_it_may_have_run() -> None:
    ids = CallIdRegister()
    ids.begin("a")
    assert ids.verdict("a") is CallIdVerdict.OPEN and ids.verdict("b") is CallIdVerdict.ALLOWED
    ids.end("a")
    assert ids.verdict("a")
    ids.begin("a")
    ids.end("a", is_reusable=False)
    assert ids.verdict("a") is CallIdVerdict.EXECUTED and not ids.open


# Guards against memory that grows with ever new ids.
def test_the_oldest_ids_are_forgotten_beyond_the_bound() -> None:
    ids = CallIdRegister()
    for number in range(MAX_EXECUTED_IDS + 10):
        ids.end(str(number), is_reusable=False)
    assert len(ids._executed) == MAX_EXECUTED_IDS
    assert ids.verdict("9") and not ids.verdict("10")


@pytest.mark.parametrize("idempotency", Idempotency)
def test_only_what_is_harmless_may_run_again(idempotency: Idempotency) -> None:
    for is_disconnected in (False, True):
        assert may_run_again(idempotency, has_executed=False, is_disconnected=is_disconnected)
        is_harmless = idempotency is Idempotency.IDEMPOTENT and not is_disconnected
        assert may_run_again(idempotency, has_executed=True, is_disconnected=is_disconnected) is is_harmless
