"""Which statuses of HTTP responses are answers (RFC 9110, section 15)."""

FIRST_FINAL_STATUS = 200
LAST_STATUS = 599


def is_final(status: int) -> bool:
    """Returns whether a status ends an exchange, and may be passed on as an answer.

    Parsers take any three digits. An interim response other than those that the
    parser skips, such as an unrequested 101, ends no exchange either.
    """
    return FIRST_FINAL_STATUS <= status <= LAST_STATUS
