"""A whole cell in one process over the stand-ins."""

from basilhold.cell.cell import Cell, CellParts
from basilhold.cell.entry import EntryNodes
from basilhold.cell.shape import CellShape, make_shape

__all__ = ["Cell", "CellParts", "CellShape", "EntryNodes", "make_shape"]
