"""Agreement on the first configuration of a cluster: single-decree Paxos.

The seeds are the acceptors, and each of them may propose. A configuration is
chosen once a majority of the seeds has accepted it in one ballot; proposers of
later ballots then propose the same one, so that a cluster forms although some
seeds are lost, and never a second one.
"""

import asyncio
from collections.abc import Iterable, Sequence
import dataclasses
import typing

from monsoonhinge.consensus import files as storage_files
from monsoonhinge.consensus import types
from monsoonhinge.protocol import codec
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

FILE_NAME = "bootstrap"

Request = messages.PrepareBootstrap | messages.AcceptBootstrap


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Ballot:
    """Number of a ballot; a higher one takes precedence."""

    round: int = 0
    proposer: str = ""


class Acceptor:
    """Durable vote of one seed.

    Attributes:
        vote: What this seed has promised and accepted; durable.
    """

    def __init__(
        self, files: storage_files.Files, vote: messages.BootstrapVote
    ) -> None:
        self.vote = vote
        self._files = files

    @classmethod
    def open(
        cls, files: storage_files.Files, *, seeds: Sequence[str]
    ) -> "Acceptor | None":
        """Opens the vote in a data directory.

        Args:
            files: Data directory.
            seeds: Names of all seeds, if this member is a seed at the first
                start of the whole system; else empty.

        Returns:
            The acceptor; None if this member was never one.

        Raises:
            storage_files.StorageError: The data directory cannot be used.
        """
        try:
            if FILE_NAME in files.names():
                return cls(files, _decode(files.read(FILE_NAME)))
            if not seeds:
                return None
            vote = messages.BootstrapVote(seeds=list(seeds))
            storage_files.replace(files, FILE_NAME, _encode(vote))
        except OSError as error:
            raise storage_files.storage_error("open vote", error) from error
        return cls(files, vote)

    def answer(self, request: Request) -> messages.BootstrapVote:
        """Promises or accepts if no higher ballot has been promised.

        Writes to the disk. There are few ballots, and until the last of them a
        member has nothing else to do.

        Returns:
            The vote; its ballots show whether the request was granted.

        Raises:
            storage_files.StorageError: The vote cannot be made durable.
        """
        ballot = Ballot(request.round, request.proposer)
        if ballot < _promised(self.vote):
            return self.vote
        changed = dataclasses.replace(
            self.vote,
            promised_round=ballot.round,
            promised_proposer=ballot.proposer,
        )
        if isinstance(request, messages.AcceptBootstrap):
            changed.accepted_round = ballot.round
            changed.accepted_proposer = ballot.proposer
            changed.configuration = request.configuration
        if changed != self.vote:
            self._write(changed)
            self.vote = changed
        return self.vote

    def _write(self, vote: messages.BootstrapVote) -> None:
        try:
            storage_files.replace(self._files, FILE_NAME, _encode(vote))
        except OSError as error:
            raise storage_files.storage_error("write vote", error) from error


class Channel(typing.Protocol):
    """Carries requests to other seeds."""

    async def ask(self, seed: str, request: Request) -> messages.BootstrapVote:
        """Returns the vote of a seed.

        Raises:
            errors.MonsoonhingeError: There is no answer.
        """


class Proposer:
    """Proposes the first configuration on behalf of one seed."""

    def __init__(
        self, *, name: str, acceptor: Acceptor, channel: Channel
    ) -> None:
        self._name = name
        self._acceptor = acceptor
        self._channel = channel
        self._highest_round = 0

    @property
    def quorum(self) -> int:
        """Number of seeds that form a majority."""
        return len(self._acceptor.vote.seeds) // 2 + 1

    async def propose(
        self, configuration: types.Configuration, others: Iterable[str]
    ) -> types.Configuration | None:
        """Runs one ballot.

        Args:
            configuration: What to propose if nothing was accepted before.
            others: Other seeds that can be reached.

        Returns:
            The chosen configuration; None if the ballot failed.

        Raises:
            storage_files.StorageError: The own vote cannot be made durable.
        """
        own = self._acceptor.vote
        # The own promise is durable before others see the ballot, so that its
        # number is not used again after a restart.
        ballot = Ballot(
            max(own.promised_round, self._highest_round) + 1, self._name
        )
        votes = await self._ask(
            messages.PrepareBootstrap(ballot.round, ballot.proposer), others
        )
        self._highest_round = max(vote.promised_round for vote in votes)
        promises = [vote for vote in votes if _promised(vote) == ballot]
        if len(promises) < self.quorum:
            return None
        latest = max(promises, key=_accepted)
        value = latest.configuration or configuration.encode()
        votes = await self._ask(
            messages.AcceptBootstrap(ballot.round, ballot.proposer, value),
            others,
        )
        accepted = [vote for vote in votes if _accepted(vote) == ballot]
        if len(accepted) < self.quorum:
            return None
        return types.Configuration.decode(value)

    async def _ask(
        self, request: Request, others: Iterable[str]
    ) -> list[messages.BootstrapVote]:
        """Returns the votes of the seeds that agree on who the seeds are."""
        own = self._acceptor.answer(request)
        answers = await asyncio.gather(
            *(self._ask_other(seed, request) for seed in others)
        )
        return [own] + [
            vote
            for vote in answers
            if vote is not None and vote.seeds == own.seeds
        ]

    async def _ask_other(
        self, seed: str, request: Request
    ) -> messages.BootstrapVote | None:
        try:
            return await self._channel.ask(seed, request)
        except errors.MonsoonhingeError:
            return None


def _promised(vote: messages.BootstrapVote) -> Ballot:
    return Ballot(vote.promised_round, vote.promised_proposer)


def _accepted(vote: messages.BootstrapVote) -> Ballot:
    return Ballot(vote.accepted_round, vote.accepted_proposer)


def _encode(vote: messages.BootstrapVote) -> bytes:
    return codec.encode(codec.Envelope(id=0, reply=False, body=vote))


def _decode(data: bytes) -> messages.BootstrapVote:
    try:
        vote = codec.decode(data).body
    except errors.ProtocolError as error:
        raise storage_files.StorageError(
            f"the vote is corrupt: {error}", step="open vote"
        ) from error
    if not isinstance(vote, messages.BootstrapVote):
        raise storage_files.StorageError(
            "the vote is corrupt", step="open vote"
        )
    return vote
