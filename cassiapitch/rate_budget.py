"""Rate limiting at an entry: admits calls from granted tokens and asks for more.

The granter on the control leader grants tokens of a client account for a limited time.
The entry admits calls from the grants that it holds and lets others wait. It sends asks
(`RateAsk`) that request tokens for waiting and expected calls and refund unused ones.
"""

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
# If a waiting call's tokens are due before the next periodic ask, the entry asks again
# when they are due, but not before the granter can have committed a record.
MIN_ASK_AGAIN_MS = 25
# Default of the longest wait of a call for tokens once a granter has answered.
WAIT_LIMIT_MS = 800
# Without any answer of a granter, a call may wait longer: a new control leader is
# elected and grants again within about 1,500 ms, and calls within their rate must not
# be refused in the meantime.
UNANSWERED_LIMIT_MS = 2_000
# After the first answer, a call waits at least this long, so that a granter that has
# just started can lower its floors.
ANSWERED_WAIT_MS = 400
# Longest lifetime of a grant, as at the granter (see `bucket`).
GRANT_LIFE_MS = 1_000
# An ask without an answer for this long is presumed lost, and its tokens are requested
# again. A late answer is still used, until the ask is forgotten.
ANSWER_TIMEOUT_MS = 400
FORGET_ASK_MS = 5_000
# Weight of the newest period or call in exponential moving averages.
AVERAGE_WEIGHT = 0.3


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """Unspent tokens of one grant."""

    tokens: int
    expires_ms: int
    term: int
    granted_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Draw:
    """Tokens of one grant that an admitted call spent."""

    tokens: int
    term: int
    granted_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The call is admitted; `draws` are the tokens that it was charged."""

    account: AccountName
    draws: tuple[Draw, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """The call waits for a grant; `decisions` returns the decision later."""


@dataclasses.dataclass(frozen=True, slots=True)
class RateExceeded:
    """The account gets no tokens for the call within the wait limit."""

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
    """A waiting call; `answered_ms` is when its first answer arrived."""

    call_id: str
    tokens: int
    since_ms: int
    limit_ms: int = WAIT_LIMIT_MS
    answered_ms: int | None = None

    def deadline_ms(self) -> int:
        """Returns when the call is refused if it hasn't been admitted by then."""
        if self.answered_ms is None:
            return self.since_ms + UNANSWERED_LIMIT_MS
        answered_wait_ms = min(ANSWERED_WAIT_MS, self.limit_ms)
        return max(self.since_ms + self.limit_ms, self.answered_ms + answered_wait_ms)


@dataclasses.dataclass(slots=True)
class _OpenAsk:
    """An ask without an answer yet, and the tokens that it requested."""

    at_ms: int
    tokens: dict[AccountName, int]


@dataclasses.dataclass(slots=True)
class _AccountBudget:
    """Grants and waiting calls of one client account.

    Attributes:
        grants: Grants with unspent tokens.
        waiters: Waiting calls, in order of arrival.
        debt_tokens: Tokens that calls used beyond what they were admitted with.
        period_tokens: Tokens that calls requested in the current period.
        average_tokens: Moving average of `period_tokens` at the end of a period.
        usual_cost_tokens: Moving average of the cost of a call.
    """

    grants: list[HeldGrant] = dataclasses.field(default_factory=list)
    waiters: list[_Waiter] = dataclasses.field(default_factory=list)
    debt_tokens: int = 0
    period_tokens: int = 0
    average_tokens: float = 0.0
    usual_cost_tokens: float = 0.0

    def held_tokens(self) -> int:
        return sum(grant.tokens for grant in self.grants)


def max_admissible_tokens(account: AccountItem) -> int:
    """Returns the highest cost at which a call of the account can be admitted.

    The granter's bucket holds the burst less what flows in during a grant's life, as
    grants that were issued during the last life may still be in use.
    """
    rate, burst = account.rate_tokens_per_s, account.burst_tokens
    life_ms = min(GRANT_LIFE_MS, burst * 500 // max(1, rate))
    return burst - -(-rate * life_ms // 1000)


class RateBudget:
    """Grants that an entry holds for each client account, and the waiting calls."""

    def __init__(self, entry: str, life_id: str) -> None:
        self._entry = entry
        self._life_id = life_id
        self._sequence = 0
        self._accounts: dict[AccountName, _AccountBudget] = {}
        self._open_asks: dict[int, _OpenAsk] = {}
        self._refunds: dict[tuple[AccountName, int, int], int] = {}
        self._is_closed = False
        self._ask_again_ms: int | None = None
        self._decided: list[tuple[str, Decision]] = []

    def request(
        self,
        call_id: str,
        account: AccountItem,
        tokens: int,
        now_ms: int,
        limit_ms: int = WAIT_LIMIT_MS,
    ) -> Decision | Waiting:
        """Decides on a call or queues it; waiting calls are admitted in order.

        Args:
            call_id: The call's identity.
            account: The call's account.
            tokens: The call's cost.
            now_ms: The current time.
            limit_ms: Longest wait for tokens once a granter has answered.
        """
        if tokens > max_admissible_tokens(account):
            return OverBurst(max_admissible_tokens(account))
        state = self._accounts.setdefault(account.name, _AccountBudget())
        state.period_tokens += tokens
        _update_usual_cost(state, tokens)
        self._drop_expired(account.name, state, now_ms)
        if not state.waiters and state.held_tokens() >= tokens + state.debt_tokens:
            return self._admit(account.name, state, tokens)
        state.waiters.append(_Waiter(call_id, tokens, now_ms, limit_ms))
        return Waiting()

    def cancel_request(self, call_id: str, account: AccountName) -> None:
        """Removes a waiting call, for instance because its caller disconnected."""
        state = self._accounts.get(account)
        if state is not None:
            state.waiters = [
                waiter for waiter in state.waiters if waiter.call_id != call_id
            ]

    def settle(self, admitted: Admitted, used_tokens: int) -> None:
        """Refunds the tokens that a call didn't use.

        Tokens used beyond its cost become a debt, paid from the account's next grants.
        """
        unused = sum(draw.tokens for draw in admitted.draws) - used_tokens
        if unused < 0:
            state = self._accounts.setdefault(admitted.account, _AccountBudget())
            state.debt_tokens -= unused
            return
        # Refunds the newest grant first: the granter credits a refund up to the least
        # headroom since the grant, so a newer grant is credited more.
        for draw in reversed(admitted.draws):
            tokens = min(unused, draw.tokens)
            self._refund(admitted.account, tokens, draw.term, draw.granted_ms)
            unused -= tokens

    def receive_grants(self, message: RateGrants, now_ms: int) -> None:
        """Adds the grants of an answer and decides waiting calls (see `decisions`)."""
        open_ask = self._open_asks.pop(message.sequence, None)
        if open_ask is None:
            return
        for grant in message.grants:
            self._add_grant(grant, open_ask.at_ms, now_ms)

    def tick(self, now_ms: int) -> None:
        """Refuses calls that waited too long and queues refunds of expired grants."""
        for name, state in self._accounts.items():
            self._drop_expired(name, state, now_ms)
            # Wait limits differ, so a call may time out before those ahead of it.
            timed_out = [
                queued for queued in state.waiters if now_ms >= queued.deadline_ms()
            ]
            for waiter in timed_out:
                state.waiters.remove(waiter)
                self._decided.append((waiter.call_id, _timeout_decision(waiter)))
        self._open_asks = {
            sequence: open_ask
            for sequence, open_ask in self._open_asks.items()
            if now_ms - open_ask.at_ms < FORGET_ASK_MS
        }

    def decisions(self) -> list[tuple[str, Decision]]:
        """Returns and clears the decisions on calls that waited."""
        decided, self._decided = self._decided, []
        return decided

    def is_idle(self) -> bool:
        """Tells whether there is nothing to request, to average or to refund."""
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

        A call whose account lacks tokens only for a moment asks again earlier: waiting
        for the end of the period would use up most of its latency objective.
        """
        if self._ask_again_ms is None:
            return periodic_ms
        return min(periodic_ms, self._ask_again_ms)

    def needs_ask(self, now_ms: int) -> bool:
        """Tells whether calls wait for tokens that no unanswered ask has requested."""
        return any(
            state.waiters and self._uncovered_tokens(name, state, now_ms) > 0
            for name, state in self._accounts.items()
        )

    def ask(self, now_ms: int, *, periodic: bool) -> RateAsk | None:
        """Returns the next ask, or None if there is nothing to request or refund.

        A periodic ask also ends a period of the average of requested tokens.
        """
        asks: list[GrantAsk] = []
        self._ask_again_ms = None
        if self._is_closed:
            return None
        for name, state in self._accounts.items():
            self._drop_expired(name, state, now_ms)
            if periodic:
                _end_period(state)
            grant_ask = self._grant_ask(name, state, now_ms)
            if grant_ask is not None:
                asks.append(grant_ask)
        if not asks and not self._refunds:
            return None
        self._sequence += 1
        self._open_asks[self._sequence] = _OpenAsk(
            now_ms,
            {ask.account: ask.needed_tokens + ask.expected_tokens for ask in asks},
        )
        return self._message(tuple(asks))

    def return_all(self) -> RateAsk | None:
        """Returns an ask that refunds all unspent grants, for the end of the process.

        No more tokens are requested. Grants that arrive later are refunded by the next
        call of this method. None if there is nothing to refund.
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
        """Returns the unspent tokens of each account."""
        return {name: state.held_tokens() for name, state in self._accounts.items()}

    def queued_refund_tokens(self) -> int:
        """Returns the tokens that the next ask will refund."""
        return sum(self._refunds.values())

    def _message(self, asks: tuple[GrantAsk, ...]) -> RateAsk:
        refunds = tuple(
            Refund(account, tokens, term, granted_ms)
            for (account, term, granted_ms), tokens in self._refunds.items()
        )
        # A refund is sent at most once, even if the message may be lost: crediting it
        # twice would exceed the account's rate.
        self._refunds.clear()
        return RateAsk(self._entry, self._life_id, self._sequence, asks, refunds)

    def _grant_ask(
        self, name: AccountName, state: _AccountBudget, now_ms: int
    ) -> GrantAsk | None:
        waiting = sum(waiter.tokens for waiter in state.waiters) + state.debt_tokens
        covered = state.held_tokens() + self._tokens_in_open_asks(name, now_ms)
        needed = max(0, waiting - covered)
        spare = max(0, covered - waiting)
        expected = max(0, _expected_tokens(state) - spare)
        if needed == 0 and expected == 0:
            return None
        # Tokens that are held already reduce what the largest call still needs.
        largest = max((waiter.tokens for waiter in state.waiters), default=0)
        largest = min(largest, needed)
        return GrantAsk(name, needed, expected, largest)

    def _uncovered_tokens(
        self, name: AccountName, state: _AccountBudget, now_ms: int
    ) -> int:
        waiting = sum(waiter.tokens for waiter in state.waiters) + state.debt_tokens
        return waiting - state.held_tokens() - self._tokens_in_open_asks(name, now_ms)

    def _tokens_in_open_asks(self, name: AccountName, now_ms: int) -> int:
        return sum(
            open_ask.tokens.get(name, 0)
            for open_ask in self._open_asks.values()
            if now_ms - open_ask.at_ms < ANSWER_TIMEOUT_MS
        )

    def _add_grant(self, grant: Grant, asked_ms: int, now_ms: int) -> None:
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
            self._refuse_unservable(state, grant.wait_ms, now_ms)
            if state.waiters:
                ask_again_ms = now_ms + max(MIN_ASK_AGAIN_MS, grant.wait_ms)
                self._ask_again_ms = min(
                    self._ask_again_ms or ask_again_ms, ask_again_ms
                )

    def _admit_waiters(self, name: AccountName, state: _AccountBudget) -> None:
        while state.waiters:
            waiter = state.waiters[0]
            if state.held_tokens() < waiter.tokens + state.debt_tokens:
                return
            state.waiters.pop(0)
            decision = self._admit(name, state, waiter.tokens)
            self._decided.append((waiter.call_id, decision))

    def _refuse_unservable(
        self, state: _AccountBudget, wait_ms: int, now_ms: int
    ) -> None:
        """Refuses waiting calls whose tokens can't be granted before their deadline.

        The tokens of all waiting calls are assumed to flow in evenly over `wait_ms`.
        """
        total = sum(waiter.tokens for waiter in state.waiters) + state.debt_tokens
        missing = max(1, total - state.held_tokens())
        tokens_ahead = state.debt_tokens - state.held_tokens()
        still_waiting: list[_Waiter] = []
        for waiter in state.waiters:
            shortfall = max(0, tokens_ahead + waiter.tokens)
            expected_ms = wait_ms * shortfall // missing
            if now_ms + expected_ms > waiter.deadline_ms():
                refusal = RateExceeded(max(1, expected_ms))
                self._decided.append((waiter.call_id, refusal))
            else:
                tokens_ahead += waiter.tokens
                still_waiting.append(waiter)
        state.waiters = still_waiting

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


def _timeout_decision(waiter: _Waiter) -> Decision:
    """Returns the decision on a call that waited too long."""
    if waiter.answered_ms is not None:
        return RateExceeded(WAIT_LIMIT_MS)
    return Unanswered()


def _draw(state: _AccountBudget, tokens: int) -> list[Draw]:
    """Spends tokens of the grants that expire first."""
    state.grants.sort(key=lambda grant: grant.expires_ms)
    draws: list[Draw] = []
    while tokens > 0:
        grant = state.grants[0]
        used = min(tokens, grant.tokens)
        draws.append(Draw(used, grant.term, grant.granted_ms))
        grant.tokens -= used
        tokens -= used
        if grant.tokens == 0:
            state.grants.pop(0)
    return draws


def _update_usual_cost(state: _AccountBudget, tokens: int) -> None:
    """Updates the moving average of the account's costs."""
    if not state.usual_cost_tokens:
        state.usual_cost_tokens = float(tokens)
    change = tokens - state.usual_cost_tokens
    state.usual_cost_tokens += AVERAGE_WEIGHT * change


def _expected_tokens(state: _AccountBudget) -> int:
    """Returns the tokens to request in advance for the calls of the next two periods.

    Returns 0 for less than the cost of a usual call. With few large calls spread over
    many entries, such tokens admit no call here and are missing at entries where
    calls wait.
    """
    expected = 2 * state.average_tokens
    return int(expected) if expected >= state.usual_cost_tokens else 0


def _end_period(state: _AccountBudget) -> None:
    """Updates the moving average of requested tokens per period."""
    change = state.period_tokens - state.average_tokens
    state.average_tokens += AVERAGE_WEIGHT * change
    state.period_tokens = 0
    if state.average_tokens < 1:
        state.average_tokens = 0.0
