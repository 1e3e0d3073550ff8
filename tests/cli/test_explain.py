"""Tests of the command that prints the log lines of one request."""

import io
import json
import pathlib
from typing import Any

import pytest

from monsoonhinge.cli import __main__ as cli


def _log_line(time: float, node: str, event: str, **fields: Any) -> str:
    return json.dumps({"time": time, "node": node, "event": event} | fields)


_LOG_LINES = [
    _log_line(20.0, "g1", "attempt", request_id="r1", target="t1", model="m1"),
    _log_line(
        15.0, "c1", "placement", target="t1", model="m1", reason="waiting"
    ),
    _log_line(
        15.0, "c1", "placement", target="t1", model="m2", reason="waiting"
    ),
    _log_line(
        1.0, "c1", "placement", target="t1", model="m1", reason="too old"
    ),
    _log_line(18.0, "c1", "config_change", version=7, outcome="accepted"),
    _log_line(18.5, "g2", "config_in_force", version=7),
    _log_line(19.0, "c1", "placement_summary", obstacles={"store_limit": 4}),
    _log_line(
        21.0, "g1", "request", request_id="r1", model="m1", outcome="502"
    ),
    _log_line(
        21.0, "g1", "request", request_id="r2", model="m1", outcome="200"
    ),
    "no line of ours",
    '{"broken',
]


def test_request_lines_are_printed_in_time_order(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a missing or unrelated line, or one out of order."""
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    first.write_text("\n".join(_LOG_LINES[:5]))
    second.write_text("\n".join(f"12.0 g1 {line}" for line in _LOG_LINES[5:]))
    assert cli.run(["explain", "r1", str(first), str(second)]) == 0
    output_lines = capsys.readouterr().out.splitlines()
    assert [line.lstrip("* ").split()[2] for line in output_lines] == [
        "placement",
        "config_change",
        "placement_summary",
        "attempt",
        "request",
    ]
    assert "reason=waiting" in output_lines[0]
    assert "outcome=502" in output_lines[-1]


def test_logs_are_read_from_standard_input(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against logs that can only be read as files."""
    monkeypatch.setattr("sys.stdin", io.StringIO("\n".join(_LOG_LINES)))
    assert cli.run(["explain", "r2"]) == 0
    assert "outcome=200" in capsys.readouterr().out


def test_unknown_request_is_an_error(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against empty output with exit code 0 for an unknown request."""
    path = tmp_path / "a.log"
    path.write_text("\n".join(_LOG_LINES))
    assert cli.run(["explain", "r9", str(path)]) == 1
    assert cli.run(["explain", "r9", str(tmp_path / "none")]) == 1
    assert "no line names r9" in capsys.readouterr().err
