"""Named configuration objects: models, whole-set check, differences."""
