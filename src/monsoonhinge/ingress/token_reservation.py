"""Tokens of one request, reserved only while it can run.

Load pattern: a team far above its token rate requests models that must be
loaded first. If these requests kept their tokens for seconds, requests of the
team that could run immediately would be refused.
"""

import asyncio

from monsoonhinge.config import schema
from monsoonhinge.gateway import token_accounts
from monsoonhinge.ingress import admission
from monsoonhinge.ingress import quota
from monsoonhinge.ingress import refusal
from monsoonhinge.runtime import events

# Maximum wait for tokens of a request whose model has just been loaded.
_REACQUIRE_WAIT_S = 1.5


class TokenReservation:
    """Acquires and releases the tokens of one request.

    Attributes:
        held: Whether the request may run: its tokens are charged, or it needs
            none.
    """

    def __init__(
        self,
        *,
        token_quota: quota.Quota,
        admitted: admission.AdmittedRequest,
        request_id: str,
        deadline: float,
    ) -> None:
        """Creates a reservation without acquiring the tokens.

        Args:
            token_quota: Charges the tokens to the team.
            admitted: Request with its team and tokens.
            request_id: Request id for the event log.
            deadline: Deadline of the request, in seconds of the event loop.
        """
        team = admitted.team
        limited = team is not None and not team.unlimited and admitted.tokens
        self.held = not limited
        self._team: schema.Team | None = team if limited else None
        self._quota = token_quota
        self._token_count = admitted.tokens
        self._request_id = request_id
        self._deadline = deadline
        self._charge: token_accounts.Charge | None = None
        self._wait_s = quota.MAX_TOKEN_WAIT_S

    async def acquire(self) -> None:
        """Charges the request, unless its tokens are held already.

        Raises:
            refusal.Refusal: The team received no tokens in time.
        """
        team = self._team
        if self.held or team is None:
            return
        time_left_s = self._deadline - asyncio.get_running_loop().time()
        self._charge = await self._quota.charge(
            team,
            self._token_count,
            time_left_s=time_left_s,
            wait_s=self._wait_s,
        )
        if self._charge is None:
            raise self._over_quota_refusal(team)
        self.held = True

    def release(self) -> None:
        """Returns the tokens of a request that cannot run now."""
        if self._charge is None:
            return
        self._quota.refund(self._charge)
        self._charge = None
        self.held = False
        self._wait_s = _REACQUIRE_WAIT_S

    def _over_quota_refusal(self, team: schema.Team) -> refusal.Refusal:
        retry_after_s = self._quota.record_refusal(team, self._token_count)
        events.emit(
            events.QUOTA,
            request_id=self._request_id,
            team=team.name,
            tokens=self._token_count,
            rate=team.tokens_per_s,
            retry_after_s=round(retry_after_s, 3),
            holder_silent_s=round(self._quota.holder_silent_s(), 3),
            outcome="refused",
        )
        return refusal.Refusal(
            refusal.Reason.OVER_QUOTA,
            retry_after_s=retry_after_s,
            step="charge",
        )
