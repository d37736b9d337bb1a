"""Adapters between basilhold and the platform on which its users run it.

This is the only package that knows the platform's endpoints, field names and units. It
decodes wire messages into the types of `basilhold.core` and `basilhold.workflows`.
"""
