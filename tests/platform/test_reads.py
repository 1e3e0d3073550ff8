"""Tests of reads at a control member that fails meanwhile."""

import asyncio
import pathlib

import pytest

from monsoonhinge.consensus import types
from monsoonhinge.runtime import errors
from tests.platform import test_path


def test_read_fails_if_its_member_fails_before_it_has_applied_the_index(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a read of an older state than was confirmed."""

    async def run() -> None:
        async with test_path.running_deployment(tmp_path) as deployment:
            driver = next(
                member.driver
                for member in deployment.members
                if member.driver.is_leader
            )
            # A failed member ends its process.
            monkeypatch.setattr("os.kill", lambda *_: None)
            monkeypatch.setattr(driver, "_apply_committed", lambda: None)
            driver.applied_index = 0
            read = asyncio.create_task(driver.read())
            await asyncio.sleep(0.3)
            assert not read.done()
            driver._fail(errors.MonsoonhingeError("the disk has failed"))
            with pytest.raises(types.NotLeader):
                await read

    asyncio.run(run())
