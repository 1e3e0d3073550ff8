"""Names of prompt prefixes in cache events.

A prompt is cut into blocks of ``BLOCK_BYTES``. Prefix k is named by the first
63 bits of BLAKE2b over the model name, a zero byte and the first k blocks.
"""

import hashlib
import json
from typing import Any

BLOCK_BYTES = 512
MAX_BLOCKS = 32


def prompt_of(document: dict[str, Any]) -> bytes:
    """Returns the prompt of a request body.

    Args:
        document: Body of a chat, completion or embedding request.
    """
    for field in ("messages", "prompt", "input"):
        value = document.get(field)
        if value:
            text = value if isinstance(value, str) else json.dumps(value)
            return text.encode(errors="replace")
    return b""


def prefix_names(model: str, prompt: bytes) -> list[int]:
    """Returns the names of the prompt's whole blocks, the shortest first.

    Args:
        model: Model or adapter name, since its cache entries fit no other.
        prompt: The prompt.
    """
    names = []
    state = hashlib.blake2b(model.encode() + b"\0", digest_size=8)
    for number in range(min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)):
        start = number * BLOCK_BYTES
        state.update(prompt[start : start + BLOCK_BYTES])
        names.append(int.from_bytes(state.copy().digest(), "big") >> 1)
    return names
