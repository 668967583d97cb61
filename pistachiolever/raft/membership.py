"""Decides which members should count: one change at a time, never fewer than safe."""

from attrs import frozen

from pistachiolever.raft.const import (
    ACTIVE_LEARNER_SECONDS,
    MAX_MEMBERS,
    MEMBER_TIMEOUT_SECONDS,
    MIN_LIVE_MEMBERS_TO_REMOVE,
)


def address_of(member_id: str) -> str:
    """Return the address within `ADDRESS/LIFE`; a plain address stands for itself."""
    return member_id.partition("/")[0]


@frozen
class MemberStatus:
    """What a leader knows of another member.

    `seconds_since_reply` is the time since it answered; `caught_up` tells that its disk
    holds all that is committed.
    """

    member_id: str
    seconds_since_reply: float
    caught_up: bool


def next_members(
    own: str, members: list[str], statuses: list[MemberStatus]
) -> list[str] | None:
    """Return the members that should count next, or None to leave them.

    A new life at the address of a member means that the old one's disk is gone for
    good, so it takes that place in one step: any majority of the others and the new
    one shares a member with any majority that the old one was not part of. All else
    changes by one member, first by taking in, then by dropping.
    """
    status_by_member = {status.member_id: status for status in statuses}
    learners = [
        status.member_id
        for status in statuses
        if status.member_id not in members
        and status.caught_up
        and status.seconds_since_reply < ACTIVE_LEARNER_SECONDS
    ]
    for learner in learners:
        for member in members:
            if member != own and address_of(member) == address_of(learner):
                return [learner if each == member else each for each in members]
    if learners and len(members) < MAX_MEMBERS:
        return [*members, learners[0]]
    return _remove_dead_member(own, members, status_by_member, bool(learners))


def _remove_dead_member(
    own: str,
    members: list[str],
    status_by_member: dict[str, MemberStatus],
    has_successor: bool,
) -> list[str] | None:
    """Drop the member that has been silent longest, if that makes the others safer.

    Four bear the loss of one as five do with one silent, but only five have its disk
    if it comes back. So a single silent one of five stays until a successor waits.
    """
    seconds_since_reply = {
        member: status_by_member[member].seconds_since_reply
        for member in members
        if member != own and member in status_by_member
    }
    dead = [
        m
        for m, seconds in seconds_since_reply.items()
        if seconds >= MEMBER_TIMEOUT_SECONDS
    ]
    alive = len(members) - len(dead)
    if not dead or alive < MIN_LIVE_MEMBERS_TO_REMOVE:
        return None
    if len(dead) == 1 and len(members) % 2 == 1 and not has_successor:
        return None
    removed = max(dead, key=lambda member: seconds_since_reply[member])
    return [member for member in members if member != removed]
