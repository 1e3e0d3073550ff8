"""Translation between the product and the platform on which it runs."""
