"""Membership changes: the next configuration that a leader proposes."""

from collections.abc import Callable
import dataclasses

from monsoonhinge.consensus import types


def add_learner(
    configuration: types.Configuration, member: types.Member
) -> types.Configuration:
    """Returns the configuration with a member added as a learner.

    It replaces an earlier learner of the same name. A member whose id is
    already present is not changed.
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
    """Returns the configuration without the member that has this id."""
    return types.Configuration(
        tuple(m for m in configuration.members if m.id != member_id)
    )


def next_configuration(
    configuration: types.Configuration, is_caught_up: Callable[[str], bool]
) -> types.Configuration | None:
    """Returns the next configuration that promotes a caught-up learner.

    A voter with the same name as a learner has lost its data directory. It is
    removed first, because replacing it by the learner in one change would
    allow two disjoint majorities.

    Args:
        configuration: Current configuration; it must be committed.
        is_caught_up: Returns whether the member with an id has nearly the
            whole log.

    Returns:
        The configuration to propose; None if no learner can be promoted.
    """
    for learner in configuration.members:
        if learner.voter or not is_caught_up(learner.id):
            continue
        for member in configuration.members:
            if member.voter and member.name == learner.name:
                return remove_member(configuration, member.id)
        return _promote(configuration, learner)
    return None


def next_automatic_configuration(
    configuration: types.Configuration,
    *,
    is_caught_up: Callable[[str], bool],
    is_unresponsive: Callable[[str], bool],
    count_live_voters: Callable[[types.Configuration], int],
    desired_voter_count: int,
) -> types.Configuration | None:
    """Returns the next configuration of a cluster that replaces lost members.

    No operator is involved. An unresponsive voter is removed only if a
    caught-up learner can replace it, or there are more voters than desired, and
    a quorum of the remaining voters is live.

    Args:
        configuration: Current configuration; it must be committed.
        is_caught_up: Returns whether the member with an id has nearly the
            whole log.
        is_unresponsive: Returns whether the member with an id has not been
            seen for a long time.
        count_live_voters: Returns the number of live voters in a
            configuration.
        desired_voter_count: Number of voters up to which learners of new names
            are promoted.

    Returns:
        The configuration to propose; None if no change is needed or safe.
    """
    caught_up_learners = [
        m for m in configuration.members if not m.voter and is_caught_up(m.id)
    ]
    voter_names = {m.name for m in configuration.members if m.voter}
    # Fills a vacant voter position before removing another voter: a learner
    # with the name of a voter comes last, because that voter is removed first.
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
    replaceable = caught_up_learners or (
        len(configuration.voters) > desired_voter_count
    )
    for member in configuration.members:
        if not is_unresponsive(member.id) or (member.voter and not replaceable):
            continue
        reduced = remove_member(configuration, member.id)
        if count_live_voters(reduced) >= reduced.quorum():
            return reduced
    return None


def next_resignation(
    configuration: types.Configuration,
    member_id: str,
    *,
    is_caught_up: Callable[[str], bool],
    count_live_voters: Callable[[types.Configuration], int],
    desired_voter_count: int,
) -> types.Configuration | None:
    """Returns the next configuration on the way to one without a live voter.

    Its replacement is promoted first, so that the cluster bears the loss of as
    many members in between. A learner with the name of another voter does not
    count, since it replaces that one.

    Args:
        configuration: Current configuration; it must be committed.
        member_id: Voter that resigns.
        is_caught_up: Returns whether the member with an id is live and has
            nearly the whole log.
        count_live_voters: Returns the number of live voters in a
            configuration.
        desired_voter_count: Number of voters that has to be left.

    Returns:
        The configuration to propose; None if the member is not a voter.

    Raises:
        types.ChangeRefused: No member can replace it, or too few voters would
            be live without it.
    """
    member = configuration.get(member_id)
    if member is None or not member.voter:
        return None
    if len(configuration.voters) > desired_voter_count:
        reduced = remove_member(configuration, member_id)
        if count_live_voters(reduced) < reduced.quorum():
            raise types.ChangeRefused("too few other voters are live")
        return reduced
    for learner in replacements(configuration):
        if is_caught_up(learner.id):
            return _promote(configuration, learner)
    raise types.ChangeRefused("no member that has caught up can replace it")


def replacements(configuration: types.Configuration) -> list[types.Member]:
    """Returns the learners that no voter of the same name waits for."""
    voter_names = {m.name for m in configuration.members if m.voter}
    return [
        m
        for m in configuration.members
        if not m.voter and m.name not in voter_names
    ]


def _promote(
    configuration: types.Configuration, learner: types.Member
) -> types.Configuration:
    promoted = dataclasses.replace(learner, voter=True)
    return types.Configuration(
        tuple(
            promoted if m.id == learner.id else m for m in configuration.members
        )
    )
