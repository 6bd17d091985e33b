"""Admission control: request queues, rate limits and retry budgets."""
