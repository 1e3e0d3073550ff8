"""Checks that the tests named in docs/PROOFS.md exist and are collected."""

import importlib
import pathlib
import re

import pytest

_ROOT = pathlib.Path(__file__).parents[1]
_TEST_NAMES = sorted(
    set(
        re.findall(
            r"`(tests/\S+\.py::\w+)`",
            (_ROOT / "docs" / "PROOFS.md").read_text(),
        )
    )
)


@pytest.mark.parametrize("name", _TEST_NAMES)
def test_named_test_is_collected(
    name: str, request: pytest.FixtureRequest
) -> None:
    """Guards against a proof whose test was renamed or is not collected.

    Only the existence of the test is checked if its file is not part of the
    run.
    """
    path, function = name.split("::")
    if any(
        item.nodeid.split("[")[0].startswith(name)
        for item in request.session.items
    ):
        return
    # The file is not collected if the run is restricted to other files.
    collected_files = {
        item.nodeid.split("::")[0] for item in request.session.items
    }
    assert path not in collected_files, f"{name} is not collected"
    module = importlib.import_module(path.removesuffix(".py").replace("/", "."))
    assert hasattr(module, function)
