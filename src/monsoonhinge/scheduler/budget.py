"""Token buckets of the teams and the grants made from them."""

from collections.abc import Iterable, Mapping
import dataclasses

from monsoonhinge.config import schema
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages

GRANT_S = 2.0

# A charge is settled when its stream ends, long after the grant expired.
RETURN_S = 120.0

# Tokens committed ahead cover this much of the demand; a failover loses them.
AHEAD_S = 1.0

# By default a grant covers this much of a gateway's demand beyond what waits.
PREFETCH_S = 0.5

# Share of the burst that stays for gateways that did not ask yet.
_UNASKED_SHARE = 0.5
# Share of the burst from which a larger need is met in part.
_PARTIAL_SHARE = 0.5
_DEMAND_SMOOTHING_S = 2.0
_GRANTS_PER_LEASE = 2**24
_MIN_RETRY_MS = 20


@dataclasses.dataclass(slots=True)
class _Demand:
    """Tokens per second that a gateway asks for, smoothed."""

    rate: float = 0.0
    at: float = 0.0

    def add(self, tokens: int, now: float) -> None:
        elapsed = max(0.0, now - self.at)
        self.rate *= max(0.0, 1.0 - elapsed / _DEMAND_SMOOTHING_S)
        self.rate += tokens / _DEMAND_SMOOTHING_S
        self.at = now


@dataclasses.dataclass(slots=True)
class _Issued:
    gateway: str
    tokens: int
    until: float
    returned: int = 0


@dataclasses.dataclass(slots=True)
class Bucket:
    """Tokens of one team.

    Attributes:
        team: The team's configuration.
        level: Tokens that may be granted now; may be below zero right after
            a failover.
        filled_at: When ``level`` was computed, in seconds.
        granted: Tokens granted since the team was created.
        committed: Upper bound of ``granted`` in the log.
    """

    team: schema.Team
    level: float
    filled_at: float
    granted: int = 0
    committed: int = 0
    demand: dict[str, _Demand] = dataclasses.field(default_factory=dict)
    issued: dict[int, _Issued] = dataclasses.field(default_factory=dict)

    def fill(self, now: float) -> None:
        """Adds the tokens earned since the last call."""
        if now > self.filled_at:
            earned = (now - self.filled_at) * self.team.tokens_per_s
            self.level = min(self.team.burst_tokens, self.level + earned)
            self.filled_at = now
        # Grants were issued in this order, so the first expire first.
        while self.issued:
            grant_id = next(iter(self.issued))
            if self.issued[grant_id].until + RETURN_S >= now:
                break
            del self.issued[grant_id]


class Budget:
    """Buckets of the teams of one shard.

    Attributes:
        shard: Lease name, ``budget/{number}``.
        fencing: Fencing number of the lease.
        prefetch_s: A grant covers this much of a gateway's demand beyond what
            waits now.
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
        self._next_grant = fencing * _GRANTS_PER_LEASE

    @classmethod
    def from_checkpoints(
        cls,
        checkpoints: Iterable[commands.CheckpointBudget],
        *,
        shard: str,
        fencing: int,
        prefetch_s: float = PREFETCH_S,
    ) -> "Budget":
        """Continues from the log, as if all committed tokens were spent."""
        budget = cls(shard=shard, fencing=fencing, prefetch_s=prefetch_s)
        budget._checkpoints = {item.team: item for item in checkpoints}
        return budget

    def configure(self, teams: Mapping[str, schema.Team], now: float) -> None:
        """Takes the teams of a new configuration."""
        for name, team in teams.items():
            bucket = self.buckets.get(name)
            if bucket is None:
                self.buckets[name] = self._new_bucket(team, now)
            elif bucket.team != team:
                bucket.fill(now)
                bucket.team = team
                bucket.level = min(bucket.level, team.burst_tokens)
        for name in self.buckets.keys() - teams.keys():
            bucket = self.buckets.pop(name)
            bucket.fill(now)
            self._checkpoints[name] = self._checkpoint(bucket, bucket.committed)

    def grant(
        self, request: messages.GrantRequest, now: float
    ) -> messages.Grant:
        """Grants tokens, sized by what the gateway needs.

        Only tokens that a committed checkpoint covers are granted; commit
        ``checkpoint_needed`` first.
        """
        bucket = self.buckets.get(request.team)
        if bucket is None:
            return messages.Grant(team=request.team, retry_after_ms=1000)
        bucket.fill(now)
        self._take_back(bucket, request)
        needed = request.wanted + request.waiting
        demand = bucket.demand.setdefault(request.gateway, _Demand(at=now))
        if needed:
            demand.add(needed, now)
        available = int(max(0.0, bucket.level))
        tokens = min(needed, available)
        if available < min(
            request.wanted, bucket.team.burst_tokens * _PARTIAL_SHARE
        ):
            # Part of what a request needs would only be held back from
            # smaller requests at other gateways.
            tokens = 0
        elif needed:
            tokens += self._prefetch(bucket, demand, available - tokens)
        tokens = min(tokens, bucket.committed - bucket.granted)
        if tokens <= 0:
            return messages.Grant(
                team=request.team,
                retry_after_ms=self._retry_ms(bucket, needed),
            )
        bucket.level -= tokens
        bucket.granted += tokens
        grant_id = self._next_grant
        self._next_grant += 1
        bucket.issued[grant_id] = _Issued(
            request.gateway, tokens, now + GRANT_S
        )
        short = needed - tokens
        return messages.Grant(
            team=request.team,
            grant_id=grant_id,
            tokens=tokens,
            valid_ms=int(GRANT_S * 1000),
            retry_after_ms=self._retry_ms(bucket, short) if short > 0 else 0,
        )

    def checkpoint_needed(
        self, request: messages.GrantRequest, now: float
    ) -> commands.CheckpointBudget | None:
        """Returns the checkpoint to commit before a request is answered."""
        bucket = self.buckets.get(request.team)
        if bucket is None:
            return None
        bucket.fill(now)
        needed = request.wanted + request.waiting
        bucket.demand = {
            gateway: demand
            for gateway, demand in bucket.demand.items()
            if now - demand.at < _DEMAND_SMOOTHING_S
        }
        rate = sum(demand.rate for demand in bucket.demand.values())
        available = max(0.0, bucket.level + request.returned)
        likely = min(available, needed + rate * PREFETCH_S)
        if bucket.committed - bucket.granted >= int(likely):
            return None
        earned = bucket.team.tokens_per_s * AHEAD_S
        ahead = min(available + earned, needed + rate * AHEAD_S)
        return self._checkpoint(
            bucket, max(bucket.committed, bucket.granted + int(ahead) + 1)
        )

    def committed(self, checkpoint: commands.CheckpointBudget) -> None:
        """Records that a checkpoint is in the log."""
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

    def _take_back(
        self, bucket: Bucket, request: messages.GrantRequest
    ) -> None:
        """Puts tokens that were not used back into the bucket.

        The gateway reports all tokens of the grant that came back so far, so
        a repeated request returns nothing twice.
        """
        issue = bucket.issued.get(request.returned_grant)
        if issue is None or issue.gateway != request.gateway:
            return
        total = min(request.returned, issue.tokens)
        returned = max(0, total - issue.returned)
        issue.returned += returned
        bucket.level = min(bucket.team.burst_tokens, bucket.level + returned)

    def _prefetch(self, bucket: Bucket, demand: _Demand, spare: int) -> int:
        """Returns extra tokens for the demand expected soon.

        Part of the burst stays in the bucket for gateways that did not ask.
        """
        kept = bucket.team.burst_tokens * _UNASKED_SHARE
        gateways = max(1, len(bucket.demand))
        share = max(0.0, (spare - kept) / gateways)
        return int(min(demand.rate * self.prefetch_s, share))

    def _retry_ms(self, bucket: Bucket, short: int) -> int:
        missing = max(1.0, min(short, bucket.team.burst_tokens) - bucket.level)
        return max(
            _MIN_RETRY_MS, int(missing / bucket.team.tokens_per_s * 1000)
        )
