"""Tunable parameters of admission control, which experiments vary."""

from attrs import frozen


@frozen
class AdmissionPolicy:
    """Fractions, weights and limits of admission control; tokens and seconds."""

    # Pending prefill tokens at the engine above which further requests stay queued
    # here, where their order can still change. It covers a few round trips of work,
    # and is also the size of the prefill throttle's bucket.
    unread_tokens: float = 3_000.0
    # Fraction of the engine's memory that grants may reserve. The rest is a margin for
    # wrong estimates, since a full engine preempts running requests.
    memory_share: float = 0.9
    # A queued request is refused when its estimated time to first chunk exceeds this
    # fraction of its target: the calm value while demand within the accounts' fair
    # shares can be served, the busy one under heavy overload.
    calm_wait_share: float = 1.0
    busy_wait_share: float = 0.5
    # Excess of that demand, as a fraction of the prefill capacity, from which the busy
    # value applies. Below it the limit is interpolated.
    full_excess: float = 0.35
    # The same limit for requests over their account's fair share. It is lower, to keep
    # capacity free for accounts below theirs.
    beyond_share_wait: float = 0.3
    # A request over its share is granted only while the engine has at most this many
    # pending prefill tokens.
    beyond_unread_tokens: float = 0.0
    # A request over its share is refused if more than this many of its prompt tokens
    # need prefill, as it would delay too many others.
    beyond_most_unread: float = 12_000.0
    # Fair shares are enforced only while total demand exceeds this fraction of the
    # prefill capacity.
    gate_demand: float = 0.8
    # Requests of a kind and size that received less than this fraction of their
    # proportion of the account's service do not count as over its share, as long as
    # the account stays below most_share times its share. Otherwise small prompts
    # could use up the whole share of an account.
    size_part: float = 0.8
    most_share: float = 2.0
    # A request's own prefill counts towards its estimated time to first chunk with at
    # most this fraction of its target, so that the largest prompts are not refused for
    # their size alone.
    own_reading_share: float = 0.25
    # A request that does not fit into memory is overtaken by smaller ones for this
    # fraction of its target; after that it blocks them, so that it is not starved.
    pass_share: float = 0.3
    # Within a kind, requests are ordered as if they had arrived later by this multiple
    # of their prefill time, so that short prompts overtake long ones.
    size_weight: float = 5.0
    # Upper limit of that delay as a fraction of the target, so that long prompts are
    # not starved.
    most_passed_share: float = 0.4
    # A running response should be complete within this fraction of the time left until
    # its deadline; the rest is a margin.
    deadline_share: float = 0.75
    # Factor between the expected output of a request and the output that is planned
    # for: callers' length hints are medians, so half of the responses are longer.
    output_spread: float = 2.0
    # The target token interval is this quantile of the intervals that running responses
    # need: all but this fraction of them are in time with it.
    need_quantile: float = 0.1
    # Shortest target token interval, in seconds per token.
    shortest_pace_seconds: float = 0.03
    # Smallest fraction of the engine's prefill rate that the throttle leaves.
    least_flow_share: float = 0.7
