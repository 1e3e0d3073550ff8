"""Command line of operators, one module per command group."""
