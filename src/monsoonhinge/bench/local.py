"""Starts the processes of a small cluster on loopback."""

from collections.abc import Iterable
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any
import urllib.request

from monsoonhinge.bench import ports
from monsoonhinge.bench import relay

CLUSTER_SECRET = "local-cluster-secret"
KEY_SECRET = "local-cluster-key-secret"

_HOST = "127.0.0.1"
_LOG_CHARS = 2000
_POLL_S = 0.02


class StartFailed(Exception):
    """A process ended or did not become ready."""


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

    @property
    def running(self) -> bool:
        """Whether the process is started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def url(self, field: str) -> str:
        """Returns the URL of an address in the settings."""
        return f"http://{_HOST}:{self.settings[field]['port']}"


class Cluster:
    """Processes on loopback that are started and stopped together.

    Attributes:
        folder: Folder for settings, data and logs.
        nodes: Processes by node name.
        relayed: Names of nodes whose links all pass through relays.
        links: Relays by the names of both ends.
    """

    def __init__(
        self, *, folder: pathlib.Path, relayed: Iterable[str] = ()
    ) -> None:
        self.folder = folder
        self.nodes: dict[str, Node] = {}
        self.relayed = frozenset(relayed)
        self.links: dict[tuple[str, str], relay.Relay] = {}
        self._loop: relay.Loop | None = None
        self._ports = ports.Ports()

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
        stores: int = 0,
        relayed: Iterable[str] = (),
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
            stores: Number of stand-in weight stores, 0 or 1.
            relayed: Control members whose links all pass through relays.
            engine: Further settings of each engine.
            service: Further settings of each service.
            control: Further settings of each control member.
            gateway: Further settings of each gateway.
        """
        cluster = cls(folder=folder, relayed=relayed)
        members = {f"control-{n}": cluster.address() for n in range(controls)}
        scheduler_addresses = [cluster.address() for _ in range(schedulers)]
        for name, address in members.items():
            cluster.add(
                name,
                "control",
                listen=address,
                data_dir=str(folder / name),
                members=cluster.members(name, members),
                **(control or {}),
            )
        for n, address in enumerate(scheduler_addresses):
            name = f"scheduler-{n}"
            cluster.add(
                name,
                "scheduler",
                listen=address,
                control=cluster.members(name, members),
            )
        for n in range(gateways):
            name = f"gateway-{n}"
            cluster.add(
                name,
                "gateway",
                callers=cluster.address(),
                targets=cluster.address(),
                control=cluster.members(name, members),
                schedulers=scheduler_addresses,
                key_secret=KEY_SECRET,
                **(gateway or {}),
            )
        further = dict(engine or {})
        if stores:
            store = cluster.address()
            cluster.add(
                "store-0",
                "emulator",
                target="store-0",
                kind="store",
                listen=store,
            )
            further["store"] = store
        cluster._add_targets("engine", engines, further)
        cluster._add_targets("service", services, dict(service or {}))
        cluster.write(
            "operator",
            {
                "control": cluster.members("operator", members),
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

    def members(
        self, source: str, addresses: dict[str, dict[str, Any]]
    ) -> list[dict[str, Any]]:
        """Returns the control members as one process is to reach them."""
        return [
            {"name": name, "address": self._link(source, name, address)}
            for name, address in addresses.items()
        ]

    def address(self) -> dict[str, Any]:
        """Returns an unused loopback address.

        Raises:
            RuntimeError: No port is free.
        """
        return {"host": _HOST, "port": self._ports.take()}

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
                    # Ctrl-C reaches the starter only, which stops the
                    # processes in order.
                    process_group=0,
                )

    def wait_ready(self, *names: str, timeout: float = 20.0) -> None:
        """Waits until the named processes are ready, by default all.

        Raises:
            StartFailed: One has ended or is not ready in time; the message
                ends with its log.
        """
        deadline = time.monotonic() + timeout
        for name in names or tuple(self.nodes):
            while not self.is_ready(name):
                ended = not self.nodes[name].running
                if ended or time.monotonic() > deadline:
                    state = "has ended" if ended else "is not ready"
                    raise StartFailed(f"{name} {state}: {self.log(name)}")
                time.sleep(_POLL_S)

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

    def show_faults(self, name: str, *faults: dict[str, Any]) -> None:
        """Puts faults in effect on a stand-in target."""
        request = urllib.request.Request(
            f"{self.nodes[name].url('listen')}/faults",
            data=json.dumps(faults).encode(),
        )
        with urllib.request.urlopen(request, timeout=5) as response:
            response.read()

    def log(self, name: str) -> str:
        """Returns the end of a process's log."""
        path = self.folder / f"{name}.log"
        return path.read_text()[-_LOG_CHARS:] if path.exists() else ""

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        node = self.nodes[name]
        if node.running and node.process is not None:
            node.process.send_signal(number)

    def kill(self, name: str) -> None:
        """Ends a process at once."""
        self.signal(name, signal.SIGKILL)
        process = self.nodes[name].process
        if process is not None:
            process.wait()

    def terminate(self, name: str, *, timeout: float = 30.0) -> int:
        """Stops a process gracefully and returns its exit code."""
        self.signal(name, signal.SIGTERM)
        return self._wait(name, timeout)

    def terminate_all(
        self, *, names: Iterable[str] = (), timeout: float = 30.0
    ) -> dict[str, int]:
        """Stops processes gracefully, control last.

        Args:
            names: The processes, by default all.
            timeout: Seconds after which a process is killed.

        Returns:
            Exit codes by node name; -9 for one that had to be killed.
        """
        codes = {}
        names = tuple(names)
        for package in ("gateway", "emulator", "scheduler", "control"):
            running = [
                node
                for node in self.of(package)
                if node.running and (not names or node.name in names)
            ]
            for node in running:
                self.signal(node.name, signal.SIGTERM)
            for node in running:
                try:
                    codes[node.name] = self._wait(node.name, timeout)
                except subprocess.TimeoutExpired:
                    self.kill(node.name)
                    codes[node.name] = -signal.SIGKILL
        return codes

    def disturb(
        self, name: str, mode: relay.Mode, *directions: relay.Direction
    ) -> None:
        """Sets the mode of every relayed link to and from a process."""
        for ends, link in self.links.items():
            if name in ends:
                link.set(mode, *directions)

    def stop(self) -> None:
        """Ends all processes that still run."""
        for name in reversed(self.nodes):
            self.signal(name, signal.SIGCONT)
            self.kill(name)
        if self._loop is not None:
            self._loop.stop()
            self._loop = None

    def _wait(self, name: str, timeout: float) -> int:
        process = self.nodes[name].process
        return process.wait(timeout) if process is not None else 0

    def _link(
        self, source: str, name: str, address: dict[str, Any]
    ) -> dict[str, Any]:
        if source == name or not self.relayed & {source, name}:
            return address
        if self._loop is None:
            self._loop = relay.Loop()
        link = self._loop.relay(**address)
        self.links[source, name] = link
        return {"host": link.host, "port": link.port}

    def _add_targets(
        self, kind: str, count: int, further: dict[str, Any]
    ) -> None:
        gateways = [node.settings["targets"] for node in self.of("gateway")]
        for n in range(count):
            name = f"{kind}-{n}"
            fields = {
                "target": name,
                "kind": kind,
                "listen": self.address(),
                "gateways": gateways,
                "memory_bytes": 80_000_000_000 if kind == "engine" else 0,
                **further,
            }
            self.add(name, "emulator", **fields)
