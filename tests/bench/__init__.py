"""Tests of the load tool, relays and traces."""
