"""Tests of the target registry and of model placement."""
