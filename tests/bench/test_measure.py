"""Tests of the entry point of the measurements."""

import importlib
import subprocess
import sys

import pytest

from monsoonhinge.bench import measure


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "monsoonhinge.bench.measure", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.mark.parametrize("name", ["", "replay", "policies", "nothing"])
def test_name_that_measures_nothing_gets_a_usage_text(name: str) -> None:
    """Guards against a run that prints nothing and ends well.

    Modules that are no measurement ran without output and exited with 0, and
    an unknown name gave the interpreter's own error.
    """
    ended = _run(*([name] if name else []))
    assert ended.returncode == 2
    assert "usage: scripts/measure NAME" in ended.stderr
    for known in measure.MEASUREMENTS:
        assert known in ended.stderr


def test_help_is_no_error() -> None:
    """Guards against a usage text that scripts take for a failure."""
    ended = _run("--help")
    assert (ended.returncode, ended.stderr) == (0, "")
    assert "slopes" in ended.stdout


@pytest.mark.parametrize("name", sorted(measure.MEASUREMENTS))
def test_every_measurement_can_be_run(name: str) -> None:
    """Guards against a listed name without a program behind it."""
    module = importlib.import_module(f"monsoonhinge.bench.{name}")
    assert callable(module.main)
