"""Names that leave the processes stay as they are."""

import pathlib

from tests import outer_names

_EXPECTED = pathlib.Path(__file__).with_name("outer_names.txt")


def test_outer_names_are_unchanged() -> None:
    """Guards against a rename that other processes or operators would notice.

    Message fields, settings, events and options take their names from
    identifiers, so an internal rename can change them unnoticed. After an
    intended change, ``python -m tests.outer_names`` prints the new list.
    """
    assert outer_names.names() == _EXPECTED.read_text().splitlines()
