"""Decides which calls the granted tokens admit, and what is asked for and returned."""

import dataclasses

from cassiapitch.messages import (
    Grant,
    GrantAsk,
    RateAsk,
    RateGrants,
    Refund,
)
from cassiapitch.types import AccountName
from cassiapitch.viewitems import (
    AccountItem,
)

ASK_PERIOD_MS = 200
# A call whose tokens are due sooner than the next period is asked for again then, but
# not before a record at the granter can have been committed.
ASK_AGAIN_LEAST_MS = 25
WAIT_LIMIT_MS = 800
# A call that no granter has answered yet may wait longer: a new control leader is
# elected and grants again within about 1,500 ms, and refusing calls that are within
# their rate in the meantime would be wrong.
UNANSWERED_LIMIT_MS = 2_000
# After the first answer a call waits at least this long, so that a granter which
# has just started can lower its floors.
ANSWERED_WAIT_MS = 400
GRANT_LIFE_MS = 1_000
# An ask without an answer for this long is taken for lost, and its need is asked
# for again. A late answer is still used.
ANSWER_LIMIT_MS = 400
FORGET_MS = 5_000
# The share of the newest period in the average of admitted tokens.
AVERAGE_WEIGHT = 0.3


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """What is left of one grant."""

    tokens: int
    expires_ms: int
    term: int
    granted_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Draw:
    """Tokens that an admitted call took from one grant."""

    tokens: int
    term: int
    granted_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The call may run; `draws` pay for it."""

    account: AccountName
    draws: tuple[Draw, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """The call waits for a grant; its decision comes later."""


@dataclasses.dataclass(frozen=True, slots=True)
class RateExceeded:
    """The account has no tokens left for the call within the wait limit."""

    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OverBurst:
    """The call costs more than the account can ever be granted at once."""

    limit_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """The granter didn't answer within the wait limit."""


Decision = Admitted | RateExceeded | OverBurst | Unanswered


@dataclasses.dataclass(slots=True)
class _Waiter:
    call: str
    tokens: int
    since_ms: int
    limit_ms: int = WAIT_LIMIT_MS
    answered_ms: int | None = None

    def until_ms(self) -> int:
        """Returns when the call is given up."""
        if self.answered_ms is None:
            return self.since_ms + UNANSWERED_LIMIT_MS
        answered_wait_ms = min(ANSWERED_WAIT_MS, self.limit_ms)
        return max(self.since_ms + self.limit_ms, self.answered_ms + answered_wait_ms)


@dataclasses.dataclass(slots=True)
class _Asked:
    at_ms: int
    tokens: dict[AccountName, int]


@dataclasses.dataclass(slots=True)
class _AccountBudget:
    grants: list[HeldGrant] = dataclasses.field(default_factory=list)
    waiters: list[_Waiter] = dataclasses.field(default_factory=list)
    debt_tokens: int = 0
    period_tokens: int = 0
    average_tokens: float = 0.0
    usual_cost_tokens: float = 0.0

    def held_tokens(self) -> int:
        return sum(grant.tokens for grant in self.grants)


def largest_cost(account: AccountItem) -> int:
    """Returns the cost over which a call of the account can never be admitted.

    The granter's bucket holds less than the burst by what flows in during a
    grant's life, since grants of one life before may still be in use.
    """
    rate, burst = account.rate_tokens_per_s, account.burst_tokens
    life_ms = min(GRANT_LIFE_MS, burst * 500 // max(1, rate))
    return burst - -(-rate * life_ms // 1000)


class RateBudget:
    """Grants held for every client account, and the calls that wait for more."""

    def __init__(self, entry: str, life_id: str) -> None:
        self._entry = entry
        self._life_id = life_id
        self._sequence = 0
        self._accounts: dict[AccountName, _AccountBudget] = {}
        self._asked: dict[int, _Asked] = {}
        self._refunds: dict[tuple[AccountName, int, int], int] = {}
        self._is_closed = False
        self._again_ms: int | None = None
        self._decided: list[tuple[str, Decision]] = []

    def request(
        self,
        call: str,
        account: AccountItem,
        tokens: int,
        now_ms: int,
        limit_ms: int = WAIT_LIMIT_MS,
    ) -> Decision | Waiting:
        """Decides on a call, or lets it wait; waiting calls are served in order.

        Args:
            call: The call's identity.
            account: Its account.
            tokens: Its cost.
            now_ms: The current time.
            limit_ms: Longest wait for tokens once a granter has answered.
        """
        if tokens > largest_cost(account):
            return OverBurst(largest_cost(account))
        state = self._accounts.setdefault(account.name, _AccountBudget())
        state.period_tokens += tokens
        _note_cost(state, tokens)
        self._drop_expired(account.name, state, now_ms)
        if not state.waiters and state.held_tokens() >= tokens + state.debt_tokens:
            return self._admit(account.name, state, tokens)
        state.waiters.append(_Waiter(call, tokens, now_ms, limit_ms))
        return Waiting()

    def cancel_request(self, call: str, account: AccountName) -> None:
        """Forgets a waiting call, for instance because its caller went away."""
        state = self._accounts.get(account)
        if state is not None:
            state.waiters = [waiter for waiter in state.waiters if waiter.call != call]

    def settle(self, admitted: Admitted, used_tokens: int) -> None:
        """Returns what a call didn't use; what it used beyond becomes a debt."""
        unused = sum(draw.tokens for draw in admitted.draws) - used_tokens
        if unused < 0:
            state = self._accounts.setdefault(admitted.account, _AccountBudget())
            state.debt_tokens -= unused
            return
        # The newest grant is refunded first: the granter credits a refund up to the
        # least headroom since the grant, so that a younger one is credited more.
        for draw in reversed(admitted.draws):
            tokens = min(unused, draw.tokens)
            self._refund(admitted.account, tokens, draw.term, draw.granted_ms)
            unused -= tokens

    def receive_grants(self, message: RateGrants, now_ms: int) -> None:
        """Takes an answer; see `decisions` for the calls that it decides."""
        asked = self._asked.pop(message.sequence, None)
        if asked is None:
            return
        for grant in message.grants:
            self._take_grant(grant, asked.at_ms, now_ms)

    def tick(self, now_ms: int) -> None:
        """Ends waits that lasted too long and returns expired grants."""
        for name, state in self._accounts.items():
            self._drop_expired(name, state, now_ms)
            # Their limits differ, so that a later one may end first.
            ended = [one for one in state.waiters if now_ms >= one.until_ms()]
            for waiter in ended:
                state.waiters.remove(waiter)
                self._decided.append((waiter.call, _give_up(waiter)))
        self._asked = {
            sequence: asked
            for sequence, asked in self._asked.items()
            if now_ms - asked.at_ms < FORGET_MS
        }

    def decisions(self) -> list[tuple[str, Decision]]:
        """Returns and forgets the decisions on calls that waited."""
        decided, self._decided = self._decided, []
        return decided

    def is_idle(self) -> bool:
        """Tells whether there is nothing to ask for, to average or to return."""
        return not self._refunds and not any(
            state.grants
            or state.waiters
            or state.debt_tokens
            or state.period_tokens
            or state.average_tokens >= 1
            for state in self._accounts.values()
        )

    def ask_due_ms(self, periodic_ms: int) -> int:
        """Returns when to ask next, at the latest at the end of the period.

        Answers a call that found its account's tokens a moment short: waiting for the
        period would take the larger part of the time that its objective leaves.
        """
        if self._again_ms is None:
            return periodic_ms
        return min(periodic_ms, self._again_ms)

    def needs_ask(self, now_ms: int) -> bool:
        """Tells whether calls wait for tokens that no open ask covers."""
        return any(
            state.waiters and self._uncovered(name, state, now_ms) > 0
            for name, state in self._accounts.items()
        )

    def ask(self, now_ms: int, *, periodic: bool) -> RateAsk | None:
        """Returns the next ask, or None if there is nothing to ask or return.

        A periodic ask also closes a period of the average of admitted tokens.
        """
        asks: list[GrantAsk] = []
        self._again_ms = None
        if self._is_closed:
            return None
        for name, state in self._accounts.items():
            self._drop_expired(name, state, now_ms)
            if periodic:
                _close_period(state)
            grant_ask = self._grant_ask(name, state, now_ms)
            if grant_ask is not None:
                asks.append(grant_ask)
        if not asks and not self._refunds:
            return None
        self._sequence += 1
        self._asked[self._sequence] = _Asked(
            now_ms,
            {ask.account: ask.needed_tokens + ask.expected_tokens for ask in asks},
        )
        return self._message(tuple(asks))

    def return_all(self) -> RateAsk | None:
        """Returns every unspent grant, for the end of the process.

        Nothing more is asked for; grants that still arrive are returned by the next
        call.
        """
        self._is_closed = True
        for name, state in self._accounts.items():
            for grant in state.grants:
                self._refund(name, grant.tokens, grant.term, grant.granted_ms)
            state.grants.clear()
        if not self._refunds:
            return None
        self._sequence += 1
        return self._message(())

    def held_tokens(self) -> dict[AccountName, int]:
        """Returns unspent tokens of each account."""
        return {name: state.held_tokens() for name, state in self._accounts.items()}

    def queued_refund_tokens(self) -> int:
        """Returns the refunds that the next ask will carry."""
        return sum(self._refunds.values())

    def _message(self, asks: tuple[GrantAsk, ...]) -> RateAsk:
        refunds = tuple(
            Refund(account, tokens, term, granted_ms)
            for (account, term, granted_ms), tokens in self._refunds.items()
        )
        # A refund is delivered at most once: it is forgotten with the message that
        # carries it, since crediting it twice would exceed the account's rate.
        self._refunds.clear()
        return RateAsk(self._entry, self._life_id, self._sequence, asks, refunds)

    def _grant_ask(
        self, name: AccountName, state: _AccountBudget, now_ms: int
    ) -> GrantAsk | None:
        waiting = sum(waiter.tokens for waiter in state.waiters) + state.debt_tokens
        covered = state.held_tokens() + self._open_tokens(name, now_ms)
        needed = max(0, waiting - covered)
        spare = max(0, covered - waiting)
        expected = max(0, _expected_tokens(state) - spare)
        if needed == 0 and expected == 0:
            return None
        # Tokens held already don't have to be in the share for the largest call.
        largest = max((waiter.tokens for waiter in state.waiters), default=0)
        largest = min(largest, needed)
        return GrantAsk(name, needed, expected, largest)

    def _uncovered(self, name: AccountName, state: _AccountBudget, now_ms: int) -> int:
        waiting = sum(waiter.tokens for waiter in state.waiters) + state.debt_tokens
        return waiting - state.held_tokens() - self._open_tokens(name, now_ms)

    def _open_tokens(self, name: AccountName, now_ms: int) -> int:
        return sum(
            asked.tokens.get(name, 0)
            for asked in self._asked.values()
            if now_ms - asked.at_ms < ANSWER_LIMIT_MS
        )

    def _take_grant(self, grant: Grant, asked_ms: int, now_ms: int) -> None:
        state = self._accounts.setdefault(grant.account, _AccountBudget())
        for waiter in state.waiters:
            if waiter.answered_ms is None and waiter.since_ms <= asked_ms:
                waiter.answered_ms = now_ms
        expires_ms = asked_ms + grant.life_ms
        if grant.tokens > 0:
            state.grants.append(
                HeldGrant(grant.tokens, expires_ms, grant.term, grant.granted_ms)
            )
        self._drop_expired(grant.account, state, now_ms)
        self._admit_waiters(grant.account, state)
        if grant.wait_ms is not None:
            self._refuse_hopeless(state, grant.wait_ms, now_ms)
            if state.waiters:
                again_ms = now_ms + max(ASK_AGAIN_LEAST_MS, grant.wait_ms)
                self._again_ms = min(self._again_ms or again_ms, again_ms)

    def _admit_waiters(self, name: AccountName, state: _AccountBudget) -> None:
        while state.waiters:
            waiter = state.waiters[0]
            if state.held_tokens() < waiter.tokens + state.debt_tokens:
                return
            state.waiters.pop(0)
            decision = self._admit(name, state, waiter.tokens)
            self._decided.append((waiter.call, decision))

    def _refuse_hopeless(
        self, state: _AccountBudget, wait_ms: int, now_ms: int
    ) -> None:
        """Refuses calls at once whose tokens can't be there within their wait."""
        total = sum(waiter.tokens for waiter in state.waiters) + state.debt_tokens
        missing = max(1, total - state.held_tokens())
        running = state.debt_tokens - state.held_tokens()
        kept: list[_Waiter] = []
        for waiter in state.waiters:
            short = max(0, running + waiter.tokens)
            expected_ms = wait_ms * short // missing
            if now_ms + expected_ms > waiter.until_ms():
                refusal = RateExceeded(max(1, expected_ms))
                self._decided.append((waiter.call, refusal))
            else:
                running += waiter.tokens
                kept.append(waiter)
        state.waiters = kept

    def _admit(self, name: AccountName, state: _AccountBudget, tokens: int) -> Admitted:
        if state.debt_tokens:
            _draw(state, state.debt_tokens)
            state.debt_tokens = 0
        return Admitted(name, tuple(_draw(state, tokens)))

    def _drop_expired(
        self, name: AccountName, state: _AccountBudget, now_ms: int
    ) -> None:
        if all(now_ms < grant.expires_ms for grant in state.grants):
            return
        for grant in state.grants:
            if now_ms >= grant.expires_ms:
                self._refund(name, grant.tokens, grant.term, grant.granted_ms)
        state.grants = [grant for grant in state.grants if now_ms < grant.expires_ms]

    def _refund(
        self, name: AccountName, tokens: int, term: int, granted_ms: int
    ) -> None:
        if tokens > 0:
            key = (name, term, granted_ms)
            self._refunds[key] = self._refunds.get(key, 0) + tokens


def _give_up(waiter: _Waiter) -> Decision:
    if waiter.answered_ms is not None:
        return RateExceeded(WAIT_LIMIT_MS)
    return Unanswered()


def _draw(state: _AccountBudget, tokens: int) -> list[Draw]:
    """Takes tokens from the grants that expire first."""
    state.grants.sort(key=lambda grant: grant.expires_ms)
    draws: list[Draw] = []
    while tokens > 0:
        grant = state.grants[0]
        taken = min(tokens, grant.tokens)
        draws.append(Draw(taken, grant.term, grant.granted_ms))
        grant.tokens -= taken
        tokens -= taken
        if grant.tokens == 0:
            state.grants.pop(0)
    return draws


def _note_cost(state: _AccountBudget, tokens: int) -> None:
    if not state.usual_cost_tokens:
        state.usual_cost_tokens = float(tokens)
    change = tokens - state.usual_cost_tokens
    state.usual_cost_tokens += AVERAGE_WEIGHT * change


def _expected_tokens(state: _AccountBudget) -> int:
    """Returns what to hold ahead for calls that are likely in the next two periods.

    Answers few large calls spread over many entries: less than one whole call admits
    nothing and is missing where a call waits.
    """
    expected = 2 * state.average_tokens
    return int(expected) if expected >= state.usual_cost_tokens else 0


def _close_period(state: _AccountBudget) -> None:
    change = state.period_tokens - state.average_tokens
    state.average_tokens += AVERAGE_WEIGHT * change
    state.period_tokens = 0
    if state.average_tokens < 1:
        state.average_tokens = 0.0
