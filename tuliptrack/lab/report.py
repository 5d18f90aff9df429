"""The verdict as text."""

from __future__ import annotations

from typing import Any

__all__ = ["as_text"]


def as_text(verdict: dict[str, Any]) -> str:
    """Rules, worth, ends, and the history of the first request that broke each rule."""
    lines = [
        f"{verdict['requests']} requests, {verdict['tries']} tries, {verdict['attempts']} attempts at engines",
        "",
    ]
    for number, rule in verdict["rules"].items():
        word = "kept  " if rule["kept"] else "BROKEN"
        lines.append(
            f"  {number}  {word}  {rule['rule']} ({rule['checked']} checked"
            + (f", {rule['broken']} broken)" if rule["broken"] else ")")
        )
    lines += ["", "  worth                 asked   served  in time"]
    for name, row in verdict["worth"].items():
        lines.append(f"  {name:20} {row['asked']:6.0f}  {row['served']:7.1%}  {row['in_time']:7.1%}")
    lines += [
        "",
        "  ends of tries: " + ", ".join(f"{name} {count}" for name, count in verdict["ends"].items()),
    ]
    for number, rule in verdict["rules"].items():
        if rule["first"]:
            lines += ["", f"rule {number}, first: {rule['first']['request']}: {rule['first']['what']}"]
            start = rule["first"]["history"][0]["t"] if rule["first"]["history"] else 0
            for row in rule["first"]["history"]:
                facts = " ".join(
                    f"{k}={v}" for k, v in row.items() if k not in ("t", "what") and v not in ("", 0, None)
                )
                lines.append(f"  {(row['t'] - start) / 1000:9.1f} ms  {row['what']:8} {facts}"[:200])
    lines += ["", "every rule was kept" if verdict["kept"] else "A RULE WAS BROKEN"]
    return "\n".join(lines)
