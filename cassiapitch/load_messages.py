"""What entries report of load and of answers, for decisions about the whole service."""

import msgspec

from cassiapitch.types import AccountName, LifeId


class RankLoad(msgspec.Struct, frozen=True, array_like=True):
    """One entry's load of one priority rank since its last report.

    Work is in prompt tokens, for plain services in requests.

    Attributes:
        queue: The model, or the role of a plain service, that requests wait for.
        rank: Priority rank, 0 first.
        account: The client account, empty on an open route.
        sketch: Bits of the requests that arrived, one for each by its hash. The union
            over entries and reports counts a request once however often it came.
        attempts_count: Requests that arrived, repeats included.
        attempts_work: Their work.
        waiting_work: Work of the requests that wait for a slot now.
        refused_work: Work of the requests that were refused for lack of capacity.
        objective_ms: Latency objective; 0 if there is none.
        weight: Weight of the account.
        deadline_ms: Longest time that one of these requests had left until its deadline
            when it arrived; 0 from earlier builds.
        leader_ms: In the first load of a report, the leader's time by its last levels
            and the time since they arrived. The leader's own time is later than this by
            a round trip. 0 without levels lately, and from earlier builds.
    """

    queue: str
    rank: int
    account: AccountName
    sketch: int
    attempts_count: int
    attempts_work: int
    waiting_work: int = 0
    refused_work: int = 0
    objective_ms: int = 0
    weight: int = 1
    deadline_ms: int = 0
    leader_ms: int = 0


class KnownSpeed(msgspec.Struct, frozen=True, array_like=True):
    """Speed of the engines of a role, from the leader to all members.

    Attributes:
        role: The role.
        tokens_per_ms: Prompt tokens that one of them processes per millisecond.
        age_ms: Time since it was measured.
    """

    role: str
    tokens_per_ms: float
    age_ms: int


class KindTimes(msgspec.Struct, frozen=True, array_like=True):
    """The longest times of a kind of request, seen by an entry or by all of them.

    Attributes:
        kind: The kind of request, see `service_times.shared_kind`.
        count: Requests that were answered to their end.
        begin_ms: Longest time until a response began.
        total_ms: Longest time until a response that states no length had ended.
        fill: Most events of a stream by each token that it states.
        pace_ms: Longest time of an event, in the average of a stream.
    """

    kind: str
    count: int
    begin_ms: int = 0
    total_ms: int = 0
    fill: float = 0.0
    pace_ms: float = 0.0


class AnswerSample(msgspec.Struct, frozen=True, array_like=True):
    """What one entry saw of one incarnation's answers since its last report.

    Attributes:
        life_id: The incarnation.
        answers_count: First tokens received.
        prefill_tokens: Prompt tokens that were pending before them, their own
            included, summed.
        prefill_ms: Time to these first tokens, summed.
        gaps_count: Pauses between events of streams.
        gaps_ms: Sum of these pauses.
        rejections_count: Requests that it rejected since it had no room.
        plain_count: Answers to requests without a prompt and without a stream.
        plain_ms: Time to these answers, summed.
        in_flight_sum: Requests in flight there, of all entries, summed over gaps and
            plain answers.
        own_tokens: Prompt tokens of the requests with these first tokens, without those
            that were pending before them.
        model_tag: Tag of the model of all these requests, see
            `load_report_queue.life_tag`; 0 if there is none, and from entries of
            earlier builds, which add up all models.
        kept_count: First tokens of prompts that the incarnation may have had in its
            cache in part.
    """

    life_id: LifeId
    answers_count: int = 0
    prefill_tokens: int = 0
    prefill_ms: int = 0
    gaps_count: int = 0
    gaps_ms: int = 0
    rejections_count: int = 0
    plain_count: int = 0
    plain_ms: int = 0
    in_flight_sum: int = 0
    own_tokens: int = 0
    model_tag: int = 0
    kept_count: int = 0
