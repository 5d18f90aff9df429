"""Triton's own clients against a node, in an environment of their own; one JSON object out. Arguments: gRPC,
REST address.
"""

import json
import queue
import sys

import numpy as np
import tritonclient.grpc as tgrpc
import tritonclient.http as thttp
from tritonclient.utils import InferenceServerException

GRPC, REST = sys.argv[1:3]


def text(module, value, binary=True):
    one = module.InferInput("text_input", [1], "BYTES")
    data = np.array([value.encode()], dtype=np.object_)
    if module is thttp:
        one.set_data_from_numpy(data, binary_data=binary)
    else:
        one.set_data_from_numpy(data)
    return one


def count(module, value):
    one = module.InferInput("max_tokens", [1], "INT32")
    one.set_data_from_numpy(np.array([value], dtype=np.int32))
    return one


def error(act):
    try:
        act()
    except InferenceServerException as failure:
        return f"{failure.status()} {failure.message()}"
    return "none"


def grpc():
    found = {}
    with tgrpc.InferenceServerClient(GRPC) as client:
        found["live"], found["ready"] = client.is_server_live(), client.is_server_ready()
        found["model ready"] = [client.is_model_ready(*m) for m in (("tulip",), ("tulip", "2"), ("rose",))]
        found["metadata"] = client.get_server_metadata(as_json=True)
        found["model"] = client.get_model_metadata("tulip", as_json=True)
        whole = client.infer(
            "tulip",
            [text(tgrpc, "q1 what?"), count(tgrpc, 5)],
            request_id="one",
            parameters={"session": "s", "request_class": "summary"},
        )
        found["infer"] = {
            "id": whole.get_response().id,
            "text": whole.as_numpy("text_output")[0].decode(),
            "finish": whole.get_response().parameters["finish_reason"].string_param,
        }
        found["unknown model"] = error(lambda: client.infer("rose", [text(tgrpc, "q")]))
        found["no text"] = error(lambda: client.infer("tulip", [count(tgrpc, 5)]))
        found["bad parameter"] = error(
            lambda: client.infer("tulip", [text(tgrpc, "q")], parameters={"huh": "x"})
        )
        found["config"] = error(lambda: client.get_model_config("tulip"))
        got = queue.Queue()
        client.start_stream(lambda result, error: got.put((result, error)))
        names = [f"q{n} what?" for n in range(4)]
        for n, name in enumerate(names):
            client.async_stream_infer(
                "rose" if n == 2 else "tulip",
                [text(tgrpc, name)],
                request_id=str(n),
                enable_empty_final_response=n == 3,
            )
        streams = {str(n): {"text": "", "responses": 0, "finals": 0} for n in range(4)}
        over = 0
        while over < 4:
            result, failure = got.get(timeout=20)
            if failure is not None:
                found["stream error"] = str(failure)
                over += 1
                continue
            response = result.get_response()
            one = streams[response.id]
            out = result.as_numpy("text_output")
            one["responses"] += 1
            one["text"] += out[0].decode() if out is not None else ""
            if response.parameters["triton_final_response"].bool_param:
                one["finals"] += 1
                one["empty"] = out is None
                over += 1
        client.stop_stream()
        found["streams"] = streams
    return found


def http():
    found = {}
    with thttp.InferenceServerClient(REST) as client:
        found["live"], found["ready"] = client.is_server_live(), client.is_server_ready()
        found["model ready"] = [client.is_model_ready(*m) for m in (("tulip",), ("tulip", "2"), ("rose",))]
        found["metadata"] = client.get_server_metadata()
        found["model"] = client.get_model_metadata("tulip")
        for name, binary in (("binary", True), ("json", False)):
            whole = client.infer(
                "tulip",
                [text(thttp, "q1 what?", binary), count(thttp, 5)],
                request_id="one",
                outputs=[thttp.InferRequestedOutput("text_output", binary_data=binary)],
            )
            out = whole.as_numpy("text_output")[0]
            found[name] = {
                "id": whole.get_response()["id"],
                "text": out.decode() if isinstance(out, bytes) else out,
            }
        found["unknown model"] = error(lambda: client.infer("rose", [text(thttp, "q")]))
        found["no text"] = error(lambda: client.infer("tulip", [count(thttp, 5)]))
    return found


print(json.dumps({"grpc": grpc(), "http": http()}))
