"""Sorted members compared with a plain dictionary, over random sequences of changes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from tuliptrack.structures.sorted_members import SortedMembers

KEYS = st.integers(0, 12)
FAST = examples(max_examples=150, deadline=None, derandomize=True)


@FAST
@given(st.lists(st.tuples(st.booleans(), KEYS, st.integers(0, 99)), max_size=60))
def test_members_are_found_by_key_by_position_and_in_order(steps: list[tuple[bool, int, int]]) -> None:
    members: SortedMembers[int] = SortedMembers()
    plain: dict[int, int] = {}
    for put, key, member in steps:
        if put:
            members.put(key, member)
            plain[key] = member
        else:
            members.remove(key)
            plain.pop(key, None)
        ordered = [plain[key] for key in sorted(plain)]
        assert list(members) == ordered == [members[position] for position in range(len(members))]
        assert set(members.keys()) == plain.keys() and all(
            (key in members) == (key in plain) for key in range(13)
        )
