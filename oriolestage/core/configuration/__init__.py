"""The operators' configuration: changes, history, validity."""
