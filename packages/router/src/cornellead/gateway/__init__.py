"""Routes requests of any path to servers that the platform's store lists."""
