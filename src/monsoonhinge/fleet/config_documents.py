"""Whole configuration documents that replace the configuration."""

import asyncio
import zlib

from monsoonhinge.consensus import driver as consensus_driver
from monsoonhinge.control import client as control_client
from monsoonhinge.control import probes
from monsoonhinge.control import replicated_state as control_state
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import events

_PUBLISH_TIMEOUT_S = 0.9
_READ_TIMEOUT_S = 0.9


class ConfigDocuments:
    """Replaces and reads the configuration as a document.

    Attributes:
        publisher: Name of this member, recorded with each change.
    """

    def __init__(
        self,
        *,
        publisher: str,
        control: control_client.Client,
        driver: consensus_driver.Driver,
        replicated_state: control_state.ReplicatedState,
        probe_relay: probes.ProbeRelay,
    ) -> None:
        self.publisher = publisher
        self._control = control
        self._driver = driver
        self._replicated_state = replicated_state
        self._probe_relay = probe_relay

    async def replace(
        self, *, version: int, source: bytes, packed: bytes
    ) -> commands.ConfigResult:
        """Replaces the configuration unless a higher version is in effect.

        Raises:
            errors.MonsoonhingeError: No leader confirmed the change in time.
        """
        result = await self._control.propose(
            commands.ReplaceConfig(
                version=version,
                publisher=self.publisher,
                source=zlib.compress(source),
                packed=packed,
            ),
            commands.ConfigResult,
            timeout=_PUBLISH_TIMEOUT_S,
        )
        events.emit(
            events.CONFIG_CHANGE,
            version=version,
            outcome=result.code,
            in_effect=result.version,
            message=result.message,
        )
        return result

    async def newest(self) -> bytes:
        """Returns the newest configuration document, or b"" without one.

        Raises:
            errors.MonsoonhingeError: No leader confirmed which is the newest.
        """
        state_machine = self._replicated_state.state_machine
        async with asyncio.timeout(_READ_TIMEOUT_S):
            if self._driver.is_leader:
                await self._driver.read()
            else:
                fresh = await self._probe_relay.probe(
                    messages.SubscriberState()
                )
                while state_machine.version < fresh.version:
                    await self._replicated_state.wait_for_apply()
        source = state_machine.configuration.source
        return zlib.decompress(source) if source else b""
