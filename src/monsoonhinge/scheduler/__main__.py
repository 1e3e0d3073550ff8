"""Entry point of ``monsoonhinge-scheduler``."""

import cappa

from monsoonhinge.runtime import service
from monsoonhinge.runtime import settings
from monsoonhinge.scheduler import process


@cappa.command(name="monsoonhinge-scheduler")
class Options(service.Options):
    """Runs the scheduler process."""


def main() -> None:
    """Runs the scheduler process until it is stopped."""
    service.run(
        role="scheduler",
        options=cappa.parse(Options),
        model=settings.Scheduler,
        factory=process.SchedulerProcess.from_config,
    )


if __name__ == "__main__":
    main()
