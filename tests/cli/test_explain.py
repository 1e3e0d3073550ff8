"""Tests of the command that explains one request."""

import io
import json
import pathlib
from typing import Any

import pytest

from monsoonhinge.cli import __main__ as cli


def _line(time: float, node: str, event: str, **fields: Any) -> str:
    return json.dumps({"time": time, "node": node, "event": event} | fields)


_LINES = [
    _line(20.0, "g1", "attempt", request_id="r1", target="t1", model="m1"),
    _line(15.0, "c1", "placement", target="t1", model="m1", reason="waiting"),
    _line(15.0, "c1", "placement", target="t1", model="m2", reason="waiting"),
    _line(1.0, "c1", "placement", target="t1", model="m1", reason="too old"),
    _line(18.0, "c1", "config_change", version=7, outcome="accepted"),
    _line(18.5, "g2", "config_in_force", version=7),
    _line(21.0, "g1", "request", request_id="r1", model="m1", outcome="502"),
    _line(21.0, "g1", "request", request_id="r2", model="m1", outcome="200"),
    "no line of ours",
    '{"broken',
]


def test_way_of_a_request_is_shown_in_order(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a cause that is logged but not found."""
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text("\n".join(_LINES[:5]))
    second.write_text("\n".join(f"12.0 g1 {line}" for line in _LINES[5:]))
    assert cli.run(["explain", "r1", str(first), str(second)]) == 0
    shown = capsys.readouterr().out.splitlines()
    assert [line.lstrip("* ").split()[2] for line in shown] == [
        "placement",
        "config_change",
        "attempt",
        "request",
    ]
    assert "reason=waiting" in shown[0]
    assert "outcome=502" in shown[-1]


def test_lines_come_from_standard_input_too(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against logs that can only be read as files."""
    monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(_LINES)))
    assert cli.run(["explain", "r2"]) == 0
    assert "outcome=200" in capsys.readouterr().out


def test_unknown_request_is_an_error(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an empty answer that looks like an explanation."""
    path = tmp_path / "a.log"
    path.write_text("\n".join(_LINES))
    assert cli.run(["explain", "r9", str(path)]) == 1
    assert cli.run(["explain", "r9", str(tmp_path / "none")]) == 1
    assert "no line names r9" in capsys.readouterr().err
