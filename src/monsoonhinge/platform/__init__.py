"""Translation between this system and the platform on which it runs."""
