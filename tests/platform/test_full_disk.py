"""Tests of control members whose disk takes no more bytes."""

import asyncio
import errno
import pathlib

import pytest

from monsoonhinge.consensus import files as storage_files
from monsoonhinge.platform import programs
from monsoonhinge.runtime import errors
from tests.platform import test_path
from tests.platform import test_translation


class _FullDisk:
    """Makes the disk of a member take no more bytes while it is full.

    Attributes:
        is_full: Whether it is.
    """

    def __init__(
        self, member: programs.PlatformControl, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.is_full = True
        append = member.files.append

        def append_if_there_is_room(name: str, data: bytes) -> None:
            if self.is_full:
                append(name, data[: len(data) // 2])
                raise OSError(errno.ENOSPC, "No space left on device")
            append(name, data)

        monkeypatch.setattr(member.files, "append", append_if_there_is_room)


@pytest.mark.parametrize("leads", [True, False])
def test_member_with_a_full_disk_stays_up_and_comes_back(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, leads: bool
) -> None:
    """Guards against a member that ends each second until there is room."""

    async def run() -> None:
        async with test_path.running_deployment(tmp_path) as deployment:
            member = next(
                item
                for item in deployment.members
                if item.driver.is_leader == leads
            )
            others = [m for m in deployment.members if m is not member]
            disk = _FullDisk(member, monkeypatch)
            for version in (8, 9):
                document = test_translation.document(version=version)

                async def is_accepted(document: object = document) -> bool:
                    return await deployment.put_config(
                        document, member=deployment.members.index(others[0])
                    )

                await test_path.wait_until(is_accepted)
            assert member.driver.failure is None
            assert member.not_ready_reason() == "disk full"
            assert not member.driver.is_leader
            assert any(item.driver.is_leader for item in others)
            disk.is_full = False

            async def has_caught_up() -> bool:
                state = member.replicated_state.state_machine
                return state.version == 9 and not member.not_ready_reason()

            await test_path.wait_until(has_caught_up)

    asyncio.run(run())


def test_member_that_starts_on_a_full_disk_can_be_created_again(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a start that fails for good, or keeps its lock."""

    async def run() -> None:
        config = test_path.Deployment(tmp_path).members[0].config
        config = config.model_copy(update={"data_dir": tmp_path / "fresh"})
        with monkeypatch.context() as patches:

            def fail(self: object, name: str, data: bytes) -> None:
                raise OSError(errno.ENOSPC, "No space left on device")

            patches.setattr(storage_files.Directory, "append", fail)
            for _ in range(2):
                with pytest.raises(errors.TemporaryError):
                    programs.PlatformControl(config)
        programs.PlatformControl(config).files.close()

    asyncio.run(run())
