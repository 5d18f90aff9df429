"""Accounts for what each attempt transfers between zones: its prompt, its output and its KV state.

Prompt and output are counted at the node's own connection. The KV state goes from engine to engine: its size
is what the decode engine reports at the end of its call. If it reports nothing, the prefill engine is asked
afterwards; if that doesn't answer either, the whole state is assumed to have been transferred.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tuliptrack.interface import SendAttempt, Settings
from tuliptrack.node.cross_zone_account import CrossZoneAccount, Transfer, TransferStage
from tuliptrack.node.engine_channels import EngineChannels
from tuliptrack.node.grpc_engine_client import ENGINE_SERVICE_PATH, GrpcCall
from tuliptrack.node.requests import Attempt, RequestRecord
from tuliptrack.proto import engine_pb2
from tuliptrack.rpc.channel import End, EndReason
from tuliptrack.rpc.status import Code

__all__ = ["TransferAccounting"]

STATE_BYTES_TRAILER = "tuliptrack-state-bytes"
USAGE_TIMEOUT_US = 10_000_000
"""Timeout of the usage query to a prefill engine; no request waits for it."""


@dataclass(frozen=True, slots=True)
class _Direction:
    """What is transferred, and from which zone to which."""

    stage: TransferStage
    source: int
    target: int


class TransferAccounting:
    """Records the transfers of one node's attempts in the node's account."""

    def __init__(self, settings: Settings, account: CrossZoneAccount, channels: EngineChannels) -> None:
        """Account for the attempts of the node to which the arguments belong."""
        self.settings, self.account, self.channels = settings, account, channels

    def attempt_sent(self, record: RequestRecord, attempt: Attempt, action: SendAttempt) -> None:
        """Start counting the transfers of an attempt that crosses zones."""
        if not action.cross_zone_cause or not isinstance(attempt.call, GrpcCall):
            return
        attempt.cross_zone_cause = action.cross_zone_cause
        call = attempt.call.call
        own_zone, zone = self.settings.zone, _zone_of(record, action.endpoint_id)
        prompt_tokens = record.client_request.prompt_tokens
        prompt = _Direction(TransferStage.PROMPT, own_zone, zone)
        self._track(record, attempt, prompt, lambda: call.traffic.sent, prompt_tokens)
        output = _Direction(TransferStage.OUTPUT, zone, own_zone)
        self._track(record, attempt, output, lambda: call.traffic.received, 0.0)
        if record.kv_state and not attempt.is_prefill:
            prefill_zone = _zone_of(record, record.kv_state.endpoint_id)
            state = _Direction(TransferStage.KV_STATE, prefill_zone, zone)
            self._track(record, attempt, state, lambda: attempt.state_bytes, prompt_tokens)

    def _track(
        self,
        record: RequestRecord,
        attempt: Attempt,
        direction: _Direction,
        count_bytes: Callable[[], int],
        tokens: float,
    ) -> None:
        if direction.source == direction.target:
            return
        assert attempt.cross_zone_cause
        transfer = Transfer(
            record.client_request.request_class,
            record.client_request.tenant,
            direction.stage,
            direction.source,
            direction.target,
            attempt.cross_zone_cause,
            count_bytes,
            tokens,
        )
        attempt.transfers.append(self.account.track(transfer))

    def attempt_ended(self, record: RequestRecord, attempt: Attempt, end: object) -> float:
        """Finish counting the transfers of an attempt.

        Args:
            record: The request.
            attempt: Its attempt.
            end: How the call of the attempt ended, if there was a call.

        Returns:
            The bytes that the attempt has transferred between zones, as far as they are known now.
        """
        for transfer in attempt.transfers:
            transfer.has_ended = True
        if isinstance(end, End):
            self._account_state(record, attempt, end)
        return float(sum(transfer.count_bytes() for transfer in attempt.transfers))

    def _account_state(self, record: RequestRecord, attempt: Attempt, end: End) -> None:
        state = next(
            (transfer for transfer in attempt.transfers if transfer.stage is TransferStage.KV_STATE), None
        )
        if state is None:
            return
        reported = next((value for key, value in end.metadata if key == STATE_BYTES_TRAILER), "")
        if isinstance(reported, str) and reported.isdigit():
            _book_state(record, attempt, int(reported))
        elif end.how is not EndReason.CONNECT:
            self._ask_prefill_engine(record, attempt, state)

    def _ask_prefill_engine(self, record: RequestRecord, attempt: Attempt, state: Transfer) -> None:
        """Ask how much of the request's KV states was fetched; `state` stays tracked until the answer."""
        channel = self.channels.channel(attempt.state_endpoint_id)
        if channel is None:
            return
        state.has_ended = False
        responses: list[bytes] = []
        # The engine reports all that it has sent of this request's states, including for earlier attempts.
        booked_before = record.state_bytes_moved.get(attempt.state_endpoint_id, 0)

        def handle_end(end: End) -> None:
            state.has_ended = True
            if end.status.code is Code.OK and responses:
                sent_bytes = engine_pb2.UsageResponse.FromString(responses[0]).state_bytes
                _book_state(record, attempt, max(sent_bytes - booked_before, 0))
            else:
                full_state = int(self.settings.state_bytes * record.client_request.prompt_tokens)
                _book_state(record, attempt, full_state)

        request = engine_pb2.UsageRequest(request_id=record.name)
        channel.call(
            ENGINE_SERVICE_PATH + "Usage",
            message=request.SerializeToString(),
            timeout=USAGE_TIMEOUT_US,
            on_message=responses.append,
            on_end=handle_end,
        )


def _zone_of(record: RequestRecord, endpoint_id: int) -> int:
    return record.router.endpoints[endpoint_id].info.zone


def _book_state(record: RequestRecord, attempt: Attempt, size_bytes: int) -> None:
    attempt.state_bytes = size_bytes
    booked = record.state_bytes_moved
    booked[attempt.state_endpoint_id] = booked.get(attempt.state_endpoint_id, 0) + size_bytes
