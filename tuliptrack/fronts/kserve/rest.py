"""The REST form of the protocol on HTTP/1.1, with the generate extension: whole answers, or server-sent
events."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote, urlsplit

from tuliptrack.config.node import NodeConfig
from tuliptrack.decisions.concurrency_limit import ByteBudget, rejection_text
from tuliptrack.fronts.kserve.mapping import (
    EXTENSIONS,
    INPUTS,
    OUTPUTS,
    VERSION,
    BufferedResponse,
    InferRequest,
    client_request_of,
    failure_text,
    final_parameters,
)
from tuliptrack.fronts.kserve.tensors import Tensor, TensorError, from_json, from_raw
from tuliptrack.fronts.port import Core, Failure, FinishReason, InvalidRequestError, RequestHandle, Usage
from tuliptrack.rpc.clock import now_us
from tuliptrack.rpc.http1 import HttpCall, HttpLimits, HttpServer, Refusal

__all__ = ["Rest", "make"]

_BINARY = "inference-header-content-length"
_STATUS = {
    Failure.DEADLINE: 504,
    Failure.BROKEN: 502,
    Failure.MIGRATED: 502,
    Failure.LOST: 500,
    Failure.STALLED: 499,
}
_MODEL = re.compile(
    r"/v2/models/(?P<model>[^/]+)(?:/versions/(?P<version>[^/]+))?(?:/(?P<what>ready|infer|generate|"
    r"generate_stream))?"
)


def make(core: Core, config: NodeConfig, bodies: ByteBudget) -> Rest | None:
    """The listener, where the settings want one."""
    return Rest(core, config, bodies) if config.kserve.rest_listen else None


def _retry(retry_after: int) -> list[tuple[str, str]]:
    """Whole seconds, as the header has them; the body tells milliseconds."""
    return [("retry-after", str(max(math.ceil(retry_after / 1e6), 1)))]


def _refuse(call: HttpCall, reason: str, retry_after: int) -> None:
    call.error(503, rejection_text(reason), _retry(retry_after), retry_after_ms=retry_after // 1000)


def _object(body: bytes, place: str) -> dict[str, Any]:
    try:
        found = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequestError(place, f"is not JSON ({error})"[:200]) from None
    if not isinstance(found, dict):
        raise InvalidRequestError(place, "must be a JSON object")
    return found


def _parameters(given: Any, place: str = "parameters") -> dict[str, Any]:
    if not isinstance(given, dict):
        raise InvalidRequestError(place, "must be a JSON object")
    wrong = next((k for k, v in given.items() if not isinstance(v, bool | int | float | str)), None)
    if wrong is not None:
        raise InvalidRequestError(f"{place}.{wrong[:60]}", "must be a boolean, a number or a string")
    return dict(given)


def infer_of(model: str, version: str, body: bytes, header: str | None) -> tuple[InferRequest, bool]:
    """A request of `infer`, and whether its output is wanted as binary data; AskError names what is wrong."""
    size = len(body)
    if header is not None:
        if not header.isascii() or not header.isdigit() or int(header) > len(body):
            raise InvalidRequestError(
                "Inference-Header-Content-Length",
                f"must be at most the body's {len(body)}, is {header[:20]!r}",
            )
        size = int(header)
    data = _object(body[:size], "body")
    infer = InferRequest(model, version, str(data.get("id", "")), _parameters(data.get("parameters", {})))
    at = size
    binary = infer.parameters.get("binary_data_output") is True
    inputs, outputs = data.get("inputs"), data.get("outputs", [])
    if not isinstance(inputs, list) or not isinstance(outputs, list):
        raise InvalidRequestError("inputs" if not isinstance(inputs, list) else "outputs", "must be a list")
    for number, one in enumerate(inputs):
        if not isinstance(one, dict) or not isinstance(one.get("name"), str):
            raise InvalidRequestError(f"inputs[{number}].name", "is required")
        name, datatype, shape = one["name"], one.get("datatype", ""), one.get("shape", [])
        told = _parameters(one.get("parameters", {}), f"inputs.{name[:60]}.parameters").get(
            "binary_data_size"
        )
        try:
            if told is None:
                infer.inputs.append(from_json(name, datatype, shape, one.get("data")))
                continue
            if not isinstance(told, int) or isinstance(told, bool) or not 0 <= told <= len(body) - at:
                raise InvalidRequestError(
                    f"inputs.{name[:60]}.parameters.binary_data_size", f"{len(body) - at} bytes are left"
                )
            if not isinstance(datatype, str) or not isinstance(shape, list):
                raise InvalidRequestError(f"inputs.{name[:60]}", "shape must be a list, datatype a string")
            infer.inputs.append(from_raw(name, datatype, shape, body[at : at + told]))
            at += told
        except TensorError as error:
            raise InvalidRequestError(f"inputs.{error.field}", error.reason) from None
    if at != len(body):
        raise InvalidRequestError("body", f"{len(body) - at} bytes are left behind the tensors")
    for number, one in enumerate(outputs):
        if not isinstance(one, dict) or not isinstance(one.get("name"), str):
            raise InvalidRequestError(f"outputs[{number}].name", "is required")
        infer.outputs.append(one["name"])
        wanted = _parameters(one.get("parameters", {}), f"outputs.{one['name'][:60]}.parameters").get(
            "binary_data"
        )
        binary = wanted if isinstance(wanted, bool) else binary
    return infer, binary


def generate_of(model: str, version: str, body: bytes) -> InferRequest:
    """A request of the generate extension: text_input, and parameters beside it or in `parameters`."""
    data = _object(body, "body")
    parameters = _parameters(
        {**data.pop("parameters", {})} if isinstance(data.get("parameters", {}), dict) else None
    )
    text, told = data.pop("text_input", None), str(data.pop("id", ""))
    if not isinstance(text, str):
        raise InvalidRequestError("text_input", "is required and must be a string")
    parameters = {**parameters, **_parameters(data)}
    return InferRequest(
        model, version, told, parameters, [Tensor("text_input", "BYTES", (1,), [text.encode()])]
    )


class _Whole(BufferedResponse):
    """An answer in one piece."""

    def __init__(
        self, call: HttpCall, infer: InferRequest, most: int, write: Callable[[_Whole], None]
    ) -> None:
        super().__init__(infer, most)
        self.call, self.write = call, write

    def too_large(self, text: str) -> None:
        self.call.error(500, text)

    def served(self) -> None:
        self.write(self)

    def rejected(self, reason: str, retry_after: int) -> None:
        _refuse(self.call, reason, retry_after)

    def failed(self, how: Failure, reason: str, next_index: int) -> None:
        self.call.error(_STATUS[how], failure_text(how, reason, 0), kind=how.value)


class _Events:
    """An answer as server-sent events. Until the first token nothing is sent, so that a refusal has its own
    status."""

    def __init__(self, call: HttpCall, infer: InferRequest) -> None:
        self.call, self.infer = call, infer
        self.handle: RequestHandle | None = None
        head = {
            "model_name": infer.model,
            "model_version": infer.version,
            **({"id": infer.id} if infer.id else {}),
        }
        self.head = f"data: {json.dumps(head)[:-1]}, "

    def _event(self, facts: dict[str, Any]) -> bool:
        self.call.start(200, "text/event-stream")
        return self.call.send(b"data: " + json.dumps(facts, ensure_ascii=False).encode() + b"\n\n")

    def token(self, index: int, text: str, finish: FinishReason | None, usage: Usage | None) -> bool:
        tail = (
            "".join(f', "{k}": {json.dumps(v)}' for k, v in final_parameters(finish, usage).items())
            if finish
            else ""
        )
        self.call.start(200, "text/event-stream")
        return self.call.send(
            f'{self.head}"text_output": {json.dumps(text)}, "index": {index}{tail}}}\n\n'.encode()
        )

    def served(self) -> None:
        self.call.end()

    def rejected(self, reason: str, retry_after: int) -> None:
        _refuse(self.call, reason, retry_after)

    def failed(self, how: Failure, reason: str, next_index: int) -> None:
        text = failure_text(how, reason, next_index)
        if self.call.started:
            self._event({"error": text, "kind": how.value, "next_index": next_index})
            self.call.end()
        else:
            self.call.error(_STATUS[how], text, kind=how.value)


class Rest:
    """The listener: routes by path, one handler each."""

    form = "kserve rest"

    def __init__(self, core: Core, config: NodeConfig, bodies: ByteBudget) -> None:
        self.core, self.config = core, config
        limits, own = config.limits, config.kserve
        self.server = HttpServer(
            self.handle,
            self.early,
            HttpLimits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.message_bytes,
                pending_high=limits.answer_bytes,
                request_within=own.request_within,
                idle=own.idle,
                connections=own.connections,
            ),
            bodies,
        )

    async def listen(self) -> str:
        host, _, port = self.config.kserve.rest_listen.rpartition(":")
        return await self.server.listen(host, int(port))

    async def stop(self, grace: float) -> None:
        await self.server.stop(grace)

    # -- routes

    def early(self, call: HttpCall) -> Refusal | None:
        """What is known from the headers: the node is full, so the body need not come."""
        if call.method == "POST":
            reason, wait = self.core.overload()
            if reason:
                return Refusal(503, rejection_text(reason), tuple(_retry(wait)))
        return None

    def handle(self, call: HttpCall) -> None:
        path = urlsplit(call.target).path
        if path in ("/v2", "/v2/"):
            self._get(
                call, lambda: {"name": "tuliptrack", "version": VERSION, "extensions": list(EXTENSIONS)}
            )
        elif path == "/v2/health/live":
            self._get(call, lambda: {"live": True})
        elif path == "/v2/health/ready":
            self._ready(call, self.core.serving() and bool(self.core.models.serving()))
        elif match := _MODEL.fullmatch(path):
            self._model(call, unquote(match["model"]), unquote(match["version"] or ""), match["what"] or "")
        else:
            call.error(404, f"path: {path[:100]!r} is not served here")

    def _get(self, call: HttpCall, make: Callable[[], dict[str, Any]]) -> None:
        if call.method != "GET":
            call.error(405, f"method: GET expected, is {call.method[:20]}", [("allow", "GET")])
        else:
            call.respond(200, json.dumps(make()).encode())

    def _ready(self, call: HttpCall, ready: bool) -> None:
        if call.method == "GET" and not ready:
            call.respond(503, b'{"ready": false}')
        else:
            self._get(call, lambda: {"ready": True})

    def _model(self, call: HttpCall, model: str, version: str, what: str) -> None:
        if what == "ready":
            self._ready(call, self.core.serving() and self.core.models.ready(model, version))
            return
        if not what:
            self._metadata(call, model, version)
            return
        if call.method != "POST":
            call.error(405, f"method: POST expected, is {call.method[:20]}", [("allow", "POST")])
            return
        try:
            self._submit(call, model, version, what)
        except InvalidRequestError as error:
            call.error(404 if error.is_unknown else 400, str(error), field=error.field)

    def _metadata(self, call: HttpCall, model: str, version: str) -> None:
        found = [m for m in self.core.models.listed() if m.name == model and version in ("", m.version)]
        if not found:
            call.error(
                404,
                f"model: {model[:60]!r} is not served here" + (f" as {version[:40]!r}" if version else ""),
            )
            return
        self._get(
            call,
            lambda: {
                "name": model,
                "versions": [m.version for m in found],
                "platform": "tuliptrack",
                "inputs": [{"name": n, "datatype": d, "shape": list(s)} for n, d, s in INPUTS],
                "outputs": [{"name": n, "datatype": d, "shape": list(s)} for n, d, s in OUTPUTS],
            },
        )

    def _submit(self, call: HttpCall, model: str, version: str, what: str) -> None:
        binary = False
        if what == "infer":
            infer, binary = infer_of(model, version, call.body, call.headers.get(_BINARY))
        else:
            infer = generate_of(model, version, call.body)
        ask = client_request_of(infer, self.config.kserve, now_us(), None, call.connection)
        answer: _Whole | _Events
        if what == "generate_stream":
            answer = _Events(call, infer)
        else:
            write = (
                self._write_generated
                if what == "generate"
                else self._write_binary
                if binary
                else self._write_json
            )
            answer = _Whole(call, infer, self.config.limits.message_bytes, write)
        answer.handle = self.core.submit(ask, answer)
        call.on_gone, call.on_writable = answer.handle.disconnected, answer.handle.writable

    # -- answers

    def _head(self, one: _Whole) -> dict[str, Any]:
        head = {"model_name": one.infer.model, "model_version": one.infer.version}
        return {**head, "id": one.infer.id} if one.infer.id else head

    def _write_generated(self, one: _Whole) -> None:
        one.call.respond(
            200, json.dumps({**self._head(one), "text_output": one.text, **one.parameters}).encode()
        )

    def _write_json(self, one: _Whole) -> None:
        output = {"name": OUTPUTS[0][0], "datatype": "BYTES", "shape": [1], "data": [one.text]}
        one.call.respond(
            200, json.dumps({**self._head(one), "parameters": one.parameters, "outputs": [output]}).encode()
        )

    def _write_binary(self, one: _Whole) -> None:
        data = one.text.encode()
        raw = len(data).to_bytes(4, "little") + data
        output = {
            "name": OUTPUTS[0][0],
            "datatype": "BYTES",
            "shape": [1],
            "parameters": {"binary_data_size": len(raw)},
        }
        head = json.dumps({**self._head(one), "parameters": one.parameters, "outputs": [output]}).encode()
        one.call.respond(200, head + raw, [(_BINARY, str(len(head)))], "application/octet-stream")
