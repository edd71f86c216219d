"""At-most-once claims on idempotency keys."""
