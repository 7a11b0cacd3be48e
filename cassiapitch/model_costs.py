"""How long each model of a role takes for an event, on servers of one speed.

Larger models run slower. The time that a server takes is therefore compared with what
its models take at all servers, not with what other servers take for other models. A
pair of model and server has too few observations for that, so that models and servers
are estimated in turn: each observation counts for its model as corrected for the speed
of its server, and for its server as corrected for the cost of its model. A model that
is held by servers of one speed only doesn't hide their speed, as long as they hold
other models as well.
"""

import dataclasses
from collections.abc import Callable

from cassiapitch.types import LifeId

# The cost of a model changes only with its version. Observations age so that a model
# that was not asked for in ten minutes keeps a thirtieth of its weight.
MODEL_HALF_LIFE_MS = 120_000
# With this many observations of a model, those of servers count by half.
PRIOR_COUNT = 32.0
# Models of a role that are kept; those observed last.
MODELS_LIMIT_COUNT = 1_024
# Observations of a server count in full where this part of its model's were made at
# others. Those of a model that only this server holds show nothing of its speed beside
# others, but a change of its own, and count least.
FULL_SHARE_OF_OTHERS = 0.5
SMALLEST_WEIGHT = 0.1
# Time of an event that costs 1. Any value would do: it is the same for all models, so
# that it cancels out, unlike a mean of the models, which changes with their demand.
UNIT_MS = 20.0
SMALLEST_COST = 0.01
LARGEST_COST = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCost:
    """What is known of a model.

    Attributes:
        ratio: The time of an event relative to `UNIT_MS`.
        known_share: How far it is known, 0 to 1: without a known cost a large model
            would look like a slow server.
        weight: By how much observations of the server count, 0 to 1.
    """

    ratio: float = 1.0
    known_share: float = 0.0
    weight: float = 0.0


@dataclasses.dataclass(slots=True)
class _Sums:
    """Decaying sums of corrected times and of observations."""

    time_ms: float = 0.0
    count: float = 0.0
    updated_ms: int = 0

    def add(self, time_ms: float, count: float, now_ms: int) -> None:
        """Adds observations."""
        factor = self._factor(now_ms)
        self.time_ms = self.time_ms * factor + time_ms
        self.count = self.count * factor + count
        self.updated_ms = now_ms

    def count_at(self, now_ms: int) -> float:
        """Returns the number of observations, by their weight."""
        return self.count * self._factor(now_ms)

    def _factor(self, now_ms: int) -> float:
        elapsed_ms = max(0, now_ms - self.updated_ms)
        return float(0.5 ** (elapsed_ms / MODEL_HALF_LIFE_MS))


@dataclasses.dataclass(slots=True)
class _Model:
    """Observations of a model, of all servers and of each."""

    all: _Sums = dataclasses.field(default_factory=_Sums)
    by_server: dict[LifeId, _Sums] = dataclasses.field(default_factory=dict)


class ModelCosts:
    """Costs of the models of one role, by their tags."""

    def __init__(self) -> None:
        self._models: dict[int, _Model] = {}

    def add(
        self,
        model_tag: int,
        life_id: LifeId,
        time_ms: float,
        count: int,
        now_ms: int,
    ) -> None:
        """Adds observations of a model.

        Args:
            model_tag: The model; 0 if there is none.
            life_id: The server.
            time_ms: Their time, corrected for the speed and the load of the server.
            count: Their number.
            now_ms: The current time.
        """
        model = self._models.pop(model_tag, None) or _Model()
        if len(self._models) >= MODELS_LIMIT_COUNT:
            del self._models[next(iter(self._models))]
        self._models[model_tag] = model
        model.all.add(time_ms, count, now_ms)
        model.by_server.setdefault(life_id, _Sums()).add(time_ms, count, now_ms)

    def cost(self, model_tag: int, life_id: LifeId, now_ms: int) -> ModelCost:
        """Returns the cost of a model, for observations of one server.

        It has no weight if it is unknown, and little if it rests on this server alone.
        """
        model = self._models.get(model_tag)
        if model is None or model.all.time_ms <= 0:
            return ModelCost()
        ratio = model.all.time_ms / (model.all.count * UNIT_MS)
        own = model.by_server.get(life_id)
        own_count = 0.0 if own is None else own.count_at(now_ms)
        others_share = 1 - own_count / max(own_count, model.all.count_at(now_ms), 1e-9)
        known_share = model.all.count / (model.all.count + PRIOR_COUNT)
        return ModelCost(
            max(SMALLEST_COST, min(LARGEST_COST, ratio)),
            known_share,
            known_share
            * max(SMALLEST_WEIGHT, min(1.0, others_share / FULL_SHARE_OF_OTHERS)),
        )

    def retain_only(self, is_ended: Callable[[str], bool]) -> None:
        """Removes what ended servers contributed to the weights."""
        for model in self._models.values():
            for life_id in [key for key in model.by_server if is_ended(key)]:
                del model.by_server[life_id]
