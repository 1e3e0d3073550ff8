"""Runs the coroutine tests of this folder on uvloop, as the processes do."""

import inspect
from typing import Any

import pytest
import uvloop


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: Any) -> bool | None:
    """Runs a test that is a coroutine function."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    arguments = {name: pyfuncitem.funcargs[name] for name in names}
    uvloop.run(pyfuncitem.obj(**arguments))
    return True
