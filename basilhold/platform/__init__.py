"""Translates between basilhold and the platform of its users.

Nothing outside this package knows the platform's names. Wire fields are decoded here
once, into types of the product.
"""
