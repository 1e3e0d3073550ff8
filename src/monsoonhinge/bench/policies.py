"""Baselines that the scheduler's policy is compared with."""

from collections.abc import Callable, Mapping, Set
import dataclasses
import math
import typing

from monsoonhinge.config import schema
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import budget
from monsoonhinge.scheduler import keepalive


class TokenPolicy(typing.Protocol):
    """Decides whether a request's tokens are available at a gateway."""

    def take(self, gateway: str, team: str, tokens: int, now: float) -> bool:
        """Charges the tokens and returns True, or returns False."""


class FixedKeep:
    """Keeps every idle replica for the same time."""

    def __init__(self, keep_s: float) -> None:
        self._plan = keepalive.Plan(keep_s=keep_s)
        self._idle_since: dict[str, float] = {}
        self._active: Set[str] = frozenset()

    def update(self, active: Set[str], now: float) -> None:
        """See keepalive.KeepAlivePolicy."""
        for model in self._active | active:
            self._idle_since[model] = now
        self._active = set(active)

    def idle_since(self, model: str) -> float | None:
        """See keepalive.KeepAlivePolicy."""
        return self._idle_since.get(model)

    def plan(
        self, model: str, *, load_s: float, memory_pressure: float
    ) -> keepalive.Plan:
        """See keepalive.KeepAlivePolicy."""
        return self._plan

    def min_residency_s(self, load_s: float) -> float:
        """See keepalive.KeepAlivePolicy."""
        return 1.0

    def eviction_cost(self, model: str, *, load_s: float, now: float) -> float:
        """Prefers the model that was used longest ago."""
        return 1.0 / (1.0 + now - self._idle_since.get(model, 0.0))


class _Bucket:
    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.at = 0.0

    def take(self, tokens: int, now: float) -> bool:
        earned = (now - self.at) * self.rate
        self.level = min(self.burst, self.level + earned)
        self.at = now
        if self.level < tokens:
            return False
        self.level -= tokens
        return True


class SplitTokens:
    """Splits each team's bucket into equal parts, one per gateway."""

    def __init__(self, teams: Mapping[str, schema.Team], gateways: int) -> None:
        self._teams = teams
        self._parts = gateways
        self._buckets: dict[tuple[str, str], _Bucket] = {}

    def take(self, gateway: str, team: str, tokens: int, now: float) -> bool:
        """See TokenPolicy."""
        bucket = self._buckets.get((gateway, team))
        if bucket is None:
            limits = self._teams[team]
            bucket = _Bucket(
                limits.tokens_per_s / self._parts,
                limits.burst_tokens / self._parts,
            )
            self._buckets[gateway, team] = bucket
        return bucket.take(tokens, now)


class IdealTokens(SplitTokens):
    """One bucket per team that every gateway reaches without delay."""

    def __init__(self, teams: Mapping[str, schema.Team]) -> None:
        super().__init__(teams, 1)

    def take(self, gateway: str, team: str, tokens: int, now: float) -> bool:
        """See TokenPolicy."""
        return super().take("", team, tokens, now)


@dataclasses.dataclass(slots=True)
class _Wallet:
    grants: dict[int, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )


class GrantedTokens:
    """Wallets at the gateways, filled by the scheduler's budget."""

    # An unused grant goes back after this time.
    return_after_s = 1.0

    def __init__(
        self, teams: Mapping[str, schema.Team], now: float = 0.0
    ) -> None:
        self.holder = budget.Budget(shard="budget/0", fencing=1)
        self.holder.configure(teams, now)
        self._wallets: dict[tuple[str, str], _Wallet] = {}

    def take(self, gateway: str, team: str, tokens: int, now: float) -> bool:
        """See TokenPolicy."""
        self._return_unused(now)
        wallet = self._wallets.setdefault((gateway, team), _Wallet())
        missing = tokens - sum(left for left, _ in wallet.grants.values())
        if missing > 0:
            grant = self._ask(
                messages.GrantRequest(
                    gateway=gateway, team=team, wanted=missing
                ),
                now,
            )
            if grant.tokens:
                wallet.grants[grant.grant_id] = (grant.tokens, now)
            if grant.tokens < missing:
                return False
        for grant_id, (left, at) in list(wallet.grants.items()):
            used = min(left, tokens)
            tokens -= used
            wallet.grants[grant_id] = (left - used, at)
        return True

    def _return_unused(self, now: float) -> None:
        for (gateway, team), wallet in self._wallets.items():
            for grant_id, (left, at) in list(wallet.grants.items()):
                if now - at < self.return_after_s:
                    continue
                del wallet.grants[grant_id]
                # The return left the gateway as soon as it was due.
                self._ask(
                    messages.GrantRequest(
                        gateway=gateway,
                        team=team,
                        returned=left,
                        returned_grant=grant_id,
                    ),
                    at + self.return_after_s,
                )

    def _ask(
        self, request: messages.GrantRequest, now: float
    ) -> messages.Grant:
        checkpoint = self.holder.checkpoint_needed(request, now)
        if checkpoint is not None:
            self.holder.record_commit(checkpoint)
        return self.holder.grant(request, now)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A policy under comparison.

    Attributes:
        name: Name in the table.
        retention: Makes the keep-alive policy.
        tokens: Makes the token policy from teams and number of gateways.
    """

    name: str
    retention: Callable[[schema.Policy], keepalive.KeepAlivePolicy]
    tokens: Callable[[Mapping[str, schema.Team], int], TokenPolicy]


def _fixed(
    keep_s: float,
) -> Callable[[schema.Policy], keepalive.KeepAlivePolicy]:
    return lambda policy: FixedKeep(keep_s)


def _granted(teams: Mapping[str, schema.Team], gateways: int) -> TokenPolicy:
    return GrantedTokens(teams)


OURS = Candidate("scheduler", keepalive.HistogramKeepAlive, _granted)

# Each baseline differs from the scheduler in one decision only, so that both
# see the same admitted requests when keep times are compared.
KEEP_BASELINES = [
    *(
        Candidate(f"keep {keep_s} s", _fixed(keep_s), _granted)
        for keep_s in (10, 60, 300, 900)
    ),
    Candidate("least recently used", _fixed(math.inf), _granted),
]
TOKEN_BASELINES = [
    Candidate("equal token split", keepalive.HistogramKeepAlive, SplitTokens)
]
