"""Tests of the bounds in the settings of a control member."""

import json
import pathlib
from typing import Any

import pytest

from monsoonhinge.platform import bounds
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import settings

_DEFAULT_CATCH_UP_S = settings.Control.model_fields["catch_up_s"].default


def _document(path: pathlib.Path, **fields: Any) -> dict[str, Any]:
    return {
        "node": "127.0.0.1",
        "availability_zone": "a",
        "operations": "127.0.0.1:1",
        "cluster_secret": "test-cluster-secret",
        "listen": "127.0.0.1:2",
        "data_dir": str(path),
        "seeds": ["127.0.0.1:2"],
        **fields,
    }


@pytest.mark.parametrize(
    ("fields", "catch_up_s"),
    [
        ({}, _DEFAULT_CATCH_UP_S),
        ({"bounds": {}}, _DEFAULT_CATCH_UP_S),
        ({"bounds": {"catchUpS": 7, "graceS": 3}}, 7.0),
        ({"bounds": {"catchUpS": 7}, "catch_up_s": 9}, 9.0),
    ],
)
def test_catch_up_time_comes_from_the_bounds(
    tmp_path: pathlib.Path, fields: dict[str, Any], catch_up_s: float
) -> None:
    """Guards against a platform without the bound, or with new ones."""
    document = _document(tmp_path, **fields)
    config = bounds.ControlSettings.model_validate(document)
    assert config.catch_up_s == catch_up_s


@pytest.mark.parametrize(
    "value",
    [
        {"catchUpS": "soon"},
        {"catchUpS": 0},
        {"catchUpS": -1},
        {"catchUpS": float("inf")},
        {"catchUpS": None},
        7,
        None,
    ],
)
def test_bad_bound_is_a_settings_error(
    tmp_path: pathlib.Path, value: Any
) -> None:
    """Guards against a process that starts with a bound it cannot keep."""
    path = tmp_path / "settings.json"
    document = _document(tmp_path, bounds=value)
    path.write_text(json.dumps(document))
    with pytest.raises(errors.SettingsError, match=r"catch|bounds"):
        settings.read(path, bounds.ControlSettings)
