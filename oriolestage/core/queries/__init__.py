"""Queries over all shards of a group, from plan to answer."""
