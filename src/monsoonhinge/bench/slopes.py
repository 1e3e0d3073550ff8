"""Costs per unit, each measured at several sizes.

``python -m monsoonhinge.bench.slopes`` prints one Markdown table. Costs inside
one process are processor time of this process; costs of the real processes are
read from their own metrics while they run on loopback.
"""

import argparse
import asyncio
from collections.abc import Callable, Sequence
import json
import pathlib
import sys
import tempfile
import time
import tracemalloc
from typing import Any

from monsoonhinge.bench import cluster_slopes
from monsoonhinge.bench import fit
from monsoonhinge.bench import scheduler_slopes
from monsoonhinge.bench import synthetic
from monsoonhinge.config import schema
from monsoonhinge.config import validate
from monsoonhinge.config import view
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import directory

_OBJECT_SIZES = (2_000, 6_000, 20_000)
_TARGET_SIZES = (100, 400, 1_600)
_ENTRY_SIZES = (16, 64, 256)
_REPLICAS_PER_TARGET = 8
_REPEATS = 3


def cpu_us(work: Callable[[], Any]) -> float:
    """Returns the least processor time of several runs, in microseconds."""
    best = float("inf")
    for _ in range(_REPEATS):
        start = time.process_time()
        work()
        best = min(best, time.process_time() - start)
    return best * 1e6


def memory_kib(make: Callable[[], Any]) -> float:
    """Returns the memory that the result of a call occupies, in KiB."""
    tracemalloc.start()
    result = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return size / 1024


def _documents(count: int) -> list[dict[str, Any]]:
    models = count // 14
    return synthetic.objects(
        models=models, adapters=count - 2 * models - 20, teams=20
    )


def _slope(
    name: str,
    size_unit: str,
    cost_unit: str,
    sizes: Sequence[int],
    cost: Callable[[int], float],
) -> fit.CostSeries:
    return fit.CostSeries(
        name=name,
        size_unit=size_unit,
        cost_unit=cost_unit,
        sizes=[float(size) for size in sizes],
        costs=[cost(size) for size in sizes],
    )


def config_slopes() -> list[fit.CostSeries]:
    """Measures the configuration."""

    def check(size: int) -> float:
        documents = _documents(size)
        return cpu_us(lambda: validate.parse_set(documents))

    def encoded(size: int) -> list[bytes]:
        parsed = validate.parse_set(_documents(size))
        return [schema.canonical(item) for item in parsed.values()]

    def install(size: int) -> float:
        data = encoded(size)
        return cpu_us(lambda: _install(data))

    def held(size: int) -> float:
        data = encoded(size)
        return memory_kib(lambda: _install(data))

    def size_kib(size: int) -> float:
        return sum(map(len, encoded(size))) / 1024

    return [
        _slope("check a set", "object", "us", _OBJECT_SIZES, check),
        _slope("install a snapshot", "object", "us", _OBJECT_SIZES, install),
        _slope("set in memory", "object", "KiB", _OBJECT_SIZES, held),
        _slope("set on the wire", "object", "KiB", _OBJECT_SIZES, size_kib),
    ]


def _install(data: list[bytes]) -> view.View:
    parsed = [schema.parse_json(item) for item in data]
    result = view.View(
        version=1, objects={schema.object_id(item): item for item in parsed}
    )
    assert result.routes
    assert result.keys_by_hash is not None
    return result


def message_slopes() -> list[fit.CostSeries]:
    """Measures announcements and log entries in the codec."""

    def announcements(size: int) -> codec.Envelope:
        return codec.Envelope(
            id=0,
            reply=False,
            body=messages.Announcements(
                targets=[
                    synthetic.target(n, 1, replicas=_REPLICAS_PER_TARGET)
                    for n in range(size)
                ]
            ),
        )

    def append(size: int) -> codec.Envelope:
        entries = [
            messages.Entry(index=n, term=1, kind=1, data=bytes(300))
            for n in range(size)
        ]
        return codec.Envelope(
            id=0, reply=False, body=messages.AppendRequest(entries=entries)
        )

    def encoding(make: Callable[[int], codec.Envelope]) -> Callable[..., float]:
        def cost(size: int) -> float:
            envelope = make(size)
            return cpu_us(lambda: codec.encode(envelope))

        return cost

    def decoding(make: Callable[[int], codec.Envelope]) -> Callable[..., float]:
        def cost(size: int) -> float:
            data = codec.encode(make(size))
            return cpu_us(lambda: codec.decode(data))

        return cost

    def wire(size: int) -> float:
        return len(codec.encode(announcements(size))) / 1024

    def held(size: int) -> float:
        return memory_kib(lambda: _directory(size))

    rows = [
        _slope("targets on the wire", "target", "KiB", _TARGET_SIZES, wire),
        _slope("directory in memory", "target", "KiB", _TARGET_SIZES, held),
    ]
    for name, unit, sizes, make in (
        ("announcements", "target", _TARGET_SIZES, announcements),
        ("log entries", "entry", _ENTRY_SIZES, append),
    ):
        rows.append(_slope(f"encode {name}", unit, "us", sizes, encoding(make)))
        rows.append(_slope(f"decode {name}", unit, "us", sizes, decoding(make)))
    return rows


def _directory(size: int) -> directory.Directory:
    result = directory.Directory()
    for number in range(size):
        result.update(
            synthetic.target(number, 1, replicas=_REPLICAS_PER_TARGET), 0.0
        )
    return result


def main() -> None:
    """Measures and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=pathlib.Path, help="also write JSON")
    parser.add_argument(
        "--inside", action="store_true", help="skip the real processes"
    )
    options = parser.parse_args()
    rows = config_slopes() + message_slopes() + scheduler_slopes.measure()
    if not options.inside:
        with tempfile.TemporaryDirectory() as folder:
            rows += asyncio.run(cluster_slopes.measure(pathlib.Path(folder)))
    print(fit.TABLE_HEADER)
    for row in rows:
        print(row.format_row())
    if options.json is not None:
        document = [
            {"name": row.name, "sizes": row.sizes, "costs": row.costs}
            for row in rows
        ]
        options.json.write_text(json.dumps(document, indent=1))
    sys.stdout.flush()


if __name__ == "__main__":
    main()
