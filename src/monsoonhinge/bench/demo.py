"""Demonstrates a complete system on loopback."""

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

from monsoonhinge.bench import local_cluster
from monsoonhinge.bench import polling
from monsoonhinge.bench import sync_client

BAR_KEY = "bar-key-for-the-demo"
DRIVER_KEY = "driver-key-for-the-demo"

CONTROL_COUNT = 3

_START_TIMEOUT_S = 30.0


@cappa.command(name="demo")
@dataclasses.dataclass(kw_only=True)
class Options:
    """Starts a system on loopback, sends requests and stops it.

    Attributes:
        config: Path of the configuration file to publish.
        keep: Keep the system running until Ctrl-C.
    """

    config: Annotated[
        pathlib.Path, cappa.Arg(long=True, help="Configuration to publish")
    ]
    keep: Annotated[bool, cappa.Arg(long=True, help="Run until Ctrl-C")] = False


class Demo:
    """Runs the steps of the demo and prints what they do.

    Attributes:
        cluster: Processes of the system.
        config: Path of the configuration file to publish.
        gateways: URLs of the gateways for callers.
    """

    def __init__(
        self, cluster: local_cluster.Cluster, config: pathlib.Path
    ) -> None:
        self.cluster = cluster
        self.config = config
        self.gateways = [
            node.url("callers") for node in cluster.nodes_of("gateway")
        ]

    def start(self) -> None:
        """Starts all processes and publishes the configuration."""
        started = time.monotonic()
        self.cluster.start()
        self.run_cli("check", str(self.config))
        self.run_cli("publish", str(self.config))
        for name, team, key in (
            ("corner-bar", "bars", BAR_KEY),
            ("driver-7", "drivers", DRIVER_KEY),
        ):
            self.run_cli(
                "key", "grant", "--team", team, "--stdin", name, stdin=key
            )
        self.cluster.wait_ready(timeout=_START_TIMEOUT_S)
        polling.wait_until(
            self._all_targets_known,
            timeout=_START_TIMEOUT_S,
            description="gateways know all targets",
        )
        elapsed_s = time.monotonic() - started
        print(
            f"{len(self.cluster.nodes)} processes ready in {elapsed_s:.1f} s\n"
        )
        self.run_cli("status")

    def run_cli(self, *arguments: str, stdin: str = "") -> None:
        """Runs a command of the operator's command line.

        The command and its output are printed.

        Args:
            *arguments: Arguments of the command.
            stdin: Input of the command.

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

    def send_requests(self) -> None:
        """Sends sample requests of callers and prints the responses."""
        chat = "/v1/chat/completions"
        prompt = "Which deposit does a 50 l keg have?"
        self._send_and_print(
            "A bar asks a model that is not loaded yet (a stream)",
            self.gateways[0] + chat,
            key=BAR_KEY,
            body=_chat_body("assistant", prompt, stream=True),
        )
        self._send_and_print(
            "The same question once the model is loaded",
            self.gateways[1] + chat,
            key=BAR_KEY,
            body=_chat_body("assistant", prompt),
        )
        self._send_and_print(
            "A driver asks for a route note",
            self.gateways[1] + chat,
            key=DRIVER_KEY,
            body=_chat_body(
                "route-notes", "Note for stop 4: gate code changed"
            ),
        )
        self._send_and_print(
            "A driver calls a plain service",
            self.gateways[0] + "/services/ledger/depots",
            method="GET",
            key=DRIVER_KEY,
        )
        for gateway in self.gateways:
            self._send_and_print(
                "A bar sends its refund, the second time through another "
                "gateway",
                gateway + "/services/ledger/refunds/2211",
                key=BAR_KEY,
                body={"kegs": 3},
                headers={"Idempotency-Key": "refund-2211"},
            )
        service = self.cluster.dump("service-0")
        print(f"refunds that the ledger ran: {service['effects']}\n")
        self._send_and_print(
            "A driver asks for a route of the bars",
            self.gateways[0] + chat,
            key=DRIVER_KEY,
            body=_chat_body("assistant", prompt),
        )

    def wait_for_interrupt(self) -> None:
        """Prints addresses and keys and waits for SIGINT or SIGTERM."""
        for name, node in self.cluster.nodes.items():
            callers = (
                f", callers {node.url('callers')}"
                if "callers" in node.settings
                else ""
            )
            print(f"{name}: operations {node.operations_url}{callers}")
        print(f"keys: {BAR_KEY} (bars), {DRIVER_KEY} (drivers)")
        print(f"operator settings: {self.cluster.settings_path('operator')}")
        print("Ctrl-C stops it.", flush=True)
        stop_requested = threading.Event()
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(signal_number, lambda *_: stop_requested.set())
        stop_requested.wait()

    def stop(self) -> bool:
        """Stops the processes and returns whether all exited with 0."""
        codes = self.cluster.terminate_all()
        failed = {name: code for name, code in codes.items() if code}
        print(
            f"stopped {len(codes)} processes, not cleanly: {failed or 'none'}"
        )
        return not failed

    def _all_targets_known(self) -> bool:
        expected = {
            node.settings["target"]
            for node in self.cluster.nodes_of("emulator")
            if node.settings["kind"] != "store"
        }
        return all(
            expected <= set(self.cluster.dump(node.name)["targets"])
            for node in self.cluster.nodes_of("gateway")
        )

    def _send_and_print(self, title: str, url: str, **fields: Any) -> None:
        print(f"--- {title}")
        method = fields.setdefault("method", "POST")
        print(f"{method} {url}")
        started = time.monotonic()
        response = sync_client.send(url, **fields)
        elapsed_s = time.monotonic() - started
        print(f"{response.status} after {elapsed_s:.3f} s")
        print(response.text.strip() + "\n", flush=True)


def _chat_body(route: str, prompt: str, **fields: Any) -> dict[str, Any]:
    return {
        "model": route,
        "max_tokens": 4,
        "messages": [{"role": "user", "content": prompt}],
        **fields,
    }


def main() -> None:
    """Runs the demo; exits with 1 if a process exited with an error."""
    options = cappa.parse(Options)
    with tempfile.TemporaryDirectory(prefix="monsoonhinge-") as folder:
        cluster = local_cluster.Cluster.create(
            pathlib.Path(folder),
            controls=CONTROL_COUNT,
            schedulers=2,
            gateways=2,
            engines=2,
            services=1,
            service_settings={"services": ["ledger"]},
        )
        try:
            demo = Demo(cluster, options.config)
            demo.start()
            demo.send_requests()
            if options.keep:
                demo.wait_for_interrupt()
            exited_cleanly = demo.stop()
        finally:
            cluster.stop()
    sys.exit(0 if exited_cleanly else 1)


if __name__ == "__main__":
    main()
