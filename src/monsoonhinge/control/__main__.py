"""Entry point of ``monsoonhinge-control``."""

import cappa

from monsoonhinge.control import process
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings


@cappa.command(name="monsoonhinge-control")
class Options(service.Options):
    """Runs the control process."""


def main() -> None:
    """Runs the control process until it receives a stop signal."""
    service.run(
        role="control",
        options=cappa.parse(Options),
        model=settings.Control,
        factory=process.ControlProcess.from_config,
    )


if __name__ == "__main__":
    main()
