"""Scripted scenarios of failures, run on the decision core or on processes."""
