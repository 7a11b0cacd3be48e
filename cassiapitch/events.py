"""Numbered log events, written as JSON lines."""

import enum
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from cassiapitch.logwriter import FileLog, LogWriter
from cassiapitch.queued_log import QueuedLog


class Event(enum.Enum):
    """Every event that a process logs; docs/events.md explains each one.

    Numbers 1xx belong to processes, 2xx to the replicated log, 3xx to the replicated
    state and its distribution, 4xx to entries, 5xx to placement and backend servers,
    6xx to tools. A number is never reused with another meaning.
    """

    PROCESS_STARTED = 101
    PROCESS_STOPPING = 102
    PROCESS_STOPPED = 103
    PROCESS_FAILED = 104
    SETTINGS_REFUSED = 105
    DUMP_SERVED = 106
    SETTINGS_CHANGED = 107
    SIGNAL_RECEIVED = 108
    LISTENER_WAITS = 109
    LISTENER_OPENED = 110
    LIMITS_IN_FORCE = 111
    TASK_FAILED = 112
    EVENT_LOOP_WAITS = 113
    STOP_CUT_SHORT = 114
    TASKS_LEFT = 115

    LOG_OPENED = 201
    GROUP_FORMED = 202
    WAITING_FOR_ADMISSION = 203
    LEADER_CHANGED = 204
    GROUP_CHANGED = 205
    SNAPSHOT_TAKEN = 206
    SNAPSHOT_INSTALLED = 207
    PEER_CONNECTED = 208
    PEER_LOST = 209
    PEER_REFUSED = 210
    STORAGE_FAILED = 211
    STREAM_FAILED = 212
    STORAGE_RETURNED = 213

    LINK_OPENED = 301
    LINK_CLOSED = 302
    LINK_REFUSED = 303
    GRANTER_STARTED = 304
    GRANTER_STOPPED = 305
    RELAY_OPENED = 306
    RELAY_CLOSED = 307
    CHANGE_ANSWERED = 308
    ADMIN_REFUSED = 309
    SNAPSHOT_SENT = 310
    MEMBERSHIP_CHANGED = 311
    CONFIGURATION_ANSWERED = 312
    CONFIGURATION_READ = 313
    ZONE_DRAIN_ANSWERED = 314

    ENTRY_LINK_OPENED = 401
    LINK_LOST = 402
    VIEW_APPLIED = 403
    VIEW_REFUSED = 404
    CALLS_ENDED = 405
    BACKEND_CRASHED = 406
    STREAM_RESUMED = 407
    STREAM_CONTINUED = 408
    STREAM_CUT = 409
    SLOW_CALLER = 410
    CLAIM_NOT_FINISHED = 411
    ENTRY_DRAINING = 412
    ENTRY_LISTENING = 413
    CALL_FAILED = 414
    FORWARDED = 415
    FORWARD_REFUSED = 416
    FORWARD_ATTEMPT_FAILED = 417
    FORWARD_BODY_LEFT = 418
    PART_REFUSED = 419
    PART_ALLOWED = 420
    PART_REPORT_DROPPED = 421
    STREAM_NOT_RECORDED = 422
    BACKEND_PATH_LOST = 423
    BACKEND_PATH_RESTORED = 424
    TUNNEL_REFUSED = 425
    TUNNEL_ENDED = 426
    ENTRY_DRAINED = 427
    BACKENDS_DRAINED = 428
    ENTRY_STALLED = 429
    LEVELS_MALFORMED = 430
    CALLER_CLOSED = 431
    CALLER_REFUSED = 432
    STREAM_BROKEN = 433

    STANDIN_LISTENING = 501
    TERM_BEGUN = 502
    ORDERS_RECORDED = 504
    ORDER_ANSWERED = 505
    PROPOSAL_FAILED = 507
    BACKEND_EVENT = 508
    BACKEND_LEAVES = 509
    BACKEND_DEPARTED = 510
    HEARTBEAT_REFUSED = 511
    BACKEND_SAID_LEAVING = 512
    BACKEND_STATED_LIMIT = 513
    PLACEMENT_WAITS = 514
    BACKEND_COLD_CHANGED = 517
    COLD_TIME_IGNORED = 518
    BACKEND_SLOW = 520
    BACKEND_RECOVERED = 521
    CAPACITY_SHORT = 522
    CAPACITY_SUFFICIENT = 523
    BACKEND_PACED = 524
    BACKEND_UNPACED = 525


# Events that callers outside the operator's control cause at will are logged at most
# this often, each with the number of those left out.
RATE_LIMITED_PERIOD_S = 1.0
# How long a start waits for its log. Without it, lines are queued.
OPEN_LIMIT_S = 2.0
# How long the end of a process waits for its last lines; a stop reserves 0.8 s for all
# that follows the last answer.
FLUSH_LIMIT_S = 0.4

_encoder = msgspec.json.Encoder(enc_hook=repr)
_write: Callable[[bytes], Any] | None = None
_queued_log: QueuedLog | None = None
# Time of the last line and number of lines left out since, by event and reason.
_rate_limited: dict[tuple[Event, str], tuple[float, int]] = {}


def log(event: Event, /, **fields: Any) -> None:
    """Writes one event as a JSON line; does nothing before `write_to` is called.

    Args:
        event: The numbered event.
        **fields: Details of the event. Never a caller's key or a request's content.
    """
    if _write is None:
        return
    head = {
        "timestamp": time.time(),
        "message_type": event.name.lower(),
        "event_number": event.value,
    }
    try:
        line = _encoder.encode({**head, **fields})
    except (ValueError, OverflowError):
        # Names of files and numbers of other processes may be none that JSON holds.
        shown = {name: ascii(value) for name, value in fields.items()}
        line = _encoder.encode({**head, **shown})
    _write(line + b"\n")


def log_rate_limited(event: Event, /, reason: str, **fields: Any) -> None:
    """Writes one event for each reason and second at most.

    Args:
        event: The numbered event.
        reason: One of few fixed texts.
        **fields: See `log`.
    """
    now_s = time.monotonic()
    logged_s, skipped_count = _rate_limited.get(
        (event, reason), (-RATE_LIMITED_PERIOD_S, 0)
    )
    if now_s - logged_s < RATE_LIMITED_PERIOD_S:
        _rate_limited[event, reason] = (logged_s, skipped_count + 1)
        return
    _rate_limited[event, reason] = (now_s, 0)
    log(event, reason=reason, skipped_count=skipped_count, **fields)


def write_to(path: str | None) -> None:
    """Directs the log to a file, or to standard output if `path` is None.

    Raises:
        OSError: The path names no file that could be opened later.
    """
    global _write, _queued_log
    if _queued_log is not None:
        _queued_log.close()
        _queued_log = None
    output = FileLog(path) if path is not None else LogWriter(sys.stdout.fileno())
    if isinstance(output, LogWriter) and output.never_waits:
        _write = output.write
        return
    _queued_log = QueuedLog(output)
    _queued_log.open(OPEN_LIMIT_S)
    _write = _queued_log.write


def flush(timeout_s: float = FLUSH_LIMIT_S) -> None:
    """Waits until all lines are written, for a limited time.

    Args:
        timeout_s: Longest wait; the disk of the log may hang.
    """
    if _queued_log is not None:
        _queued_log.flush(timeout_s)
