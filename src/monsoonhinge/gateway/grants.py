"""Requests for token grants to the budget lease holder."""

import asyncio
import logging

from monsoonhinge.gateway import dispatch
from monsoonhinge.gateway import schedulers
from monsoonhinge.gateway import token_accounts
from monsoonhinge.gateway import wait_refusals
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import supervision

_TICK_S = 0.1
_REQUEST_TIMEOUT_S = 0.5
_RETRY_DELAY_S = 0.2
_MIN_RETRY_DELAY_S = 0.02
# A standby takes over once the lease of 3 s has expired and it has read the
# checkpoints. Requests are refused only after three times that long.
_HOLDER_TIMEOUT_S = 9.0

_LOG = logging.getLogger(__name__)


class GrantRequester:
    """Requests token grants as they are needed and returns unused tokens.

    Attributes:
        accounts: Accounts that receive the grants.
        dispatcher: Holds the requests that wait for tokens.
    """

    def __init__(
        self,
        *,
        accounts: token_accounts.TokenAccounts,
        dispatcher: dispatch.Dispatcher,
        scheduler_connections: schedulers.SchedulerConnections,
        gateway: str,
    ) -> None:
        self.accounts = accounts
        self.dispatcher = dispatcher
        self._schedulers = scheduler_connections
        self._gateway = gateway
        # Start of the first of the consecutive requests without an answer. A
        # time without requests tells nothing about the lease holder.
        self._unanswered_since: float | None = None
        self._supervisor = supervision.Supervisor()

    def start(self) -> None:
        """Starts requesting grants."""
        self.dispatcher.on_tokens_needed = self.request_refill
        self._supervisor.start("maintain_accounts", self._maintain_accounts)

    async def stop(self) -> None:
        """Cancels all pending requests for grants."""
        await self._supervisor.stop()

    async def return_all(self) -> None:
        """Returns all unused tokens to the lease holder; called at shutdown."""
        self.dispatcher.on_tokens_needed = lambda team: None
        for team, account in self.accounts.by_team.items():
            account.expire_all_grants()
            while not account.refill_pending and (
                refill := account.begin_refill(
                    0, asyncio.get_running_loop().time()
                )
            ):
                await self._send_refill_request(team, account, refill)
                if not account.last_refill_answered:
                    return

    def request_refill(self, team: str) -> None:
        """Requests tokens for a team, or returns unused ones, if needed."""
        now = asyncio.get_running_loop().time()
        account = self.accounts.account(team)
        queue = self.dispatcher.queue
        refill = account.begin_refill(
            queue.blocked_tokens(team),
            now,
            first=queue.min_blocked_tokens(team),
        )
        if refill is not None:
            self._supervisor.spawn(
                "request_tokens",
                self._send_refill_request(team, account, refill),
            )

    async def _maintain_accounts(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TICK_S)
            since = self._unanswered_since
            holder_timed_out = since is not None and (
                loop.time() - since > _HOLDER_TIMEOUT_S
            )
            for team in self.dispatcher.queue.blocked_teams():
                account = self.accounts.account(team)
                if holder_timed_out and not account.last_refill_answered:
                    self.dispatcher.refuse_blocked(
                        team,
                        wait_refusals.rate_limited(
                            account.retry_after_s(loop.time())
                        ),
                    )
            for team in list(self.accounts.by_team):
                self.request_refill(team)
            self.accounts.forget_idle(loop.time())

    async def _send_refill_request(
        self,
        team: str,
        account: token_accounts.TeamAccount,
        refill: token_accounts.RefillRequest,
    ) -> None:
        loop = asyncio.get_running_loop()
        requested_at = loop.time()
        try:
            grant = await self._schedulers.request(
                messages.GrantRequest(
                    gateway=self._gateway,
                    team=team,
                    wanted=refill.wanted,
                    waiting=refill.waiting,
                    returned=refill.returned,
                    returned_grant=refill.returned_grant,
                ),
                messages.Grant,
                timeout=_REQUEST_TIMEOUT_S,
            )
        except Exception as error:
            _LOG.debug(
                "token grant request failed: %s", error, extra={"team": team}
            )
            account.fail_refill(loop.time(), _RETRY_DELAY_S)
            if self._unanswered_since is None:
                self._unanswered_since = requested_at
            if not isinstance(error, errors.MonsoonhingeError):
                raise
            return
        self._unanswered_since = None
        account.complete_refill(
            max(grant.retry_after_ms / 1000, _MIN_RETRY_DELAY_S)
            if grant.tokens < refill.wanted + refill.waiting
            else 0.0,
            loop.time(),
        )
        account.add(
            grant.grant_id, grant.tokens, requested_at + grant.valid_ms / 1000
        )
        self.dispatcher.tokens_changed(team)
        if self.dispatcher.queue.blocked_tokens(team):
            loop.call_at(account.retry_at, self.request_refill, team)
