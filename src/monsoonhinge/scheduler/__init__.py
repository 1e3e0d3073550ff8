"""Scheduler: places model replicas on targets and grants tokens to gateways."""
