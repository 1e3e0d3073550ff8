"""Tests of the command that runs the measurements."""

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


@pytest.mark.parametrize("name", ["", "replay", "baselines", "nothing"])
def test_name_without_measurement_prints_usage(name: str) -> None:
    """Guards against a run that measures nothing and exits with 0.

    Modules that are not measurements ran without output and exited with 0, and
    an unknown name gave an error of the interpreter.
    """
    completed = _run(*([name] if name else []))
    assert completed.returncode == 2
    assert "usage: scripts/measure NAME" in completed.stderr
    for known in measure.MEASUREMENTS:
        assert known in completed.stderr


def test_help_exits_with_0() -> None:
    """Guards against help that scripts take for a failure."""
    completed = _run("--help")
    assert (completed.returncode, completed.stderr) == (0, "")
    assert "slopes" in completed.stdout


@pytest.mark.parametrize("name", sorted(measure.MEASUREMENTS))
def test_every_measurement_has_a_main_function(name: str) -> None:
    """Guards against a listed measurement that cannot be run."""
    module = importlib.import_module(f"monsoonhinge.bench.{name}")
    assert callable(module.main)
