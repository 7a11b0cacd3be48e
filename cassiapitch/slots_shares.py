"""Part of its slots up to which the latency of an incarnation holds."""

from cassiapitch.speed_observations import SMALLEST_RATIO, ServerObservations

# Latency is out of its target if it is this many times that of the role at equal load,
# or of the server itself in the last seconds.
TARGET_RATIO = 1.5
# The part of its slots that a server keeps, also relative to its speed: a slowed server
# must keep some requests, or its recovery would not be seen.
SMALLEST_SLOTS_SHARE = 0.1
KEPT_SPEED_SHARE = 0.5
# Largest cut at one update, and the part of its slots that a server is given back per
# second, from some time after the last cut on.
LARGEST_CUT_RATIO = 0.7
REGAINED_SHARE_PER_S = 0.05
REGAIN_AFTER_MS = 2_000
# A rejection shows less room than the slots only if fewer than this part is in use.
EARLY_REJECTION_SHARE = 0.8
REJECTION_CUT_RATIO = 0.9


def update(
    server: ServerObservations,
    ratio: float,
    elasticity: float,
    elapsed_ms: int,
    now_ms: int,
) -> None:
    """Moves the part of the slots that an incarnation handles well.

    It falls towards the load at which latency would be within its target, and
    rises again by small steps while latency is. A server that is always slower
    than its role loses slots only as far as fewer requests make it faster.

    Args:
        server: The incarnation.
        ratio: Its speed relative to its role.
        elasticity: By which power of the load the time of an answer grows.
        elapsed_ms: Time since the last update.
        now_ms: The current time.
    """
    smallest = max(
        SMALLEST_SLOTS_SHARE,
        KEPT_SPEED_SHARE * min(1.0, ratio),
        1 / server.slots_count,
    )
    lasting_ratio = max(SMALLEST_RATIO, ratio) ** elasticity
    slowness = 1 / max(SMALLEST_RATIO, min(lasting_ratio, server.sudden_ratio))
    used_share = server.in_flight_count / server.slots_count
    share = server.slots_share
    if slowness > TARGET_RATIO:
        cut = max(LARGEST_CUT_RATIO, TARGET_RATIO / slowness)
        share = min(share, max(used_share, cut * share)) * cut
    elif server.early_rejections_count and used_share > 0:
        share = min(share, REJECTION_CUT_RATIO * used_share)
    if share < server.slots_share:
        server.slots_share = max(smallest, min(server.slots_share, share))
        server.cut_ms = now_ms
    elif now_ms - server.cut_ms >= REGAIN_AFTER_MS:
        regained = REGAINED_SHARE_PER_S * min(elapsed_ms, 1_000) / 1_000
        regained = max(regained, elapsed_ms / 1_000 / server.slots_count)
        server.slots_share = min(1.0, server.slots_share + regained)
    server.slots_share = max(smallest, server.slots_share)
    server.early_rejections_count = 0
