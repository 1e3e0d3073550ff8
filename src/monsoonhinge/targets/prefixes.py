"""Identities of prompt prefixes in cache events.

Engines and gateways must derive the same numbers, so both use this module.
"""

from collections.abc import Iterator
import hashlib
import json
from typing import Any

BLOCK_CHARS = 256
MAX_BLOCKS = 64


def prompt_text(document: dict[str, Any]) -> str:
    """Returns the prompt of a request body as one text.

    Args:
        document: Body of a chat, completion or embedding request.
    """
    for field in ("messages", "prompt", "input"):
        value = document.get(field)
        if value:
            return value if isinstance(value, str) else json.dumps(value)
    return ""


def prefix_ids(model: str, prompt: str) -> Iterator[int]:
    """Yields the ids of the prompt's whole blocks, shortest prefix first.

    Args:
        model: Model or adapter name, since its cache entries fit no other.
        prompt: The prompt as one text.
    """
    total = hashlib.sha256(model.encode() + b"\0")
    for number in range(min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)):
        start = number * BLOCK_CHARS
        total.update(prompt[start : start + BLOCK_CHARS].encode())
        # Ids stay below 2**63 so that they fit a signed integer everywhere.
        yield int.from_bytes(total.digest()[:8], "big") >> 1
