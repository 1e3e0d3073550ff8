"""Token buckets of teams and the grants that are issued from them."""

from collections.abc import Iterable, Mapping
import dataclasses

from monsoonhinge.config import schema
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages

GRANT_TTL_S = 2.0

# A gateway refunds unused tokens when a stream ends, which can be long after
# the grant expired.
REFUND_WINDOW_S = 120.0

# A checkpoint covers this many seconds of demand in advance. Tokens that it
# covers but that were not granted are lost on failover.
CHECKPOINT_AHEAD_S = 1.0

# By default a grant covers this many seconds of a gateway's expected demand in
# addition to its waiting requests.
PREFETCH_S = 0.5

# Share of the burst that prefetching leaves for other gateways.
_RESERVED_BURST_SHARE = 0.5
# A request for more than this share of the burst may get a partial grant.
_PARTIAL_GRANT_SHARE = 0.5
_DEMAND_SMOOTHING_S = 2.0
_GRANT_IDS_PER_LEASE = 2**24
_MIN_RETRY_AFTER_MS = 20


@dataclasses.dataclass(slots=True)
class _DemandRate:
    """Smoothed rate of the tokens that a gateway requests."""

    tokens_per_s: float = 0.0
    updated_at: float = 0.0

    def add(self, tokens: int, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.tokens_per_s *= max(0.0, 1.0 - elapsed / _DEMAND_SMOOTHING_S)
        self.tokens_per_s += tokens / _DEMAND_SMOOTHING_S
        self.updated_at = now


@dataclasses.dataclass(slots=True)
class _IssuedGrant:
    gateway: str
    tokens: int
    expires_at: float
    returned: int = 0


@dataclasses.dataclass(slots=True)
class Bucket:
    """Token bucket of one team.

    Attributes:
        team: The team's configuration.
        level: Tokens that may be granted now; may be below zero right after
            a failover.
        refilled_at: When ``level`` was last refilled, in seconds.
        granted: Tokens granted since the team was created.
        committed: Upper bound of ``granted`` in the control log.
        demand: Rate of requested tokens by gateway.
        issued: Grants whose tokens may still be refunded, by id.
    """

    team: schema.Team
    level: float
    refilled_at: float
    granted: int = 0
    committed: int = 0
    demand: dict[str, _DemandRate] = dataclasses.field(default_factory=dict)
    issued: dict[int, _IssuedGrant] = dataclasses.field(default_factory=dict)

    def refill(self, now: float) -> None:
        """Adds the tokens earned since the last call and drops old grants."""
        if now > self.refilled_at:
            earned = (now - self.refilled_at) * self.team.tokens_per_s
            self.level = min(self.team.burst_tokens, self.level + earned)
            self.refilled_at = now
        # Grants are in the order in which they expire.
        while self.issued:
            grant_id = next(iter(self.issued))
            if self.issued[grant_id].expires_at + REFUND_WINDOW_S >= now:
                break
            del self.issued[grant_id]


class Budget:
    """Token buckets of the teams of one shard.

    Attributes:
        shard: Lease name, ``budget/{number}``.
        fencing: Fencing token of the lease.
        prefetch_s: Seconds of a gateway's expected demand that a grant covers
            in addition to its waiting requests.
        buckets: Buckets by team.
    """

    def __init__(
        self, *, shard: str, fencing: int, prefetch_s: float = PREFETCH_S
    ) -> None:
        self.shard = shard
        self.fencing = fencing
        self.prefetch_s = prefetch_s
        self.buckets: dict[str, Bucket] = {}
        self._checkpoints: dict[str, commands.CheckpointBudget] = {}
        self._next_grant = fencing * _GRANT_IDS_PER_LEASE

    @classmethod
    def from_checkpoints(
        cls,
        checkpoints: Iterable[commands.CheckpointBudget],
        *,
        shard: str,
        fencing: int,
        prefetch_s: float = PREFETCH_S,
    ) -> "Budget":
        """Restores the buckets from the checkpoints in the control log.

        All tokens that a checkpoint covers count as spent, because the former
        lease holder may have granted them.
        """
        budget = cls(shard=shard, fencing=fencing, prefetch_s=prefetch_s)
        budget._checkpoints = {
            checkpoint.team: checkpoint for checkpoint in checkpoints
        }
        return budget

    def configure(self, teams: Mapping[str, schema.Team], now: float) -> None:
        """Applies the teams of a new configuration."""
        for name, team in teams.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                self.buckets[name] = self._new_bucket(team, now)
            elif bucket.team != team:
                bucket.refill(now)
                bucket.team = team
                bucket.level = min(bucket.level, team.burst_tokens)
        for name in self.buckets.keys() - teams.keys():
            bucket = self.buckets.pop(name)
            bucket.refill(now)
            self._checkpoints[name] = self._checkpoint(bucket, bucket.committed)

    def grant(
        self, request: messages.GrantRequest, now: float
    ) -> messages.Grant:
        """Issues a grant for the tokens that a gateway needs.

        Only tokens that a committed checkpoint covers are granted, so the
        caller commits the result of ``checkpoint_needed`` first.
        """
        bucket = self.buckets.get(request.team)
        if bucket is None:
            return messages.Grant(team=request.team, retry_after_ms=1000)
        bucket.refill(now)
        self._refund(bucket, request)
        needed = request.wanted + request.waiting
        demand = bucket.demand.setdefault(
            request.gateway, _DemandRate(updated_at=now)
        )
        if needed:
            demand.add(needed, now)
        available = int(max(0.0, bucket.level))
        tokens = min(needed, available)
        if available < min(
            request.wanted, bucket.team.burst_tokens * _PARTIAL_GRANT_SHARE
        ):
            # A partial grant could not serve the request and would only keep
            # tokens from smaller requests at other gateways.
            tokens = 0
        elif needed:
            tokens += self._prefetch_tokens(bucket, demand, available - tokens)
        tokens = min(tokens, bucket.committed - bucket.granted)
        if tokens <= 0:
            return messages.Grant(
                team=request.team,
                retry_after_ms=self._retry_after_ms(bucket, needed),
            )
        bucket.level -= tokens
        bucket.granted += tokens
        grant_id = self._next_grant
        self._next_grant += 1
        bucket.issued[grant_id] = _IssuedGrant(
            request.gateway, tokens, now + GRANT_TTL_S
        )
        shortfall = needed - tokens
        return messages.Grant(
            team=request.team,
            grant_id=grant_id,
            tokens=tokens,
            valid_ms=int(GRANT_TTL_S * 1000),
            retry_after_ms=self._retry_after_ms(bucket, shortfall)
            if shortfall > 0
            else 0,
        )

    def checkpoint_needed(
        self, request: messages.GrantRequest, now: float
    ) -> commands.CheckpointBudget | None:
        """Returns the checkpoint to commit before ``grant``, or None."""
        bucket = self.buckets.get(request.team)
        if bucket is None:
            return None
        bucket.refill(now)
        needed = request.wanted + request.waiting
        bucket.demand = {
            gateway: demand
            for gateway, demand in bucket.demand.items()
            if now - demand.updated_at < _DEMAND_SMOOTHING_S
        }
        tokens_per_s = sum(
            demand.tokens_per_s for demand in bucket.demand.values()
        )
        available = max(0.0, bucket.level + request.returned)
        expected = min(available, needed + tokens_per_s * PREFETCH_S)
        if bucket.committed - bucket.granted >= int(expected):
            return None
        earned = bucket.team.tokens_per_s * CHECKPOINT_AHEAD_S
        headroom = min(
            available + earned, needed + tokens_per_s * CHECKPOINT_AHEAD_S
        )
        return self._checkpoint(
            bucket, max(bucket.committed, bucket.granted + int(headroom) + 1)
        )

    def record_commit(self, checkpoint: commands.CheckpointBudget) -> None:
        """Records that a checkpoint is committed to the control log."""
        bucket = self.buckets.get(checkpoint.team)
        if bucket is not None:
            bucket.committed = max(bucket.committed, checkpoint.granted)

    def _new_bucket(self, team: schema.Team, now: float) -> Bucket:
        checkpoint = self._checkpoints.pop(team.name, None)
        if checkpoint is None:
            return Bucket(team, float(team.burst_tokens), now)
        return Bucket(
            team,
            float(min(checkpoint.level, team.burst_tokens)),
            now,
            granted=checkpoint.granted,
            committed=checkpoint.granted,
        )

    def _checkpoint(
        self, bucket: Bucket, granted: int
    ) -> commands.CheckpointBudget:
        level = bucket.level - (granted - bucket.granted)
        return commands.CheckpointBudget(
            shard=self.shard,
            fencing=self.fencing,
            team=bucket.team.name,
            granted=granted,
            level=int(level // 1),
        )

    def _refund(self, bucket: Bucket, request: messages.GrantRequest) -> None:
        """Adds the unused tokens of a grant to the bucket.

        The gateway reports the total refunded from the grant so far, so a
        retried request is not refunded twice.
        """
        issued_grant = bucket.issued.get(request.returned_grant)
        if issued_grant is None or issued_grant.gateway != request.gateway:
            return
        reported = min(request.returned, issued_grant.tokens)
        returned = max(0, reported - issued_grant.returned)
        issued_grant.returned += returned
        bucket.level = min(bucket.team.burst_tokens, bucket.level + returned)

    def _prefetch_tokens(
        self, bucket: Bucket, demand: _DemandRate, spare_tokens: int
    ) -> int:
        """Returns extra tokens for the expected demand of a gateway.

        Part of the burst stays in the bucket for other gateways.
        """
        reserved_tokens = bucket.team.burst_tokens * _RESERVED_BURST_SHARE
        gateways = max(1, len(bucket.demand))
        gateway_share = max(0.0, (spare_tokens - reserved_tokens) / gateways)
        return int(min(demand.tokens_per_s * self.prefetch_s, gateway_share))

    def _retry_after_ms(self, bucket: Bucket, shortfall: int) -> int:
        missing = max(
            1.0, min(shortfall, bucket.team.burst_tokens) - bucket.level
        )
        return max(
            _MIN_RETRY_AFTER_MS, int(missing / bucket.team.tokens_per_s * 1000)
        )
