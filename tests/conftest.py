"""Settings shared by all tests."""

import hypothesis

# The same examples on every run, so that CI gives the same verdict each time.
hypothesis.settings.register_profile(
    "repeatable", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("repeatable")
