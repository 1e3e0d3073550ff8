"""Tokens of one request, held only while it can run.

Load pattern: a team at many times its rate asks for models that have to be
loaded first. Tokens that such requests held for seconds would be missing to
requests of the team that can run at once.
"""

import asyncio

from monsoonhinge.config import schema
from monsoonhinge.gateway import token_accounts
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import quota
from monsoonhinge.ingress import refusal
from monsoonhinge.runtime import events

# A request whose model has just been loaded waits this long for tokens.
_RETAKE_WAIT_S = 1.5


class Ticket:
    """Takes and gives back what a request is charged.

    Attributes:
        held: Whether the request may run.
    """

    def __init__(
        self,
        *,
        tokens: quota.Quota,
        admitted: admission.Admitted,
        request_id: str,
        deadline: float,
    ) -> None:
        """Makes the ticket of a request.

        Args:
            tokens: Charges requests to their teams.
            admitted: Team and tokens of the request.
            request_id: Its id, for the log.
            deadline: When it must be answered, in seconds of the event loop.
        """
        team = admitted.team
        limited = team is not None and not team.unlimited and admitted.tokens
        self.held = not limited
        self._team: schema.Team | None = team if limited else None
        self._tokens = tokens
        self._count = admitted.tokens
        self._request_id = request_id
        self._deadline = deadline
        self._charge: token_accounts.Charge | None = None
        self._wait_s = quota.MAX_WAIT_S

    async def take(self) -> None:
        """Charges the request, unless it is charged already.

        Raises:
            refusal.Refusal: Its team has no tokens left.
        """
        team = self._team
        if self.held or team is None:
            return
        left_s = self._deadline - asyncio.get_running_loop().time()
        self._charge = await self._tokens.charge(
            team, self._count, time_left_s=left_s, wait_s=self._wait_s
        )
        if self._charge is None:
            raise self._over_quota(team)
        self.held = True

    def give_back(self) -> None:
        """Returns the tokens of a request that does not run now."""
        if self._charge is None:
            return
        self._tokens.refund(self._charge)
        self._charge = None
        self.held = False
        self._wait_s = _RETAKE_WAIT_S

    def _over_quota(self, team: schema.Team) -> refusal.Refusal:
        retry_after_s = self._tokens.refused(team, self._count)
        events.emit(
            events.QUOTA,
            request_id=self._request_id,
            team=team.name,
            tokens=self._count,
            rate=team.tokens_per_s,
            retry_after_s=round(retry_after_s, 3),
            holder_silent_s=round(self._tokens.holder_silent_s(), 3),
            outcome="refused",
        )
        return refusal.Refusal(
            refusal.Reason.OVER_QUOTA,
            retry_after_s=retry_after_s,
            step="charge",
        )
