"""Difference between two sets of encoded objects."""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """Change from one set of objects to another.

    Attributes:
        upserts: Canonical objects that are new or changed, by id.
        deletes: Ids of objects that were removed.
    """

    upserts: dict[str, bytes]
    deletes: list[str]

    @classmethod
    def between(
        cls, old: Mapping[str, bytes], new: Mapping[str, bytes]
    ) -> "Delta":
        """Returns the difference of two sets of canonical objects."""
        return cls(
            upserts={
                key: data for key, data in new.items() if old.get(key) != data
            },
            deletes=[key for key in old if key not in new],
        )

    @property
    def size_bytes(self) -> int:
        """Sum of the sizes of the objects and of the removed ids."""
        return sum(map(len, self.upserts.values())) + sum(
            map(len, self.deletes)
        )

    def followed_by(self, later: "Delta") -> "Delta":
        """Returns one change in place of this one and a later one."""
        deleted = set(later.deletes)
        kept = {
            key: data
            for key, data in self.upserts.items()
            if key not in deleted
        }
        still_deleted = [
            key
            for key in self.deletes
            if key not in later.upserts and key not in deleted
        ]
        return Delta(
            upserts=kept | later.upserts,
            deletes=still_deleted + later.deletes,
        )

    def apply(self, objects: Mapping[str, bytes]) -> dict[str, bytes]:
        """Returns the set of objects after this change."""
        result = dict(objects)
        for key in self.deletes:
            result.pop(key, None)
        result.update(self.upserts)
        return result
