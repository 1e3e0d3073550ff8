"""Tests of the stand-in targets."""
