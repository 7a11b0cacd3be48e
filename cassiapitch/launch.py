"""Console commands, which hold signals before they import their program."""

from cassiapitch import signals

# Only type checkers import these modules: a start has no time for them yet.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import NoReturn


def control() -> int:
    """Runs a control member."""
    signals.hold()
    from cassiapitch import control as program

    return program.main()


def entry() -> "NoReturn":
    """Runs an entry."""
    signals.hold()
    from cassiapitch import entry as program
    from cassiapitch import process

    process.end(program.main())


def standin() -> int:
    """Runs a simulated engine or service."""
    signals.hold()
    from cassiapitch import standin as program

    return program.main()
