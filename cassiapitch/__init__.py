"""Serves many bursty models on few accelerators for many client accounts."""

__version__ = "0.1.0"
