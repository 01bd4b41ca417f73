"""A randomized soak of entry hosts as real processes, with stand-ins."""
