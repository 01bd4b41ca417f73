"""Which hosts are alive, and what they tell one another."""
