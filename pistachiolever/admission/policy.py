"""What admission before one endpoint weighs, as settings that experiments vary."""

from attrs import frozen


@frozen
class AdmissionPolicy:
    """Shares, weights and bounds of admission; tokens, seconds, parts of a whole.

    The values were found by experiments on the emulator and by days on the users'
    bench; docs/MEASUREMENTS.md has the figures.
    """

    # Unread prompt tokens handed to an engine before the next request waits here,
    # where the order can still change: a few round trips of work.
    unread_tokens: float = 3_000.0
    # Part of the engine's memory that is promised; the rest covers wrong estimates,
    # as a full memory preempts running requests.
    memory_share: float = 0.9
    # A request is refused once waiting and reading would take more than this part of
    # its target: while what accounts may have can be read, and while it is far more.
    calm_wait_share: float = 1.0
    busy_wait_share: float = 0.5
    # Demand beyond what can be read, as a part of it, at which the busy share holds.
    full_excess: float = 0.35
    # A request of an account that had its fair share may take at most this part of
    # its target for waiting and reading: room is kept for accounts below theirs.
    beyond_share_wait: float = 0.3
    # It is handed on only while the engine has at most so many unread prompt tokens.
    beyond_unread_tokens: float = 0.0
    # And only if at most so many tokens of it have to be read.
    beyond_most_unread: float = 12_000.0
    # Accounts beyond their share are held back while all together ask for more than
    # this part of what can be read.
    gate_demand: float = 0.8
    # Requests of a size and kind that got less than this part of what the account got
    # in proportion are not taken as beyond its share, up to so many times the share.
    size_part: float = 0.8
    most_share: float = 2.0
    # At most this part of the target is set aside for reading the own prompt, so that
    # the largest prompts are not refused for their size alone.
    own_reading_share: float = 0.25
    # A request that does not fit into memory lets others pass for this part of its
    # target, then holds them back.
    pass_share: float = 0.3
    # A prompt lets others of its kind pass that come within so many times its reading.
    size_weight: float = 5.0
    # But not longer than this part of its target, so that it is not passed for ever.
    most_passed_share: float = 0.4
    # Part of the time left within which a running answer should be complete.
    deadline_share: float = 0.75
    # An answer may be so many times as long as expected: hints are right at the median.
    output_spread: float = 2.0
    # The pace follows the answers that need more speed than this part of all.
    need_quantile: float = 0.1
    # The shortest pace, in seconds a token, for which reading is held back.
    shortest_pace_seconds: float = 0.03
    # Least part of the engine's time that is left for reading.
    least_flow_share: float = 0.7
