"""Settings: every problem is reported at once with its line, and `config.proto` documents the defaults."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from tuliptrack.cli.main import main
from tuliptrack.config.node import DEFAULTS, load, parse
from tuliptrack.config.textformat import ConfigError, read_text
from tuliptrack.interface import Role
from tuliptrack.proto import config_pb2, fleet_pb2

ROOT = Path(__file__).parents[2]
GOOD = """request_class { name: "a" aim_ms: 1000 deadline_ms: 5000 }
kind { name: "r" role: READ }
kind { name: "w" role: WRITE }
servers { file: "x" }
"""


def problems(text: str) -> list[tuple[int, str]]:
    with pytest.raises(ConfigError) as caught:
        parse(text)
    return [(p.line, p.field) for p in caught.value.problems]


def test_defaults_and_given_values_of_a_minimal_file() -> None:
    found = parse(GOOD + "routing { drain_grace_ms: 250.5 }")
    assert found.settings.roles == (Role.PREFILL, Role.DECODE) and found.kinds == ("r", "w")
    assert found.settings.classes[0].latency_objective_us == 1_000_000
    assert found.settings.drain_grace_us == 250_500
    assert found.limits.open_requests == 20_000 and found.listen == "127.0.0.1:7400"


def test_every_problem_is_reported_at_once_with_its_line() -> None:
    text = """node { slot: 4 replicas: 2
  listen: "nowhere" }
request_class { name: "a" aim_ms: -1 deadline_ms: 5000 worht: 2 }
request_class { name: "a" aim_ms: 1000
  deadline_ms: 10 effect: KEYED }
kind { name: "r" role: READ }
tenant { name: "" share: 0.9 quota_per_s: 1 }
tenant { name: "t" share: nan quota_per_s: abc }
routing { cold_from: 0
  max_attempts: 999 max_attempts: 2 }
servers { feed: "localhost" }
"""
    found = set(problems(text))
    for expected in [
        (1, "node.slot"),
        (2, "node.listen"),
        (3, "request_class[0].worht"),
        (3, "request_class[0].aim_ms"),
        (4, "request_class[1].name"),
        (5, "request_class[1].deadline_ms"),
        (7, "tenant[0].name"),
        (8, "tenant[1].quota_per_s"),
        (8, "tenant[1].share"),
        (9, "routing.cold_from"),
        (10, "routing.max_attempts"),
        (11, "servers.feed"),
    ]:
        assert expected in found, (expected, sorted(found))


@pytest.mark.parametrize(
    ("text", "line", "word"),
    [
        ("", 1, "at least one"),
        (GOOD + "node {", 5, "ends inside"),
        (GOOD + "node { slot 1 }", 5, "Expected"),
        (GOOD + "\n\nnode: 3", 7, "braces"),
        (GOOD + "node { listen: 3 }", 5, "listen"),
        (GOOD + "node { zone: 99999999999 }", 5, "zone"),
        (GOOD + "}", 5, ""),
        (GOOD + "\0", 5, ""),
    ],
)
def test_text_that_is_no_settings_is_reported_with_its_line(text: str, line: int, word: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse(text)
    first = caught.value.problems[0]
    assert first.line == line and word in str(first)


def test_zones_and_their_budgets_are_checked() -> None:
    found = parse(
        GOOD
        + """zones { name: "a" name: "b" budget { bytes_per_s: 1000 burst_bytes: 90000 request_class: "a" }
      budget { bytes_per_s: 5 burst_bytes: 50000 quantum_bytes: 30000 } }"""
    )
    assert [(b.quantum, b.classes) for b in found.settings.zone_budgets] == [
        (9000.0, frozenset({0})),
        (30000.0, frozenset()),
    ]
    assert found.zones.names == ("a", "b") and found.settings.state_bytes == 16
    assert problems(
        GOOD
        + """node { zone: 2 }
zones { name: "a" name: "a"
  budget { bytes_per_s: 1 burst_bytes: 21999 }
  budget { bytes_per_s: 1 burst_bytes: 99999 request_class: "huh" }
  budget { burst_bytes: 99999 quantum_bytes: 100000 by_traffic: 1.5 } }"""
    ) == [
        (5, "node.zone"),
        (6, "zones.name"),
        (7, "zones.budget[0].request_class"),
        (7, "zones.budget[0].burst_bytes"),
        (8, "zones.budget[1].request_class"),
        (9, "zones.budget[2].bytes_per_s"),
        (9, "zones.budget[2].by_traffic"),
        (9, "zones.budget[2].quantum_bytes"),
    ]
    assert problems(GOOD + "zones { budget { bytes_per_s: 1 burst_bytes: 99999 by_traffic: 0.5 } }") == [
        (5, "zones.budget[0].by_traffic")
    ]  # No tenant has a quota, by which traffic is measured.
    assert problems(GOOD + "zones { state_bytes_per_token: -1 }") == [(5, "zones.state_bytes_per_token")]


def test_lists_nested_blocks_comments_and_adjacent_strings_are_read() -> None:
    message, located = read_text(
        """# a list
version: 3 servers: [ { id: 1, address: "a" ':1' }, < id: 2; address: "b:2" > ]  # two
servers { id: 3 state: DRAINING started_unix_us: -0 weight: 1.5e0 }""",
        fleet_pb2.ServerList,
    )
    assert not located.problems
    assert [(e.id, e.address) for e in message.servers] == [(1, "a:1"), (2, "b:2"), (3, "")]
    assert located.line("servers[2].state") == 3 and message.servers[2].weight == 1.5


def test_the_proto_documents_every_default() -> None:
    text = (ROOT / "tuliptrack" / "proto" / "config.proto").read_text()
    for name, fields in DEFAULTS.items():
        block = text.split(f"message {name} {{")[1].split("\n}")[0]
        for field, default in fields.items():
            comment = re.search(rf"((?:  //[^\n]*\n)+)  optional \S+ {field} = ", block)
            assert comment, f"{name}.{field} has no comment"
            documented = re.search(r"Default:? ([\w.:]+?)[.:]?(?:\s|$)", comment.group(1) + "\n")
            assert documented, f"{name}.{field} documents no default"
            kind = config_pb2.DESCRIPTOR.message_types_by_name[name].fields_by_name[field]
            shown = (
                kind.enum_type.values_by_number[default].name
                if kind.enum_type
                else str(default).lower()
                if isinstance(default, bool)
                else "not"
                if default == ""
                else str(default)
            )
            assert documented.group(1) == shown, f"{name}.{field}"


def test_config_check_on_the_command_line(tmp_path: Path) -> None:
    good = CliRunner().invoke(main, ["config", "check", str(ROOT / "examples" / "node.textproto")])
    assert good.exit_code == 0 and "good" in good.output
    load(ROOT / "examples" / "node.textproto")
    bad = tmp_path / "bad"
    bad.write_text(GOOD + "node { slot: 9 }\nlimits { tokens: -1 }")
    result = CliRunner().invoke(main, ["config", "check", str(bad)])
    assert (
        result.exit_code == 2
        and f"{bad}:5: node.slot:" in result.output
        and f"{bad}:6: limits.tokens:" in result.output
    )
    missing = CliRunner().invoke(main, ["config", "check", str(tmp_path / "none")])
    assert missing.exit_code == 2 and "can't be read" in missing.output
    (tmp_path / "latin").write_bytes(b"node {\n# \xff\n}")
    assert ":2:" in CliRunner().invoke(main, ["config", "check", str(tmp_path / "latin")]).output
