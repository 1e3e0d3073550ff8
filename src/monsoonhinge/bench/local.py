"""Starts the processes of a small cluster on loopback."""

import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any
import urllib.request

CLUSTER_SECRET = "local-cluster-secret"
KEY_SECRET = "local-cluster-key-secret"

_HOST = "127.0.0.1"


@dataclasses.dataclass(slots=True)
class Node:
    """One process of the cluster.

    Attributes:
        name: Node name.
        module: Python module that runs it.
        settings: Its settings.
        process: The operating system process, once started.
    """

    name: str
    module: str
    settings: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None

    @property
    def operations(self) -> str:
        """URL of the operations address."""
        return f"http://{_HOST}:{self.settings['operations']['port']}"


class Cluster:
    """Processes on loopback that are started and stopped together.

    Attributes:
        folder: Folder for settings, data and logs.
        nodes: Processes by node name.
    """

    def __init__(self, *, folder: pathlib.Path) -> None:
        self.folder = folder
        self.nodes: dict[str, Node] = {}
        self._ports: set[int] = set()

    @classmethod
    def plan(
        cls,
        folder: pathlib.Path,
        *,
        controls: int = 1,
        schedulers: int = 1,
        gateways: int = 1,
        engines: int = 1,
        services: int = 1,
        engine: dict[str, Any] | None = None,
        service: dict[str, Any] | None = None,
        control: dict[str, Any] | None = None,
        gateway: dict[str, Any] | None = None,
    ) -> "Cluster":
        """Plans a cluster without starting it.

        Args:
            folder: Folder for settings, data and logs.
            controls: Number of control members.
            schedulers: Number of schedulers.
            gateways: Number of gateways.
            engines: Number of stand-in engines.
            services: Number of stand-in services.
            engine: Further settings of each engine.
            service: Further settings of each service.
            control: Further settings of each control member.
            gateway: Further settings of each gateway.
        """
        cluster = cls(folder=folder)
        members: list[dict[str, Any]] = [
            {"name": f"control-{n}", "address": cluster.address()}
            for n in range(controls)
        ]
        scheduler_addresses = [cluster.address() for _ in range(schedulers)]
        for member in members:
            cluster.add(
                member["name"],
                "control",
                listen=member["address"],
                data_dir=str(folder / member["name"]),
                members=members,
                **(control or {}),
            )
        for n, address in enumerate(scheduler_addresses):
            cluster.add(
                f"scheduler-{n}", "scheduler", listen=address, control=members
            )
        for n in range(gateways):
            cluster.add(
                f"gateway-{n}",
                "gateway",
                callers=cluster.address(),
                targets=cluster.address(),
                control=members,
                schedulers=scheduler_addresses,
                key_secret=KEY_SECRET,
                # The scheduler does not grant tokens yet.
                **{"enforce_budgets": False, **(gateway or {})},
            )
        announce_to = [
            node.settings["targets"] for node in cluster.of("gateway")
        ]
        for kind, count, further in (
            ("engine", engines, engine),
            ("service", services, service),
        ):
            for n in range(count):
                cluster.add(
                    f"{kind}-{n}",
                    "emulator",
                    target=f"{kind}-{n}",
                    kind=kind,
                    listen=cluster.address(),
                    gateways=announce_to,
                    memory_bytes=80_000_000_000 if kind == "engine" else 0,
                    **(further or {}),
                )
        cluster.write(
            "operator",
            {
                "control": members,
                "cluster_secret": CLUSTER_SECRET,
                "key_secret": KEY_SECRET,
            },
        )
        return cluster

    def add(self, name: str, package: str, **fields: Any) -> Node:
        """Adds a process and writes its settings."""
        node = Node(
            name=name,
            module=f"monsoonhinge.{package}",
            settings={
                "node": name,
                "availability_zone": "zone-1",
                "operations": self.address(),
                "cluster_secret": CLUSTER_SECRET,
                **fields,
            },
        )
        self.nodes[name] = node
        self.write(name, node.settings)
        return node

    def address(self) -> dict[str, Any]:
        """Returns an unused loopback address."""
        while True:
            with socket.socket() as probe:
                probe.bind((_HOST, 0))
                port = int(probe.getsockname()[1])
            if port not in self._ports:
                self._ports.add(port)
                return {"host": _HOST, "port": port}

    def write(self, name: str, document: dict[str, Any]) -> None:
        """Writes a settings file."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.settings_path(name).write_text(json.dumps(document, indent=2))

    def settings_path(self, name: str) -> pathlib.Path:
        """Returns the path of a settings file."""
        return self.folder / f"{name}.json"

    def of(self, package: str) -> list[Node]:
        """Returns the processes of one package in order."""
        module = f"monsoonhinge.{package}"
        return [node for node in self.nodes.values() if node.module == module]

    def start(self, *names: str) -> None:
        """Starts the named processes, by default all."""
        for name in names or tuple(self.nodes):
            node = self.nodes[name]
            with (self.folder / f"{name}.log").open("ab") as log:
                node.process = subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        node.module,
                        "--settings",
                        str(self.settings_path(name)),
                    ],
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    env=dict(os.environ),
                )

    def wait_ready(self, *names: str, timeout: float = 20.0) -> None:
        """Waits until the named processes are ready, by default all.

        Raises:
            TimeoutError: One is not ready in time.
        """
        deadline = time.monotonic() + timeout
        for name in names or tuple(self.nodes):
            while not self.is_ready(name):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} is not ready: {self.log(name)}")
                time.sleep(0.02)

    def is_ready(self, name: str) -> bool:
        """Returns whether a process says that it is ready."""
        try:
            with urllib.request.urlopen(
                f"{self.nodes[name].operations}/readyz", timeout=1
            ) as response:
                return bool(response.status == 200)
        except OSError:
            return False

    def dump(self, name: str) -> dict[str, Any]:
        """Returns the state dump of a process."""
        with urllib.request.urlopen(
            f"{self.nodes[name].operations}/debug/state", timeout=5
        ) as response:
            document: dict[str, Any] = json.load(response)
        return document

    def log(self, name: str) -> str:
        """Returns the end of a process's log."""
        path = self.folder / f"{name}.log"
        return path.read_text()[-2000:] if path.exists() else ""

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        process = self.nodes[name].process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Ends a process at once."""
        self.signal(name, signal.SIGKILL)
        process = self.nodes[name].process
        if process is not None:
            process.wait()

    def terminate(self, name: str, *, timeout: float = 30.0) -> int:
        """Stops a process gracefully and returns its exit code."""
        self.signal(name, signal.SIGTERM)
        process = self.nodes[name].process
        return process.wait(timeout) if process is not None else 0

    def stop(self) -> None:
        """Ends all processes that still run."""
        for name in reversed(self.nodes):
            self.signal(name, signal.SIGCONT)
            self.kill(name)
