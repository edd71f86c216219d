"""Retry budgets."""
