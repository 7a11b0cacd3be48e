"""A control member's state of one entry's link: what is still to be sent.

A delta of the view is computed when it is sent and covers all changes up to then, so a
slow link has no queue of deltas. Other messages have a bounded queue.
"""

import collections
import dataclasses
from typing import Any

from cassiapitch import view as views
from cassiapitch.messages import (
    Confirmed,
    LinkHello,
)
from cassiapitch.view import View

QUEUE_LIMIT_COUNT = 512
PENDING_REQUESTS_LIMIT_COUNT = 512


@dataclasses.dataclass(slots=True)
class LinkState:
    """State of one link.

    Attributes:
        hello: The entry's first message on the link.
        sent_index: Index of the view that the entry has once it received all messages.
        confirmed: The latest confirmation that is not sent yet.
        queue: Other messages for the entry.
        pending_requests_count: Claims and reports of the entry without an answer yet.
        overflowed: Whether the queue was full; the link is then closed.
    """

    hello: LinkHello
    sent_index: int
    confirmed: Confirmed | None = None
    queue: collections.deque[Any] = dataclasses.field(default_factory=collections.deque)
    pending_requests_count: int = 0
    overflowed: bool = False


def open_link(hello: LinkHello) -> LinkState:
    """Returns the state of a new link."""
    return LinkState(hello, hello.applied_index)


def push(link: LinkState, message: Any) -> None:
    """Queues a message; if the queue is full, marks the link to be closed."""
    if len(link.queue) >= QUEUE_LIMIT_COUNT:
        link.overflowed = True
        return
    link.queue.append(message)


def queue_confirmation(link: LinkState, sequence: int, index: int) -> None:
    """Sets the confirmation to be sent next, unless a later one is already set."""
    if link.confirmed is None or sequence > link.confirmed.sequence:
        link.confirmed = Confirmed(sequence, index)


def pop_messages(link: LinkState, view: View) -> list[Any]:
    """Removes and returns the messages to be sent now, in order.

    A confirmation is sent after a view that reaches its index. This may be a delta
    without items: log entries that change no item only advance the index.
    """
    messages: list[Any] = []
    needed_index = 0 if link.confirmed is None else link.confirmed.index
    is_behind = (
        views.has_changes(view, link.sent_index) or needed_index > link.sent_index
    )
    is_new = link.sent_index == 0 and view.index > 0
    # An entry that is ahead of this member gets no view: its view never goes back.
    if (is_behind or is_new) and view.index > link.sent_index:
        messages += _view_messages(link, view)
    if link.confirmed is not None and link.confirmed.index <= link.sent_index:
        messages.append(link.confirmed)
        link.confirmed = None
    messages += link.queue
    link.queue.clear()
    return messages


def _view_messages(link: LinkState, view: View) -> list[Any]:
    since_index = link.sent_index
    link.sent_index = view.index
    if views.can_make_delta(view, since_index):
        return [views.delta_since(view, since_index)]
    return list(views.snapshot_parts(view))
