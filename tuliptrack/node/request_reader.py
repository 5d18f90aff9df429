"""The router's view of what a client asks; what can't be a request is turned down by the field that is at
fault.
"""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from tuliptrack import interface as io
from tuliptrack.fronts.port import ClientRequest, InvalidRequestError

__all__ = ["CoreLimits", "RequestReader", "key"]

_COUNTS = {
    "prompt_tokens": "prompt_tokens",
    "prefix_tokens": "prefix_tokens",
    "max_tokens": "max_tokens",
    "resume_index": "resume.next_index",
}
"""Fields of an `ClientRequest` that count tokens, and the names that clients know them by."""
_NAME_SHOWN = 60  # characters of a name that an error repeats


def key(text: str) -> int:
    """A 64-bit key that is the same at every node; 0 for no text."""
    return (xxhash.xxh3_64_intdigest(text.encode()) or 1) if text else 0


@dataclass(frozen=True, slots=True)
class CoreLimits:
    """Bounds and times of a node, whatever it speaks. Times in microseconds."""

    tokens: int = 1_048_576
    """Of one prompt or answer."""
    bytes_per_token: float = 4.0
    """To guess a prompt's tokens where they aren't told."""
    answer_ahead: int = 50_000
    """How long before the client's deadline the last answer leaves."""
    client_stall: int = 30_000_000
    """How long a client may leave its answer unread."""
    token_silence: int = 15_000_000
    """How long a begun stream may bring nothing."""


class RequestReader:
    """Turns what fronts have read into the router's requests."""

    def __init__(self, settings: io.Settings, limits: CoreLimits) -> None:
        self.settings, self.limits = settings, limits
        self.classes = {one.name: number for number, one in enumerate(settings.classes)}
        self.tenants = {one.name: number for number, one in enumerate(settings.tenants)}

    def class_of(self, ask: ClientRequest) -> io.RequestClass:
        """The class of something that was read."""
        return self.settings.classes[self.classes[ask.request_class]]

    def read(self, ask: ClientRequest, now: int) -> io.Request:
        """The request, without its number; AskError names the field that can't be taken. Fills in what the
        client left open: the prompt's tokens and the most that an answer may have.
        """
        number, tenant = self._class(ask), self._tenant(ask)
        if not ask.prompt and ask.payload is None:
            raise InvalidRequestError("prompt", "is required")
        self._check_counts(ask)
        self._fill_in(ask)
        self._check_resume(ask)
        return io.Request(
            0,
            number,
            self._time_left(ask, now),
            float(ask.prompt_tokens + ask.resume_index),
            float(ask.prefix_tokens),
            float(ask.max_tokens - ask.resume_index),
            key(f"{ask.tenant}\0{ask.session or ask.prompt}"),
            key(ask.prefix),
            tenant,
            None,
            ask.is_retry,
            ask.is_resumed or ask.resume_index > 0,
        )

    def _class(self, ask: ClientRequest) -> int:
        number = self.classes.get(ask.request_class)
        if number is None:
            raise InvalidRequestError(
                "request_class", f"{ask.request_class[:_NAME_SHOWN]!r} is not among {sorted(self.classes)}"
            )
        return number

    def _tenant(self, ask: ClientRequest) -> int:
        tenant = self.tenants.get(ask.tenant)
        if tenant is None and (self.tenants or ask.tenant):
            raise InvalidRequestError("tenant", f"{ask.tenant[:_NAME_SHOWN]!r} is not known")
        return tenant or 0

    def _check_counts(self, ask: ClientRequest) -> None:
        for name, field in _COUNTS.items():
            count = getattr(ask, name)
            if not 0 <= count <= self.limits.tokens:
                raise InvalidRequestError(field, f"must be from 0 to {self.limits.tokens}, is {count}")

    def _fill_in(self, ask: ClientRequest) -> None:
        limits = self.limits
        if not ask.prompt_tokens:
            guess = round(len(ask.prompt.encode()) / limits.bytes_per_token)
            ask.prompt_tokens = max(1, min(guess, limits.tokens))
        if ask.prefix_tokens > ask.prompt_tokens:
            raise InvalidRequestError(
                "prefix_tokens", f"{ask.prefix_tokens} are more than the prompt's {ask.prompt_tokens}"
            )
        ask.max_tokens = ask.max_tokens or limits.tokens

    def _check_resume(self, ask: ClientRequest) -> None:
        if ask.resume_index and not self.settings.may_resume:
            raise InvalidRequestError("resume", "streams can't be resumed here")
        if ask.resume_index >= ask.max_tokens:
            raise InvalidRequestError(
                "resume.next_index", f"{ask.resume_index} is past max_tokens {ask.max_tokens}"
            )

    def answer_by_us(self, ask: ClientRequest) -> int | None:
        """By when an answer has to leave to arrive by the client's own deadline; None where it has none."""
        by = ask.deadline_us if ask.first_token_deadline_us is None else ask.first_token_deadline_us
        return None if by is None else by - self.limits.answer_ahead

    def _time_left(self, ask: ClientRequest, now: int) -> int:
        """Microseconds for the first token: by the client's own deadline, else by its class and the prompt's
        length.
        """
        by = self.answer_by_us(ask)
        if by is not None:
            return max(by - now, 1)
        cls = self.class_of(ask)
        return cls.deadline_us + int(2 * cls.objective_us_per_1000_tokens * ask.prompt_tokens / 1000)
