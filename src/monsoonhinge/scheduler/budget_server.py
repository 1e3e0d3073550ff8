"""Grants tokens to gateways and commits checkpoints of the buckets."""

import asyncio
from collections.abc import Callable
from typing import Any

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.control import client as control_client
from monsoonhinge.control import lease_client
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.scheduler import budget
from monsoonhinge.scheduler import metrics

SHARD = "budget/0"

_COMMIT_TIMEOUT_S = 1.0
_READ_TIMEOUT_S = 1.0


class BudgetServer:
    """Grants tokens while this process holds the lease of its shard.

    Attributes:
        lease: Lease of the shard.
        budget: Token buckets, or None while the lease is not held.
    """

    def __init__(
        self,
        *,
        holder: str,
        control: control_client.Client,
        extra_burst_tokens: Callable[[schema.Team], int] = lambda team: 0,
        prefetch_s: float = budget.PREFETCH_S,
    ) -> None:
        """Initializes the server.

        Args:
            holder: Node and incarnation of this process.
            control: Client of the control members.
            extra_burst_tokens: Returns the tokens by which a team's bucket
                exceeds its configured burst.
            prefetch_s: Seconds of a gateway's expected demand that a grant
                covers in addition to its waiting requests.
        """
        self.lease = lease_client.LeaseClient(
            name=SHARD, holder=holder, control=control
        )
        self.budget: budget.Budget | None = None
        self._control = control
        self._view = config_view.View()
        self._extra_burst_tokens = extra_burst_tokens
        self._prefetch_s = prefetch_s
        self._commit_locks: dict[str, asyncio.Lock] = {}

    async def acquire_or_renew(self) -> None:
        """Acquires or renews the lease; loads checkpoints after a new grant."""
        await self.lease.acquire_or_renew()
        if not self.lease.fencing:
            self.budget = None
            return
        if self.budget is None or self.budget.fencing != self.lease.fencing:
            fencing = self.lease.fencing
            checkpoints = await self._control.read(
                "budgets", timeout=_READ_TIMEOUT_S
            )
            self.budget = budget.Budget.from_checkpoints(
                [
                    commands.CheckpointBudget(**fields)
                    for fields in checkpoints.values()
                ],
                shard=SHARD,
                fencing=fencing,
                prefetch_s=self._prefetch_s,
            )
            self.configure(self._control.view)

    def configure(self, view: config_view.View) -> None:
        """Applies the teams of a new configuration."""
        self._view = view
        if self.budget is not None and view.version:
            teams = {
                name: team.model_copy(
                    update={
                        "burst_tokens": team.burst_tokens
                        + self._extra_burst_tokens(team)
                    }
                )
                for name, team in view.teams.items()
            }
            self.budget.configure(teams, asyncio.get_running_loop().time())

    async def release(self) -> None:
        """Releases the lease so that another process can take the shard."""
        self.budget = None
        await self.lease.release()

    async def grant(
        self, request: messages.GrantRequest
    ) -> messages.Grant | messages.Error:
        """Grants tokens once a committed checkpoint covers them.

        Raises:
            errors.MonsoonhingeError: The checkpoint was not confirmed.
        """
        loop = asyncio.get_running_loop()
        # Checkpoints of a team must reach the control log in order, so only
        # one commit per team is in progress.
        async with self._commit_locks.setdefault(request.team, asyncio.Lock()):
            current = self.budget
            if current is None or not self.lease.held(loop.time()):
                return _not_holder()
            checkpoint = current.checkpoint_needed(request, loop.time())
            if checkpoint is not None and not await self._commit(checkpoint):
                return _not_holder()
            # The lease may have ended during the commit.
            if self.budget is not current or not self.lease.held(loop.time()):
                return _not_holder()
            reply = current.grant(request, loop.time())
        if reply.tokens:
            metrics.GRANTED_TOKENS.labels(request.team).inc(reply.tokens)
        elif request.wanted or request.waiting:
            metrics.EMPTY_GRANTS.labels(request.team).inc()
        return reply

    async def _commit(self, checkpoint: commands.CheckpointBudget) -> bool:
        """Commits a checkpoint.

        Returns:
            Whether it was accepted; if not, the lease was lost.
        """
        current = self.budget
        assert current is not None
        try:
            result = await self._control.propose(
                checkpoint, commands.Accepted, timeout=_COMMIT_TIMEOUT_S
            )
        except errors.MonsoonhingeError:
            # The checkpoint may still be committed. Under the same fencing
            # token it could then overwrite a later one.
            self._invalidate_lease()
            raise
        if not result.accepted:
            self._invalidate_lease()
            return False
        current.record_commit(checkpoint)
        return True

    def _invalidate_lease(self) -> None:
        self.budget = None
        self.lease.invalidate()

    def dump(self) -> dict[str, Any]:
        """Returns the buckets for the state dump."""
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
