"""Replaces the generated tables of a page and nothing else."""

import re

__all__ = ["PageError", "replace_tables", "table_names"]

_BLOCK = re.compile(
    r"(?P<begin><!-- begin (?P<name>[a-z-]+) -->\n).*?(?P<end><!-- end (?P=name) -->)",
    re.DOTALL,
)


class PageError(Exception):
    """The page's markers do not fit the tables."""


def table_names(page: str) -> list[str]:
    r"""Return the names of the page's tables, in order.

    Examples
    --------
    >>> table_names("<!-- begin roles -->\n<!-- end roles -->")
    ['roles']
    """
    return [match["name"] for match in _BLOCK.finditer(page)]


def replace_tables(page: str, tables: dict[str, str]) -> str:
    """Return the page with each table replaced.

    Raises
    ------
    PageError
        If a table has no markers, or markers have no table or occur twice.
    """
    names = table_names(page)
    if sorted(names) != sorted(tables):
        raise PageError(f"markers {sorted(names)} do not fit {sorted(tables)}")

    def block(match: re.Match[str]) -> str:
        return f"{match['begin']}{tables[match['name']]}\n{match['end']}"

    return _BLOCK.sub(block, page)
