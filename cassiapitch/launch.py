"""Console commands, which hold signals before they import their program."""

from cassiapitch import signals


def control() -> int:
    """Runs a control member."""
    signals.hold()
    from cassiapitch import control as program

    return program.main()


def entry() -> int:
    """Runs an entry."""
    signals.hold()
    from cassiapitch import entry as program

    return program.main()
