"""Steps by which the leader changes the members."""

from collections.abc import Callable
import dataclasses

from monsoonhinge.consensus import types


def add_learner(
    configuration: types.Configuration, member: types.Member
) -> types.Configuration:
    """Returns the configuration with a new learner.

    An older learner of the same name is replaced.
    """
    others = tuple(
        m
        for m in configuration.members
        if m.voter or m.name != member.name or m.id == member.id
    )
    if configuration.get(member.id) is not None:
        return configuration
    learner = dataclasses.replace(member, voter=False)
    return types.Configuration((*others, learner))


def remove_member(
    configuration: types.Configuration, member_id: str
) -> types.Configuration:
    """Returns the configuration without a member."""
    return types.Configuration(
        tuple(m for m in configuration.members if m.id != member_id)
    )


def next_configuration(
    configuration: types.Configuration, is_caught_up: Callable[[str], bool]
) -> types.Configuration | None:
    """Returns the next change that makes caught-up learners voters.

    A voter whose name a learner has taken over lost its data directory. It is
    removed first, because removing it and adding the learner in one change
    would allow two disjoint majorities.

    Args:
        configuration: Current configuration; it is committed.
        is_caught_up: Whether the member with an id holds nearly the whole log.
    """
    for learner in configuration.members:
        if learner.voter or not is_caught_up(learner.id):
            continue
        for member in configuration.members:
            if member.voter and member.name == learner.name:
                return remove_member(configuration, member.id)
        promoted = dataclasses.replace(learner, voter=True)
        return types.Configuration(
            tuple(
                promoted if m.id == learner.id else m
                for m in configuration.members
            )
        )
    return None


def next_automatic_configuration(
    configuration: types.Configuration,
    *,
    is_caught_up: Callable[[str], bool],
    is_unresponsive: Callable[[str], bool],
    count_live_voters: Callable[[types.Configuration], int],
    desired_voter_count: int,
) -> types.Configuration | None:
    """Returns the next change where members come and go without an operator.

    A silent voter is removed only once a learner can take its place and a
    quorum of the others is live.

    Args:
        configuration: Current configuration; it is committed.
        is_caught_up: Whether the member with an id holds nearly the whole log.
        is_unresponsive: Whether a member has not been heard for a long time.
        count_live_voters: Returns how many voters of a configuration are live.
        desired_voter_count: Voters to have.
    """
    caught_up_learners = [
        m for m in configuration.members if not m.voter and is_caught_up(m.id)
    ]
    voter_names = {m.name for m in configuration.members if m.voter}
    # A voter_missing voter is replaced before another one is removed.
    caught_up_learners.sort(key=lambda learner: learner.name in voter_names)
    voter_missing = len(configuration.voters) < desired_voter_count
    promotable = [
        m.id
        for m in caught_up_learners
        if voter_missing or m.name in voter_names
    ]
    if promotable:
        return next_configuration(
            configuration, lambda member: member == promotable[0]
        )
    for member in configuration.members:
        if not is_unresponsive(member.id) or (
            member.voter and not caught_up_learners
        ):
            continue
        reduced = remove_member(configuration, member.id)
        if count_live_voters(reduced) >= reduced.quorum():
            return reduced
    return None
