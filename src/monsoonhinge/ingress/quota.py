"""Token rates of the teams, kept over all gateways together.

Tokens come in grants from the holder of the budget. While no holder answers,
a gateway spends a share of each team's rate that stays within the rate even
if all gateways do the same.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses

from monsoonhinge.config import schema
from monsoonhinge.gateway import token_accounts
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors

# A request waits this long for tokens before it is refused.
MAX_WAIT_S = 0.4
_PAUSE_S = 0.1
_MIN_PAUSE_S = 0.02

# Without an answer for this long, the own share is spent.
_HOLDER_ABSENT_S = 0.25
_SHARE = 0.5
_SHARE_BURST_S = 1.0

# Refused requests come back within about this time.
_BACKLOG_S = 3.0


@dataclasses.dataclass(slots=True)
class Share:
    """Own part of a team's rate while no holder answers.

    A request runs once half of its tokens have come in, so that even large
    requests run, and all gateways together spend at most twice their shares.
    """

    level: float = 0.0
    at: float = 0.0

    def take(self, tokens: int, *, rate: float, now: float) -> bool:
        """Takes tokens; returns whether the request may run."""
        burst = max(rate * _SHARE_BURST_S, 0.5 * tokens)
        self.level = min(burst, self.level + (now - self.at) * rate)
        self.at = now
        if self.level < 0.5 * tokens:
            return False
        self.level -= tokens
        return True


@dataclasses.dataclass(slots=True)
class Backlog:
    """Tokens of refused requests, forgotten over a few seconds."""

    tokens: float = 0.0
    at: float = 0.0

    def add(self, tokens: int, now: float) -> float:
        """Adds a refused request; returns all that was refused lately."""
        kept = max(0.0, 1.0 - (now - self.at) / _BACKLOG_S)
        self.tokens = self.tokens * kept + tokens
        self.at = now
        return self.tokens


@dataclasses.dataclass(slots=True)
class _Waiter:
    tokens: int
    future: asyncio.Future[token_accounts.Charge | None]


class Quota:
    """Charges requests to their teams.

    Attributes:
        accounts: Token grants held here, by team.
        gateways: Gateways that share a rate while no holder answers.
    """

    def __init__(
        self,
        *,
        gateway: str,
        send: Callable[[messages.GrantRequest], Awaitable[messages.Grant]],
    ) -> None:
        self.accounts = token_accounts.TokenAccounts(prefetch_s=0.0)
        self.gateways = 1
        self._gateway = gateway
        self._send = send
        self._waiting: dict[str, list[_Waiter]] = {}
        self._shares: dict[str, Share] = {}
        self._refused: dict[str, Backlog] = {}
        self._unanswered_since: float | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def charge(
        self,
        team: schema.Team,
        tokens: int,
        *,
        time_left_s: float,
        wait_s: float = MAX_WAIT_S,
    ) -> token_accounts.Charge | None:
        """Takes tokens for a request; None if the team has none left.

        Args:
            team: Team of the request.
            tokens: What it is charged.
            time_left_s: Seconds until it must be answered.
            wait_s: Longest wait for tokens.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        waiting = self._waiting.setdefault(team.name, [])
        if not waiting:
            charge = self.accounts.charge(team.name, tokens, now)
            if charge is not None:
                self._ask(team.name)
                return charge
        if self._spend_share(team, tokens, now):
            self._ask(team.name)
            return token_accounts.Charge(
                team=team.name, tokens=tokens, parts={}
            )
        waiter = _Waiter(tokens, loop.create_future())
        waiting.append(waiter)
        self._ask(team.name)
        deadline = now + min(wait_s, time_left_s / 4)
        try:
            while (left := deadline - loop.time()) > 0:
                pause = min(left, _HOLDER_ABSENT_S)
                done, _ = await asyncio.wait([waiter.future], timeout=pause)
                if done:
                    return waiter.future.result()
                if self._spend_share(team, tokens, loop.time()):
                    return token_accounts.Charge(
                        team=team.name, tokens=tokens, parts={}
                    )
            return None
        finally:
            if waiter in waiting:
                waiting.remove(waiter)

    def holder_silent_s(self) -> float:
        """Returns for how long nobody has granted tokens; 0 if one does."""
        since = self._unanswered_since
        if since is None:
            return 0.0
        return asyncio.get_running_loop().time() - since

    def refund(self, charge: token_accounts.Charge) -> None:
        """Gives back the tokens of a request that did not run."""
        now = asyncio.get_running_loop().time()
        self.accounts.settle(charge, 0, now)

    def refused(self, team: schema.Team, tokens: int) -> float:
        """Notes a refused request; returns when a retry is of use, in seconds.

        What was refused lately comes back as well, here and at the other
        gateways, so that a retry has to wait until the rate covers it.
        """
        now = asyncio.get_running_loop().time()
        backlog = self._refused.setdefault(team.name, Backlog())
        ahead = backlog.add(tokens, now) * max(1, self.gateways)
        base = self.accounts.account(team.name).retry_after_s(now)
        return max(base, ahead / team.tokens_per_s)

    def tick(self) -> None:
        """Asks for what is needed and returns what is not; called often."""
        for team in list(self.accounts.by_team):
            self._ask(team)
        self.accounts.forget_idle(asyncio.get_running_loop().time())

    async def stop(self) -> None:
        """Ends all requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spend_share(self, team: schema.Team, tokens: int, now: float) -> bool:
        since = self._unanswered_since
        if since is None or now - since < _HOLDER_ABSENT_S:
            return False
        share = self._shares.setdefault(team.name, Share(at=since))
        rate = _SHARE * team.tokens_per_s / max(1, self.gateways)
        return share.take(tokens, rate=rate, now=now)

    def _ask(self, team: str) -> None:
        now = asyncio.get_running_loop().time()
        waiting = self._waiting.get(team, [])
        needed = sum(waiter.tokens for waiter in waiting)
        first = waiting[0].tokens if waiting else 0
        refill = self.accounts.account(team).begin_refill(
            needed, now, first=first
        )
        if refill is None:
            return
        task = asyncio.get_running_loop().create_task(
            self._request(team, refill)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request(
        self, team: str, refill: token_accounts.RefillRequest
    ) -> None:
        loop = asyncio.get_running_loop()
        account = self.accounts.account(team)
        asked_at = loop.time()
        try:
            grant = await self._send(
                messages.GrantRequest(
                    gateway=self._gateway,
                    team=team,
                    wanted=refill.wanted,
                    waiting=refill.waiting,
                    returned=refill.returned,
                    returned_grant=refill.returned_grant,
                )
            )
        except errors.MonsoonhingeError:
            account.fail_refill(loop.time(), _PAUSE_S)
            if self._unanswered_since is None:
                self._unanswered_since = asked_at
            return
        self._unanswered_since = None
        self._shares.clear()
        short = grant.tokens < refill.wanted + refill.waiting
        account.complete_refill(
            max(grant.retry_after_ms / 1000, _MIN_PAUSE_S) if short else 0.0,
            loop.time(),
        )
        account.add(
            grant.grant_id, grant.tokens, asked_at + grant.valid_ms / 1000
        )
        self._fund(team, loop.time())
        if self._waiting.get(team):
            loop.call_at(account.retry_at, self._ask, team)

    def _fund(self, team: str, now: float) -> None:
        waiting = self._waiting.get(team, [])
        while waiting:
            charge = self.accounts.charge(team, waiting[0].tokens, now)
            if charge is None:
                return
            future = waiting.pop(0).future
            if future.done():
                self.accounts.settle(charge, 0, now)
            else:
                future.set_result(charge)
