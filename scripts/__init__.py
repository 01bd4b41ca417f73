"""Scripts for maintainers."""
