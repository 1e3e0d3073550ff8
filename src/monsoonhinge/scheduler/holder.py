"""Holder of the token buckets: commits checkpoints and answers gateways."""

import asyncio
from collections.abc import Callable
from typing import Any

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.control import client as control_client
from monsoonhinge.control import keeper
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.scheduler import budget
from monsoonhinge.scheduler import metrics

SHARD = "budget/0"

_COMMIT_TIMEOUT_S = 1.0
_READ_TIMEOUT_S = 1.0


class BudgetHolder:
    """Grants tokens while it holds the lease of its shard.

    Attributes:
        lease: Lease of the shard.
        budget: Token buckets, or None while the lease is not held.
    """

    def __init__(
        self,
        *,
        holder: str,
        control: control_client.Client,
        allowance: Callable[[schema.Team], int] = lambda team: 0,
        prefetch_s: float = budget.PREFETCH_S,
    ) -> None:
        """Makes a holder.

        Args:
            holder: Node and incarnation of this process.
            control: Control members.
            allowance: Tokens that a team may use at once beyond its burst.
            prefetch_s: Demand that a grant covers beyond what waits.
        """
        self.lease = keeper.Keeper(name=SHARD, holder=holder, control=control)
        self.budget: budget.Budget | None = None
        self._control = control
        self._view = config_view.View()
        self._allowance = allowance
        self._prefetch_s = prefetch_s
        self._commits: dict[str, asyncio.Lock] = {}

    async def keep(self) -> None:
        """Keeps the lease and loads the checkpoints after a new grant."""
        await self.lease.keep()
        if not self.lease.fencing:
            self.budget = None
            return
        if self.budget is None or self.budget.fencing != self.lease.fencing:
            fencing = self.lease.fencing
            document = await self._control.read(
                "budgets", timeout=_READ_TIMEOUT_S
            )
            self.budget = budget.Budget.from_checkpoints(
                [
                    commands.CheckpointBudget(**fields)
                    for fields in document.values()
                ],
                shard=SHARD,
                fencing=fencing,
                prefetch_s=self._prefetch_s,
            )
            self.configure(self._control.view)

    def configure(self, view: config_view.View) -> None:
        """Takes the teams of the configuration."""
        self._view = view
        if self.budget is not None and view.version:
            teams = {
                name: team.model_copy(
                    update={
                        "burst_tokens": team.burst_tokens
                        + self._allowance(team)
                    }
                )
                for name, team in view.teams.items()
            }
            self.budget.configure(teams, asyncio.get_running_loop().time())

    async def release(self) -> None:
        """Hands the shard over."""
        self.budget = None
        await self.lease.release()

    async def grant(
        self, request: messages.GrantRequest
    ) -> messages.Grant | messages.Error:
        """Answers a gateway once the log covers the tokens.

        Raises:
            errors.MonsoonhingeError: The checkpoint was not confirmed.
        """
        loop = asyncio.get_running_loop()
        # One commit at a time keeps the checkpoints of a team in order.
        async with self._commits.setdefault(request.team, asyncio.Lock()):
            held = self.budget
            if held is None or not self.lease.held(loop.time()):
                return _not_holder()
            checkpoint = held.checkpoint_needed(request, loop.time())
            if checkpoint is not None and not await self._commit(checkpoint):
                return _not_holder()
            # The lease may have ended during the commit.
            if self.budget is not held or not self.lease.held(loop.time()):
                return _not_holder()
            reply = held.grant(request, loop.time())
        if reply.tokens:
            metrics.GRANTED_TOKENS.labels(request.team).inc(reply.tokens)
        elif request.wanted or request.waiting:
            metrics.EMPTY_GRANTS.labels(request.team).inc()
        return reply

    async def _commit(self, checkpoint: commands.CheckpointBudget) -> bool:
        """Commits a checkpoint; returns whether the lease still holds."""
        held = self.budget
        assert held is not None
        try:
            result = await self._control.propose(
                checkpoint, commands.Accepted, timeout=_COMMIT_TIMEOUT_S
            )
        except errors.MonsoonhingeError:
            # Under the same number it could still replace a later one.
            self._give_up()
            raise
        if not result.accepted:
            self._give_up()
            return False
        held.committed(checkpoint)
        return True

    def _give_up(self) -> None:
        self.budget = None
        self.lease.give_up()

    def dump(self) -> dict[str, Any]:
        """Returns the buckets for operators."""
        if self.budget is None:
            return {}
        return {
            name: {
                "level": bucket.level,
                "granted": bucket.granted,
                "committed": bucket.committed,
                "grants": len(bucket.issued),
            }
            for name, bucket in self.budget.buckets.items()
        }


def _not_holder() -> messages.Error:
    return messages.Error(
        code="not_holder", message=f"{SHARD} is held elsewhere", step="grant"
    )
