"""The page of proofs names tests that exist and run."""

import importlib
import pathlib
import re

import pytest

_ROOT = pathlib.Path(__file__).parents[1]
_NAMED = sorted(
    set(
        re.findall(
            r"`(tests/\S+\.py::\w+)`",
            (_ROOT / "docs" / "PROOFS.md").read_text(),
        )
    )
)


@pytest.mark.parametrize("name", _NAMED)
def test_named_test_is_collected(
    name: str, request: pytest.FixtureRequest
) -> None:
    """Guards against a proof whose test was renamed or is not collected."""
    path, test = name.split("::")
    if any(
        item.nodeid.split("[")[0].startswith(name)
        for item in request.session.items
    ):
        return
    # A partial run collects other files only.
    collected = {item.nodeid.split("::")[0] for item in request.session.items}
    assert path not in collected, f"{name} is not collected"
    module = importlib.import_module(path.removesuffix(".py").replace("/", "."))
    assert hasattr(module, test)
