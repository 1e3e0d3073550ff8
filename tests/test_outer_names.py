"""Checks that names visible outside the processes do not change."""

import pathlib

from tests import outer_names

_EXPECTED_FILE = pathlib.Path(__file__).with_name("outer_names.txt")


def test_outer_names_are_unchanged() -> None:
    """Guards against a rename that changes an external name by accident.

    Message fields, settings, events and options take their names from
    identifiers, so renaming an identifier can break other processes and
    operators' tools. After an intended change, ``python -m tests.outer_names``
    prints the new list.
    """
    assert outer_names.names() == _EXPECTED_FILE.read_text().splitlines()
