"""Tests of the platform's HTTP interface."""
