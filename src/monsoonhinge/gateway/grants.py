"""Requests for token grants to the budget holder."""

import asyncio
import logging

from monsoonhinge.gateway import dispatch
from monsoonhinge.gateway import schedulers
from monsoonhinge.gateway import wallet
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

_TICK_S = 0.1
_ASK_TIMEOUT_S = 0.5
_PAUSE_S = 0.2
_MIN_PAUSE_S = 0.02
# A standby becomes the holder after the lease of 3 s has expired and it has
# read the checkpoints; requests wait for three times that before a refusal.
_HOLDER_ABSENT_S = 9.0

_LOG = logging.getLogger(__name__)


class Grants:
    """Keeps the wallet supplied.

    Attributes:
        wallet: The wallet.
        dispatcher: Where requests wait for tokens.
    """

    def __init__(
        self,
        *,
        team_tokens: wallet.Wallet,
        dispatcher: dispatch.Dispatcher,
        holders: schedulers.Schedulers,
        gateway: str,
    ) -> None:
        self.wallet = team_tokens
        self.dispatcher = dispatcher
        self._holders = holders
        self._gateway = gateway
        # When the first of the requests in a row without an answer left. Time
        # without requests says nothing about the holder.
        self._unanswered_since: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._ticker: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begins to supply the wallet."""
        loop = asyncio.get_running_loop()
        self.dispatcher.starved = self.consider
        self._ticker = loop.create_task(self._tick())

    async def stop(self) -> None:
        """Ends all requests."""
        tasks = [*self._tasks, *([self._ticker] if self._ticker else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def return_all(self) -> None:
        """Returns unused tokens before the process stops."""
        self.dispatcher.starved = lambda team: None
        for team, account in self.wallet.accounts.items():
            account.close()
            while not account.asking and (
                ask := account.ask(0, asyncio.get_running_loop().time())
            ):
                await self._request(team, account, ask)
                if not account.answered:
                    return

    def consider(self, team: str) -> None:
        """Asks for tokens of a team if it needs some now."""
        now = asyncio.get_running_loop().time()
        account = self.wallet.account(team)
        queue = self.dispatcher.queue
        ask = account.ask(
            queue.needed(team), now, first=queue.first_needed(team)
        )
        if ask is not None:
            task = asyncio.get_running_loop().create_task(
                self._request(team, account, ask)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TICK_S)
            since = self._unanswered_since
            absent = since is not None and (
                loop.time() - since > _HOLDER_ABSENT_S
            )
            for team in self.dispatcher.queue.blocked_teams():
                account = self.wallet.account(team)
                if absent and not account.answered:
                    self.dispatcher.refuse_starved(
                        team,
                        dispatch.rate_limited(
                            account.retry_after_s(loop.time())
                        ),
                    )
            for team in list(self.wallet.accounts):
                self.consider(team)
            self.wallet.forget_idle(loop.time())

    async def _request(
        self, team: str, account: wallet.Account, ask: wallet.Ask
    ) -> None:
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        try:
            grant = await self._holders.request(
                messages.GrantRequest(
                    gateway=self._gateway,
                    team=team,
                    wanted=ask.wanted,
                    waiting=ask.waiting,
                    returned=ask.returned,
                    returned_grant=ask.returned_grant,
                ),
                messages.Grant,
                timeout=_ASK_TIMEOUT_S,
            )
        except errors.MonsoonhingeError as error:
            _LOG.debug("no grant: %s", error, extra={"team": team})
            account.unanswered(loop.time(), _PAUSE_S)
            if self._unanswered_since is None:
                self._unanswered_since = asked_at
            return
        self._unanswered_since = None
        account.replied(
            max(grant.retry_after_ms / 1000, _MIN_PAUSE_S)
            if grant.tokens < ask.wanted + ask.waiting
            else 0.0,
            loop.time(),
        )
        account.add(
            grant.grant_id, grant.tokens, asked_at + grant.valid_ms / 1000
        )
        self.dispatcher.funded(team)
        if self.dispatcher.queue.needed(team):
            loop.call_at(account.retry_at, self.consider, team)
