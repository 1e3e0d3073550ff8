"""Load generator, demand traces, local clusters and benchmarks."""
