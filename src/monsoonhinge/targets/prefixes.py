"""Hashes of prompt prefixes, as used in cache events.

A prompt is split into blocks of ``BLOCK_BYTES``. The hash of prefix k is the
first 63 bits of BLAKE2b over the model name, a zero byte and the first k
blocks.
"""

import hashlib
import json
from typing import Any

BLOCK_BYTES = 512
MAX_BLOCKS = 32


def extract_prompt(document: dict[str, Any]) -> bytes:
    """Returns the prompt of a request body, or b"" if it has none.

    Args:
        document: Body of a chat, completion or embedding request.
    """
    for field in ("messages", "prompt", "input"):
        value = document.get(field)
        if value:
            text = value if isinstance(value, str) else json.dumps(value)
            return text.encode(errors="replace")
    return b""


def prefix_hashes(model: str, prompt: bytes) -> list[int]:
    """Returns the hashes of the prefixes of whole blocks, shortest first.

    Args:
        model: Name of the model, or of the adapter if there is one, since
            cache entries can't be shared between models or adapters.
        prompt: The prompt.
    """
    hashes = []
    state = hashlib.blake2b(model.encode() + b"\0", digest_size=8)
    for number in range(min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)):
        start = number * BLOCK_BYTES
        state.update(prompt[start : start + BLOCK_BYTES])
        hashes.append(int.from_bytes(state.copy().digest(), "big") >> 1)
    return hashes
