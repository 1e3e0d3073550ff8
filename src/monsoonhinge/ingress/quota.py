"""Enforces the token rate of each team over all gateways.

Tokens are granted by the budget lease holder. While it does not reply,
a gateway spends a fraction of each team's rate. The fractions of all gateways
together stay within the rate.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses

from monsoonhinge.config import schema
from monsoonhinge.gateway import token_accounts
from monsoonhinge.protocol import messages
from monsoonhinge.runtime import errors
from monsoonhinge.runtime import supervision

# Maximum time that a request waits for tokens before it is refused.
MAX_TOKEN_WAIT_S = 0.4
_RETRY_DELAY_S = 0.1
_MIN_RETRY_DELAY_S = 0.02

# A gateway uses its fallback buckets once the holder has not replied for this
# long.
_HOLDER_TIMEOUT_S = 0.25
_FALLBACK_RATE_FRACTION = 0.5
_FALLBACK_BURST_S = 1.0

# Refused requests are retried within about this time.
_REFUSED_EXPIRY_S = 3.0


@dataclasses.dataclass(slots=True)
class FallbackBucket:
    """Token bucket for one team while the budget lease holder is unavailable.

    A request is admitted once half of its tokens are available, and the level
    may become negative. Large requests are admitted as well this way, and all
    gateways together spend at most twice their fractions of the rate.
    """

    level: float = 0.0
    updated_at: float = 0.0

    def take(self, tokens: int, *, rate: float, now: float) -> bool:
        """Takes tokens; returns whether the request is admitted."""
        burst = max(rate * _FALLBACK_BURST_S, 0.5 * tokens)
        self.level = min(burst, self.level + (now - self.updated_at) * rate)
        self.updated_at = now
        if self.level < 0.5 * tokens:
            return False
        self.level -= tokens
        return True


@dataclasses.dataclass(slots=True)
class RefusedTokens:
    """Sum of the tokens of refused requests, decaying over some seconds."""

    tokens: float = 0.0
    updated_at: float = 0.0

    def add(self, tokens: int, now: float) -> float:
        """Adds a refused request and returns the current sum."""
        kept = max(0.0, 1.0 - (now - self.updated_at) / _REFUSED_EXPIRY_S)
        self.tokens = self.tokens * kept + tokens
        self.updated_at = now
        return self.tokens


@dataclasses.dataclass(slots=True)
class _PendingCharge:
    tokens: int
    future: asyncio.Future[token_accounts.Charge | None]


class Quota:
    """Charges requests to the token grants of their teams.

    Attributes:
        accounts: Token grants held by this gateway, by team.
        gateway_count: Number of gateways over which a rate is divided while
            the budget lease holder does not reply.
    """

    def __init__(
        self,
        *,
        gateway: str,
        send: Callable[[messages.GrantRequest], Awaitable[messages.Grant]],
    ) -> None:
        self.accounts = token_accounts.TokenAccounts(prefetch_s=0.0)
        self.gateway_count = 1
        self._gateway = gateway
        self._send = send
        self._pending: dict[str, list[_PendingCharge]] = {}
        self._fallback_buckets: dict[str, FallbackBucket] = {}
        self._refused_tokens: dict[str, RefusedTokens] = {}
        self._unanswered_since: float | None = None
        self._supervisor = supervision.Supervisor()

    async def charge(
        self,
        team: schema.Team,
        tokens: int,
        *,
        time_left_s: float,
        wait_s: float = MAX_TOKEN_WAIT_S,
    ) -> token_accounts.Charge | None:
        """Charges a request; returns None if no tokens arrive in time.

        Args:
            team: Team of the request.
            tokens: Tokens to charge.
            time_left_s: Seconds until the deadline of the request.
            wait_s: Maximum wait for tokens, in seconds.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        pending = self._pending.setdefault(team.name, [])
        if not pending:
            charge = self.accounts.charge(team.name, tokens, now)
            if charge is not None:
                self._request_refill(team.name)
                return charge
        if self._take_fallback(team, tokens, now):
            self._request_refill(team.name)
            return token_accounts.Charge(
                team=team.name, tokens=tokens, parts={}
            )
        entry = _PendingCharge(tokens, loop.create_future())
        pending.append(entry)
        self._request_refill(team.name)
        deadline = now + min(wait_s, time_left_s / 4)
        try:
            while (left := deadline - loop.time()) > 0:
                pause = min(left, _HOLDER_TIMEOUT_S)
                done, _ = await asyncio.wait([entry.future], timeout=pause)
                if done:
                    return entry.future.result()
                if self._take_fallback(team, tokens, loop.time()):
                    return token_accounts.Charge(
                        team=team.name, tokens=tokens, parts={}
                    )
            return None
        except asyncio.CancelledError:
            self._refund_unseen(entry)
            raise
        finally:
            if entry in pending:
                pending.remove(entry)

    def holder_silent_s(self) -> float:
        """Returns how long the budget lease holder has not replied, or 0."""
        since = self._unanswered_since
        if since is None:
            return 0.0
        return asyncio.get_running_loop().time() - since

    def refund(self, charge: token_accounts.Charge) -> None:
        """Returns the tokens of a request that did not run."""
        now = asyncio.get_running_loop().time()
        self.accounts.settle(charge, 0, now)

    def _refund_unseen(self, entry: _PendingCharge) -> None:
        """Returns tokens that arrived as their request was cancelled."""
        if entry.future.done():
            charge = entry.future.result()
            if charge is not None:
                self.refund(charge)

    def record_refusal(self, team: schema.Team, tokens: int) -> float:
        """Records a refused request; returns its Retry-After, in seconds.

        Recently refused requests are retried as well, here and at the other
        gateways. A retry therefore waits until the rate covers all of them.
        """
        now = asyncio.get_running_loop().time()
        backlog = self._refused_tokens.setdefault(team.name, RefusedTokens())
        backlog_tokens = backlog.add(tokens, now) * max(1, self.gateway_count)
        base = self.accounts.account(team.name).retry_after_s(now)
        return max(base, backlog_tokens / team.tokens_per_s)

    def maintain_accounts(self) -> None:
        """Requests missing tokens, returns unused ones, drops idle accounts."""
        for team in list(self.accounts.by_team):
            self._request_refill(team)
        self.accounts.forget_idle(asyncio.get_running_loop().time())

    async def stop(self) -> None:
        """Cancels all pending grant requests."""
        await self._supervisor.stop()

    def _take_fallback(
        self, team: schema.Team, tokens: int, now: float
    ) -> bool:
        since = self._unanswered_since
        if since is None or now - since < _HOLDER_TIMEOUT_S:
            return False
        bucket = self._fallback_buckets.setdefault(
            team.name, FallbackBucket(updated_at=since)
        )
        rate = (
            _FALLBACK_RATE_FRACTION
            * team.tokens_per_s
            / max(1, self.gateway_count)
        )
        return bucket.take(tokens, rate=rate, now=now)

    def _request_refill(self, team: str) -> None:
        now = asyncio.get_running_loop().time()
        pending = self._pending.get(team, [])
        needed = sum(entry.tokens for entry in pending)
        first = pending[0].tokens if pending else 0
        refill = self.accounts.account(team).begin_refill(
            needed, now, first=first
        )
        if refill is None:
            return
        self._supervisor.spawn(
            "request_tokens", self._send_refill_request(team, refill)
        )

    async def _send_refill_request(
        self, team: str, refill: token_accounts.RefillRequest
    ) -> None:
        loop = asyncio.get_running_loop()
        account = self.accounts.account(team)
        requested_at = loop.time()
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
        except Exception as error:
            account.fail_refill(loop.time(), _RETRY_DELAY_S)
            if self._unanswered_since is None:
                self._unanswered_since = requested_at
            if not isinstance(error, errors.MonsoonhingeError):
                raise
            return
        self._unanswered_since = None
        self._fallback_buckets.clear()
        short = grant.tokens < refill.wanted + refill.waiting
        account.complete_refill(
            max(grant.retry_after_ms / 1000, _MIN_RETRY_DELAY_S)
            if short
            else 0.0,
            loop.time(),
        )
        account.add(
            grant.grant_id, grant.tokens, requested_at + grant.valid_ms / 1000
        )
        self._charge_pending(team, loop.time())
        if self._pending.get(team):
            loop.call_at(account.retry_at, self._request_refill, team)

    def _charge_pending(self, team: str, now: float) -> None:
        pending = self._pending.get(team, [])
        while pending:
            charge = self.accounts.charge(team, pending[0].tokens, now)
            if charge is None:
                return
            future = pending.pop(0).future
            if future.done():
                self.accounts.settle(charge, 0, now)
            else:
                future.set_result(charge)
