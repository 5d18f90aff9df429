"""`deploy/sites/apply.py` makes another customer's site, or says in one line what it can't use."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

SITES = Path(__file__).resolve().parents[2] / "deploy/sites"
SITE = """
name = "given"
[day]
tick_ms = 4
[[tier]]
name = "fleet"
[tier.conn]
connect_timeout_ms = 250
idle_s = 15
[[class]]
name = "first"
aim_ms = 1000
effect = "safe"
[[class]]
name = "second"
aim_ms = 2000
[[tenant]]
name = "one"
[[tenant]]
name = "two"
[fam]
release_ms = 300
[[fam.class]]
turns = [1, 2]
[[fam.class]]
turns = [3, 4]
"""


@pytest.fixture
def given(tmp_path: Path) -> Path:
    """A site with the files that belong beside it."""
    (tmp_path / "given").mkdir()
    for name in ("real.json", "wire.json", "unlock.txt"):
        (tmp_path / "given" / name).write_text(name)
    site = tmp_path / "given/site.toml"
    site.write_text(SITE)
    return site


def apply(*arguments: object) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, str(SITES / "apply.py"), *map(str, arguments)], capture_output=True, text=True
    )


def made(given: Path, overrides: str) -> dict[str, Any]:
    """The site that these overrides make."""
    path = given.parents[1] / "variant.toml"
    path.write_text(overrides)
    done = apply(path, given, given.parents[1] / "out")
    assert done.returncode == 0, done.stderr
    return tomllib.loads(Path(done.stdout.strip()).read_text())


def test_what_an_override_names_changes_and_all_else_stays(given: Path) -> None:
    site = made(
        given,
        """
name = "other"
[fam]
release_ms = 200
[[tier]]
like = 0
[tier.conn]
connect_timeout_ms = 450
[[class]]
like = 1
name = "only"
window_ms = 1500
[[fam.class]]
like = 1
""",
    )
    expected = tomllib.loads(SITE)
    expected["name"] = "other"
    expected["fam"] = {"release_ms": 200, "class": [{"turns": [3, 4]}]}
    expected["tier"][0]["conn"]["connect_timeout_ms"] = 450
    expected["class"] = [{"name": "only", "aim_ms": 2000, "window_ms": 1500}]
    assert site == expected
    for name in ("real.json", "wire.json", "unlock.txt"):
        assert (given.parents[1] / "out" / name).read_text() == name


@pytest.mark.parametrize(
    ("overrides", "named"),
    [
        ("name = ", "variant.toml: not TOML"),
        ("[[class]]\nlike = 2", "class[0].like: must be from 0 to 1, is 2"),
        ("[[class]]\nlike = true", "class[0].like"),
        ("class = 5", "class: a list of tables"),
        ("[class]\nname = 'x'", "class: a list of tables"),
        ("[[day]]\ntick_ms = 3", "day: a list of tables"),
        ("day = 3", "day: a table"),
        ("[day.tick_ms]\nx = 1", "day.tick_ms: a table"),
    ],
)
def test_an_override_that_cant_be_used_is_named_in_one_line(given: Path, overrides: str, named: str) -> None:
    path = given.parent / "variant.toml"
    path.write_text(overrides)
    done = apply(path, given, given.parent / "out")
    assert done.returncode == 2 and done.stdout == ""
    assert named in done.stderr and done.stderr.count("\n") == 1
    assert not (given.parent / "out").exists()


def test_files_that_are_missing_are_named_in_one_line(given: Path, tmp_path: Path) -> None:
    variant = SITES / "press-archive.toml"
    (given.parent / "wire.json").unlink()
    for arguments, named in (
        ((variant, tmp_path / "none.toml", tmp_path / "out"), "none.toml: No such file"),
        ((tmp_path / "none.toml", given, tmp_path / "out"), "none.toml: No such file"),
        ((variant, given, tmp_path / "out"), "wire.json: no such file"),
        ((variant, given), "usage: "),
    ):
        done = apply(*arguments)
        assert done.returncode == 2 and named in done.stderr and done.stderr.count("\n") == 1, done.stderr


def test_the_variants_differ_as_they_are_meant_to(given: Path) -> None:
    """One has a connect time-out longer than its release time, a keyed class with a short window and an
    unsafe one; one has a single class. The settings of both are in the files; the rest comes from the site
    that they are applied to.
    """
    notes, archive = (
        tomllib.loads((SITES / f"{name}.toml").read_text()) for name in ("clinic-notes", "press-archive")
    )
    assert notes["tier"][0]["conn"]["connect_timeout_ms"] > notes["fam"]["release_ms"]
    effects = {one["effect"]: one for one in notes["class"]}
    assert (
        set(effects) == {"safe", "keyed", "unsafe"}
        and effects["keyed"]["window_ms"] < effects["keyed"]["deadline_ms"]
    )
    assert len(archive["class"]) == len(archive["fam"]["class"]) == 1
    for variant in (notes, archive):
        assert len(variant["class"]) == len(variant["fam"]["class"])
