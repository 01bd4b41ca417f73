"""Decides which targets serve a request, and when to retry or hedge it."""
