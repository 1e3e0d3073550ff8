"""A caller that checks what it gets."""

import asyncio
import json
import re
from typing import Any
import uuid

import aiohttp

from monsoonhinge.bench import plan as plans
from monsoonhinge.bench import report

_WORD = re.compile(r"word(\d+)")

# A gateway answers by the deadline; what takes longer counts as broken.
_GRACE_S = 5.0


class Caller:
    """Sends requests and classifies the answers."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def send(
        self, gateway: str, flow: plans.Flow, *, number: int, due: float
    ) -> report.Sample:
        """Sends one request of a flow.

        Args:
            gateway: URL of the gateway.
            flow: The flow.
            number: Number of the request within the load.
            due: When it was to be sent, on the loop's clock.
        """
        loop = asyncio.get_running_loop()
        request_id = uuid.uuid4().hex
        sample = report.Sample(
            flow=flow.name, request_id=request_id, late_s=loop.time() - due
        )
        try:
            async with self._session.request(
                "POST" if flow.kind == "chat" else flow.method,
                gateway.rstrip("/") + _path(flow, number),
                json=_body(flow, number),
                headers=_headers(flow, request_id),
                timeout=aiohttp.ClientTimeout(total=flow.timeout_s + _GRACE_S),
            ) as response:
                await self._receive(response, flow, sample, due)
                if response.headers.get("X-Request-Id") != request_id:
                    sample.outcome = "mismatched"
                    sample.detail = "the answer carries another X-Request-Id"
        except aiohttp.ClientPayloadError as error:
            if sample.outcome != "ended":
                sample.outcome, sample.detail = "truncated", str(error)[:200]
        except (aiohttp.ClientError, TimeoutError) as error:
            sample.outcome, sample.code = "broken", type(error).__name__
        sample.latency_s = loop.time() - due
        return sample

    async def _receive(
        self,
        response: aiohttp.ClientResponse,
        flow: plans.Flow,
        sample: report.Sample,
        due: float,
    ) -> None:
        if response.status >= 400:
            _refusal(await response.read(), sample)
            return
        if flow.kind == "call":
            await response.read()
            sample.outcome = "ok"
            return
        if flow.stream:
            text = await _stream(response, sample, due)
            if sample.outcome == "ended":
                return
            if "data: [DONE]" not in text:
                sample.outcome = "truncated"
                sample.detail = "the stream ended without [DONE]"
                return
        else:
            text = (await response.read()).decode()
        words = [int(found) for found in _WORD.findall(text)]
        if words == list(range(flow.max_tokens)):
            sample.outcome = "ok"
        else:
            sample.outcome = "mismatched"
            sample.detail = f"{len(words)} of {flow.max_tokens} tokens"


async def _stream(
    response: aiohttp.ClientResponse, sample: report.Sample, due: float
) -> str:
    loop = asyncio.get_running_loop()
    parts = []
    last = 0.0
    failing = False
    async for line in response.content:
        if line.startswith(b"data: {") and failing:
            _refusal(line.removeprefix(b"data:"), sample)
            sample.outcome = "ended"
        failing = line == b"event: error\n"
        if b"word" in line:
            now = loop.time()
            if sample.first_token_s is None:
                sample.first_token_s = now - due
            else:
                sample.gaps_s.append(now - last)
            last = now
        parts.append(line.decode())
    return "".join(parts)


def _refusal(body: bytes, sample: report.Sample) -> None:
    sample.outcome = "refused"
    try:
        error = json.loads(body)["error"]
        sample.code, sample.not_run = str(error["code"]), error["not_run"]
    except (ValueError, KeyError, TypeError):
        sample.outcome = "mismatched"
        sample.detail = f"no refusal: {body[:100]!r}"


def _path(flow: plans.Flow, number: int) -> str:
    if flow.kind == "chat":
        return "/v1/chat/completions"
    path = flow.path.replace("{n}", str(number))
    return f"/services/{flow.route}{path}"


def _body(flow: plans.Flow, number: int) -> dict[str, Any]:
    if flow.kind == "call":
        return {"number": number}
    prompt = f"{number % flow.prompts} {'x' * flow.prompt_chars}"
    return {
        "model": flow.route,
        "stream": flow.stream,
        "max_tokens": flow.max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    }


def _headers(flow: plans.Flow, request_id: str) -> dict[str, str]:
    headers = {
        "X-Request-Id": request_id,
        "X-Request-Timeout": str(flow.timeout_s),
    }
    if flow.key:
        headers["Authorization"] = f"Bearer {flow.key}"
    if flow.idempotency:
        headers["Idempotency-Key"] = request_id
    return headers
