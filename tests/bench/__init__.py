"""Tests of the load generator and the entry point of the benchmarks."""
