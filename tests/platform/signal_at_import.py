"""Runs a program that receives SIGHUP when it first imports a module.

``python -m tests.platform.signal_at_import MODULE ROLE``
"""

from collections.abc import Sequence
import importlib.abc
import importlib.machinery
import os
import runpy
import signal
import sys
import types


class _SignalAtImport(importlib.abc.MetaPathFinder):
    """Finds nothing, and signals this process at the import of a module."""

    def __init__(self, module: str) -> None:
        self.module = module

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Returns None, so that the other finders are asked."""
        if fullname == self.module:
            os.kill(os.getpid(), signal.SIGHUP)
        return None


if __name__ == "__main__":
    sys.meta_path.insert(0, _SignalAtImport(sys.argv.pop(1)))
    runpy.run_module("monsoonhinge.platform", run_name="__main__")
