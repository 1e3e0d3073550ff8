"""Tables of the replicated state, each with its commands and its snapshot."""
