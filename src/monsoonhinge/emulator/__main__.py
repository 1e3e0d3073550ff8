"""Entry point of ``monsoonhinge-emulator``."""

import cappa

from monsoonhinge.emulator import options
from monsoonhinge.emulator import process
from monsoonhinge.runtime import service


@cappa.command(name="monsoonhinge-emulator")
class Options(service.Options):
    """Runs an emulated target."""


def main() -> None:
    """Runs an emulated target until it is stopped."""
    service.run(
        role="emulator",
        options=cappa.parse(Options),
        model=options.Emulator,
        factory=process.EmulatorProcess.from_config,
    )


if __name__ == "__main__":
    main()
