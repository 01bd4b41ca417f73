"""Parts that the scripts of the cases 11 to 15 share."""
