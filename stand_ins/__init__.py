"""Simulated external systems for trials of the query tier.

Each module is a program: the platform (store and host list), the targets, the
load balancer and the network between hosts.
"""
