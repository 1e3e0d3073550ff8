"""Token grants held by a gateway."""

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
    """Guards against tokens that come from nowhere (P7)."""
    account = token_accounts.TeamAccount()
    charges: list[token_accounts.Charge] = []
    now, granted, used_total = 0.0, 0, 0
    given_back: dict[int, int] = {}
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
                before = given_back.get(refill.returned_grant, 0)
                assert refill.returned >= before
                given_back[refill.returned_grant] = refill.returned
                account.complete_refill(0.0, now)
        else:
            now += amount / 50
        assert account.spent + max(0, account.balance(now)) <= granted
        assert account.spent + account.returned <= granted
        assert sum(given_back.values()) <= account.returned
        charged = sum(charge.tokens for charge in charges)
        assert account.spent + account.debt == charged + used_total
        # Nothing is lost either: each token is held, spent or returned.
        held = account.balance(now) + account.debt
        assert held + account.spent + account.returned == granted


def test_grants_expire_and_go_back() -> None:
    """Guards against charges on a grant that the holder counts as ended."""
    account = token_accounts.TeamAccount()
    account.add(7, 100, 2.0)
    assert account.charge("bars", 40, 1.0) is not None
    assert account.charge("bars", 10, 1.9) is None
    refill = account.begin_refill(0, 1.9)
    assert refill is not None
    assert (refill.returned_grant, refill.returned) == (7, 60)


def test_lost_return_is_sent_again_in_total() -> None:
    """Guards against returned tokens that a lost message destroys."""
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
    """Guards against a burst that is refused although some of it is in rate."""
    account = token_accounts.TeamAccount()
    account.add(7, 10, 2.0)
    refill = account.begin_refill(300, 0.0, first=30)
    assert refill is not None
    assert (refill.wanted, refill.waiting) == (20, 270)


def test_usage_beyond_the_charge_is_paid_later() -> None:
    """Guards against free tokens when the prompt estimate was too low."""
    account = token_accounts.TeamAccount()
    account.add(1, 100, 9.0)
    charge = account.charge("bars", 100, 0.0)
    assert charge is not None
    account.settle(charge, 130, 0.0)
    account.add(2, 50, 9.0)
    assert account.balance(0.0) == 20


def test_asks_once_and_pauses_without_holder() -> None:
    """Guards against a flood of requests to a scheduler that is silent."""
    account = token_accounts.TeamAccount()
    refill = account.begin_refill(50, 0.0)
    assert refill is not None and refill.wanted == 50
    assert account.begin_refill(50, 0.0) is None
    account.fail_refill(0.0, pause_s=0.5)
    assert account.begin_refill(50, 0.4) is None
    assert account.begin_refill(50, 0.5) is not None


def test_asks_ahead_of_demand() -> None:
    """Guards against a pause at each grant under steady load."""
    account = token_accounts.TeamAccount()
    account.add(1, 1000, 9.0)
    for step in range(10):
        assert account.charge("bars", 90, step * 0.1) is not None
    refill = account.begin_refill(0, 0.9)
    assert refill is not None and refill.wanted > 200
