"""Tests of the decisions about jobs."""
