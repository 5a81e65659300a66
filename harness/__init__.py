"""Starts whole deployments on loopback, for demo, bench and tests."""
