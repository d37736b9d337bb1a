"""Workflows: jobs of dependent steps, and the owners that run them."""
