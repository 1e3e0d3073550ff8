"""Tests of requests from a caller through a gateway to a target."""
