"""Settings shared by all tests, and the list of known failures."""

import pathlib

import hypothesis
import pytest

_KNOWN_RED = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"

# The same examples on every run, so that CI gives the same verdict each time.
hypothesis.settings.register_profile(
    "repeatable", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("repeatable")


def known_red() -> dict[str, str]:
    """Returns the reasons of known failures by test id.

    A line ``test: NODE_ID`` starts an entry; indented lines belong to it.
    """
    entries: dict[str, list[str]] = {}
    if _KNOWN_RED.exists():
        current: list[str] = []
        for line in _KNOWN_RED.read_text().splitlines():
            if line.startswith("test: "):
                current = entries.setdefault(line[6:].strip(), [])
            elif line.startswith(" "):
                current.append(line.strip())
    return {test: " ".join(lines) for test, lines in entries.items()}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Lets exactly the tests in KNOWN-RED.txt fail."""
    entries = known_red()
    for item in items:
        if item.nodeid in entries:
            item.add_marker(
                pytest.mark.xfail(reason=entries[item.nodeid], strict=False)
            )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the known failures."""
    for test, reason in known_red().items():
        terminalreporter.write_line(f"known red: {test}: {reason}")
