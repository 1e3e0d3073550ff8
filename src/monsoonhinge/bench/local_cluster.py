"""Runs the processes of a small cluster on loopback."""

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
_LOG_TAIL_CHARS = 2000
_POLL_S = 0.02


class StartError(Exception):
    """A process exited or did not become ready in time."""


@dataclasses.dataclass(slots=True)
class Node:
    """One process of the cluster.

    Attributes:
        name: Node name.
        module: Python module that is run as the process.
        settings: Contents of its settings file.
        process: The operating system process; None until it is started.
    """

    name: str
    module: str
    settings: dict[str, Any]
    process: subprocess.Popen[bytes] | None = None

    @property
    def operations_url(self) -> str:
        """URL of the operations address."""
        return f"http://{_HOST}:{self.settings['operations']['port']}"

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def url(self, field: str) -> str:
        """Returns the URL of an address in the settings, such as ``listen``."""
        return f"http://{_HOST}:{self.settings[field]['port']}"


class Cluster:
    """Processes on loopback that are started and stopped together.

    Attributes:
        folder: Folder for settings, data and logs.
        nodes: Processes by node name.
        relayed_nodes: Names of nodes whose links all pass through relays.
        relays: Relays by the names of the connecting node and its peer.
    """

    def __init__(
        self, *, folder: pathlib.Path, relayed_nodes: Iterable[str] = ()
    ) -> None:
        self.folder = folder
        self.nodes: dict[str, Node] = {}
        self.relayed_nodes = frozenset(relayed_nodes)
        self.relays: dict[tuple[str, str], relay.Relay] = {}
        self._relay_thread: relay.RelayThread | None = None
        self._port_allocator = ports.PortAllocator()

    @classmethod
    def create(
        cls,
        folder: pathlib.Path,
        *,
        controls: int = 1,
        schedulers: int = 1,
        gateways: int = 1,
        engines: int = 1,
        services: int = 1,
        stores: int = 0,
        relayed_nodes: Iterable[str] = (),
        engine_settings: dict[str, Any] | None = None,
        service_settings: dict[str, Any] | None = None,
        control_settings: dict[str, Any] | None = None,
        gateway_settings: dict[str, Any] | None = None,
    ) -> "Cluster":
        """Writes the settings of a cluster without starting it.

        Args:
            folder: Folder for settings, data and logs.
            controls: Number of control members.
            schedulers: Number of schedulers.
            gateways: Number of gateways.
            engines: Number of emulated engines.
            services: Number of emulated services.
            stores: Number of emulated weight stores, 0 or 1.
            relayed_nodes: Names of control members whose links all pass
                through relays.
            engine_settings: Additional settings of each engine.
            service_settings: Additional settings of each service.
            control_settings: Additional settings of each control member.
            gateway_settings: Additional settings of each gateway.
        """
        cluster = cls(folder=folder, relayed_nodes=relayed_nodes)
        members = {
            f"control-{n}": cluster.allocate_address() for n in range(controls)
        }
        scheduler_addresses = [
            cluster.allocate_address() for _ in range(schedulers)
        ]
        for name, address in members.items():
            cluster.add_node(
                name,
                "control",
                listen=address,
                data_dir=str(folder / name),
                members=cluster.member_settings(name, members),
                **(control_settings or {}),
            )
        for n, address in enumerate(scheduler_addresses):
            name = f"scheduler-{n}"
            cluster.add_node(
                name,
                "scheduler",
                listen=address,
                control=cluster.member_settings(name, members),
            )
        for n in range(gateways):
            name = f"gateway-{n}"
            cluster.add_node(
                name,
                "gateway",
                callers=cluster.allocate_address(),
                targets=cluster.allocate_address(),
                control=cluster.member_settings(name, members),
                schedulers=scheduler_addresses,
                key_secret=KEY_SECRET,
                **(gateway_settings or {}),
            )
        engine_settings = dict(engine_settings or {})
        if stores:
            store = cluster.allocate_address()
            cluster.add_node(
                "store-0",
                "emulator",
                target="store-0",
                kind="store",
                listen=store,
            )
            engine_settings["store"] = store
        cluster._add_targets("engine", engines, engine_settings)
        cluster._add_targets("service", services, dict(service_settings or {}))
        cluster.write_settings(
            "operator",
            {
                "control": cluster.member_settings("operator", members),
                "cluster_secret": CLUSTER_SECRET,
                "key_secret": KEY_SECRET,
            },
        )
        return cluster

    def add_node(self, name: str, package: str, **fields: Any) -> Node:
        """Adds a process that runs a subpackage and writes its settings."""
        node = Node(
            name=name,
            module=f"monsoonhinge.{package}",
            settings={
                "node": name,
                "availability_zone": "zone-1",
                "operations": self.allocate_address(),
                "cluster_secret": CLUSTER_SECRET,
                **fields,
            },
        )
        self.nodes[name] = node
        self.write_settings(name, node.settings)
        return node

    def member_settings(
        self, source: str, addresses: dict[str, dict[str, Any]]
    ) -> list[dict[str, Any]]:
        """Returns the control members with the addresses a process uses."""
        return [
            {
                "name": name,
                "address": self._address_seen_by(source, name, address),
            }
            for name, address in addresses.items()
        ]

    def allocate_address(self) -> dict[str, Any]:
        """Returns an unused loopback address.

        Raises:
            RuntimeError: No port is free.
        """
        return {"host": _HOST, "port": self._port_allocator.allocate()}

    def write_settings(self, name: str, document: dict[str, Any]) -> None:
        """Writes the settings file of a process or of the operator."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.settings_path(name).write_text(json.dumps(document, indent=2))

    def settings_path(self, name: str) -> pathlib.Path:
        """Returns the path of the settings file with a name."""
        return self.folder / f"{name}.json"

    def nodes_of(self, package: str) -> list[Node]:
        """Returns the processes of a subpackage in the order of creation."""
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
                    # Ctrl-C must reach only this process, which stops the
                    # others in order.
                    process_group=0,
                )

    def wait_ready(self, *names: str, timeout: float = 20.0) -> None:
        """Waits until the named processes are ready, by default all.

        Raises:
            StartError: A process exited or was not ready in time; the
                message ends with the tail of its log.
        """
        deadline = time.monotonic() + timeout
        for name in names or tuple(self.nodes):
            while not self.is_ready(name):
                exited = not self.nodes[name].is_running
                if exited or time.monotonic() > deadline:
                    state = "exited" if exited else f"not ready in {timeout} s"
                    raise StartError(f"{name} {state}: {self.log_tail(name)}")
                time.sleep(_POLL_S)

    def is_ready(self, name: str) -> bool:
        """Returns whether a process reports itself as ready."""
        try:
            with urllib.request.urlopen(
                f"{self.nodes[name].operations_url}/readyz", timeout=1
            ) as response:
                return bool(response.status == 200)
        except OSError:
            return False

    def dump(self, name: str) -> dict[str, Any]:
        """Returns the state dump of a process."""
        with urllib.request.urlopen(
            f"{self.nodes[name].operations_url}/debug/state", timeout=5
        ) as response:
            document: dict[str, Any] = json.load(response)
        return document

    def set_faults(self, name: str, *faults: dict[str, Any]) -> None:
        """Replaces the faults that an emulated target injects."""
        request = urllib.request.Request(
            f"{self.nodes[name].url('listen')}/faults",
            data=json.dumps(faults).encode(),
        )
        with urllib.request.urlopen(request, timeout=5) as response:
            response.read()

    def log_tail(self, name: str) -> str:
        """Returns the last characters of a process's log."""
        path = self.folder / f"{name}.log"
        return path.read_text()[-_LOG_TAIL_CHARS:] if path.exists() else ""

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process unless it has exited."""
        node = self.nodes[name]
        if node.is_running and node.process is not None:
            node.process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its exit."""
        self.send_signal(name, signal.SIGKILL)
        process = self.nodes[name].process
        if process is not None:
            process.wait()

    def terminate(self, name: str, *, timeout: float = 30.0) -> int:
        """Stops a process gracefully and returns its exit code.

        Raises:
            subprocess.TimeoutExpired: It did not exit in time.
        """
        self.send_signal(name, signal.SIGTERM)
        return self._wait_for_exit(name, timeout)

    def terminate_all(
        self, *, names: Iterable[str] = (), timeout: float = 30.0
    ) -> dict[str, int]:
        """Stops processes gracefully, control members last.

        Args:
            names: Names of the processes, by default all.
            timeout: Time in seconds after which a process is killed.

        Returns:
            Exit codes by node name; -9 for a process that was killed.
        """
        codes = {}
        names = tuple(names)
        for package in ("gateway", "emulator", "scheduler", "control"):
            running = [
                node
                for node in self.nodes_of(package)
                if node.is_running and (not names or node.name in names)
            ]
            for node in running:
                self.send_signal(node.name, signal.SIGTERM)
            for node in running:
                try:
                    codes[node.name] = self._wait_for_exit(node.name, timeout)
                except subprocess.TimeoutExpired:
                    self.kill(node.name)
                    codes[node.name] = -signal.SIGKILL
        return codes

    def set_link_mode(
        self, name: str, mode: relay.Mode, *directions: relay.Direction
    ) -> None:
        """Sets the mode of all relayed links to and from a process."""
        for endpoints, link in self.relays.items():
            if name in endpoints:
                link.set_mode(mode, *directions)

    def stop(self) -> None:
        """Kills all running processes and stops the relays."""
        for name in reversed(self.nodes):
            self.send_signal(name, signal.SIGCONT)
            self.kill(name)
        if self._relay_thread is not None:
            self._relay_thread.stop()
            self._relay_thread = None

    def _wait_for_exit(self, name: str, timeout: float) -> int:
        process = self.nodes[name].process
        return process.wait(timeout) if process is not None else 0

    def _address_seen_by(
        self, source: str, name: str, address: dict[str, Any]
    ) -> dict[str, Any]:
        if source == name or not self.relayed_nodes & {source, name}:
            return address
        if self._relay_thread is None:
            self._relay_thread = relay.RelayThread()
        link = self._relay_thread.add_relay(**address)
        self.relays[source, name] = link
        return {"host": link.host, "port": link.port}

    def _add_targets(
        self, kind: str, count: int, extra_settings: dict[str, Any]
    ) -> None:
        gateways = [
            node.settings["targets"] for node in self.nodes_of("gateway")
        ]
        for n in range(count):
            name = f"{kind}-{n}"
            fields = {
                "target": name,
                "kind": kind,
                "listen": self.allocate_address(),
                "gateways": gateways,
                "memory_bytes": 80_000_000_000 if kind == "engine" else 0,
                **extra_settings,
            }
            self.add_node(name, "emulator", **fields)
