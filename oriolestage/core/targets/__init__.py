"""Owned targets: admission, life cycle, what is known of them."""
