"""Tells from logs where the time of each queue's workflows went."""
