"""Tests of the directory publication."""
