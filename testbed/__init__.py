"""Test harness: runs whole deployments on loopback for the demo, bench and tests."""
