"""Tests of the daemon that serves jobs."""
