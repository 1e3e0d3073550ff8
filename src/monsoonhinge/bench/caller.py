"""A caller that verifies the responses it receives."""

import asyncio
import json
import re
from typing import Any
import uuid

import aiohttp

from monsoonhinge.bench import load_plan
from monsoonhinge.bench import report
from monsoonhinge.targets import response_head

# The emulated engines generate the tokens word0, word1 and so on.
_TOKEN = re.compile(r"word(\d+)")

# A gateway responds by the deadline; a request that exceeds it by this time
# counts as broken.
_DEADLINE_GRACE_S = 5.0


class Caller:
    """Sends requests and classifies the responses."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def send(
        self, gateway: str, flow: load_plan.Flow, *, number: int, due: float
    ) -> report.RequestSample:
        """Sends one request of a flow and returns its outcome.

        Args:
            gateway: URL of the gateway.
            flow: The flow that the request belongs to.
            number: Sequence number of the request within the load.
            due: Scheduled time of the request, on the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        request_id = uuid.uuid4().hex
        sample = report.RequestSample(
            flow=flow.name, request_id=request_id, late_s=loop.time() - due
        )
        try:
            async with self._session.request(
                "POST" if flow.kind == "chat" else flow.method,
                gateway.rstrip("/") + _path(flow, number),
                json=_body(flow, number),
                headers=_headers(flow, request_id),
                timeout=aiohttp.ClientTimeout(
                    total=flow.timeout_s + _DEADLINE_GRACE_S
                ),
            ) as response:
                await self._check_response(response, flow, sample, due)
                if response.headers.get("X-Request-Id") != request_id:
                    sample.outcome = "mismatched"
                    sample.detail = "response has a different X-Request-Id"
        except aiohttp.ClientPayloadError as error:
            if sample.outcome != "ended":
                sample.outcome, sample.detail = "truncated", str(error)[:200]
        except (aiohttp.ClientError, TimeoutError) as error:
            sample.outcome, sample.code = "broken", type(error).__name__
        sample.latency_s = loop.time() - due
        return sample

    async def _check_response(
        self,
        response: aiohttp.ClientResponse,
        flow: load_plan.Flow,
        sample: report.RequestSample,
        due: float,
    ) -> None:
        response_head.check(response.status, response.headers)
        if response.status >= 400:
            _record_refusal(await response.read(), sample)
            return
        if flow.kind == "call":
            await response.read()
            sample.outcome = "ok"
            return
        if flow.stream:
            text = await _read_stream(response, sample, due)
            if sample.outcome == "ended":
                return
            if "data: [DONE]" not in text:
                sample.outcome = "truncated"
                sample.detail = "stream ended without [DONE]"
                return
        else:
            text = (await response.read()).decode()
        tokens = [int(match) for match in _TOKEN.findall(text)]
        if tokens == list(range(flow.max_tokens)):
            sample.outcome = "ok"
        else:
            sample.outcome = "mismatched"
            sample.detail = f"{len(tokens)} of {flow.max_tokens} tokens"


async def _read_stream(
    response: aiohttp.ClientResponse, sample: report.RequestSample, due: float
) -> str:
    loop = asyncio.get_running_loop()
    lines = []
    last_token_at = 0.0
    in_error_event = False
    async for line in response.content:
        if line.startswith(b"data: {") and in_error_event:
            _record_refusal(line.removeprefix(b"data:"), sample)
            sample.outcome = "ended"
        in_error_event = line == b"event: error\n"
        if b"word" in line:
            now = loop.time()
            if sample.first_token_s is None:
                sample.first_token_s = now - due
            else:
                sample.token_gaps_s.append(now - last_token_at)
            last_token_at = now
        lines.append(line.decode())
    return "".join(lines)


def _record_refusal(body: bytes, sample: report.RequestSample) -> None:
    sample.outcome = "refused"
    try:
        error = json.loads(body)["error"]
        sample.code, sample.not_run = str(error["code"]), error["not_run"]
    except (ValueError, KeyError, TypeError):
        sample.outcome = "mismatched"
        sample.detail = (
            f"error response without code and not_run: {body[:100]!r}"
        )


def _path(flow: load_plan.Flow, number: int) -> str:
    if flow.kind == "chat":
        return "/v1/chat/completions"
    path = flow.path.replace("{n}", str(number))
    return f"/services/{flow.route}{path}"


def _body(flow: load_plan.Flow, number: int) -> dict[str, Any]:
    if flow.kind == "call":
        return {"number": number}
    prompt = f"{number % flow.prompts} {'x' * flow.prompt_chars}"
    return {
        "model": flow.route,
        "stream": flow.stream,
        "max_tokens": flow.max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    }


def _headers(flow: load_plan.Flow, request_id: str) -> dict[str, str]:
    headers = {
        "X-Request-Id": request_id,
        "X-Request-Timeout": str(flow.timeout_s),
    }
    if flow.key:
        headers["Authorization"] = f"Bearer {flow.key}"
    if flow.idempotency:
        headers["Idempotency-Key"] = request_id
    return headers
