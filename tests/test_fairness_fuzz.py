"""Fuzzes the fair queue: shares by weight, urgent first, nothing lost."""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiapitch.fairness import FairQueue, Ticket
from cassiapitch.types import Priority

WEIGHTS = {"a": 1, "b": 2, "c": 5}
LARGEST_COST = 100


def first(queue, priority):
    tickets = queue.in_order(priority)
    found = next(tickets, None)
    tickets.close()
    return found


class FairnessMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.queue = FairQueue("weighted_fair")
        self.waiting = []
        self.now_ms = 0
        # Service to each account since it last began to wait, while another waits.
        self.busy = {}

    def push(self, account, priority, cost):
        ticket = Ticket(account, WEIGHTS[account], priority, cost, 10**9, self.now_ms)
        if priority is Priority.URGENT and not self.has(account):
            for pair in list(self.busy):
                if account in pair:
                    del self.busy[pair]
            for other in WEIGHTS:
                if other != account and self.has(other):
                    self.busy[tuple(sorted((account, other)))] = {account: 0, other: 0}
        self.queue.push(ticket)
        self.waiting.append(ticket)

    def has(self, account):
        return any(
            ticket.account == account and ticket.priority is Priority.URGENT
            for ticket in self.waiting
        )

    @rule(
        account=st.sampled_from(sorted(WEIGHTS)),
        priority=st.sampled_from(list(Priority)),
        cost=st.integers(1, LARGEST_COST),
        count=st.integers(1, 40),
    )
    def arrive(self, account, priority, cost, count):
        for _ in range(count):
            self.push(account, priority, cost)

    @rule(count=st.integers(1, 40))
    def serve(self, count):
        for _ in range(count):
            ticket = first(self.queue, Priority.URGENT)
            if ticket is None:
                ticket = first(self.queue, Priority.BATCH)
            if ticket is None:
                assert self.waiting == []
                return
            self.queue.serve(ticket)
            self.waiting.remove(ticket)
            self.count_service(ticket)

    def count_service(self, ticket):
        if ticket.priority is Priority.BATCH:
            assert not any(item.priority is Priority.URGENT for item in self.waiting)
            return
        for pair, service in list(self.busy.items()):
            if ticket.account in pair:
                service[ticket.account] += ticket.cost / ticket.weight
                if not self.has(ticket.account):
                    del self.busy[pair]

    @rule(data=st.data())
    def abandon(self, data):
        """A caller goes away; shares are compared anew from here."""
        if self.waiting:
            ticket = data.draw(st.sampled_from(self.waiting))
            self.queue.abandon(ticket)
            self.waiting.remove(ticket)
            self.busy.clear()

    @invariant()
    def nothing_is_lost(self):
        assert len(self.queue) == len(self.waiting)

    @invariant()
    def shares_follow_weights(self):
        """Between accounts that both wait, service by weight stays close.

        Self-clocked fair queueing keeps the difference within the largest cost of
        each of the two, by weight, plus that of the request that set the clock.
        """
        for (one, other), service in self.busy.items():
            bound = 2 * LARGEST_COST * (1 / WEIGHTS[one] + 1 / WEIGHTS[other])
            assert abs(service[one] - service[other]) <= bound


FairnessMachine.TestCase.settings = (
    settings(max_examples=3_000, stateful_step_count=60, deadline=None)
    if os.environ.get("CASSIAPITCH_FUZZ")
    else settings(
        max_examples=150,
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
        database=None,
    )
)
TestFairnessFuzz = FairnessMachine.TestCase


def drain(queue, count):
    served = []
    for _ in range(count):
        ticket = first(queue, Priority.URGENT)
        queue.serve(ticket)
        served.append(ticket.account)
    return served


def filled(policy):
    queue = FairQueue(policy)
    for _ in range(100):
        queue.push(Ticket("a", 1, Priority.URGENT, 10, 10**9, 0))
    return queue


def test_idle_share_is_lent_and_taken_back():
    """Guards against a backlog that keeps out an account that comes back."""
    queue = filled("weighted_fair")
    assert drain(queue, 40) == ["a"] * 40
    for _ in range(10):
        queue.push(Ticket("b", 1, Priority.URGENT, 10, 10**9, 0))
    assert drain(queue, 10).count("b") == 5


def test_first_come_is_the_baseline():
    """Guards against a baseline that is fair by accident."""
    queue = filled("first_come")
    queue.push(Ticket("b", 1, Priority.URGENT, 10, 10**9, 0))
    assert drain(queue, 100) == ["a"] * 100


def test_hopeless_wait_is_known_at_once():
    """Guards against refusals that come only at the deadline."""
    queue = filled("weighted_fair")
    for number in range(20):
        queue.record_completion(number * 100)
    ticket = Ticket("a", 1, Priority.URGENT, 10, 10**9, 2_000)
    queue.push(ticket)
    assert queue.expected_wait_ms(ticket, 2_000) == 100 * 5_000 // 20
