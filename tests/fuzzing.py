"""Hypothesis settings shared by this project's stateful tests."""

import os

import hypothesis

IS_LONG_RUN = bool(os.environ.get("CASSIAPITCH_FUZZ"))


def settings(examples_count, steps_count):
    """Returns settings: a fixed seed normally; longer, random runs on request."""
    return hypothesis.settings(
        max_examples=examples_count * (12 if IS_LONG_RUN else 1),
        stateful_step_count=steps_count,
        derandomize=not IS_LONG_RUN,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
