"""Entry point of ``monsoonhinge-gateway``."""

import cappa

from monsoonhinge.gateway import process
from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings


@cappa.command(name="monsoonhinge-gateway")
class Options(service.Options):
    """Runs the gateway process."""


def main() -> None:
    """Runs the gateway process until it is stopped."""
    service.run(
        role="gateway",
        options=cappa.parse(Options),
        model=settings.Gateway,
        factory=process.GatewayProcess.from_config,
    )


if __name__ == "__main__":
    main()
