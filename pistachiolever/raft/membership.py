"""Chooses membership changes: one member at a time, keeping a safe number of voters."""

from attrs import frozen

from pistachiolever.raft.const import (
    ACTIVE_LEARNER_SECONDS,
    MAX_MEMBERS,
    MEMBER_TIMEOUT_SECONDS,
    MIN_LIVE_MEMBERS_TO_REMOVE,
)


def address_of(member_id: str) -> str:
    """Return the address of a member id, `ADDRESS/INCARNATION` or a plain address."""
    return member_id.partition("/")[0]


@frozen
class MemberStatus:
    """The leader's view of another voter or a learner.

    `caught_up` is true if its log on disk has all committed entries.
    """

    member_id: str
    seconds_since_reply: float
    caught_up: bool


def next_members(
    own: str, members: list[str], statuses: list[MemberStatus]
) -> list[str] | None:
    """Return the next set of voters, or None to keep the current one.

    A new incarnation at the address of a voter means that the old one's disk is gone
    for good, so the new one replaces it in one step. That is safe, because any majority
    of the new set shares a member with any majority of the current set that the old one
    is not part of. Otherwise one voter is added or removed at a time, and adding comes
    first.
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
    """Remove the voter that is unresponsive for longest, if that improves safety.

    Four voters tolerate one failure, as do five of which one is unresponsive, but five
    still have that one's disk if it returns. So a single unresponsive voter of an odd
    number stays until a caught-up learner can succeed it.
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
