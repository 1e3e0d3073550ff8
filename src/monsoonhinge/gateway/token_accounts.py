"""Accounts of the token grants that this gateway holds, by team."""

import dataclasses
import math

# Typical tokenizers yield about one token per four bytes of JSON text. The
# difference from the usage that the engine reports is settled afterwards.
_BYTES_PER_TOKEN = 4
_RATE_HALF_LIFE_S = 1.0
# Tokens for this much time at the current rate are requested in advance.
PREFETCH_S = 1.0
# Unused tokens are returned this long before their grant expires, so that the
# return reaches the budget lease holder in time.
RETURN_MARGIN_S = 0.25
_DEFAULT_RETRY_AFTER_S = 1.0
# Grants last 2 s, and a busy team receives several per second.
_MAX_RETURN_RECORDS = 256


def prompt_tokens(body_bytes: int) -> int:
    """Estimates the prompt tokens of a request from its body size."""
    return math.ceil(body_bytes / _BYTES_PER_TOKEN)


@dataclasses.dataclass(slots=True)
class _Grant:
    grant_id: int
    tokens: int
    expires_at: float


@dataclasses.dataclass(slots=True)
class Charge:
    """Tokens charged for one request.

    Attributes:
        team: Team charged.
        tokens: Tokens charged.
        parts: Tokens taken from each grant, by grant id.
        settled: Whether the charge was replaced by the actual usage.
    """

    team: str
    tokens: int
    parts: dict[int, int]
    settled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RefillRequest:
    """What a gateway requests from the budget lease holder.

    Attributes:
        wanted: Tokens that the next request needs; useful only in full.
        waiting: Tokens that other waiting requests need; useful in part.
        returned: Total of the unused tokens of ``returned_grant``.
        returned_grant: Id of the grant whose tokens are returned, or 0.
    """

    wanted: int
    waiting: int = 0
    returned: int = 0
    returned_grant: int = 0


class TeamAccount:
    """Token grants of one team.

    Attributes:
        prefetch_s: Time for which tokens are requested in advance.
        debt: Tokens used beyond their charge, deducted from later grants.
        spent: Total of the tokens charged, less refunds.
        granted: Total of the tokens granted.
        returned: Total of the tokens returned unused.
        refill_pending: Whether a request to the lease holder is in progress.
        retry_at: Earliest time of the next request for tokens, in seconds.
        last_refill_answered: Whether the last request was answered.
    """

    def __init__(self, *, prefetch_s: float = PREFETCH_S) -> None:
        self.prefetch_s = prefetch_s
        self.debt = 0
        self.spent = 0
        self.granted = 0
        self.returned = 0
        self.refill_pending = False
        self.retry_at = 0.0
        self.last_refill_answered = False
        self._grants: dict[int, _Grant] = {}
        # The lease holder is sent the total returned per grant, so that a lost
        # or repeated message does not change the outcome.
        self._returned_by_grant: dict[int, int] = {}
        self._unreported_grant_ids: dict[int, None] = {}
        self._reported_grant_id = 0
        self._rate = 0.0
        self._rate_at = 0.0

    def balance(self, now: float) -> int:
        """Returns the tokens that can be charged now, negative with a debt."""
        self._expire(now)
        return sum(grant.tokens for grant in self._grants.values()) - self.debt

    def add(self, grant_id: int, tokens: int, expires_at: float) -> None:
        """Adds a grant, unless a grant with the same id is held already."""
        if tokens <= 0 or grant_id in self._grants:
            return
        self.granted += tokens
        self._grants[grant_id] = _Grant(grant_id, tokens, expires_at)
        self._pay_debt()

    def charge(self, team: str, tokens: int, now: float) -> Charge | None:
        """Charges a request in full; returns None if the balance is too low."""
        if self.balance(now) < tokens:
            return None
        self._record_usage(tokens, now)
        charge = Charge(team=team, tokens=tokens, parts=self._take(tokens))
        self.spent += tokens
        return charge

    def settle(self, charge: Charge, used: int, now: float) -> None:
        """Replaces the charge of a request by its actual usage.

        Args:
            charge: Charge to settle; a charge is settled once.
            used: Tokens used; zero if the request did not run.
            now: Current time in seconds.
        """
        if charge.settled:
            return
        charge.settled = True
        if used > charge.tokens:
            self.debt += used - charge.tokens
            self._pay_debt()
            return
        refund = charge.tokens - used
        self.spent -= refund
        for grant_id, tokens in charge.parts.items():
            part_refund = min(refund, tokens)
            refund -= part_refund
            grant = self._grants.get(grant_id)
            if grant is not None and grant.expires_at > now:
                grant.tokens += part_refund
            elif part_refund:
                self._return_tokens(grant_id, part_refund)
        self._expire(now)
        self._pay_debt()

    def begin_refill(
        self, waiting: int, now: float, *, first: int = 0
    ) -> RefillRequest | None:
        """Returns what to request from the lease holder now, or None.

        A returned request is pending until ``complete_refill`` or
        ``fail_refill`` is called; only one can be pending at a time.

        Args:
            waiting: Tokens that all waiting requests need.
            now: Current time in seconds.
            first: Tokens that the first of them needs; with zero, the tokens
                of all are requested in full.
        """
        self._expire(now)
        if self.refill_pending:
            return None
        prefetch = math.ceil(self._current_rate(now) * self.prefetch_s)
        missing = prefetch + waiting - self.balance(now)
        wants = (
            missing > 0
            and now >= self.retry_at
            and (waiting > 0 or missing * 2 >= prefetch)
        )
        if not wants and not self._unreported_grant_ids:
            return None
        grant_id = next(iter(self._unreported_grant_ids), 0)
        self._unreported_grant_ids.pop(grant_id, None)
        self._reported_grant_id = grant_id
        self.refill_pending = True
        total = missing if wants else 0
        wanted = total
        if waiting and first:
            wanted = min(total, max(0, first - self.balance(now)))
        return RefillRequest(
            wanted=wanted,
            waiting=total - wanted,
            returned=self._returned_by_grant.get(grant_id, 0),
            returned_grant=grant_id,
        )

    def complete_refill(self, retry_after_s: float, now: float) -> None:
        """Completes the pending request after the reply.

        Args:
            retry_after_s: Seconds until tokens may be requested again.
            now: Current time in seconds.
        """
        self.refill_pending = False
        self.last_refill_answered = True
        self.retry_at = now + retry_after_s

    def fail_refill(self, now: float, retry_delay_s: float) -> None:
        """Fails the pending request; its returned tokens are sent again.

        Args:
            now: Current time in seconds.
            retry_delay_s: Seconds until tokens may be requested again.
        """
        if self._reported_grant_id:
            self._unreported_grant_ids[self._reported_grant_id] = None
        self.refill_pending = False
        self.last_refill_answered = False
        self.retry_at = now + retry_delay_s

    def retry_after_s(self, now: float) -> float:
        """Returns the seconds after which a refused request may be retried."""
        remaining_s = self.retry_at - now
        return remaining_s if remaining_s > 0 else _DEFAULT_RETRY_AFTER_S

    def expire_all_grants(self) -> None:
        """Expires all grants, so that unused tokens are returned."""
        self._expire(float("inf"))

    def is_idle(self, now: float) -> bool:
        """Returns whether the account can be dropped without losing state."""
        return (
            self.balance(now) == 0
            and not self.debt
            and not self._unreported_grant_ids
            and not self.refill_pending
            and self._current_rate(now) < 0.5
        )

    def _take(self, tokens: int) -> dict[int, int]:
        parts: dict[int, int] = {}
        for grant in sorted(self._grants.values(), key=lambda g: g.expires_at):
            part = min(tokens, grant.tokens)
            if part:
                grant.tokens -= part
                tokens -= part
                parts[grant.grant_id] = part
        return parts

    def _pay_debt(self) -> None:
        paid = sum(self._take(self.debt).values()) if self.debt else 0
        self.debt -= paid
        self.spent += paid

    def _expire(self, now: float) -> None:
        for grant in list(self._grants.values()):
            if now >= grant.expires_at - RETURN_MARGIN_S:
                del self._grants[grant.grant_id]
                if grant.tokens:
                    self._return_tokens(grant.grant_id, grant.tokens)

    def _return_tokens(self, grant_id: int, tokens: int) -> None:
        self.returned += tokens
        self._returned_by_grant[grant_id] = (
            self._returned_by_grant.get(grant_id, 0) + tokens
        )
        self._unreported_grant_ids[grant_id] = None
        while len(self._returned_by_grant) > _MAX_RETURN_RECORDS:
            oldest = next(iter(self._returned_by_grant))
            del self._returned_by_grant[oldest]
            self._unreported_grant_ids.pop(oldest, None)

    def _record_usage(self, tokens: int, now: float) -> None:
        self._rate = self._current_rate(now) + tokens * (
            math.log(2) / _RATE_HALF_LIFE_S
        )
        self._rate_at = now

    def _current_rate(self, now: float) -> float:
        elapsed = max(0.0, now - self._rate_at)
        return self._rate * float(0.5 ** (elapsed / _RATE_HALF_LIFE_S))


class TokenAccounts:
    """Token accounts of all teams.

    Attributes:
        by_team: Account by team.
        prefetch_s: Time for which tokens are requested in advance. Use zero
            if requests are large compared with their team's rate: tokens held
            idle at one gateway are not available at the others.
    """

    def __init__(self, *, prefetch_s: float = PREFETCH_S) -> None:
        self.by_team: dict[str, TeamAccount] = {}
        self.prefetch_s = prefetch_s

    def account(self, team: str) -> TeamAccount:
        """Returns the account of a team, which is created when first used."""
        account = self.by_team.get(team)
        if account is None:
            account = self.by_team[team] = TeamAccount(
                prefetch_s=self.prefetch_s
            )
        return account

    def charge(self, team: str, tokens: int, now: float) -> Charge | None:
        """Charges a request in full; returns None if the balance is too low."""
        return self.account(team).charge(team, tokens, now)

    def settle(self, charge: Charge, used: int, now: float) -> None:
        """Replaces the charge of a request by its actual usage."""
        self.account(charge.team).settle(charge, used, now)

    def forget_idle(self, now: float) -> None:
        """Drops the accounts of teams without tokens, debt or recent usage."""
        for team in [t for t, a in self.by_team.items() if a.is_idle(now)]:
            del self.by_team[team]
