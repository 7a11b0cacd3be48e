#!/usr/bin/env bash
# The stand-ins are Python programs on the standard library; they are only compiled.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q stand [1-9]
