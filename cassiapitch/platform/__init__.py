"""Adapter to the users' platform: translates its names, formats and calls.

It makes no decisions of its own.
"""
