"""Turns a decision of the budget into an admission or a refusal."""

from cassiapitch.calls import CallRefusedError, refused
from cassiapitch.error_kinds import ErrorKind, Refusal
from cassiapitch.rate_budget import Admitted, Decision, OverBurst, RateExceeded


def check_admitted(decision: Decision) -> Admitted:
    """Returns the admission.

    Raises:
        CallRefusedError: The call wasn't admitted.
    """
    if isinstance(decision, Admitted):
        return decision
    if isinstance(decision, OverBurst):
        message = f"the request costs more than {decision.limit_tokens} tokens"
        raise CallRefusedError(Refusal(ErrorKind.REQUEST_OVER_BURST, message))
    if isinstance(decision, RateExceeded):
        message = "the client account's rate is used up"
        raise CallRefusedError(
            Refusal(
                ErrorKind.RATE_EXCEEDED,
                message,
                retry_after_ms=decision.retry_after_ms,
            )
        )
    raise refused(ErrorKind.NOT_READY)
