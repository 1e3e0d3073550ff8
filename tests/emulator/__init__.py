"""Tests of the emulated targets."""
