"""Entry point of the deploy file: ``python -m monsoonhinge.platform ROLE``."""

import importlib

from monsoonhinge.runtime import reload_signal


def main() -> None:
    """Runs the program of a role until it is stopped."""
    reload_signal.SIGNAL.install()
    # Imported late, as SIGHUP ends the process until its handler is installed.
    programs = importlib.import_module("monsoonhinge.platform.programs")
    programs.main()


if __name__ == "__main__":
    main()
