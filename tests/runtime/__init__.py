"""Tests of what all processes share."""
