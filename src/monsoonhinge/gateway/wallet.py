"""Token grants held by this gateway."""

import dataclasses
import math

# Typical tokenizers yield one token for about four bytes of JSON text. The
# difference to what the engine reports is settled after the run.
_BYTES_PER_TOKEN = 4
_RATE_HALF_LIFE_S = 1.0
# Tokens for this much time are asked for ahead.
AHEAD_S = 1.0
# Unused tokens go back this long before their grant expires, so that the
# return reaches the holder in time.
RETURN_BEFORE_S = 0.25
_DEFAULT_RETRY_S = 1.0
# Grants last 2 s and several are made per second while a team is busy.
_MAX_TOTALS = 256


def prompt_tokens(body_bytes: int) -> int:
    """Estimates the prompt tokens of a request from its body size."""
    return math.ceil(body_bytes / _BYTES_PER_TOKEN)


@dataclasses.dataclass(slots=True)
class _Held:
    grant_id: int
    tokens: int
    expires_at: float


@dataclasses.dataclass(slots=True)
class Charge:
    """Tokens taken for one request.

    Attributes:
        team: Team charged.
        tokens: Tokens charged.
        parts: Tokens taken from each grant, by grant id.
        settled: Whether the usage has been settled.
    """

    team: str
    tokens: int
    parts: dict[int, int]
    settled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """What to request from the holder.

    Attributes:
        wanted: Tokens that the next request needs, of use only as a whole.
        waiting: Tokens that others need, of use also in part.
        returned: Tokens of ``returned_grant`` that came back in total.
        returned_grant: Grant that they belong to.
    """

    wanted: int
    waiting: int = 0
    returned: int = 0
    returned_grant: int = 0


class Account:
    """Grants of one team.

    Attributes:
        ahead_s: Time for which tokens are asked for ahead.
        debt: Tokens used beyond their charge, paid from the next tokens.
        spent: Tokens charged in total, less what was refunded.
        granted: Tokens granted in total.
        returned: Tokens given back in total.
    """

    def __init__(self, *, ahead_s: float = AHEAD_S) -> None:
        self.ahead_s = ahead_s
        self.debt = 0
        self.spent = 0
        self.granted = 0
        self.returned = 0
        self.asking = False
        self.retry_at = 0.0
        self.answered = False
        self._held: dict[int, _Held] = {}
        # Tokens of each grant that came back in total; the holder takes totals
        # so that a lost or repeated message changes nothing.
        self._totals: dict[int, int] = {}
        self._unsent: dict[int, None] = {}
        self._sending = 0
        self._rate = 0.0
        self._rate_at = 0.0

    def balance(self, now: float) -> int:
        """Returns the tokens that may be charged now."""
        self._expire(now)
        return sum(held.tokens for held in self._held.values()) - self.debt

    def add(self, grant_id: int, tokens: int, expires_at: float) -> None:
        """Adds a grant; a repeated grant is not counted twice."""
        if tokens <= 0 or grant_id in self._held:
            return
        self.granted += tokens
        self._held[grant_id] = _Held(grant_id, tokens, expires_at)
        self._pay_debt()

    def charge(self, team: str, tokens: int, now: float) -> Charge | None:
        """Takes tokens for a request, or nothing if too few are held."""
        if self.balance(now) < tokens:
            return None
        self._count(tokens, now)
        charge = Charge(team=team, tokens=tokens, parts=self._take(tokens))
        self.spent += tokens
        return charge

    def settle(self, charge: Charge, used: int, now: float) -> None:
        """Replaces the charge of a request by what it used.

        Args:
            charge: The charge.
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
        left = charge.tokens - used
        self.spent -= left
        for grant_id, tokens in charge.parts.items():
            back = min(left, tokens)
            left -= back
            held = self._held.get(grant_id)
            if held is not None and held.expires_at > now:
                held.tokens += back
            elif back:
                self._give_back(grant_id, back)
        self._expire(now)
        self._pay_debt()

    def ask(self, waiting: int, now: float, *, first: int = 0) -> Ask | None:
        """Returns what to request from the holder now, if anything.

        Args:
            waiting: Tokens that all waiting requests need.
            now: Current time in seconds.
            first: Tokens that one of them needs; zero for all at once.
        """
        self._expire(now)
        if self.asking:
            return None
        ahead = math.ceil(self._current_rate(now) * self.ahead_s)
        missing = ahead + waiting - self.balance(now)
        wants = (
            missing > 0
            and now >= self.retry_at
            and (waiting > 0 or missing * 2 >= ahead)
        )
        if not wants and not self._unsent:
            return None
        grant_id = next(iter(self._unsent), 0)
        self._unsent.pop(grant_id, None)
        self._sending = grant_id
        self.asking = True
        total = missing if wants else 0
        wanted = total
        if waiting and first:
            wanted = min(total, max(0, first - self.balance(now)))
        return Ask(
            wanted=wanted,
            waiting=total - wanted,
            returned=self._totals.get(grant_id, 0),
            returned_grant=grant_id,
        )

    def replied(self, retry_after_s: float, now: float) -> None:
        """Ends a request that was answered."""
        self.asking = False
        self.answered = True
        self.retry_at = now + retry_after_s

    def unanswered(self, now: float, pause_s: float) -> None:
        """Ends a request without an answer; what it returned is sent again."""
        if self._sending:
            self._unsent[self._sending] = None
        self.asking = False
        self.answered = False
        self.retry_at = now + pause_s

    def retry_after_s(self, now: float) -> float:
        """Returns when a refused request has a chance, in seconds."""
        left = self.retry_at - now
        return left if left > 0 else _DEFAULT_RETRY_S

    def close(self) -> None:
        """Ends all grants so that their tokens can be returned."""
        self._expire(float("inf"))

    def idle(self, now: float) -> bool:
        """Returns whether nothing about the team must be remembered."""
        return (
            self.balance(now) == 0
            and not self.debt
            and not self._unsent
            and not self.asking
            and self._current_rate(now) < 0.5
        )

    def _take(self, tokens: int) -> dict[int, int]:
        parts: dict[int, int] = {}
        for held in sorted(self._held.values(), key=lambda h: h.expires_at):
            part = min(tokens, held.tokens)
            if part:
                held.tokens -= part
                tokens -= part
                parts[held.grant_id] = part
        return parts

    def _pay_debt(self) -> None:
        paid = sum(self._take(self.debt).values()) if self.debt else 0
        self.debt -= paid
        self.spent += paid

    def _expire(self, now: float) -> None:
        for held in list(self._held.values()):
            if now >= held.expires_at - RETURN_BEFORE_S:
                del self._held[held.grant_id]
                if held.tokens:
                    self._give_back(held.grant_id, held.tokens)

    def _give_back(self, grant_id: int, tokens: int) -> None:
        self.returned += tokens
        self._totals[grant_id] = self._totals.get(grant_id, 0) + tokens
        self._unsent[grant_id] = None
        while len(self._totals) > _MAX_TOTALS:
            oldest = next(iter(self._totals))
            del self._totals[oldest]
            self._unsent.pop(oldest, None)

    def _count(self, tokens: int, now: float) -> None:
        self._rate = self._current_rate(now) + tokens * (
            math.log(2) / _RATE_HALF_LIFE_S
        )
        self._rate_at = now

    def _current_rate(self, now: float) -> float:
        elapsed = max(0.0, now - self._rate_at)
        return self._rate * float(0.5 ** (elapsed / _RATE_HALF_LIFE_S))


class Wallet:
    """Accounts of all teams.

    Attributes:
        accounts: Account by team.
        ahead_s: Time for which tokens are asked for ahead. Zero suits teams
            whose requests are large against their rate: tokens that wait at
            one gateway are missing at the others.
    """

    def __init__(self, *, ahead_s: float = AHEAD_S) -> None:
        self.accounts: dict[str, Account] = {}
        self.ahead_s = ahead_s

    def account(self, team: str) -> Account:
        """Returns a team's account."""
        account = self.accounts.get(team)
        if account is None:
            account = self.accounts[team] = Account(ahead_s=self.ahead_s)
        return account

    def charge(self, team: str, tokens: int, now: float) -> Charge | None:
        """Takes tokens for a request, or nothing if too few are held."""
        return self.account(team).charge(team, tokens, now)

    def settle(self, charge: Charge, used: int, now: float) -> None:
        """Replaces the charge of a request by what it used."""
        self.account(charge.team).settle(charge, used, now)

    def forget_idle(self, now: float) -> None:
        """Drops the accounts of teams without tokens or requests."""
        for team in [t for t, a in self.accounts.items() if a.idle(now)]:
            del self.accounts[team]
