"""Files that version c9c5611 wrote are read by the present version.

Names in the code have changed since. If a field that is stored under its name in the code changed with it, an
operator's ledger, plan or agent state would be unreadable after an upgrade. The files were written by running
that version, and no test writes them again.
"""

from __future__ import annotations

import json
import shutil
from pathlib import Path

from tuliptrack.config.node import load
from tuliptrack.decisions.billing import UsageOutcome, compute_bills
from tuliptrack.decisions.consensus import Ballot
from tuliptrack.decisions.rollout_plan import NodeRelease
from tuliptrack.decisions.rollout_record import RolloutPhase, RolloutRecord
from tuliptrack.fleet.agent_state import load_state
from tuliptrack.interface import EndpointState, Role
from tuliptrack.sources.endpoint_list import EndpointList, load_cache
from tuliptrack.store.ledger import Ledger

HERE = Path(__file__).parent / "c9c5611"


def test_a_ledger_gives_the_same_bills(tmp_path: Path) -> None:
    shutil.copytree(HERE / "ledger", tmp_path / "ledger")
    ledger = Ledger(str(tmp_path / "ledger"))
    try:
        bills = {bill.work: bill for bill in compute_bills(ledger.records_since(0))}
    finally:
        ledger.close()
    assert set(bills) == {"job-1", "job-2", "job-3"}
    first, second = bills["job-1"], bills["job-2"]
    assert (first.tenant, first.read, first.kept, first.written, first.amount) == ("north", 80, 20, 10, 280)
    # Two records of one job: the prompt is billed once, the second record's cached read is at the operator's cost.
    assert (second.read, second.kept, second.written, second.amount) == (50, 0, 9, 190)
    assert first.whole and second.whole and not bills["job-3"].whole
    assert int(UsageOutcome.SERVED) == 1, "stored as a number"


def test_a_cached_endpoint_list_is_applied() -> None:
    received = EndpointList(("reader", "writer"))
    update = received.apply(
        load_cache(str(HERE / "endpoint-list")), 1_000_000, wall_us=1_700_000_000_000_000
    ).update
    first, second = update.endpoints
    assert (first.id, first.kind, first.state, first.weight, first.zone) == (
        1,
        0,
        EndpointState.READY,
        2.0,
        1,
    )
    assert (second.id, second.kind, second.state, second.cell) == (2, 1, EndpointState.DRAINING, 3)
    assert second.started_at_us == 1_000_000


def test_the_record_of_a_rollout_is_read_and_written_unchanged() -> None:
    stored = json.loads((HERE / "rollout-record.json").read_text())
    record = RolloutRecord.from_dict(stored)
    assert (record.number, record.phase, record.stage, record.reason) == (
        3,
        RolloutPhase.PAUSED,
        1,
        "held by a person",
    )
    assert record.plan and record.plan.old == NodeRelease("prog-1", "set-1")
    assert [stage.hosts for stage in record.plan.stages] == [("h0",), ("h1", "h2")]
    assert json.loads(json.dumps(record.as_dict())) == stored


def test_the_state_of_an_agent_is_read() -> None:
    state = load_state(HERE / "agent-state")
    assert state and state.release == NodeRelease("prog-1", "set-1") and state.change_count == 4
    assert state.order == state.acceptor.ballot == Ballot(65, 2) and state.acceptor.promised_epoch == 65
    assert RolloutRecord.from_dict(json.loads(state.acceptor.value)).phase is RolloutPhase.PAUSED


def test_a_settings_file_means_the_same() -> None:
    config = load(HERE / "node.textproto")
    assert Role.PREFILL in config.settings.roles and Role.DECODE in config.settings.roles
    assert config.settings.classes[0].latency_objective_us > 0
