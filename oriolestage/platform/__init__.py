"""Adapter to the platform: its names, formats and calls.

The platform is the outer system that hosts run in: settings file, store,
and the HTTP headers that callers and targets use. Its names are translated
here into the types of this project and occur nowhere else.
"""
