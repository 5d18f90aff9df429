"""`deploy/sites/apply.py` derives a site from another one, or reports invalid input in one line."""

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
def site_path(tmp_path: Path) -> Path:
    """Path of a site file; the files that it needs are in the same folder."""
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


def derived_site(site_path: Path, overrides: str) -> dict[str, Any]:
    """Return the site that results from applying the overrides."""
    path = site_path.parents[1] / "variant.toml"
    path.write_text(overrides)
    process = apply(path, site_path, site_path.parents[1] / "out")
    assert process.returncode == 0, process.stderr
    return tomllib.loads(Path(process.stdout.strip()).read_text())


def test_only_the_overridden_values_change(site_path: Path) -> None:
    site = derived_site(
        site_path,
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
        assert (site_path.parents[1] / "out" / name).read_text() == name


@pytest.mark.parametrize(
    ("overrides", "message"),
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
def test_an_invalid_override_is_reported_in_one_line(site_path: Path, overrides: str, message: str) -> None:
    path = site_path.parent / "variant.toml"
    path.write_text(overrides)
    process = apply(path, site_path, site_path.parent / "out")
    assert process.returncode == 2 and process.stdout == ""
    assert message in process.stderr and process.stderr.count("\n") == 1
    assert not (site_path.parent / "out").exists()


def test_missing_files_are_reported_in_one_line(site_path: Path, tmp_path: Path) -> None:
    variant = SITES / "press-archive.toml"
    (site_path.parent / "wire.json").unlink()
    for arguments, message in (
        ((variant, tmp_path / "none.toml", tmp_path / "out"), "none.toml: No such file"),
        ((tmp_path / "none.toml", site_path, tmp_path / "out"), "none.toml: No such file"),
        ((variant, site_path, tmp_path / "out"), "wire.json: no such file"),
        ((variant, site_path), "usage: "),
    ):
        process = apply(*arguments)
        assert process.returncode == 2 and message in process.stderr and process.stderr.count("\n") == 1, (
            process.stderr
        )


def test_the_variants_cover_the_intended_differences(site_path: Path) -> None:
    """`clinic-notes` has a connect time-out longer than its release time, a keyed class whose window is shorter
    than its deadline, and an unsafe class. `press-archive` has a single class. The files hold only these
    settings; the rest comes from the site that they are applied to.
    """
    clinic, archive = (
        tomllib.loads((SITES / f"{name}.toml").read_text()) for name in ("clinic-notes", "press-archive")
    )
    assert clinic["tier"][0]["conn"]["connect_timeout_ms"] > clinic["fam"]["release_ms"]
    effects = {entry["effect"]: entry for entry in clinic["class"]}
    assert (
        set(effects) == {"safe", "keyed", "unsafe"}
        and effects["keyed"]["window_ms"] < effects["keyed"]["deadline_ms"]
    )
    assert len(archive["class"]) == len(archive["fam"]["class"]) == 1
    for variant in (clinic, archive):
        assert len(variant["class"]) == len(variant["fam"]["class"])
