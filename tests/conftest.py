"""Configures hypothesis and handles the tests listed in KNOWN-RED.txt."""

import pathlib

import hypothesis
import pytest

_KNOWN_FAILURES_FILE = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"

# Each run generates the same examples, so that CI results are reproducible.
hypothesis.settings.register_profile(
    "repeatable", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("repeatable")


def read_known_failures() -> dict[str, str]:
    """Returns the descriptions in KNOWN-RED.txt by test node id.

    A line ``test: NODE_ID`` starts an entry, and the indented lines that
    follow describe it.
    """
    entries: dict[str, list[str]] = {}
    if _KNOWN_FAILURES_FILE.exists():
        description: list[str] = []
        for line in _KNOWN_FAILURES_FILE.read_text().splitlines():
            if line.startswith("test: "):
                description = entries.setdefault(line[6:].strip(), [])
            elif line.startswith(" "):
                description.append(line.strip())
    return {test: " ".join(lines) for test, lines in entries.items()}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the tests in KNOWN-RED.txt, and no others, as expected to fail."""
    entries = read_known_failures()
    for item in items:
        if item.nodeid in entries:
            item.add_marker(
                pytest.mark.xfail(reason=entries[item.nodeid], strict=False)
            )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the entries of KNOWN-RED.txt at the end of each run."""
    for test, reason in read_known_failures().items():
        terminalreporter.write_line(f"known red: {test}: {reason}")
