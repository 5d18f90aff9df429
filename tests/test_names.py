"""Names of the field in finished modules: none of the withdrawn words stands in an identifier.

The words of the users' pages and of the former house style hide standard concepts (`docs/glossary.md` has both). They
may stand in strings, which name fields of the wire, but not in names of types, functions, arguments and variables.
"""

from __future__ import annotations

import io
import keyword
import re
import tokenize
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "tuliptrack"
FINISHED = (
    "cli",
    "config",
    "decisions",
    "fleet",
    "fronts",
    "interface",
    "node",
    "relay",
    "routing",
    "rpc",
    "simulator_adapter",
    "sources",
    "state",
    "store",
    "structures",
)
"""Packages in which no identifier may hold a withdrawn word."""
WITHDRAWN_WORDS = """
abroad aim asked beside blame blamed cold dark dear died drag dragging drags far flight gone homes
hurried kept knock lap lapses life lone look looked meter moot most news outlook patience pinned
poor purse purses refuse refused room roster said seat seats sent_on silences spoilt suspect
suspects taken tell ticket told toll tried tries trouble turn turned turns twin unheard untold whole
wirehost worth yardstick
"""
WITHDRAWN = frozenset(WITHDRAWN_WORDS.split())
PROTO_NAMES = frozenset({"GONE", "LookRequest", "died", "kept", "kept_tokens", "life", "trouble", "whole"})
"""Messages, enum members and fields of the .proto files."""
STORED_KEYS = frozenset({"most_out", "most_out_zone"})
"""Keys of rollout plans, which are stored and written by operators."""
ALLOWED = PROTO_NAMES | STORED_KEYS | {"most_ready"}
"""Names that stay; `docs/glossary.md` has the terms of the code beside them."""
FOREIGN_NAMES = {
    "config/node.py": ["REFUSE_ALL", "REFUSE"],
    "rpc/core.py": ["REFUSED_STREAM"],
}
"""Names with a withdrawn word that are defined elsewhere, by the only module that may use each: enum members of
`config.proto`, and an HTTP/2 error code of RFC 9113, from h2."""


def words_of(name: str) -> set[str]:
    """The words of an identifier in either case."""
    return {
        word.lower() for part in name.split("_") for word in re.findall(r"[A-Z]?[a-z]+|[A-Z]+(?![a-z])", part)
    }


def withdrawn_names(text: str) -> list[str]:
    """The identifiers of a module that hold a withdrawn word, each once."""
    found: dict[str, None] = {}
    for token in tokenize.generate_tokens(io.StringIO(text).readline):
        if token.type != tokenize.NAME or keyword.iskeyword(token.string):
            continue
        name = token.string.strip("_")
        if name not in ALLOWED and words_of(re.sub("in_?flight", "", name, flags=re.IGNORECASE)) & WITHDRAWN:
            found[token.string] = None
    return list(found)


def finished_modules() -> list[Path]:
    """Every module of the packages in `FINISHED`."""
    found: list[Path] = []
    for name in FINISHED:
        path = ROOT / name
        found += sorted(path.rglob("*.py")) if path.is_dir() else [path.with_suffix(".py")]
    return found


@pytest.mark.parametrize("path", finished_modules(), ids=lambda path: str(path.relative_to(ROOT)))
def test_no_identifier_of_a_finished_module_holds_a_withdrawn_word(path: Path) -> None:
    assert withdrawn_names(path.read_text()) == FOREIGN_NAMES.get(path.relative_to(ROOT).as_posix(), [])


def test_a_withdrawn_word_is_found_in_any_case_and_strings_are_left_alone() -> None:
    text = 'class ColdSeat:\n    def _tell_all(self, aim_us): return {"worth": aim_us}\n'
    assert withdrawn_names(text) == ["ColdSeat", "_tell_all", "aim_us"]
