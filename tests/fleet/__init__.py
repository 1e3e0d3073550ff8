"""Tests of the fleet of targets."""
