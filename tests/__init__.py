"""Tests of monsoonhinge."""
