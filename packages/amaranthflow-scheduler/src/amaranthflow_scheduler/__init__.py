"""Scheduler of task graphs and services, led by one instance at a time."""
