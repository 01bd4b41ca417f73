"""The configuration set by operators: document, changes and replication."""
