"""How long backend servers take for requests of each kind, as one entry has seen it."""

import collections
import dataclasses

# Kinds of requests whose times are kept; those that came last.
KINDS_LIMIT_COUNT = 256
# Newest requests of a kind that count.
SAMPLES_COUNT = 40
# One in this many requests may take longer than what is likely.
SLOWEST_SHARE = 0.05
# Assumed for a kind of request that hasn't been served yet.
UNKNOWN_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTime:
    """How long one request took from its slot to the end of its response.

    Attributes:
        begin_ms: Until the response began.
        rest_ms: From then on, for each token of the answer if these are known.
    """

    begin_ms: float
    rest_ms: float


class ServiceTimes:
    """Service times by kind of request; those of one kind are much alike."""

    def __init__(self) -> None:
        self._samples: collections.OrderedDict[str, collections.deque[ServiceTime]] = (
            collections.OrderedDict()
        )

    def record(self, kind: str, begin_ms: int, rest_ms: int, tokens: int) -> None:
        """Records a request that was answered to its end.

        Args:
            kind: The kind of request.
            begin_ms: From its slot until the response began.
            rest_ms: From then to the end of the response.
            tokens: Number of tokens that its answer may have; 0 if unknown.
        """
        samples = self._samples.pop(kind, None)
        if samples is None:
            samples = collections.deque(maxlen=SAMPLES_COUNT)
        samples.append(ServiceTime(begin_ms, rest_ms / max(1, tokens)))
        self._samples[kind] = samples
        if len(self._samples) > KINDS_LIMIT_COUNT:
            self._samples.popitem(last=False)

    def samples_count(self, kind: str) -> int:
        """Returns the number of requests of a kind that are remembered."""
        return len(self._samples.get(kind, ()))

    def likely_ms(self, kind: str, tokens: int) -> int:
        """Returns the time within which most requests of a kind and size are served."""
        samples = self._samples.get(kind)
        if not samples:
            return UNKNOWN_MS
        times_ms = sorted(
            sample.begin_ms + sample.rest_ms * max(1, tokens) for sample in samples
        )
        slower_count = int(len(times_ms) * SLOWEST_SHARE)
        return int(times_ms[len(times_ms) - 1 - slower_count])
