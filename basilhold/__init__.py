"""Cluster scheduler for mixed workloads on a shared pool of VMs."""

__all__ = ["__version__"]

__version__ = "0.1.0"
