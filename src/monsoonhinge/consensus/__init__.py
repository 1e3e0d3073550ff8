"""Raft consensus: the protocol core, its storage and its asyncio driver."""
