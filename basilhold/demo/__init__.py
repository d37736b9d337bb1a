"""Runs a local cell with real HTTP requests and jobs, and reports what it measured."""

from basilhold.demo.run import DemoReport, run_demo

__all__ = ["DemoReport", "run_demo"]
