"""Tests of the operator command line against stub control members."""

from collections.abc import Iterator
import dataclasses
import http.server
import io
import json
import pathlib
import threading
from typing import Any

import pytest

from monsoonhinge.cli import __main__ as cli
from monsoonhinge.protocol import messages
from tests.control import stub

_ROOT = pathlib.Path(__file__).parents[2]
_TEAM = {"kind": "team", "name": "t", "tokens_per_s": 1.0, "burst_tokens": 1}


@dataclasses.dataclass
class Operator:
    """Runs commands with the settings of a stub cluster."""

    cluster: stub.Cluster
    folder: pathlib.Path
    capsys: pytest.CaptureFixture[str]

    def write_configuration(self, version: int, **fields: Any) -> str:
        path = self.folder / "set.json"
        path.write_text(
            json.dumps({"version": version, "objects": [{**_TEAM, **fields}]})
        )
        return str(path)

    def run(self, *arguments: str) -> tuple[int, str, str]:
        code = cli.run(list(arguments))
        output = self.capsys.readouterr()
        return code, output.out, output.err

    def json(self, *arguments: str) -> tuple[int, Any]:
        code, out, _ = self.run(*arguments, "--json")
        return code, json.loads(out)


@pytest.fixture
def operator(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> Iterator[Operator]:
    with stub.running() as cluster:
        path = tmp_path / "operator.json"
        document = {
            "control": [
                member.model_dump(mode="json") for member in cluster.settings()
            ],
            "cluster_secret": stub.SECRET,
            "key_secret": "a key secret for tests",
            "operator": "ana",
        }
        path.write_text(json.dumps(document))
        monkeypatch.setenv("MONSOONHINGE_SETTINGS", str(path))
        yield Operator(cluster, tmp_path, capsys)


def test_publication_conflict_and_resend(operator: Operator) -> None:
    """Guards against wrong exit codes after a conflict or a resend."""
    configuration_file = operator.write_configuration(1)
    assert operator.json("publish", configuration_file) == (
        0,
        {
            "version": 1,
            "digest": operator.cluster.state_machine.document("config")[
                "digest"
            ],
            "publisher": "ana",
            "behind": {},
        },
    )
    assert operator.run("publish", configuration_file)[0] == 0
    code, _, err = operator.run(
        "publish", operator.write_configuration(1, burst_tokens=2)
    )
    assert code == 3
    assert "ana" in err
    assert (
        operator.cluster.state_machine.document("config")["digest"][:16] in err
    )
    code, document = operator.json("publish", operator.write_configuration(9))
    assert (code, document["code"]) == (3, "conflict")
    assert (
        "by ana" in operator.run("publish", operator.write_configuration(9))[2]
    )
    code, out, _ = operator.run(
        "diff", operator.write_configuration(2, burst_tokens=2)
    )
    assert code == 0
    assert "burst_tokens: 1 -> 2" in out
    code, document = operator.json("get", "team/t")
    assert (code, document["burst_tokens"]) == (0, 1)
    assert "team  t" in operator.run("get")[1]
    assert operator.run("get", "team/none")[0] == 1


def test_lost_replies(operator: Operator) -> None:
    """Guards against an unknown outcome that is reported as a failure.

    The replies to the first commands are lost; the same file and the printed
    key can then be sent again, and the key is not printed a second time.
    """
    operator.cluster.replies_to_lose = 9
    configuration_file = operator.write_configuration(1)
    assert (
        operator.run("publish", configuration_file, "--timeout", "0.4")[0] == 4
    )
    code, out, err = operator.run(
        "key", "grant", "k", "--team", "t", "--timeout", "0.4"
    )
    assert (code, out) == (4, "")
    key = err.split()[-1]
    operator.cluster.replies_to_lose = 0
    assert operator.run("publish", configuration_file)[0] == 0
    code, out, _ = _run_with_stdin(
        operator, key, "key", "grant", "k", "--team", "t", "--stdin"
    )
    assert code == 0
    assert key not in out
    grant_arguments = ("key", "grant", "k", "--team", "t", "--stdin", "--json")
    assert key not in _run_with_stdin(operator, key, *grant_arguments)[1]
    assert operator.cluster.state_machine.version == 2


def _run_with_stdin(
    operator: Operator, text: str, *arguments: str
) -> tuple[int, str, str]:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("sys.stdin", io.StringIO(f"{text}\n"))
        return operator.run(*arguments)


def test_keys(operator: Operator) -> None:
    """Guards against a key that is not printed, leaked or granted again."""
    operator.run("publish", operator.write_configuration(1))
    code, out, _ = operator.run("key", "grant", "k", "--team", "t")
    key = out.strip()
    assert (code, len(key) > 40) == (0, True)
    assert key not in str(operator.cluster.state_machine.objects)
    assert operator.run("key", "grant", "k", "--team", "t")[0] == 3
    for _ in range(2):
        assert operator.run("key", "withdraw", "k")[0] == 0
    grant_arguments = ("key", "grant", "k2", "--team", "t", "--stdin")
    code, _, err = _run_with_stdin(operator, key, *grant_arguments)
    assert code == 1
    assert "was withdrawn" in err
    assert _run_with_stdin(operator, "short", *grant_arguments)[0] == 2
    assert operator.run("key", "grant", "k/", "--team", "t")[0] == 2
    assert operator.run("key", "withdraw", "none")[0] == 1


def test_wait_reports_subscribers_that_lag_behind(operator: Operator) -> None:
    """Guards against a version reported in effect while a gateway lacks it.

    Sessions of operator commands do not count as subscribers.
    """
    operator.cluster.subscribers = {
        "g1/1": {"role": "gateway", "version": 1, "incarnation": 1},
        "g2/1": {"role": "gateway", "version": 0, "incarnation": 1},
        "operator:bo/1": {"role": "operator", "version": 0, "incarnation": 1},
    }
    arguments = (
        "publish",
        operator.write_configuration(1),
        "--wait",
        "--timeout",
        "0.4",
    )
    code, document = operator.json(*arguments)
    assert (code, document["behind"]) == (1, {"g2/1": 0})
    assert "g2/1" in operator.run(*arguments)[2]
    operator.cluster.subscribers["g2/1"]["version"] = 1
    assert operator.run(*arguments)[0] == 0
    code, out, _ = operator.run("status")
    assert code == 0
    assert "g2/1" in out


def test_members(operator: Operator) -> None:
    """Guards against wrong membership requests and exit codes."""
    assert operator.run("member", "add", "d", "127.0.0.1:9")[0] == 0
    assert operator.run("member", "remove", "d")[0] == 3
    assert operator.run("member", "remove", "d", "--force")[0] == 0
    assert operator.cluster.member_changes == [
        messages.AddMember(name="d", host="127.0.0.1", port=9),
        messages.RemoveMember(name="d"),
        messages.RemoveMember(name="d", force=True),
    ]
    assert operator.run("member", "add", "d", "nowhere")[0] == 2


def test_bad_input(operator: Operator, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a traceback instead of exit code 2."""
    gateway = str(_ROOT / "examples/settings/gateway.json")
    assert operator.run("check", gateway)[0] == 2
    assert operator.run("check", "no such file")[0] == 2
    assert operator.run("check", str(_ROOT / "examples/barril.json"))[0] == 0
    assert operator.run("status", "--settings", gateway)[0] == 2
    assert operator.run("status", "--timeout", "0")[0] == 2
    binary = operator.folder / "binary"
    binary.write_bytes(b"\xff\xfe")
    code, document = operator.json("check", str(binary))
    assert (code, len(document["errors"])) == (2, 1)
    monkeypatch.delenv("MONSOONHINGE_SETTINGS")
    assert operator.run("status")[0] == 2
    with pytest.raises(SystemExit) as exit_info:
        operator.run("no such command")
    assert exit_info.value.code == 2


def test_unreachable_cluster_is_unknown(operator: Operator) -> None:
    """Guards against a command that never ends."""
    for member in operator.cluster.members.values():
        member.is_unresponsive = True
    for command in ("status", "get"):
        assert operator.run(command, "--timeout", "0.3")[0] == 4


class _OperationsHandler(http.server.BaseHTTPRequestHandler):
    """HTTP server of the operations address of a process."""

    drained = 0

    def do_GET(self) -> None:
        self._respond(b'{"version": 7}' if self.path == "/debug/state" else b"")

    def do_POST(self) -> None:
        _OperationsHandler.drained += self.path == "/drain"
        self._respond(b"draining")

    def _respond(self, body: bytes) -> None:
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        pass


def test_dump_and_drain(operator: Operator) -> None:
    """Guards against an operations request with a wrong method or path."""
    with http.server.HTTPServer(("127.0.0.1", 0), _OperationsHandler) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        address = f"127.0.0.1:{server.server_port}"
        assert operator.json("dump", address) == (0, {"version": 7})
        assert operator.run("drain", address)[0] == 0
        server.shutdown()
        thread.join()
    assert _OperationsHandler.drained == 1
    assert operator.run("dump", address)[0] == 1
    assert operator.run("dump", "nowhere")[0] == 2
