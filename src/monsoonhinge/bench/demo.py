"""Shows a whole system on loopback."""

import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
from typing import Annotated, Any

import cappa

from monsoonhinge.bench import exchange
from monsoonhinge.bench import local
from monsoonhinge.bench import polling

BAR_KEY = "bar-key-for-the-demo"
DRIVER_KEY = "driver-key-for-the-demo"

CONTROLS = 3

_START_TIMEOUT_S = 30.0


@cappa.command(name="demo")
@dataclasses.dataclass(kw_only=True)
class Options:
    """Starts a system on loopback, sends requests and stops it.

    Attributes:
        config: Path of the configuration file to publish.
        keep: Leave the system running until Ctrl-C.
    """

    config: Annotated[
        pathlib.Path, cappa.Arg(long=True, help="Configuration to publish")
    ]
    keep: Annotated[bool, cappa.Arg(long=True, help="Run until Ctrl-C")] = False


class Demo:
    """The steps of the demo."""

    def __init__(self, cluster: local.Cluster, config: pathlib.Path) -> None:
        self.cluster = cluster
        self.config = config
        self.gateways = [node.url("callers") for node in cluster.of("gateway")]

    def start(self) -> None:
        """Starts all processes and publishes the configuration."""
        started = time.monotonic()
        self.cluster.start()
        self.operate("check", str(self.config))
        self.operate("publish", str(self.config))
        for name, team, key in (
            ("corner-bar", "bars", BAR_KEY),
            ("driver-7", "drivers", DRIVER_KEY),
        ):
            self.operate(
                "key", "grant", "--team", team, "--stdin", name, stdin=key
            )
        self.cluster.wait_ready(timeout=_START_TIMEOUT_S)
        polling.wait_until(
            self._targets_are_known,
            timeout=_START_TIMEOUT_S,
            what="gateways know all targets",
        )
        took = time.monotonic() - started
        print(f"{len(self.cluster.nodes)} processes ready in {took:.1f} s\n")
        self.operate("status")

    def operate(self, *arguments: str, stdin: str = "") -> None:
        """Runs an operator's command and prints what it prints.

        Raises:
            subprocess.CalledProcessError: The command failed.
        """
        print(f"$ monsoonhinge {' '.join(arguments)}", flush=True)
        settings = str(self.cluster.settings_path("operator"))
        subprocess.run(
            [sys.executable, "-m", "monsoonhinge.cli", *arguments],
            input=stdin,
            text=True,
            check=True,
            timeout=_START_TIMEOUT_S,
            env={**os.environ, "MONSOONHINGE_SETTINGS": settings},
        )
        print(flush=True)

    def requests(self) -> None:
        """Sends requests as callers would."""
        chat = "/v1/chat/completions"
        prompt = "Which deposit does a 50 l keg have?"
        self._show(
            "A bar asks a model that is not loaded yet (a stream)",
            self.gateways[0] + chat,
            key=BAR_KEY,
            body=_chat("assistant", prompt, stream=True),
        )
        self._show(
            "The same question once the model is loaded",
            self.gateways[1] + chat,
            key=BAR_KEY,
            body=_chat("assistant", prompt),
        )
        self._show(
            "A driver asks for a route note",
            self.gateways[1] + chat,
            key=DRIVER_KEY,
            body=_chat("route-notes", "Note for stop 4: gate code changed"),
        )
        self._show(
            "A driver calls a plain service",
            self.gateways[0] + "/services/ledger/depots",
            method="GET",
            key=DRIVER_KEY,
        )
        for gateway in self.gateways:
            self._show(
                "A bar sends its refund, the second time through another "
                "gateway",
                gateway + "/services/ledger/refunds/2211",
                key=BAR_KEY,
                body={"kegs": 3},
                headers={"Idempotency-Key": "refund-2211"},
            )
        service = self.cluster.dump("service-0")
        print(f"refunds that the ledger ran: {service['effects']}\n")
        self._show(
            "A driver asks for a route of the bars",
            self.gateways[0] + chat,
            key=DRIVER_KEY,
            body=_chat("assistant", prompt),
        )

    def wait(self) -> None:
        """Prints the addresses and waits for Ctrl-C or SIGTERM."""
        for name, node in self.cluster.nodes.items():
            callers = (
                f", callers {node.url('callers')}"
                if "callers" in node.settings
                else ""
            )
            print(f"{name}: operations {node.operations}{callers}")
        print(f"keys: {BAR_KEY} (bars), {DRIVER_KEY} (drivers)")
        print(f"operator settings: {self.cluster.settings_path('operator')}")
        print("Ctrl-C stops it.", flush=True)
        stopping = threading.Event()
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda *_: stopping.set())
        stopping.wait()

    def stop(self) -> bool:
        """Stops the processes gracefully; returns whether all did."""
        codes = self.cluster.terminate_all()
        bad = {name: code for name, code in codes.items() if code}
        print(f"stopped {len(codes)} processes, not cleanly: {bad or 'none'}")
        return not bad

    def _targets_are_known(self) -> bool:
        wanted = {
            node.settings["target"]
            for node in self.cluster.of("emulator")
            if node.settings["kind"] != "store"
        }
        return all(
            wanted <= set(self.cluster.dump(node.name)["targets"])
            for node in self.cluster.of("gateway")
        )

    def _show(self, title: str, url: str, **fields: Any) -> None:
        print(f"--- {title}")
        method = fields.setdefault("method", "POST")
        print(f"{method} {url}")
        started = time.monotonic()
        answer = exchange.send(url, **fields)
        took = time.monotonic() - started
        print(f"{answer.status} after {took:.3f} s")
        print(answer.text.strip() + "\n", flush=True)


def _chat(route: str, prompt: str, **further: Any) -> dict[str, Any]:
    return {
        "model": route,
        "max_tokens": 4,
        "messages": [{"role": "user", "content": prompt}],
        **further,
    }


def main() -> None:
    """Runs the demo; exits with 1 if a process did not stop cleanly."""
    options = cappa.parse(Options)
    with tempfile.TemporaryDirectory(prefix="monsoonhinge-") as folder:
        cluster = local.Cluster.plan(
            pathlib.Path(folder),
            controls=CONTROLS,
            schedulers=2,
            gateways=2,
            engines=2,
            services=1,
            service={"services": ["ledger"]},
        )
        try:
            demo = Demo(cluster, options.config)
            demo.start()
            demo.requests()
            if options.keep:
                demo.wait()
            stopped = demo.stop()
        finally:
            cluster.stop()
    sys.exit(0 if stopped else 1)


if __name__ == "__main__":
    main()
