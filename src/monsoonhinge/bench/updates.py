"""Measures the bytes that an update of the configuration takes on a link.

Run it with ``scripts/measure updates``.
"""

from collections.abc import Iterable
import json
import time

from monsoonhinge.bench import synthetic
from monsoonhinge.config import delta
from monsoonhinge.control import config_updates
from monsoonhinge.protocol import codec

# Objects of the configuration; the last one is the target size.
_SIZES = (2_000, 6_000, 20_000, 39_000)

# Objects that a change replaces.
_CHANGES = (1, 100, 1_000)


def main() -> None:
    """Prints the size of a snapshot and of changes at several sizes."""
    print(f"{'objects':>8} {'update':>16} {'bytes':>10} {'parts':>6} {'ms':>7}")
    for size in _SIZES:
        objects = _objects(size)
        for packed in (False, True):
            name = "snapshot packed" if packed else "snapshot"
            _measure(
                size,
                name,
                config_updates.snapshot_parts(
                    objects.values(), version=2, index=2, packed=packed
                ),
            )
        for count in _CHANGES:
            changed = dict(list(objects.items())[:count])
            change = delta.Delta(upserts=changed, deletes=[])
            _measure(
                size,
                f"change of {count}",
                config_updates.delta_parts(change, base=1, version=2, index=2),
            )


def _measure(
    size: int, name: str, parts: Iterable[config_updates.UpdatePart]
) -> None:
    started_at = time.perf_counter()
    sizes = [
        len(codec.encode(codec.Envelope(id=0, reply=False, body=part)))
        for part in parts
    ]
    elapsed_ms = 1000 * (time.perf_counter() - started_at)
    print(
        f"{size:>8} {name:>16} {sum(sizes):>10} {len(sizes):>6} "
        f"{elapsed_ms:>7.1f}"
    )


def _objects(count: int) -> dict[str, bytes]:
    """Returns synthetic objects by id; nearly all are adapters."""
    documents = synthetic.objects(
        models=count // 28, adapters=count - count // 14, teams=10
    )
    return {
        f"{item['kind']}/{item['name']}": json.dumps(
            item, separators=(",", ":"), sort_keys=True
        ).encode()
        for item in documents
    }


if __name__ == "__main__":
    main()
