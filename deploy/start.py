"""Starts a program on the platform: `python3 -S deploy/start.py NAME ...`.

A signal ends a process that doesn't hold it yet. A script holds signals sooner than a
module that `-m` runs, and without `site` it does so as soon as the interpreter is up.
"""

import _signal
import sys

if __name__ == "__main__":
    # `signals.hold` unblocks them once their handlers are set; none gets lost.
    _signal.pthread_sigmask(
        _signal.SIG_BLOCK, (_signal.SIGHUP, _signal.SIGINT, _signal.SIGTERM)
    )
    root = __file__.rsplit("/", 2)[0]
    sys.path.insert(0, root)
    # Libraries that only `site` would add to the path are found nevertheless.
    sys.path.append(f"{root}/target/deps")
    from cassiapitch import signals

    signals.hold()
    try:
        from cassiapitch.platform import programs
    except (ImportError, OSError) as error:
        print(f"cassiapitch: {error!r}", file=sys.stderr)
        sys.exit(1)
    programs.start()
