"""Makes an entry's reports of the demand for models, and of its requests that run."""

from cassiapitch import timers
from cassiapitch.entrystate import EntryState
from cassiapitch.messages import DemandReport, InFlight


def make_report(state: EntryState) -> DemandReport | None:
    """Returns the next report, or None if both it and the last one are empty.

    Args:
        state: The entry's state, whose counts begin anew.
    """
    waiting = {
        key: value
        for key, value in state.scheduler.waiting().items()
        if state.catalog.resolve_model(key[0]) is not None
    }
    shares_speeds = state.settings.speed_policy == "shared"
    now_ms = timers.now_ms()
    return state.demand.report(
        waiting,
        _unreported_in_flight(state),
        now_ms,
        state.router.brittle.reports(now_ms),
        state.router.answer_samples if shares_speeds else None,
        state.service_times.unreported,
        state.gate.report(state.scheduler.waiting_requests(), now_ms),
    )


def _unreported_in_flight(state: EntryState) -> tuple[InFlight, ...]:
    """Returns this entry's requests at backend servers that don't report load."""
    catalog, router = state.catalog, state.router
    counts = router.in_flight_counts(timers.now_ms())
    served_tokens = router.prefill.take_served_tokens()
    ended_counts = router.take_ended_counts()
    known = set(counts)
    is_reporting = state.gate.is_reporting(timers.now_ms())
    if is_reporting:
        # Under light load, what has ended would only make reports longer.
        known |= served_tokens.keys() | ended_counts.keys()
    if state.settings.prompt_pacing == "shared":
        # The leader measures speeds by what is served.
        known |= served_tokens.keys()
    return tuple(
        InFlight(
            backend.life_id,
            counts.get(backend.life_id, 0),
            router.prefill.pending_tokens(backend.life_id),
            served_tokens.get(backend.life_id, 0),
            ended_counts.get(backend.life_id, 0),
            router.prefill.pending_by_rank(backend.life_id) if is_reporting else (),
            router.prefill.own_tokens_per_s(backend.life_id)
            if state.gate.is_enabled
            else 0,
        )
        for backend in catalog.backends.values()
        if backend.life_id in known and not catalog.reports_load(backend.role)
    )
