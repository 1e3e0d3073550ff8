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


def remove(
    configuration: types.Configuration, member_id: str
) -> types.Configuration:
    """Returns the configuration without a member."""
    return types.Configuration(
        tuple(m for m in configuration.members if m.id != member_id)
    )


def next_step(
    configuration: types.Configuration, caught_up: Callable[[str], bool]
) -> types.Configuration | None:
    """Returns the next change that makes caught-up learners voters.

    A voter whose name a learner has taken over lost its data directory. It is
    removed first, because removing it and adding the learner in one change
    would allow two disjoint majorities.

    Args:
        configuration: Current configuration; it is committed.
        caught_up: Whether the member with an id holds nearly the whole log.
    """
    for learner in configuration.members:
        if learner.voter or not caught_up(learner.id):
            continue
        for member in configuration.members:
            if member.voter and member.name == learner.name:
                return remove(configuration, member.id)
        promoted = dataclasses.replace(learner, voter=True)
        return types.Configuration(
            tuple(
                promoted if m.id == learner.id else m
                for m in configuration.members
            )
        )
    return None


def next_unattended_step(
    configuration: types.Configuration,
    *,
    caught_up: Callable[[str], bool],
    silent: Callable[[str], bool],
    live: Callable[[types.Configuration], int],
    target_voters: int,
) -> types.Configuration | None:
    """Returns the next change where members come and go without an operator.

    A silent voter is removed only once a learner can take its place and a
    quorum of the others is live.

    Args:
        configuration: Current configuration; it is committed.
        caught_up: Whether the member with an id holds nearly the whole log.
        silent: Whether a member has not been heard for a long time.
        live: Returns how many voters of a configuration are live.
        target_voters: Voters to have.
    """
    ready = [
        m for m in configuration.members if not m.voter and caught_up(m.id)
    ]
    voting = {m.name for m in configuration.members if m.voter}
    # A missing voter is replaced before another one is removed.
    ready.sort(key=lambda learner: learner.name in voting)
    missing = len(configuration.voters) < target_voters
    due = [m.id for m in ready if missing or m.name in voting]
    if due:
        return next_step(configuration, lambda member: member == due[0])
    for member in configuration.members:
        if not silent(member.id) or (member.voter and not ready):
            continue
        wanted = remove(configuration, member.id)
        if live(wanted) >= wanted.quorum():
            return wanted
    return None
