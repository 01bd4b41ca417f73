"""Failure scenarios, run on the decision core or on real processes."""
