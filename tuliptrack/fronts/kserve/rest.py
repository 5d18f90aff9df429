"""The REST form of the v2 protocol on HTTP/1.1, with the generate extension.

A response is sent in one piece, or as server-sent events. Routes and bodies are those of the Open Inference
Protocol; `docs/operate/kserve.md` lists the status codes.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import unquote, urlsplit

from tuliptrack.config.node import NodeConfig
from tuliptrack.decisions.concurrency_limit import ByteBudget, rejection_text
from tuliptrack.fronts.kserve.mapping import (
    EXTENSIONS,
    INPUTS,
    MAX_QUOTED_NAME,
    OUTPUTS,
    VERSION,
    BufferedResponse,
    InferRequest,
    client_request_of,
    failure_text,
    final_parameters,
)
from tuliptrack.fronts.kserve.rest_requests import parse_generate, parse_infer
from tuliptrack.fronts.kserve.tensors import encode_element
from tuliptrack.fronts.port import Core, Failure, FinishReason, InvalidRequestError, RequestHandle, Usage
from tuliptrack.rpc.http1 import HttpCall, HttpLimits, HttpServer, Rejection

__all__ = ["RestListener", "make"]

JSON_LENGTH_HEADER = "inference-header-content-length"
"""Header with the length of the JSON of a body, where binary data follows it."""
EVENT_STREAM = "text/event-stream"

_STATUS_BY_FAILURE = {
    Failure.DEADLINE: 504,
    Failure.BROKEN: 502,
    Failure.MIGRATED: 502,
    Failure.LOST: 500,
    Failure.STALLED: 499,
    Failure.INVALID: 400,
}
_MODEL_PATH = re.compile(
    r"/v2/models/(?P<model>[^/]+)(?:/versions/(?P<version>[^/]+))?"
    r"(?:/(?P<operation>ready|infer|generate|generate_stream))?"
)


def make(core: Core, config: NodeConfig, body_budget: ByteBudget) -> RestListener | None:
    """Return the listener, or None where the settings have no address for it."""
    return RestListener(core, config, body_budget) if config.kserve.rest_listen else None


def _retry_headers(retry_after_us: int) -> list[tuple[str, str]]:
    """Return Retry-After, which is in whole seconds; the body has milliseconds."""
    return [("retry-after", str(max(math.ceil(retry_after_us / 1e6), 1)))]


def _reject(call: HttpCall, reason: str, retry_after_us: int) -> None:
    retry_after_ms = retry_after_us // 1000
    call.error(503, rejection_text(reason), _retry_headers(retry_after_us), retry_after_ms=retry_after_ms)


def _response_head(infer: InferRequest) -> dict[str, Any]:
    """Return the fields that every response has."""
    head = {"model_name": infer.model, "model_version": infer.version}
    return {**head, "id": infer.id} if infer.id else head


class _CompleteResponse(BufferedResponse):
    """Writes a response in one piece, by one of the functions below; a `ResponseWriter`."""

    def __init__(
        self,
        call: HttpCall,
        infer: InferRequest,
        max_bytes: int,
        write: Callable[[_CompleteResponse], None],
    ) -> None:
        super().__init__(infer, max_bytes)
        self.call, self.write = call, write

    def too_large(self, text: str) -> None:
        self.call.error(500, text)

    def served(self) -> None:
        self.write(self)

    def rejected(self, reason: str, retry_after_us: int) -> None:
        _reject(self.call, reason, retry_after_us)

    def failed(self, failure: Failure, reason: str, next_index: int) -> None:
        self.call.error(_STATUS_BY_FAILURE[failure], failure_text(failure, reason, 0), kind=failure.value)


def _write_generated(response: _CompleteResponse) -> None:
    """Write a response of `generate`."""
    body = {**_response_head(response.infer), "text_output": response.text, **response.parameters}
    response.call.respond(200, json.dumps(body).encode())


def _write_json(response: _CompleteResponse) -> None:
    """Write a response of `infer` with its output in JSON."""
    name, datatype, shape = OUTPUTS[0]
    output = {"name": name, "datatype": datatype, "shape": shape, "data": [response.text]}
    body = {**_response_head(response.infer), "parameters": response.parameters, "outputs": [output]}
    response.call.respond(200, json.dumps(body).encode())


def _write_binary(response: _CompleteResponse) -> None:
    """Write a response of `infer` with its output as binary data behind the JSON."""
    data = encode_element(response.text.encode())
    name, datatype, shape = OUTPUTS[0]
    parameters = {"binary_data_size": len(data)}
    output = {"name": name, "datatype": datatype, "shape": shape, "parameters": parameters}
    body = {**_response_head(response.infer), "parameters": response.parameters, "outputs": [output]}
    head = json.dumps(body).encode()
    headers = [(JSON_LENGTH_HEADER, str(len(head)))]
    response.call.respond(200, head + data, headers, "application/octet-stream")


class _EventStreamResponse:
    """Writes a response as server-sent events; a `ResponseWriter`.

    Nothing is sent before the first token, so that a rejection has its own status.
    """

    def __init__(self, call: HttpCall, infer: InferRequest) -> None:
        self.call = call
        self.handle: RequestHandle | None = None
        self._event_head = f"data: {json.dumps(_response_head(infer))[:-1]}, "
        """The start of each token's event, serialized once: the JSON object without its closing brace."""

    def token(self, index: int, text: str, finish: FinishReason | None, usage: Usage | None) -> bool:
        parameters = final_parameters(finish, usage) if finish else {}
        tail = "".join(f', "{name}": {json.dumps(value)}' for name, value in parameters.items())
        event = f'{self._event_head}"text_output": {json.dumps(text)}, "index": {index}{tail}}}\n\n'
        self.call.start(200, EVENT_STREAM)
        return self.call.send(event.encode())

    def served(self) -> None:
        self.call.end()

    def rejected(self, reason: str, retry_after_us: int) -> None:
        _reject(self.call, reason, retry_after_us)

    def failed(self, failure: Failure, reason: str, next_index: int) -> None:
        text = failure_text(failure, reason, next_index)
        if not self.call.started:
            self.call.error(_STATUS_BY_FAILURE[failure], text, kind=failure.value)
            return
        error = {"error": text, "kind": failure.value, "next_index": next_index}
        self.call.send(b"data: " + json.dumps(error, ensure_ascii=False).encode() + b"\n\n")
        self.call.end()


class RestListener:
    """The listener: routes requests by path, one method each."""

    form = "kserve rest"

    def __init__(self, core: Core, config: NodeConfig, body_budget: ByteBudget) -> None:
        """Create the listener; it does not listen yet.

        Args:
            core: The core that serves the requests.
            config: The settings of the node.
            body_budget: Bounds the bytes of all request bodies together.
        """
        self.core, self.config = core, config
        limits, options = config.limits, config.kserve
        self.server = HttpServer(
            self.handle,
            self.reject_early,
            HttpLimits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.message_bytes,
                pending_high=limits.answer_bytes,
                request_timeout=options.request_timeout,
                idle=options.idle,
                connections=options.connections,
            ),
            body_budget,
            ByteBudget(body_budget.limit_bytes),
        )

    async def listen(self) -> str:
        """Start to serve; returns host:port."""
        host, _, port = self.config.kserve.rest_listen.rpartition(":")
        return await self.server.listen(host, int(port))

    async def stop(self, grace: float, on_grace_over: Callable[[], None]) -> None:
        """Accept nothing new, and end what is still open after `grace` seconds; see `installed.Listener`."""
        self.server.on_grace_over = on_grace_over
        await self.server.stop(grace)

    def reject_early(self, call: HttpCall) -> Rejection | None:
        """Return a rejection that needs only the headers, so that the client need not send the body."""
        if call.method != "POST":
            return None
        reason, retry_after_us = self.core.overload()
        if not reason:
            return None
        return Rejection(503, rejection_text(reason), tuple(_retry_headers(retry_after_us)))

    def handle(self, call: HttpCall) -> None:
        """Answer a request, or submit it to the core."""
        path = urlsplit(call.target).path
        if path in ("/v2", "/v2/"):
            body = {"name": "tuliptrack", "version": VERSION, "extensions": list(EXTENSIONS)}
            self._answer_get(call, body)
        elif path == "/v2/health/live":
            self._answer_get(call, {"live": True})
        elif path == "/v2/health/ready":
            self._answer_ready(call, self.core.serving() and bool(self.core.models.serving()))
        elif match := _MODEL_PATH.fullmatch(path):
            model, version = unquote(match["model"]), unquote(match["version"] or "")
            self._handle_model(call, model, version, match["operation"] or "")
        else:
            call.error(404, f"path: {path[:100]!r} is not served here")

    def _answer_get(self, call: HttpCall, body: dict[str, Any]) -> None:
        if self._is_method(call, "GET"):
            call.respond(200, json.dumps(body).encode())

    def _is_method(self, call: HttpCall, method: str) -> bool:
        """Return whether a call has this method; any other call is answered with 405."""
        if call.method == method:
            return True
        call.error(405, f"method: {method} expected, is {call.method[:20]}", [("allow", method)])
        return False

    def _answer_ready(self, call: HttpCall, is_ready: bool) -> None:
        if call.method == "GET" and not is_ready:
            call.respond(503, b'{"ready": false}')
        else:
            self._answer_get(call, {"ready": True})

    def _handle_model(self, call: HttpCall, model: str, version: str, operation: str) -> None:
        if operation == "ready":
            self._answer_ready(call, self.core.serving() and self.core.models.ready(model, version))
        elif not operation:
            self._answer_metadata(call, model, version)
        elif self._is_method(call, "POST"):
            try:
                self._submit(call, model, version, operation)
            except InvalidRequestError as error:
                call.error(404 if error.is_unknown else 400, str(error), field=error.field)

    def _answer_metadata(self, call: HttpCall, model: str, version: str) -> None:
        named = [known for known in self.core.models.listed() if known.name == model]
        versions = [known.version for known in named if version in ("", known.version)]
        if not versions:
            requested_version = f" as {version[:40]!r}" if version else ""
            call.error(404, f"model: {model[:MAX_QUOTED_NAME]!r} is not served here{requested_version}")
            return
        body = {
            "name": model,
            "versions": versions,
            "platform": "tuliptrack",
            "inputs": _described(INPUTS),
            "outputs": _described(OUTPUTS),
        }
        self._answer_get(call, body)

    def _submit(self, call: HttpCall, model: str, version: str, operation: str) -> None:
        """Submit a request; InvalidRequestError where it is invalid."""
        write = _write_generated
        if operation == "infer":
            json_length = call.headers.get(JSON_LENGTH_HEADER)
            infer, is_binary_wanted = parse_infer(model, version, call.body, json_length)
            write = _write_binary if is_binary_wanted else _write_json
        else:
            infer = parse_generate(model, version, call.body)
        request = client_request_of(infer, self.config.kserve, call.received_at_us, None, call.connection)
        response: _CompleteResponse | _EventStreamResponse
        if operation == "generate_stream":
            response = _EventStreamResponse(call, infer)
        else:
            response = _CompleteResponse(call, infer, self.config.limits.message_bytes, write)
        handle = response.handle = self.core.submit(request, response)
        call.on_cancelled, call.on_writable = handle.disconnected, handle.writable


def _described(tensors: Sequence[tuple[str, str, tuple[int, ...]]]) -> list[dict[str, Any]]:
    """Return the metadata of inputs or outputs."""
    return [{"name": name, "datatype": datatype, "shape": shape} for name, datatype, shape in tensors]
