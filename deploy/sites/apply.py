"""Make another customer's site out of a given one: `python deploy/sites/apply.py OVERRIDES SITE OUT`.

OVERRIDES is a TOML file with what differs. A table changes the fields that it names, a value replaces the
site's value, and a list of tables replaces the site's list, where an entry with `like = N` starts as a copy
of the site's entry N. OUT is a folder: the new site is written there, beside copies of the files that the
bench reads next to a site. Exits with status 2 and one line on standard error where something can't be used.
"""

from __future__ import annotations

import copy
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

COMPANIONS = ("real.json", "wire.json", "unlock.txt")
ARGUMENTS = 3  # overrides, site, output folder
LIKE = "like"


class OverrideError(Exception):
    """An override or a site that can't be used; the text names the file or the field."""


def read_toml(path: Path) -> dict[str, Any]:
    """The content of a TOML file."""
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise OverrideError(f"{path}: {error.strerror or error}") from None
    except ValueError as error:
        raise OverrideError(f"{path}: not TOML ({error})") from None


def is_list_of_tables(value: object) -> bool:
    """Whether a value is a list whose entries are all tables."""
    return isinstance(value, list) and bool(value) and all(isinstance(entry, dict) for entry in value)


def merge_table(base: dict[str, Any], changes: dict[str, Any], field: str = "") -> dict[str, Any]:
    """A copy of `base` with the fields of `changes` in it; `field` is where the two tables stand."""
    merged = copy.deepcopy(base)
    for name, value in changes.items():
        merged[name] = merge_value(base.get(name), value, f"{field}.{name}" if field else name)
    return merged


def merge_value(base: object, change: object, field: str) -> Any:
    """The value that takes the place of `base`."""
    if is_list_of_tables(base) != is_list_of_tables(change) and base is not None:
        raise OverrideError(f"{field}: a list of tables can only take the place of another")
    if isinstance(base, dict) != isinstance(change, dict) and base is not None:
        raise OverrideError(f"{field}: a table can only take the place of another")
    if isinstance(change, dict):
        return merge_table(base if isinstance(base, dict) else {}, change, field)
    if is_list_of_tables(change):
        assert isinstance(change, list)
        entries = base if isinstance(base, list) else []
        return [merge_entry(entries, entry, f"{field}[{place}]") for place, entry in enumerate(change)]
    return change


def merge_entry(entries: list[dict[str, Any]], change: dict[str, Any], field: str) -> dict[str, Any]:
    """One entry of a list of tables, made like one of the site's entries where it says so."""
    changes = {name: value for name, value in change.items() if name != LIKE}
    if LIKE not in change:
        return changes
    number = change[LIKE]
    if isinstance(number, bool) or not isinstance(number, int) or not 0 <= number < len(entries):
        raise OverrideError(f"{field}.{LIKE}: must be from 0 to {len(entries) - 1}, is {number!r}")
    return merge_table(entries[number], changes, field)


def apply(overrides: Path, site: Path, out: Path) -> Path:
    """Write the site that `overrides` makes of `site` into the folder `out`; returns its path."""
    merged = merge_table(read_toml(site), read_toml(overrides))
    missing = [name for name in COMPANIONS if not (site.parent / name).is_file()]
    if missing:
        raise OverrideError(f"{site.parent / missing[0]}: no such file")
    try:
        out.mkdir(parents=True, exist_ok=True)
        for name in COMPANIONS:
            shutil.copyfile(site.parent / name, out / name)
        written = out / f"{overrides.stem}.toml"
        written.write_text(tomli_w.dumps(merged))
    except OSError as error:
        raise OverrideError(f"{out}: {error.strerror or error}") from None
    return written


def main(arguments: list[str]) -> int:
    """Run the command; returns its exit status."""
    if len(arguments) != ARGUMENTS:
        print("usage: python deploy/sites/apply.py OVERRIDES SITE OUT", file=sys.stderr)
        return 2
    try:
        print(apply(*(Path(argument) for argument in arguments)))
    except OverrideError as error:
        print(f"apply.py: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
