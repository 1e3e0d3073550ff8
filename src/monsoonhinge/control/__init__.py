"""Control process, its replicated state machine and its client."""
