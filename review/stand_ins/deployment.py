"""Starts the programs of deploy/system.toml as processes on loopback.

The platform's part is played here: it fills in the templates of the settings,
gives each process an address of its own, and stops the processes again. All
addresses are below 127.0.0.0/8, all ports were free, and all files are below a
temporary folder.
"""

import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Bounds of the deployments in our pages (SYSTEM.md, DEPLOY.md).
BOUNDS = {
    "connectivityWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "configDeadlineMs": 2000,
    "strictRevocation": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetExtra": 58,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaTolerance": 11000,
    "leaseMs": 3000,
    "thawMs": 300,
    "ceilingWindowS": 5,
}
HEARTBEAT_MS = 1200


_given_ports: set[int] = set()


def free_port(host: str) -> int:
    """Returns a port that is free and that no earlier call has returned."""
    while True:
        with socket.socket() as probe:
            probe.bind((host, 0))
            port = int(probe.getsockname()[1])
        if port not in _given_ports:
            _given_ports.add(port)
            return port


def _lookup(fields: dict, path: str):
    value = fields
    for part in path.split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return value


def render(template: str, fields: dict) -> str:
    """Fills in the placeholders ``{{a.b}}`` and ``{{a.b|json}}``."""

    def value(match: re.Match) -> str:
        path, _, form = match.group(1).partition("|")
        found = _lookup(fields, path)
        return json.dumps(found) if form == "json" else str(found)

    return re.sub(r"\{\{([^{}]+)\}\}", value, template)


class Process:
    """A process of the deployment; it can be started again."""

    def __init__(self, name: str, role: str, deployment: "Deployment") -> None:
        self.name = name
        self.role = role
        self.host = deployment.new_host()
        self.deployment = deployment
        self.settings = deployment.folder / f"{name}.json"
        self.data = deployment.folder / f"{name}.data"
        self.log = deployment.folder / f"{name}.log"
        self.running: subprocess.Popen | None = None
        self.first_start = True
        self.frontend_port = free_port(self.host)
        self.readiness_port = free_port(self.host)
        self.operations_port = free_port(self.host)

    def start(self) -> None:
        plan = self.deployment
        role = plan.roles[self.role]
        fields = {
            "nodeName": self.name,
            "ip": self.host,
            "zone": "lx-a",
            "region": "lisboa",
            "portRange": [plan.member_port, plan.member_port],
            "dataDir": str(self.data),
            "seedNodes": [
                f"{member.host}:{plan.control_port}"
                for member in plan.members[:3]
            ],
            "bootstrap": self.first_start,
            "faultTolerance": {"machines": plan.tolerated},
            "heartbeatMs": HEARTBEAT_MS,
            "listen": {
                "controlPlane": f"{self.host}:{plan.control_port}",
                "frontend": f"{self.host}:{self.frontend_port}",
                "readinessAddress": f"{self.host}:{self.readiness_port}",
            },
            "bounds": BOUNDS,
        }
        document = json.loads(
            render((ROOT / role["template"]).read_text(), fields)
        )
        # The template's fixed port may be taken on this machine.
        document["operations"]["port"] = self.operations_port
        self.settings.write_text(json.dumps(document))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MONSOONHINGE_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.running = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.first_start = False

    def signal(self, number: int) -> None:
        if self.running is not None and self.running.poll() is None:
            self.running.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.running is not None:
            self.running.wait()


class Deployment:
    """Control members and gateways; use it in a with statement."""

    def __init__(self, *, members: int = 3, gateways: int = 2) -> None:
        self.roles = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text()
        )["roles"]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.tolerated = (members - 1) // 2
        lot = random.SystemRandom()
        self._network = f"127.{lot.randrange(20, 250)}.{lot.randrange(1, 250)}"
        self._next_host = 10
        self.member_port = free_port(f"{self._network}.9")
        self.control_port = free_port(f"{self._network}.9")
        self.members = [
            Process(f"core-{number}", "control", self)
            for number in range(members)
        ]
        self.gateways = [
            Process(f"edge-{number}", "ingress", self)
            for number in range(gateways)
        ]

    @property
    def processes(self) -> list[Process]:
        return self.members + self.gateways

    def new_host(self) -> str:
        self._next_host += 1
        return f"{self._network}.{self._next_host}"

    def __enter__(self) -> "Deployment":
        # A case that is stopped from outside ends its processes, too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        for process in self.processes:
            process.start()
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        deadline = time.monotonic() + 2.0
        for process in self.processes:
            if process.running is None:
                continue
            try:
                process.running.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
