"""Whole configuration documents that replace the configuration.

A document with tens of thousands of keys takes seconds to translate, and its
publisher sends it again meanwhile, to any member. It is translated on another
thread, once at a time, and a document that is in effect is acknowledged without
any of that work.
"""

import asyncio
from collections.abc import Callable
import hashlib
import typing
import zlib

from monsoonhinge.consensus import driver as consensus_driver
from monsoonhinge.control import client as control_client
from monsoonhinge.control import probes
from monsoonhinge.control import replicated_state as control_state
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import events

_PUBLISH_TIMEOUT_S = 0.9
_PUBLISH_S_PER_MEGABYTE = 4.0
_READ_TIMEOUT_S = 0.9

_MEGABYTE = 1_000_000


class TranslatedDocument(typing.Protocol):
    """A valid document, translated into configuration objects."""

    @property
    def version(self) -> int:
        """Version of the document."""

    @property
    def packed(self) -> bytes:
        """Canonical objects made from it, compressed by ``config.pack``."""


# Raises an exception of its own if the document is invalid.
Translate = Callable[[bytes], TranslatedDocument]


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
        self._translation = asyncio.Lock()
        self._submissions: dict[bytes, asyncio.Task[commands.ConfigResult]] = {}

    async def submit(
        self, source: bytes, translate: Translate
    ) -> commands.ConfigResult:
        """Puts a document in effect unless a higher version already is.

        Args:
            source: The document.
            translate: Validates and translates it, on another thread.

        Raises:
            errors.MonsoonhingeError: No leader confirmed the change in time.
            Exception: Whatever ``translate`` raises.
        """
        digest = hashlib.sha256(source).digest()
        submission = self._submissions.get(digest)
        if submission is None:
            submission = asyncio.get_running_loop().create_task(
                self._submit(source, translate)
            )
            self._submissions[digest] = submission
            submission.add_done_callback(
                lambda _: self._submissions.pop(digest, None)
            )
        # A publisher that leaves must not cancel it for another one.
        return await asyncio.shield(submission)

    async def _submit(
        self, source: bytes, translate: Translate
    ) -> commands.ConfigResult:
        result = self._result_in_effect(source)
        if result is not None:
            return result
        # One at a time, since a translation takes about 100 MB.
        async with self._translation:
            document = await asyncio.to_thread(translate, source)
        return await self._replace(source, document)

    def _result_in_effect(self, source: bytes) -> commands.ConfigResult | None:
        """Returns the acknowledgement of a document that is in effect."""
        configuration = self._replicated_state.state_machine.configuration
        if not configuration.source or (
            zlib.decompress(configuration.source) != source
        ):
            return None
        return configuration.accepted(configuration.version)

    async def _replace(
        self, source: bytes, document: TranslatedDocument
    ) -> commands.ConfigResult:
        timeout_s = (
            _PUBLISH_TIMEOUT_S
            + _PUBLISH_S_PER_MEGABYTE * len(source) / _MEGABYTE
        )
        command = commands.ReplaceConfig(
            version=document.version,
            publisher=self.publisher,
            source=zlib.compress(source),
            packed=document.packed,
        )
        try:
            result = await self._control.propose(
                command,
                commands.ConfigResult,
                timeout=timeout_s,
                attempt_timeout=max(
                    control_client.ATTEMPT_TIMEOUT_S, timeout_s
                ),
            )
        except errors.MonsoonhingeError as error:
            events.emit(
                events.CONFIG_CHANGE,
                version=document.version,
                outcome="unconfirmed",
                message=str(error),
            )
            raise
        events.emit(
            events.CONFIG_CHANGE,
            version=document.version,
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
