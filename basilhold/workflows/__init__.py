"""Workflows, which are jobs of dependent steps, and the owners that run them."""
