"""Engines that are kept free of orders for the adapters of the models that they serve.

An engine that takes one order at a time loads no adapter while it loads a model. If
every engine that serves a model does, requests for its other adapters wait for a whole
load, although adapters load in milliseconds.
"""

from cassiapitch.orders import is_adapter_key, model_key
from cassiapitch.placement_state import PlacementState
from cassiapitch.survey import EngineState, Survey

# The adapters of a model are asked for if one was within this time.
ASKED_MS = 10_000


class SparedEngines:
    """Finds the engines that are spared in one placement round."""

    def __init__(self, state: PlacementState, survey: Survey, now_ms: int) -> None:
        self._survey = survey
        catalog = state.fleet.catalog
        # Models, by ledger key, whose adapters are asked for.
        self._models: set[str] = set()
        if not state.spares_engines or state.has_short_loads:
            # Requests for adapters can wait for a short load. With fewer engines for
            # loads, more requests for models would wait.
            return
        self._models = {
            model_key(catalog.model_of(key) or "")
            for key in state.demand.known_keys()
            if is_adapter_key(key) and state.demand.idle_ms(key, now_ms) <= ASKED_MS
        }

    def without(self, engines: list[EngineState]) -> list[EngineState]:
        """Leaves out the engines that are spared."""
        return [engine for engine in engines if not self._is_spared(engine)]

    def _is_spared(self, engine: EngineState) -> bool:
        """Tells whether a model would have no other engine that takes orders."""
        return any(
            not any(
                not self._survey.engines[other.life_id].is_blocked
                for other in self._survey.copies[key]
                if other.life_id != engine.incarnation.life_id
            )
            for key in engine.incarnation.ledger.reported
            if key in self._models
        )
