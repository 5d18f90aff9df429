"""Values that JSON allows but that parsers often do not expect, for property tests."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st

__all__ = ["NESTED_DEEPLY", "any_json"]

BEYOND_FLOATS = int("1" + "0" * 400)
"""An integer that is too large for a float."""


def _nested(depth: int) -> Any:
    value: Any = []
    for _ in range(depth):
        value = [value]
    return value


NESTED_DEEPLY = _nested(5_000)
"""A value that is nested too deeply for Python to compare or print."""

_UNPRINTABLE = {"5,000 digits": 10**5_000, "nested deeply": NESTED_DEEPLY}
"""Values that cannot be printed, by name. Strategies draw the names, because the test runner prints the
values that it draws from."""


def _unprintable(name: str) -> Any:
    return _UNPRINTABLE[name]


_HOSTILE = st.sampled_from(sorted(_UNPRINTABLE)).map(_unprintable) | st.sampled_from(
    [
        BEYOND_FLOATS,
        -BEYOND_FLOATS,
        float("inf"),
        float("-inf"),
        float("nan"),
        1e308,
        5e-324,
        -0.0,
        -1,
        2**63,
        "",
        "\ud800",
        "a\0b",
        "²",
        "9" * 5_000,
        "127.0.0.1:" + "9" * 5_000,
        "127.0.0.1:²",
        "a\r\nx: y:1",
    ]
)
_SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(codec=None, exclude_categories=()), max_size=20)
)
any_json: st.SearchStrategy[Any] = (
    _HOSTILE
    | _SCALARS
    | st.recursive(
        _SCALARS | _HOSTILE,
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3),
        max_leaves=5,
    )
)
"""Strategy for any JSON value, which draws hostile values often."""
