"""Load tool, traces and measurements."""
