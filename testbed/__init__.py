"""Starts deployments on loopback for the demo, the bench and tests."""
