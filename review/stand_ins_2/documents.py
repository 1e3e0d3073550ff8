"""Configuration of the cases, as the operator sends it."""

from typing import Any

from deployment import KEY

HOST = "case.example"
STREAM_PATH = "/chat/"
POST_PATH = "/post/"
READ_PATH = "/read/"
MODEL_MB = 70000
WEIGHTS_MB = 220000


def config(
    version: int,
    *,
    models: int = 2,
    load_s: float = 1.0,
    timeout_ms: int = 8000,
    extra_routes: int = 0,
) -> dict[str, Any]:
    """Returns a configuration with one model service and one plain service."""
    routes: list[dict[str, Any]] = [
        {
            "name": "chat",
            "host": HOST,
            "pathPrefix": STREAM_PATH,
            "type": "streaming",
            "timeoutMs": timeout_ms,
            "targetLatencyMs": 600,
            "priority": 0,
            "service": "llm",
            "maxAttempts": 1,
            "public": False,
            "sticky": True,
            "resumable": False,
            "targetGapMs": 300,
        },
        {
            "name": "post",
            "host": HOST,
            "pathPrefix": POST_PATH,
            "type": "non_idempotent",
            "timeoutMs": 1500,
            "targetLatencyMs": 150,
            "priority": 2,
            "service": "ledger",
            "maxAttempts": 1,
            "public": False,
        },
        {
            "name": "read",
            "host": HOST,
            "pathPrefix": READ_PATH,
            "type": "idempotent",
            "timeoutMs": 1500,
            "targetLatencyMs": 150,
            "priority": 2,
            "service": "ledger",
            "maxAttempts": 2,
            "public": False,
        },
    ]
    routes += [
        {
            "name": f"extra-{number}",
            "host": HOST,
            "pathPrefix": f"/extra-{number}/",
            "type": "idempotent",
            "timeoutMs": 1500,
            "targetLatencyMs": 150,
            "priority": 2,
            "service": "ledger",
            "maxAttempts": 2,
            "public": False,
        }
        for number in range(extra_routes)
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "llm",
                "healthPath": "/healthz",
                "maxConnections": 360,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 16,
                    "kvCapacityTokens": 120000,
                    "kvTokenBytes": 163840,
                    "bandwidthMbps": 130000.0,
                    "hostMb": 150000.0,
                    "diskMb": 1300000.0,
                    "weightsMb": float(WEIGHTS_MB),
                    "adapterCapacity": 8,
                    "loadsPerS": 2.8,
                    "models": [
                        {
                            "name": f"m{number}",
                            "weightsMb": float(MODEL_MB),
                            "loadS": load_s,
                            "adapters": 0,
                            "adapterSizeMb": 12.0,
                            "warmS": 0.3,
                            "diskS": 0.5,
                        }
                        for number in range(models)
                    ],
                },
            },
            {
                "name": "ledger",
                "healthPath": "/healthz",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "priority": 1}],
    }


def headers(request_id: str, deadline_ms: int, model: str = "") -> dict[str, str]:
    """Returns the headers of a client's request."""
    result = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }
    if model:
        result["X-Model"] = model
        result["X-Token-Count"] = "200,40"
        result["X-Prompt-Prefix"] = f"{request_id}:200"
    return result
