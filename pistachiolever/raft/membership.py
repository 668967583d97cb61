"""Decides which members should count: one change at a time, never fewer than safe."""

from attrs import frozen

from pistachiolever.raft.const import (
    DEAD_MEMBER_SECONDS,
    FRESH_LEARNER_SECONDS,
    LEAST_MEMBERS_TO_DROP,
    MOST_MEMBERS,
)


def address_of(member_id: str) -> str:
    """Return the address within `ADDRESS/LIFE`; a plain address stands for itself."""
    return member_id.partition("/")[0]


@frozen
class MemberView:
    """What a leader knows of another member.

    `silent_seconds` is the time since it answered; `caught_up` tells that its disk
    holds all that is committed.
    """

    member_id: str
    silent_seconds: float
    caught_up: bool


def next_members(
    own: str, members: list[str], views: list[MemberView]
) -> list[str] | None:
    """Return the members that should count next, or None to leave them.

    A new life at the address of a member means that the old one's disk is gone for
    good, so it takes that place in one step: any majority of the others and the new
    one shares a member with any majority that the old one was not part of. All else
    changes by one member, first by taking in, then by dropping.
    """
    view_by_member = {view.member_id: view for view in views}
    learners = [
        view.member_id
        for view in views
        if view.member_id not in members
        and view.caught_up
        and view.silent_seconds < FRESH_LEARNER_SECONDS
    ]
    for learner in learners:
        for member in members:
            if member != own and address_of(member) == address_of(learner):
                return [learner if each == member else each for each in members]
    if learners and len(members) < MOST_MEMBERS:
        return [*members, learners[0]]
    return _without_dead(own, members, view_by_member, bool(learners))


def _without_dead(
    own: str,
    members: list[str],
    view_by_member: dict[str, MemberView],
    has_successor: bool,
) -> list[str] | None:
    """Drop the member that has been silent longest, if that makes the others safer.

    Four bear the loss of one as five do with one silent, but only five have its disk
    if it comes back. So a single silent one of five stays until a successor waits.
    """
    silent = {
        member: view_by_member[member].silent_seconds
        for member in members
        if member != own and member in view_by_member
    }
    dead = [m for m, seconds in silent.items() if seconds >= DEAD_MEMBER_SECONDS]
    alive = len(members) - len(dead)
    if not dead or alive < LEAST_MEMBERS_TO_DROP:
        return None
    if len(dead) == 1 and len(members) % 2 == 1 and not has_successor:
        return None
    longest = max(dead, key=lambda member: silent[member])
    return [member for member in members if member != longest]
