"""Tables of the replicated state, with their commands and snapshot rows."""
