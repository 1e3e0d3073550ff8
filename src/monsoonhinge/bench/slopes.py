"""Measures how costs grow with size and prints one Markdown table.

Costs measured in this process are its CPU time or memory. Costs of the other
processes, which run on loopback, are read from the metrics they export.
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

_OBJECT_COUNTS = (2_000, 6_000, 20_000)
_TARGET_COUNTS = (100, 400, 1_600)
_ENTRY_COUNTS = (16, 64, 256)
_REPLICAS_PER_TARGET = 8
_REPETITIONS = 3


def cpu_us(function: Callable[[], Any]) -> float:
    """Returns the least CPU time of several calls, in microseconds."""
    best = float("inf")
    for _ in range(_REPETITIONS):
        start = time.process_time()
        function()
        best = min(best, time.process_time() - start)
    return best * 1e6


def memory_kib(function: Callable[[], Any]) -> float:
    """Returns the memory that the result of a call occupies, in KiB."""
    tracemalloc.start()
    result = function()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return size / 1024


def _documents(count: int) -> list[dict[str, Any]]:
    models = count // 14
    return synthetic.objects(
        models=models, adapters=count - 2 * models - 20, teams=20
    )


def _measure_series(
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
    """Measures the validation, installation and size of configurations."""

    def check_us(size: int) -> float:
        documents = _documents(size)
        return cpu_us(lambda: validate.parse_set(documents))

    def encoded(size: int) -> list[bytes]:
        parsed = validate.parse_set(_documents(size))
        return [schema.canonical(item) for item in parsed.values()]

    def install_us(size: int) -> float:
        data = encoded(size)
        return cpu_us(lambda: _install(data))

    def installed_kib(size: int) -> float:
        data = encoded(size)
        return memory_kib(lambda: _install(data))

    def encoded_kib(size: int) -> float:
        return sum(map(len, encoded(size))) / 1024

    return [
        _measure_series(
            "check a set", "object", "us", _OBJECT_COUNTS, check_us
        ),
        _measure_series(
            "install a snapshot", "object", "us", _OBJECT_COUNTS, install_us
        ),
        _measure_series(
            "set in memory", "object", "KiB", _OBJECT_COUNTS, installed_kib
        ),
        _measure_series(
            "set on the wire", "object", "KiB", _OBJECT_COUNTS, encoded_kib
        ),
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
    """Measures the encoding and decoding of announcements and log entries."""

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

    def append_request(size: int) -> codec.Envelope:
        entries = [
            messages.Entry(index=n, term=1, kind=1, data=bytes(300))
            for n in range(size)
        ]
        return codec.Envelope(
            id=0, reply=False, body=messages.AppendRequest(entries=entries)
        )

    def encode_us(
        make_message: Callable[[int], codec.Envelope],
    ) -> Callable[[int], float]:
        def cost(size: int) -> float:
            envelope = make_message(size)
            return cpu_us(lambda: codec.encode(envelope))

        return cost

    def decode_us(
        make_message: Callable[[int], codec.Envelope],
    ) -> Callable[[int], float]:
        def cost(size: int) -> float:
            data = codec.encode(make_message(size))
            return cpu_us(lambda: codec.decode(data))

        return cost

    def announcements_kib(size: int) -> float:
        return len(codec.encode(announcements(size))) / 1024

    def directory_kib(size: int) -> float:
        return memory_kib(lambda: _make_directory(size))

    series = [
        _measure_series(
            "targets on the wire",
            "target",
            "KiB",
            _TARGET_COUNTS,
            announcements_kib,
        ),
        _measure_series(
            "directory in memory",
            "target",
            "KiB",
            _TARGET_COUNTS,
            directory_kib,
        ),
    ]
    for name, unit, sizes, make_message in (
        ("announcements", "target", _TARGET_COUNTS, announcements),
        ("log entries", "entry", _ENTRY_COUNTS, append_request),
    ):
        series.append(
            _measure_series(
                f"encode {name}", unit, "us", sizes, encode_us(make_message)
            )
        )
        series.append(
            _measure_series(
                f"decode {name}", unit, "us", sizes, decode_us(make_message)
            )
        )
    return series


def _make_directory(size: int) -> directory.Directory:
    result = directory.Directory()
    for number in range(size):
        result.update(
            synthetic.target(number, 1, replicas=_REPLICAS_PER_TARGET), 0.0
        )
    return result


def main() -> None:
    """Runs the measurements and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=pathlib.Path, help="also write JSON")
    parser.add_argument(
        "--inside",
        action="store_true",
        help="skip measurements of other processes",
    )
    options = parser.parse_args()
    series = config_slopes() + message_slopes() + scheduler_slopes.measure()
    if not options.inside:
        with tempfile.TemporaryDirectory() as folder:
            series += asyncio.run(cluster_slopes.measure(pathlib.Path(folder)))
    print(fit.TABLE_HEADER)
    for item in series:
        print(item.format_row())
    if options.json is not None:
        document = [
            {"name": item.name, "sizes": item.sizes, "costs": item.costs}
            for item in series
        ]
        options.json.write_text(json.dumps(document, indent=1))
    sys.stdout.flush()


if __name__ == "__main__":
    main()
