"""Entry point of ``scripts/measure``: runs one measurement by name."""

import runpy
import sys

from monsoonhinge.runtime import service

MEASUREMENTS = {
    "commits": "commits per second and failover time of the control members",
    "gateway": "latency, throughput and memory that a gateway adds",
    "policy": "the scheduler's policies compared with baselines on traces",
    "routing": "routing by load and prefix compared with simple policies",
    "slopes": "cost of a request, an announcement and a subscriber",
    "updates": "bytes that an update of the configuration takes",
}


def usage() -> str:
    """Returns the usage text, which lists all measurements."""
    width = max(len(name) for name in MEASUREMENTS)
    lines = [
        f"  {name:<{width}}  {text}" for name, text in MEASUREMENTS.items()
    ]
    return "\n".join(
        [
            "usage: scripts/measure NAME [ARGUMENTS]",
            "",
            *lines,
            "",
            "scripts/measure NAME --help lists the arguments of one.",
        ]
    )


def main() -> None:
    """Runs the measurement that the first argument names.

    Exits with 2 if there is no measurement of that name.
    """
    arguments = sys.argv[1:]
    name = arguments[0] if arguments else ""
    if name in ("-h", "--help"):
        print(usage())
        return
    if name not in MEASUREMENTS:
        if name:
            print(f"unknown measurement {name!r}", file=sys.stderr)
        print(usage(), file=sys.stderr)
        sys.exit(service.EXIT_BAD_SETTINGS)
    sys.argv = [f"scripts/measure {name}", *arguments[1:]]
    runpy.run_module(f"monsoonhinge.bench.{name}", run_name="__main__")


if __name__ == "__main__":
    main()
