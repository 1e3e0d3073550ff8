"""Tests of the accounts of token grants."""

import hypothesis
from hypothesis import strategies as st

from monsoonhinge.gateway import token_accounts

_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["grant", "charge", "charge", "settle", "over", "ask", "time"]
        ),
        st.integers(0, 100),
    ),
    max_size=100,
)


@hypothesis.given(steps=_STEPS)
def test_spent_tokens_never_exceed_grants(
    steps: list[tuple[str, int]],
) -> None:
    """Guards against spending or returning more than was granted (P7)."""
    account = token_accounts.TeamAccount()
    charges: list[token_accounts.Charge] = []
    now, granted, used_total = 0.0, 0, 0
    returned_by_grant: dict[int, int] = {}
    for number, (action, amount) in enumerate(steps):
        if action == "grant":
            granted += amount
            account.add(number + 1, amount, now + 2.0)
            account.add(number + 1, amount, now + 2.0)
        elif action == "charge":
            charge = account.charge("bars", amount, now)
            if charge is not None:
                assert sum(charge.parts.values()) == amount
                charges.append(charge)
        elif action in ("settle", "over") and charges:
            charge = charges.pop(0)
            used = min(amount, charge.tokens)
            if action == "over":
                used = charge.tokens + amount
            account.settle(charge, used, now)
            account.settle(charge, used, now)
            used_total += used
        elif action == "ask":
            refill = account.begin_refill(amount, now)
            if refill is not None:
                before = returned_by_grant.get(refill.returned_grant, 0)
                assert refill.returned >= before
                returned_by_grant[refill.returned_grant] = refill.returned
                account.complete_refill(0.0, now)
        else:
            now += amount / 50
        assert account.spent + max(0, account.balance(now)) <= granted
        assert account.spent + account.returned <= granted
        assert sum(returned_by_grant.values()) <= account.returned
        charged = sum(charge.tokens for charge in charges)
        assert account.spent + account.debt == charged + used_total
        # No token is lost: each is held, spent or returned.
        held = account.balance(now) + account.debt
        assert held + account.spent + account.returned == granted


def test_expiring_grants_are_returned() -> None:
    """Guards against charges to a grant that the lease holder has expired."""
    account = token_accounts.TeamAccount()
    account.add(7, 100, 2.0)
    assert account.charge("bars", 40, 1.0) is not None
    assert account.charge("bars", 10, 1.9) is None
    refill = account.begin_refill(0, 1.9)
    assert refill is not None
    assert (refill.returned_grant, refill.returned) == (7, 60)


def test_lost_return_is_sent_again_in_total() -> None:
    """Guards against losing returned tokens with a lost message."""
    account = token_accounts.TeamAccount()
    account.add(7, 100, 2.0)
    charge = account.charge("bars", 40, 1.0)
    assert charge is not None
    account.begin_refill(0, 1.9)
    account.fail_refill(1.9, 0.0)
    account.settle(charge, 10, 1.95)
    refill = account.begin_refill(0, 1.95)
    assert refill is not None
    assert (refill.returned_grant, refill.returned) == (7, 90)


def test_many_small_requests_do_not_wait_for_all_their_tokens() -> None:
    """Guards against refusing a burst of which a part is within the rate."""
    account = token_accounts.TeamAccount()
    account.add(7, 10, 2.0)
    refill = account.begin_refill(300, 0.0, first=30)
    assert refill is not None
    assert (refill.wanted, refill.waiting) == (20, 270)


def test_usage_beyond_the_charge_is_paid_later() -> None:
    """Guards against uncharged usage when the prompt estimate was too low."""
    account = token_accounts.TeamAccount()
    account.add(1, 100, 9.0)
    charge = account.charge("bars", 100, 0.0)
    assert charge is not None
    account.settle(charge, 130, 0.0)
    account.add(2, 50, 9.0)
    assert account.balance(0.0) == 20


def test_one_refill_at_a_time_and_a_pause_after_failure() -> None:
    """Guards against flooding a scheduler that does not reply."""
    account = token_accounts.TeamAccount()
    refill = account.begin_refill(50, 0.0)
    assert refill is not None and refill.wanted == 50
    assert account.begin_refill(50, 0.0) is None
    account.fail_refill(0.0, retry_delay_s=0.5)
    assert account.begin_refill(50, 0.4) is None
    assert account.begin_refill(50, 0.5) is not None


def test_tokens_are_prefetched() -> None:
    """Guards against a delay at each grant under steady load."""
    account = token_accounts.TeamAccount()
    account.add(1, 1000, 9.0)
    for step in range(10):
        assert account.charge("bars", 90, step * 0.1) is not None
    refill = account.begin_refill(0, 0.9)
    assert refill is not None and refill.wanted > 200
