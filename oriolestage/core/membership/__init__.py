"""Membership: failure detection, gossip and discovery of hosts."""
