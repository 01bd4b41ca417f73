"""How much work a target gets after it has started or recovered."""
