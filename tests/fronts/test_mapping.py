"""The parameters of a v2 request set the fields of the core's request.

Once a parameter was passed on under its own name although its field in the core has another name, so every
request with that parameter failed inside the node.
"""

from __future__ import annotations

from tuliptrack.config.node import KserveOptions
from tuliptrack.fronts.kserve.mapping import InferRequest, Value, client_request_of
from tuliptrack.fronts.kserve.tensors import Tensor


def test_every_parameter_reaches_its_field() -> None:
    text = Tensor("text_input", "BYTES", (1,), (b"what?",))
    parameters: dict[str, Value] = {
        "sequence_id": "s1",
        "prefix": "p",
        "tenant": "north",
        "request_class": "question",
        "work": "job-7",
        "repeat": True,
        "prompt_tokens": 40,
        "prefix_tokens": 30,
        "max_tokens": 9,
        "resume_index": 2,
        "resume_text": "so far",
    }
    made = client_request_of(InferRequest("m", "1", "id", parameters, [text]), KserveOptions(), 0, None, None)
    assert (made.session, made.prefix, made.tenant, made.request_class) == ("s1", "p", "north", "question")
    assert (made.work_id, made.is_retry) == ("job-7", True)
    assert (made.prompt_tokens, made.prefix_tokens, made.max_tokens) == (40, 30, 9)
    assert (made.resume_index, made.resume_text, made.prompt) == (2, "so far", "what?")
