"""Starts a small deployment of this repository on loopback addresses.

Each process is started with the command of the deploy file. Its settings are
the template of its role with the fields of DEPLOY.md filled in.
"""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
STAND_INS = pathlib.Path(__file__).resolve().parent

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

HEARTBEAT_MS = 1200
KEY = "case-key-0123456789"

_PLACEHOLDER = re.compile(r"\{\{([a-zA-Z0-9.]+)(\|json)?\}\}")

# Fields of the bounds and of the fault tolerance, with the values of the sheet.
_BOUNDS = {
    "ceilingWindowS": 5,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaTolerance": 11000,
    "configDeadlineMs": 2000,
    "retryBudgetRatio": 0.2,
    "retryBudgetExtra": 58,
    "budgetWindowS": 10,
    "graceS": 8,
}


class CaseCannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Writes ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Writes one line with the time since the start of the case."""
        seconds = time.monotonic() - self._started_at
        print(f"{seconds:9.3f} {text}", file=self._file, flush=True)


def _lookup(fields: dict[str, Any], path: str) -> Any:
    value: Any = fields
    for part in path.split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return value


def render(template: str, fields: dict[str, Any]) -> str:
    """Fills in the placeholders of a template of settings."""

    def replace(match: re.Match[str]) -> str:
        value = _lookup(fields, match[1])
        return json.dumps(value) if match[2] else str(value)

    return _PLACEHOLDER.sub(replace, template)


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Returns ports that are free on all hosts."""
    ports: list[int] = []
    candidate = 21000 + os.getpid() % 4000
    while len(ports) < count:
        candidate += 1
        if candidate > 60000:
            raise CaseCannotRunError("no free ports")
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((host, candidate))
        except OSError:
            continue
        ports.append(candidate)
    return ports


class Node:
    """One process of the deployment."""

    def __init__(
        self,
        *,
        name: str,
        host: str,
        argv: list[str],
        environment: dict[str, str],
        log: pathlib.Path,
    ) -> None:
        self.name = name
        self.host = host
        self.process: subprocess.Popen[bytes] | None = None
        self._argv = argv
        self._environment = environment
        self._log = log

    def start(self) -> None:
        """Starts the process."""
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                self._argv,
                cwd=ROOT,
                env=self._environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log_text(self) -> str:
        """Returns what the process has written."""
        return self._log.read_text(errors="replace")


class Deployment:
    """Processes, their settings and a temporary folder.

    Attributes:
        control: Control members by host.
        ingress: Gateways by host.
        folder: Temporary folder.
    """

    def __init__(
        self,
        *,
        control_hosts: list[str],
        ingress_hosts: list[str],
        tolerated_losses: int,
        spare_hosts: tuple[str, ...] = (),
    ) -> None:
        if not (ROOT / "target" / "deps" / "monsoonhinge").is_dir():
            raise CaseCannotRunError("the build of the deploy file is missing")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="monsoonhinge-"))
        hosts = [*control_hosts, *ingress_hosts, *spare_hosts]
        (
            self.api_port,
            self.frontend_port,
            self.readiness_port,
            self.peer_port,
            self.operations_port,
        ) = free_ports(hosts, 5)
        self.control_hosts = control_hosts
        self.tolerated_losses = tolerated_losses
        self.control = {
            host: self._node("control", host, first_start=True)
            for host in control_hosts
        }
        self.ingress = {
            host: self._node("ingress", host, first_start=True)
            for host in ingress_hosts
        }
        self.others: list[Node] = []

    def _fields(self, role: str, host: str, first_start: bool) -> dict[str, Any]:
        return {
            "ip": host,
            "nodeName": f"{role}-{host.rpartition('.')[2]}",
            "region": "here",
            "zone": "zone-a",
            "listen": {
                "frontend": f"{host}:{self.frontend_port}",
                "readinessAddress": f"{host}:{self.readiness_port}",
                "controlPlane": f"{host}:{self.api_port}",
            },
            "portRange": [self.peer_port, self.peer_port + 15],
            "dataDir": str(self.folder / f"data-{host}"),
            "seedNodes": [f"{h}:{self.api_port}" for h in self.control_hosts[:3]],
            "bootstrap": first_start,
            "faultTolerance": {"machines": self.tolerated_losses},
            "heartbeatMs": HEARTBEAT_MS,
            "bounds": _BOUNDS,
        }

    def write_settings(self, role: str, host: str, *, first_start: bool) -> None:
        """Writes the settings file of a process."""
        template = (ROOT / "deploy" / f"{role}.json").read_text()
        text = render(template, self._fields(role, host, first_start))
        text = re.sub(
            r'("port": )9464', rf"\g<1>{self.operations_port}", text
        )
        json.loads(text)
        (self.folder / f"{role}-{host}.json").write_text(text)

    def _node(self, role: str, host: str, *, first_start: bool) -> Node:
        self.write_settings(role, host, first_start=first_start)
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["MONSOONHINGE_SETTINGS"] = str(
            self.folder / f"{role}-{host}.json"
        )
        return Node(
            name=f"{role}-{host}",
            host=host,
            argv=["python3", "-m", "monsoonhinge.platform", role],
            environment=environment,
            log=self.folder / f"{role}-{host}.log",
        )

    def server(self, name: str, **options: Any) -> Node:
        """Returns a stand-in server, which is not started yet."""
        options["control"] = [f"{h}:{self.api_port}" for h in self.control_hosts]
        options["events"] = str(self.folder / "servers.jsonl")
        node = Node(
            name=name,
            host=options["host"],
            argv=[
                sys.executable,
                str(STAND_INS / "server.py"),
                json.dumps(options),
            ],
            environment=dict(os.environ),
            log=self.folder / f"{name}.log",
        )
        self.others.append(node)
        return node

    def server_events(self) -> list[dict[str, Any]]:
        """Returns what all stand-in servers have recorded, in order."""
        path = self.folder / "servers.jsonl"
        if not path.exists():
            return []
        lines = path.read_text().splitlines()
        events = [json.loads(line) for line in lines if line.endswith("}")]
        return sorted(events, key=lambda event: event["at"])

    def nodes(self) -> list[Node]:
        """Returns all processes."""
        return [*self.control.values(), *self.ingress.values(), *self.others]

    def start(self) -> None:
        """Starts the processes of the system."""
        for node in [*self.control.values(), *self.ingress.values()]:
            node.start()

    def add_control(self, host: str) -> Node:
        """Returns a control member with an empty disk, not started yet."""
        self.control[host] = self._node("control", host, first_start=False)
        return self.control[host]

    def lose_disk(self, host: str) -> None:
        """Empties the data folder of a control member that does not run."""
        shutil.rmtree(self.folder / f"data-{host}", ignore_errors=True)

    def restart_control(self, host: str) -> None:
        """Starts a control member again, which is not the first start."""
        self.write_settings("control", host, first_start=False)
        self.control[host].start()

    def close(self) -> None:
        """Ends all processes that were started, and removes the folder."""
        for node in self.nodes():
            node.signal(signal.SIGCONT)
            node.kill()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


class Response:
    """Response to a request of a client.

    Attributes:
        status: HTTP status; 0 without a response.
        headers: Headers with names in lowercase.
        body: Body as far as it arrived.
        complete: Whether the whole body arrived.
    """

    def __init__(self, error: str = "") -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = error

    def __repr__(self) -> str:
        text = self.body[:60]
        return f"{self.status} complete={self.complete} {text!r} {self.error}"


async def _read_body(
    reader: asyncio.StreamReader, response: Response
) -> None:
    if response.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                response.complete = True
                return
            response.body += data[:-2]
    if "content-length" in response.headers:
        length = int(response.headers["content-length"])
        response.body = await reader.readexactly(length)
        response.complete = True


async def request(
    host: str,
    port: int,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 2.0,
) -> Response:
    """Sends one request on a new connection and reads the whole response."""
    response = Response()
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {path} HTTP/1.1"]
            sent = {"Host": f"{host}:{port}", **(headers or {})}
            if body or method in ("PUT", "POST"):
                sent["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in sent.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status_line, *fields = head.strip().split("\r\n")
            response.status = int(status_line.split()[1])
            for field in fields:
                name, _, value = field.partition(":")
                response.headers[name.strip().lower()] = value.strip()
            await _read_body(reader, response)
    except (OSError, TimeoutError, EOFError, ValueError) as error:
        response.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return response


async def put_config(
    deployment: Deployment, document: dict[str, Any], *, timeout_s: float = 25.0
) -> None:
    """Sends a configuration until it is acknowledged, as the operator does.

    Raises:
        CaseCannotRunError: It was not acknowledged.
    """
    body = json.dumps(document).encode()
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        for host in deployment.control_hosts:
            response = await request(
                host,
                deployment.api_port,
                "PUT",
                "/monsoonhinge/config",
                headers={"Content-Type": "application/json"},
                body=body,
                timeout_s=2.0,
            )
            if response.status == 200:
                return
            if 400 <= response.status < 500:
                raise CaseCannotRunError(f"configuration refused: {response}")
        await asyncio.sleep(0.2)
    raise CaseCannotRunError("no control member acknowledged a configuration")


async def wait_ready(deployment: Deployment, *, timeout_s: float = 20.0) -> None:
    """Waits until all gateways report that they are ready.

    Raises:
        CaseCannotRunError: They do not.
    """
    deadline = time.monotonic() + timeout_s
    for host in deployment.ingress:
        while True:
            response = await request(
                host,
                deployment.readiness_port,
                "GET",
                "/monsoonhinge/readyz",
                timeout_s=1.0,
            )
            if response.status == 200:
                break
            if time.monotonic() > deadline:
                raise CaseCannotRunError(f"{host} is not ready")
            await asyncio.sleep(0.2)


def trouble() -> bool:
    """Returns whether the case is run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: pathlib.Path, case: Any, **options: Any) -> None:
    """Runs a case and exits with its result.

    Args:
        folder: Folder of the case, for ``record.txt``.
        case: Coroutine function that takes the deployment and the record, and
            returns whether the rule held.
        options: Arguments of the deployment.
    """
    # A case that is stopped ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    record = Record(folder / "record.txt")
    record(f"TROUBLE={int(trouble())}")
    deployment = None
    result = EXIT_NOT_RUN
    try:
        deployment = Deployment(**options)
        deployment.start()

        async def limited() -> bool:
            async with asyncio.timeout(112.0):
                held: bool = await case(deployment, record)
                return held

        result = EXIT_HELD if asyncio.run(limited()) else EXIT_BROKEN
    except Exception as error:  # A fault of the case breaks no rule.
        record(f"the case cannot run: {error!r}")
    finally:
        if deployment is not None:
            deployment.close()
    record(f"exit {result}")
    sys.exit(result)
