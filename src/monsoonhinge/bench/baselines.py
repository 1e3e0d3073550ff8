"""The scheduler's policies and the baselines they are compared with."""

from collections.abc import Callable, Mapping, Set
import dataclasses
import math
import typing

from monsoonhinge.config import schema
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import budget
from monsoonhinge.scheduler import keepalive


class TokenPolicy(typing.Protocol):
    """Decides whether a gateway may admit a request of a team."""

    def take(self, gateway: str, team: str, tokens: int, now: float) -> bool:
        """Charges the tokens of a request if they are available.

        Args:
            gateway: Name of the gateway.
            team: Name of the team.
            tokens: Number of tokens of the request.
            now: Current time in seconds.

        Returns:
            Whether the tokens were charged.
        """


class FixedKeepAlive:
    """Keeps every idle replica loaded for the same time."""

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
        """Returns a cost that is lowest for the least recently used model."""
        return 1.0 / (1.0 + now - self._idle_since.get(model, 0.0))


class _TokenBucket:
    def __init__(self, tokens_per_s: float, burst_tokens: float) -> None:
        self.tokens_per_s = tokens_per_s
        self.burst_tokens = burst_tokens
        self.level = burst_tokens
        self.refilled_at = 0.0

    def take(self, tokens: int, now: float) -> bool:
        refill = (now - self.refilled_at) * self.tokens_per_s
        self.level = min(self.burst_tokens, self.level + refill)
        self.refilled_at = now
        if self.level < tokens:
            return False
        self.level -= tokens
        return True


class SplitTokenPolicy:
    """Splits each team's token bucket equally between the gateways."""

    def __init__(
        self, teams: Mapping[str, schema.Team], gateway_count: int
    ) -> None:
        self._teams = teams
        self._gateway_count = gateway_count
        self._buckets: dict[tuple[str, str], _TokenBucket] = {}

    def take(self, gateway: str, team: str, tokens: int, now: float) -> bool:
        """See TokenPolicy."""
        bucket = self._buckets.get((gateway, team))
        if bucket is None:
            limits = self._teams[team]
            bucket = _TokenBucket(
                limits.tokens_per_s / self._gateway_count,
                limits.burst_tokens / self._gateway_count,
            )
            self._buckets[gateway, team] = bucket
        return bucket.take(tokens, now)


class IdealTokenPolicy(SplitTokenPolicy):
    """Uses one token bucket per team that all gateways share without delay."""

    def __init__(self, teams: Mapping[str, schema.Team]) -> None:
        super().__init__(teams, 1)

    def take(self, gateway: str, team: str, tokens: int, now: float) -> bool:
        """See TokenPolicy."""
        return super().take("", team, tokens, now)


@dataclasses.dataclass(slots=True)
class _TokenAccount:
    # Unused tokens and time of each grant, by grant id.
    grants: dict[int, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )


class GrantedTokenPolicy:
    """Grants tokens from the scheduler's budget to accounts at the gateways.

    Attributes:
        return_after_s: Time in seconds after which a gateway returns the
            unused part of a grant.
        budget: The scheduler's token budget of all teams.
    """

    return_after_s = 1.0

    def __init__(
        self, teams: Mapping[str, schema.Team], now: float = 0.0
    ) -> None:
        self.budget = budget.Budget(shard="budget/0", fencing=1)
        self.budget.configure(teams, now)
        self._accounts: dict[tuple[str, str], _TokenAccount] = {}

    def take(self, gateway: str, team: str, tokens: int, now: float) -> bool:
        """See TokenPolicy."""
        self._return_unused(now)
        account = self._accounts.setdefault((gateway, team), _TokenAccount())
        missing = tokens - sum(left for left, _ in account.grants.values())
        if missing > 0:
            grant = self._request_grant(
                messages.GrantRequest(
                    gateway=gateway, team=team, wanted=missing
                ),
                now,
            )
            if grant.tokens:
                account.grants[grant.grant_id] = (grant.tokens, now)
            if grant.tokens < missing:
                return False
        for grant_id, (left, granted_at) in list(account.grants.items()):
            used = min(left, tokens)
            tokens -= used
            account.grants[grant_id] = (left - used, granted_at)
        return True

    def _return_unused(self, now: float) -> None:
        for (gateway, team), account in self._accounts.items():
            for grant_id, (left, granted_at) in list(account.grants.items()):
                if now - granted_at < self.return_after_s:
                    continue
                del account.grants[grant_id]
                # A gateway returns a grant as soon as it is due, which may be
                # earlier than now.
                self._request_grant(
                    messages.GrantRequest(
                        gateway=gateway,
                        team=team,
                        returned=left,
                        returned_grant=grant_id,
                    ),
                    granted_at + self.return_after_s,
                )

    def _request_grant(
        self, request: messages.GrantRequest, now: float
    ) -> messages.Grant:
        checkpoint = self.budget.checkpoint_needed(request, now)
        if checkpoint is not None:
            self.budget.record_commit(checkpoint)
        return self.budget.grant(request, now)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A combination of policies under comparison.

    Attributes:
        name: Name in the table.
        make_keep_alive: Creates the keep-alive policy.
        make_token_policy: Creates the token policy from the teams and the
            number of gateways.
    """

    name: str
    make_keep_alive: Callable[[schema.Policy], keepalive.KeepAlivePolicy]
    make_token_policy: Callable[[Mapping[str, schema.Team], int], TokenPolicy]


def _make_fixed_keep_alive(
    keep_s: float,
) -> Callable[[schema.Policy], keepalive.KeepAlivePolicy]:
    return lambda policy: FixedKeepAlive(keep_s)


def _make_granted_tokens(
    teams: Mapping[str, schema.Team], gateway_count: int
) -> TokenPolicy:
    return GrantedTokenPolicy(teams)


SCHEDULER = Candidate(
    "scheduler", keepalive.HistogramKeepAlive, _make_granted_tokens
)

# Each baseline differs from the scheduler in only one policy, so that
# keep-alive policies are compared on the same admitted requests.
KEEP_ALIVE_BASELINES = [
    *(
        Candidate(
            f"keep {keep_s} s",
            _make_fixed_keep_alive(keep_s),
            _make_granted_tokens,
        )
        for keep_s in (10, 60, 300, 900)
    ),
    Candidate(
        "least recently used",
        _make_fixed_keep_alive(math.inf),
        _make_granted_tokens,
    ),
]
TOKEN_BASELINES = [
    Candidate(
        "equal token split", keepalive.HistogramKeepAlive, SplitTokenPolicy
    )
]
