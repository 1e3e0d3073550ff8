"""Tests of the control package."""
